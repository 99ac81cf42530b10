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

constexpr std::size_t WeightChunk = 64U << 10U;

void sendWeights(SharedLink &link, std::size_t size, httplib::Response &response)
{
    response.set_content_provider(size, "application/octet-stream",
                                  [&link](std::size_t /*offset*/, std::size_t length, httplib::DataSink &sink) {
                                      static const std::string Zeros(WeightChunk, '\0');
                                      const std::size_t chunk = std::min(length, WeightChunk);
                                      link.pass(chunk);
                                      return sink.write(Zeros.data(), chunk);
                                  });
}

// Faults that change the platform's state at once instead of waiting for a request.
bool applyFault(const Fault &fault, KeyValueApi &keys, HostList &hosts)
{
    if (fault.kind == "compact") {
        keys.compact();
    } else if (fault.kind == "save-state") {
        keys.saveState();
    } else if (fault.kind == "restore-state") {
        return keys.restoreState();
    } else if (fault.kind == "stale-hosts") {
        hosts.freeze(fault.times != 0);
    } else {
        return false;
    }
    return true;
}

}

int runPlatform(int argc, char **argv)
{
    cxxopts::Options options("cyclamencross-emu platform", "Stand-in for the key-value service and the host list.");
    auto add = options.add_options();
    add("listen", "address, IP:PORT", cxxopts::value<std::string>()->default_value("127.0.0.1:7200"));
    add("hosts-lag", "delay of a new host list, ms", cxxopts::value<std::int64_t>()->default_value("0"));
    add("weight-bytes", "size of a weight file", cxxopts::value<std::size_t>()->default_value("8388608"));
    add("weight-rate", "all weight reads, bytes/s", cxxopts::value<std::uint64_t>()->default_value("16777216"));
    add("help", "show this text");
    const cxxopts::ParseResult given = options.parse(argc, argv);
    if (given.count("help") > 0) {
        std::cout << options.help();
        return 0;
    }
    KeyValueApi keys;
    HostList hosts(Millis(given["hosts-lag"].as<std::int64_t>()));
    SharedLink weightLink(given["weight-rate"].as<std::uint64_t>());
    CallCounts counts;
    EmuServer server({}, [&keys, &hosts](const Fault &fault) { return applyFault(fault, keys, hosts); });
    server.countCalls([&counts](const std::string &path) { counts.add(path); });
    keys.start(server);
    server.route("GET", "/v1/hosts",
                 [&hosts](const auto &, auto &response) { answerJson(response, 200, hosts.visible()); });
    server.plainRoute("PUT", "/v1/hosts", [&hosts](const auto &request, auto &response) {
        const nlohmann::json body = parseJson(request.body);
        answerJson(response, 200, {{"version", hosts.set(body.value("hosts", nlohmann::json::array()))}});
    });
    server.route("GET", "/v1/weights/.+", [&](const auto &, auto &response) {
        sendWeights(weightLink, given["weight-bytes"].as<std::size_t>(), response);
    });
    server.plainRoute("GET", "/counts",
                      [&counts](const auto &, auto &response) { answerJson(response, 200, counts.report()); });
    return server.run(given["listen"].as<std::string>()) ? 0 : 1;
}

}
