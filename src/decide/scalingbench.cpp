#include "scalingbench.h"

#include "cyclamencross/base/hash.h"
#include "cyclamencross/decide/crashledger.h"
#include "cyclamencross/decide/enginechoice.h"
#include "cyclamencross/decide/engineowner.h"
#include "cyclamencross/decide/enginescheduler.h"

#include <cstddef>
#include <cstdio>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <malloc.h>

namespace Cyclamen
{

namespace
{

constexpr std::uint32_t Slots = 20;
constexpr std::int64_t Now = 1000000; // Unix seconds

std::size_t allocatedBytes()
{
    return mallinfo2().uordblks;
}

// Returns the mean time of one call of action in microseconds, over the given number of calls.
double microsPerCall(int times, const std::function<void(int)> &action)
{
    const TimePoint start = Clock::now();
    for (int i = 0; i < times; ++i) {
        action(i);
    }
    return std::chrono::duration<double, std::micro>(Clock::now() - start).count() / times;
}

void printRow(const char *description, std::size_t size, double bytes, double micros)
{
    std::printf("| %s | %zu | %.0f | %.2f |\n", description, size, bytes, micros);
}

std::string requestId(std::size_t n)
{
    return "entry-012.0123456789abcdef." + std::to_string(n);
}

SlotAsk makeRequest(std::size_t n, Millis maxWait)
{
    return {requestId(n), "10.11.12.13:8000", "workspace-" + std::to_string(n % 350), 1, 1, 0, maxWait, n + 1};
}

std::vector<Member> makeMembers(std::size_t count)
{
    std::vector<Member> members(count);
    for (std::size_t i = 0; i < count; ++i) {
        members[i].name = "entry-" + std::to_string(i);
        members[i].zone = "zone-" + std::to_string(i % 13);
        members[i].region = "region-" + std::to_string(i % 6);
        members[i].callerAddress = members[i].adminAddress = members[i].gossipAddress = "10.11.12.13:8000";
    }
    return members;
}

std::vector<Backend> makeEngines(std::size_t count)
{
    std::vector<Backend> engines(count);
    for (std::size_t i = 0; i < count; ++i) {
        engines[i].address = "10.11." + std::to_string(i / 250) + "." + std::to_string(i % 250) + ":8000";
        engines[i].zone = "zone-" + std::to_string(i % 13);
        engines[i].model = "draft-llm";
    }
    return engines;
}

void measureSchedulers()
{
    const TimePoint now = Clock::now();
    std::vector<std::string> held;
    for (std::size_t i = 0; i < Slots; ++i) {
        held.push_back(requestId(i));
    }
    for (const std::size_t count : {10U, 100U, 1000U}) {
        const std::size_t before = allocatedBytes();
        std::vector<EngineScheduler> schedulers;
        schedulers.reserve(count);
        for (std::size_t i = 0; i < count; ++i) {
            schedulers.emplace_back("10.11.12.13:8000");
            schedulers.back().applyReport({"", Slots, Slots, 0, 0, now}, held, now);
        }
        const double bytes = static_cast<double>(allocatedBytes() - before) / static_cast<double>(count);
        const double micros = microsPerCall(20000, [&](int i) {
            schedulers[static_cast<std::size_t>(i) % count].applyReport({"", Slots, Slots, 0, 0, now}, held, now);
        });
        printRow("owned engine with 20 requests: memory, time of a full report", count, bytes, micros);
    }
}

void measureQueue()
{
    const TimePoint now = Clock::now();
    for (const std::size_t waiting : {0U, 16U, 64U, 128U}) {
        EngineScheduler scheduler("10.11.12.13:8000");
        scheduler.applyReport({"", Slots, 0, 0, 0, now}, {}, now);
        for (std::size_t i = 0; i < Slots; ++i) {
            scheduler.submit(makeRequest(i, Millis(1000)), now);
        }
        scheduler.decide(now);
        const std::size_t before = allocatedBytes();
        for (std::size_t i = 0; i < waiting; ++i) {
            scheduler.submit(makeRequest(100 + i, Millis(1000)), now);
        }
        const double bytes = static_cast<double>(allocatedBytes() - before) / std::max<double>(1, double(waiting));
        // The queue keeps its length: each round releases one grant and submits one slot request.
        std::vector<std::string> granted;
        for (std::size_t i = 0; i < Slots; ++i) {
            granted.push_back(requestId(i));
        }
        std::size_t next = 1000;
        std::size_t index = 0;
        const double micros = microsPerCall(2000, [&](int) {
            scheduler.release(granted[index], now);
            scheduler.submit(makeRequest(next++, Millis(1000)), now);
            for (const auto &decision : scheduler.decide(now)) {
                granted[index] = decision.request.requestId;
            }
            index = (index + 1) % Slots;
        });
        printRow("waiting ask: memory, time of release, ask and decision", waiting, bytes, micros);
    }
}

void measureCrashes()
{
    for (const std::size_t count : {100U, 1000U, 10000U}) {
        const std::size_t before = allocatedBytes();
        CrashLedger crashes;
        const double micros = microsPerCall(static_cast<int>(count), [&](int i) {
            crashes.add({hash64(std::to_string(i)), "10.11.12.13:8000", "entry-012", Now});
        });
        const double bytes = static_cast<double>(allocatedBytes() - before) / static_cast<double>(count);
        printRow("crash record: memory, time of adding", count, bytes, micros);
        std::size_t contained = 0;
        const double check = microsPerCall(
            20000, [&](int i) { contained += crashes.isContained(hash64(std::to_string(i)), Now) ? 1 : 0; });
        printRow("crash record: time of checking a request", count, static_cast<double>(contained), check);
    }
}

void measureOwners()
{
    for (const std::size_t count : {16U, 160U, 670U}) {
        const std::size_t before = allocatedBytes();
        const auto members = makeMembers(count);
        const double bytes = static_cast<double>(allocatedBytes() - before) / static_cast<double>(count);
        const auto engines = makeEngines(count * 5800 / 670);
        std::size_t sink = 0;
        const double first = microsPerCall(2000, [&](int i) {
            sink += firstOwners(engines[static_cast<std::size_t>(i) % engines.size()], members, 3).size();
        });
        printRow("member: memory, time of finding three owners of an engine", count, bytes, first);
        const double all = microsPerCall(20, [&](int) { sink += ownedEngines("entry-7", engines, members).size(); });
        printRow("engine: time of finding all owned ones", engines.size(), sink > 0 ? 0 : 1, all);
    }
}

void measureRanking()
{
    std::mt19937_64 random(1);
    const LoadLookup load = [](const std::string &engine) {
        return EngineLoad{engine, Slots, static_cast<std::uint32_t>(engine.size() % Slots), 100, 1e5, {}};
    };
    for (const std::size_t count : {12U, 100U, 1450U}) {
        const auto engines = makeEngines(count);
        std::size_t sink = 0;
        const double micros =
            microsPerCall(200, [&](int) { sink += rankPrefill(engines, load, 1000, std::nullopt, random).size(); });
        printRow("candidate engine: time of ranking", count, sink > 0 ? 0 : 1, micros);
    }
}

}

void printScalingCosts()
{
    std::printf("| what | size | bytes each | microseconds per call |\n|---|---|---|---|\n");
    measureSchedulers();
    measureQueue();
    measureCrashes();
    measureOwners();
    measureRanking();
}

}
