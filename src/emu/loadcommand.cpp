#include "caller.h"
#include "commands.h"
#include "growingpool.h"
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

cxxopts::Options flags()
{
    const auto number = [](const char *text) { return cxxopts::value<double>()->default_value(text); };
    const auto integer = [](const char *text) { return cxxopts::value<std::int64_t>()->default_value(text); };
    const auto text = [](const char *initial) { return cxxopts::value<std::string>()->default_value(initial); };
    cxxopts::Options options("cyclamencross-emu load", "Callers that send requests at a given rate.");
    auto add = options.add_options();
    add("entries", "addresses of the entries, separated by commas", cxxopts::value<std::vector<std::string>>());
    add("rate", "fresh requests per second", number("5"));
    add("duration", "time during which requests arrive, s", number("10"));
    add("seed", "of all random choices", integer("1"));
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
    add("ticket-share", "share of those whose key is a ticket", number("0"));
    add("resend-share", "share of calls with a key that are sent again", number("0"));
    add("retries", "further attempts after a refusal or a late answer", integer("0"));
    add("retry-delay", "mean wait before a retry, ms", integer("100"));
    add("patience", "an attempt is late when nothing comes for this time, ms", integer("30000"));
    add("first-target", "target for the first output, ms", integer("420"));
    add("between-target", "target between outputs, ms", integer("74"));
    add("max-in-progress", "limit of requests in progress", integer("2000"));
    add("report", "file for the report; standard output if empty", text(""));
    add("help", "show this text");
    return options;
}

LoadOptions loadOptions(const cxxopts::ParseResult &given)
{
    const auto number = [&given](const char *name) { return given[name].as<double>(); };
    const auto integer = [&given](const char *name) { return given[name].as<std::int64_t>(); };
    LoadOptions options;
    options.entries = given["entries"].as<std::vector<std::string>>();
    options.rate = number("rate");
    options.duration = number("duration");
    options.seed = static_cast<std::uint64_t>(integer("seed"));
    options.model = given["model"].as<std::string>();
    options.promptMin = number("prompt-min");
    options.promptMax = number("prompt-max");
    options.outputMin = number("output-min");
    options.outputMax = number("output-max");
    options.workspaces = static_cast<std::size_t>(integer("workspaces"));
    options.prefixShare = number("prefix-share");
    options.cancelShare = number("cancel-share");
    options.service = given["service"].as<std::string>();
    options.serviceShare = number("service-share");
    options.keyShare = number("key-share");
    options.ticketShare = number("ticket-share");
    options.resendShare = number("resend-share");
    options.retries = static_cast<int>(integer("retries"));
    options.retryDelay = Millis(integer("retry-delay"));
    options.patience = Millis(integer("patience"));
    options.firstTarget = Millis(integer("first-target"));
    options.betweenTarget = Millis(integer("between-target"));
    options.maxInProgress = static_cast<std::size_t>(integer("max-in-progress"));
    return options;
}

// The arrivals don't wait for answers: a slow fleet gets the same rate of fresh requests as a fast one.
void sendAll(const LoadOptions &options, LoadReport &report)
{
    GrowingPool pool(options.maxInProgress);
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
    cxxopts::Options parser = flags();
    const cxxopts::ParseResult given = parser.parse(argc, argv);
    if (given.count("help") > 0 || given.count("entries") == 0) {
        std::cout << parser.help();
        return given.count("help") > 0 ? 0 : 2;
    }
    const LoadOptions options = loadOptions(given);
    LoadReport report(options);
    sendAll(options, report);
    const std::string file = given["report"].as<std::string>();
    const std::string text = report.toJson().dump(1) + "\n";
    if (file.empty()) {
        std::cout << text;
        return 0;
    }
    return (std::ofstream(file) << text) ? 0 : 1;
}

}
