#include "caller.h"
#include "commands.h"
#include "growingthreadpool.h"
#include "loadoptions.h"
#include "loadreport.h"
#include "requestplanner.h"

#include <atomic>
#include <fstream>
#include <iostream>
#include <thread>

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

namespace Cyclamen
{

namespace
{

constexpr Millis FinishPollPeriod{20};

cxxopts::Options commandLineOptions()
{
    const auto number = [](const char *text) { return cxxopts::value<double>()->default_value(text); };
    const auto integer = [](const char *text) { return cxxopts::value<std::int64_t>()->default_value(text); };
    const auto text = [](const char *defaultValue) {
        return cxxopts::value<std::string>()->default_value(defaultValue);
    };
    cxxopts::Options options("cyclamencross-emu load", "Sends requests at a given rate.");
    auto add = options.add_options();
    add("entries", "addresses of the entries, separated by commas", cxxopts::value<std::vector<std::string>>());
    add("rate", "new requests per second, without retries", number("5"));
    add("duration", "time during which requests arrive, s", number("10"));
    add("seed", "seed of all random choices", integer("1"));
    add("model", "name of the model", text("model"));
    add("prompt-min", "shortest prompt, tokens", number("100"));
    add("prompt-max", "longest prompt, tokens", number("4000"));
    add("output-min", "shortest answer, tokens", number("16"));
    add("output-max", "longest answer, tokens", number("64"));
    add("workspaces", "number of workspaces", integer("5"));
    add("prefix-share", "share of prompts with a shared prefix", number("0.5"));
    add("cancel-share", "share of streams cancelled", number("0"));
    add("service", "name of a plain service", text(""));
    add("service-share", "share of service calls", number("0"));
    add("key-share", "share of service calls with an Idempotency-Key", number("0.5"));
    add("ticket-share", "share of calls with a key whose key is a ticket", number("0"));
    add("resend-share", "share of calls with a key that are sent again", number("0"));
    add("retries", "further attempts after a failed or late one", integer("0"));
    add("retry-delay", "mean wait before a retry, ms", integer("100"));
    add("patience", "an attempt is late if no data arrives for this time, ms", integer("30000"));
    add("first-target", "target for the first output, ms", integer("420"));
    add("between-target", "target between outputs, ms", integer("74"));
    add("max-in-progress", "limit of requests in progress", integer("2000"));
    add("report", "file for the report; standard output if empty", text(""));
    add("help", "show this text");
    return options;
}

LoadOptions loadOptions(const cxxopts::ParseResult &parsed)
{
    const auto number = [&parsed](const char *name) { return parsed[name].as<double>(); };
    const auto integer = [&parsed](const char *name) { return parsed[name].as<std::int64_t>(); };
    LoadOptions options;
    options.entries = parsed["entries"].as<std::vector<std::string>>();
    options.rate = number("rate");
    options.duration = number("duration");
    options.seed = static_cast<std::uint64_t>(integer("seed"));
    options.model = parsed["model"].as<std::string>();
    options.promptMin = number("prompt-min");
    options.promptMax = number("prompt-max");
    options.outputMin = number("output-min");
    options.outputMax = number("output-max");
    options.workspaces = static_cast<std::size_t>(integer("workspaces"));
    options.prefixShare = number("prefix-share");
    options.cancelShare = number("cancel-share");
    options.service = parsed["service"].as<std::string>();
    options.serviceShare = number("service-share");
    options.keyShare = number("key-share");
    options.ticketShare = number("ticket-share");
    options.resendShare = number("resend-share");
    options.retries = static_cast<int>(integer("retries"));
    options.retryDelay = Millis(integer("retry-delay"));
    options.readTimeout = Millis(integer("patience"));
    options.firstOutputTarget = Millis(integer("first-target"));
    options.outputGapTarget = Millis(integer("between-target"));
    options.maxInProgress = static_cast<std::size_t>(integer("max-in-progress"));
    return options;
}

// Open loop: requests are sent at their arrival times without waiting for answers, so that a slow fleet gets the same
// rate of new requests as a fast one.
void sendRequests(const LoadOptions &options, LoadReport &report)
{
    GrowingThreadPool pool(options.maxInProgress);
    std::atomic<std::size_t> inProgress{0};
    RequestPlanner planner(options);
    const TimePoint start = Clock::now();
    while (const auto plan = planner.next()) {
        std::this_thread::sleep_until(start + plan->arrival);
        if (inProgress.load() >= options.maxInProgress) {
            report.addUnsent();
            continue;
        }
        inProgress.fetch_add(1);
        pool.enqueue([&options, &report, &inProgress, start, plan = *plan] {
            report.add(Caller(options, plan, start).run());
            inProgress.fetch_sub(1);
        });
    }
    while (inProgress.load() > 0) {
        std::this_thread::sleep_for(FinishPollPeriod);
    }
}

}

int runLoad(int argc, char **argv)
{
    cxxopts::Options parser = commandLineOptions();
    const cxxopts::ParseResult parsed = parser.parse(argc, argv);
    if (parsed.count("help") > 0 || parsed.count("entries") == 0) {
        std::cout << parser.help();
        return parsed.count("help") > 0 ? 0 : 2;
    }
    const LoadOptions options = loadOptions(parsed);
    LoadReport report(options);
    sendRequests(options, report);
    const std::string file = parsed["report"].as<std::string>();
    const std::string text = report.toJson().dump(1) + "\n";
    if (file.empty()) {
        std::cout << text;
        return 0;
    }
    return (std::ofstream(file) << text) ? 0 : 1;
}

}
