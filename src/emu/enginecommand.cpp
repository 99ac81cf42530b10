#include "commands.h"
#include "decodeengine.h"
#include "emuserver.h"
#include "engineoptions.h"
#include "engineorders.h"
#include "jsonbody.h"
#include "laggedreport.h"
#include "prefillengine.h"

#include <iostream>

#include <cxxopts.hpp>

namespace Cyclamen
{

namespace
{

cxxopts::Options commandLineOptions()
{
    cxxopts::Options options("cyclamencross-emu engine", "Emulates a prefill or decode engine.");
    auto add = options.add_options();
    add("listen", "address, IP:PORT", cxxopts::value<std::string>()->default_value("127.0.0.1:7000"));
    add("role", "prefill or decode", cxxopts::value<std::string>()->default_value("decode"));
    add("model", "name of the model", cxxopts::value<std::string>()->default_value("model"));
    add("slots", "requests that the memory holds", cxxopts::value<std::size_t>()->default_value("20"));
    add("micros-per-token", "prefill cost of an uncached token, us", cxxopts::value<double>()->default_value("40"));
    add("pace", "time between outputs of a single stream, us", cxxopts::value<std::int64_t>()->default_value("20000"));
    add("pace-slope", "added to the pace for each further stream, us",
        cxxopts::value<std::int64_t>()->default_value("1000"));
    add("result-ttl", "time until an unused prefill result is evicted, ms",
        cxxopts::value<std::int64_t>()->default_value("800"));
    add("kv-bytes-per-token", "size of a result", cxxopts::value<std::uint64_t>()->default_value("64"));
    add("link-rate", "KV pulls, bytes/s, 0 for no limit", cxxopts::value<std::uint64_t>()->default_value("209715200"));
    add("cache-bytes", "memory of the prefix cache", cxxopts::value<std::size_t>()->default_value("1048576"));
    add("event-lag", "delay of cache events, ms", cxxopts::value<std::int64_t>()->default_value("300"));
    add("event-loss", "share of lost cache events", cxxopts::value<double>()->default_value("0.02"));
    add("load-lag", "refresh interval of the load report, ms", cxxopts::value<std::int64_t>()->default_value("100"));
    add("resume-keep", "how long a broken stream stays resumable, ms",
        cxxopts::value<std::int64_t>()->default_value("3000"));
    add("order-time", "time until an order takes effect, ms", cxxopts::value<std::int64_t>()->default_value("300"));
    add("fencing", "check or ignore fencing tokens of orders", cxxopts::value<std::string>()->default_value("check"));
    add("seed", "seed of the lost cache events", cxxopts::value<std::uint64_t>()->default_value("1"));
    add("help", "show this text");
    return options;
}

EngineOptions engineOptions(const cxxopts::ParseResult &parsed)
{
    EngineOptions options;
    options.listen = parsed["listen"].as<std::string>();
    options.role = parsed["role"].as<std::string>();
    options.model = parsed["model"].as<std::string>();
    options.slots = parsed["slots"].as<std::size_t>();
    options.microsPerToken = parsed["micros-per-token"].as<double>();
    options.pace = Micros(parsed["pace"].as<std::int64_t>());
    options.paceSlope = Micros(parsed["pace-slope"].as<std::int64_t>());
    options.resultTtl = Millis(parsed["result-ttl"].as<std::int64_t>());
    options.kvBytesPerToken = parsed["kv-bytes-per-token"].as<std::uint64_t>();
    options.linkRate = parsed["link-rate"].as<std::uint64_t>();
    options.cacheBytes = parsed["cache-bytes"].as<std::size_t>();
    options.eventLag = Millis(parsed["event-lag"].as<std::int64_t>());
    options.eventLoss = parsed["event-loss"].as<double>();
    options.loadLag = Millis(parsed["load-lag"].as<std::int64_t>());
    options.resumeKeep = Millis(parsed["resume-keep"].as<std::int64_t>());
    options.orderTime = Millis(parsed["order-time"].as<std::int64_t>());
    options.checkFencing = parsed["fencing"].as<std::string>() == "check";
    options.seed = parsed["seed"].as<std::uint64_t>();
    return options;
}

template<typename Engine>
int serve(const EngineOptions &options)
{
    EmuServer server({"crossed", "cut", "gap", "no-end", "slow-output"}, [](const Fault &) { return false; });
    Engine engine(options);
    EngineOrders orders(options);
    LaggedReport report(options.loadLag, [&engine] { return engine.load(); });
    engine.start(server);
    server.addRoute("POST", "/v1/orders",
                    [&orders](const auto &request, auto &response) { orders.handleOrder(request, response); });
    server.addRoute("GET", "/v1/load", [&](const auto &, auto &response) {
        nlohmann::json body = report.latest();
        body["slots"] = options.slots;
        body["role"] = orders.role();
        body["model"] = orders.model();
        answerJson(response, 200, body);
    });
    server.addRoute("GET", "/v1/requests", [&engine](const auto &, auto &response) {
        answerJson(response, 200, {{"requests", engine.requests()}});
    });
    server.addRouteWithoutFaults(
        "GET", "/counts", [&engine](const auto &, auto &response) { answerJson(response, 200, engine.counts()); });
    return server.run(options.listen) ? 0 : 1;
}

}

int runEngine(int argc, char **argv)
{
    cxxopts::Options options = commandLineOptions();
    const cxxopts::ParseResult parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
        std::cout << options.help();
        return 0;
    }
    const EngineOptions engine = engineOptions(parsed);
    return engine.role == "prefill" ? serve<PrefillEngine>(engine) : serve<DecodeEngine>(engine);
}

}
