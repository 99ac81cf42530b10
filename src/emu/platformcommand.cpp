#include "callcounts.h"
#include "commands.h"
#include "emuserver.h"
#include "hostlist.h"
#include "jsonbody.h"
#include "keyvalueapi.h"
#include "sharedlink.h"

#include <algorithm>
#include <iostream>

#include <cxxopts.hpp>

namespace Cyclamen
{

namespace
{

constexpr std::size_t WeightChunkBytes = 64U << 10U;

void sendWeights(SharedLink &link, std::size_t size, httplib::Response &response)
{
    response.set_content_provider(size, "application/octet-stream",
                                  [&link](std::size_t /*offset*/, std::size_t length, httplib::DataSink &sink) {
                                      static const std::string Zeros(WeightChunkBytes, '\0');
                                      const std::size_t chunk = std::min(length, WeightChunkBytes);
                                      link.transfer(chunk);
                                      return sink.write(Zeros.data(), chunk);
                                  });
}

// Applies the faults that change the state of the platform immediately instead of affecting a request.
bool applyStateFault(const Fault &fault, KeyValueApi &keyValueApi, HostList &hosts)
{
    if (fault.kind == "compact") {
        keyValueApi.compact();
    } else if (fault.kind == "save-state") {
        keyValueApi.saveState();
    } else if (fault.kind == "restore-state") {
        return keyValueApi.restoreState();
    } else if (fault.kind == "stale-hosts") {
        hosts.freeze(fault.remainingUses != 0);
    } else {
        return false;
    }
    return true;
}

}

int runPlatform(int argc, char **argv)
{
    cxxopts::Options options("cyclamencross-emu platform", "Emulates the key-value service and the host list.");
    auto add = options.add_options();
    add("listen", "address, IP:PORT", cxxopts::value<std::string>()->default_value("127.0.0.1:7200"));
    add("hosts-lag", "delay until a new host list is visible, ms", cxxopts::value<std::int64_t>()->default_value("0"));
    add("weight-bytes", "size of a weight file", cxxopts::value<std::size_t>()->default_value("8388608"));
    add("weight-rate", "total rate of weight reads, bytes/s",
        cxxopts::value<std::uint64_t>()->default_value("16777216"));
    add("help", "show this text");
    const cxxopts::ParseResult parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
        std::cout << options.help();
        return 0;
    }
    KeyValueApi keyValueApi;
    HostList hosts(Millis(parsed["hosts-lag"].as<std::int64_t>()));
    SharedLink weightLink(parsed["weight-rate"].as<std::uint64_t>());
    CallCounts counts;
    EmuServer server({},
                     [&keyValueApi, &hosts](const Fault &fault) { return applyStateFault(fault, keyValueApi, hosts); });
    server.setCallCounter([&counts](const std::string &path) { counts.add(path); });
    keyValueApi.start(server);
    server.addRoute("GET", "/v1/hosts",
                    [&hosts](const auto &, auto &response) { answerJson(response, 200, hosts.visibleList()); });
    server.addRouteWithoutFaults("PUT", "/v1/hosts", [&hosts](const auto &request, auto &response) {
        const nlohmann::json body = parseJsonObject(request.body);
        answerJson(response, 200, {{"version", hosts.set(body.value("hosts", nlohmann::json::array()))}});
    });
    server.addRoute("GET", "/v1/weights/.+", [&](const auto &, auto &response) {
        sendWeights(weightLink, parsed["weight-bytes"].as<std::size_t>(), response);
    });
    server.addRouteWithoutFaults(
        "GET", "/counts", [&counts](const auto &, auto &response) { answerJson(response, 200, counts.report()); });
    return server.run(parsed["listen"].as<std::string>()) ? 0 : 1;
}

}
