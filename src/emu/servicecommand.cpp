#include "commands.h"
#include "emuserver.h"
#include "executioncounts.h"
#include "jsonbody.h"

#include <algorithm>
#include <iostream>
#include <thread>

#include <cxxopts.hpp>

namespace Cyclamen
{

int runService(int argc, char **argv)
{
    cxxopts::Options options("cyclamencross-emu service", "Emulates a plain service.");
    auto add = options.add_options();
    add("listen", "address, IP:PORT", cxxopts::value<std::string>()->default_value("127.0.0.1:7100"));
    add("name", "name in the answers", cxxopts::value<std::string>()->default_value("service"));
    add("delay", "time per execution, ms", cxxopts::value<std::int64_t>()->default_value("0"));
    add("help", "show this text");
    const cxxopts::ParseResult parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
        std::cout << options.help();
        return 0;
    }
    const std::string name = parsed["name"].as<std::string>();
    const Millis delay(parsed["delay"].as<std::int64_t>());
    EmuServer server({}, [](const Fault &) { return false; });
    ExecutionCounts counts;
    server.addRouteWithoutFaults(
        "GET", "/counts", [&counts](const auto &, auto &response) { answerJson(response, 200, counts.report()); });
    server.addRoute("*", "/.*", [&](const auto &request, auto &response) {
        const std::string key = request.get_header_value("Idempotency-Key");
        const std::uint64_t execution = counts.add(request.method, request.path, key);
        std::this_thread::sleep_for(delay);
        const std::size_t padding = std::strtoull(request.get_param_value("bytes").c_str(), nullptr, 10);
        answerJson(response, 200,
                   {{"service", name},
                    {"method", request.method},
                    {"path", request.path},
                    {"key", key},
                    {"execution", execution},
                    {"body_bytes", request.body.size()},
                    {"padding", std::string(std::min<std::size_t>(padding, 16U << 20U), 'x')}});
    });
    return server.run(parsed["listen"].as<std::string>()) ? 0 : 1;
}

}
