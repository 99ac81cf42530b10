#include "callrecords.h"
#include "fakekeyvalue.h"

#include "cyclamencross/base/metrics.h"

#include <deque>
#include <set>

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace Cyclamen;

namespace
{

CallRecord wantedBy(const std::string &attempt)
{
    return CallRecord{"field-desk", "booking/1", attempt, "entry-" + attempt, 7, "127.0.0.1:1", false, 0, "hash"};
}

// Returns the record that stands, or nothing if the service was unavailable.
std::optional<CallRecord> create(CallRecords &records, const CallRecord &wanted, TimePoint now = TimePoint())
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<CallRecord>> {
            BOOST_LEAF_AUTO(record, records.create(wanted, now));
            return std::optional(record);
        },
        [](const KeyValueUnavailable &) { return std::optional<CallRecord>(); },
        []() -> std::optional<CallRecord> { throw std::logic_error("failure of another type"); });
}

}

// Guards against a call that runs twice: however requests and answers are lost and however attempts are interleaved,
// at most one attempt is told that the record is its own, and all are told the same owner.
TEST_CASE("at most one attempt owns the record of a call")
{
    CHECK(rc::check([] {
        FakeKeyValue service;
        Metrics metrics;
        KeyValueClient client(service.call(), metrics);
        const auto faults = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 3));
        std::deque<int> pending(faults.begin(), faults.end());
        service.nextFault = [&pending] {
            const int fault = pending.empty() ? 0 : pending.front();
            if (!pending.empty()) {
                pending.pop_front();
            }
            return static_cast<FakeKeyValue::Fault>(fault);
        };
        const int entries = *rc::gen::inRange(2, 5);
        std::vector<std::unique_ptr<CallRecords>> records;
        for (int i = 0; i < entries; ++i) {
            records.push_back(std::make_unique<CallRecords>(client));
        }
        std::set<std::string> told;
        const auto order = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, entries));
        for (const int entry : order) {
            // Another attempt may get in between the start and the end of this one.
            service.beforeTxn = [&] {
                const auto record = create(*records[0], wantedBy("0"));
                if (record) {
                    told.insert(record->attempt);
                }
            };
            const auto record = create(*records[entry], wantedBy(std::to_string(entry)));
            if (record) {
                told.insert(record->attempt);
            }
        }
        RC_ASSERT(told.size() <= 1U);
        for (const std::string &owner : told) {
            CallRecord done = wantedBy(owner);
            done.finished = true;
            done.status = 201;
            pending.clear();
            const auto finished = records[0]->finish(done);
            RC_ASSERT(finished && *finished);
            RC_ASSERT(CallRecords::fromText(service.entries.at(CallRecords::storageKey(done)).value) == done);
        }
    }));
}

// Guards against a lost answer that makes the owner believe that somebody else runs the call.
TEST_CASE("a lost answer is resolved by the attempt id")
{
    FakeKeyValue service;
    Metrics metrics;
    KeyValueClient client(service.call(), metrics);
    CallRecords records(client);
    int call = 0;
    service.nextFault = [&call] { return ++call == 2 ? FakeKeyValue::Fault::AnswerLost : FakeKeyValue::Fault::None; };
    CHECK(create(records, wantedBy("a")) == wantedBy("a"));
    CHECK(create(records, wantedBy("b")) == wantedBy("a"));
    service.nextFault = [] { return FakeKeyValue::Fault::RequestLost; };
    CHECK(create(records, wantedBy("c")) == std::nullopt);
}

// Guards against one lease per call, against records that expire before their 24 hours, and against calls that fail
// for ever once the service has lost the lease.
TEST_CASE("calls of an hour share a lease that is replaced when it is gone")
{
    FakeKeyValue service;
    Metrics metrics;
    KeyValueClient client(service.call(), metrics);
    CallRecords records(client);
    auto next = [number = 0]() mutable {
        CallRecord wanted = wantedBy("a" + std::to_string(++number));
        wanted.key = std::to_string(number);
        return wanted;
    };
    const TimePoint start{};
    CHECK(create(records, next(), start));
    CHECK(create(records, next(), start + std::chrono::minutes(59)));
    REQUIRE(service.leases.size() == 1);
    CHECK(service.leases.begin()->second >= 25 * 3600);
    CHECK(create(records, next(), start + std::chrono::minutes(60)));
    CHECK(service.leases.size() == 2);
    service.leases.clear();
    CHECK(create(records, next(), start + std::chrono::minutes(61)));
    CHECK(service.leases.size() == 1);
    CHECK(metrics.text().find("cyclamencross_keyvalue_calls_total{kind=\"lease-grant\"} 3") != std::string::npos);
}

// Guards against two callers whose names put together read the same and who would block each other's calls.
TEST_CASE("no two records share a storage key")
{
    CHECK(rc::check([](const std::string &a, const std::string &b, const std::string &c, const std::string &d) {
        CallRecord one;
        one.workspace = a;
        one.key = b;
        CallRecord two;
        two.workspace = c;
        two.key = d;
        RC_ASSERT((CallRecords::storageKey(one) == CallRecords::storageKey(two)) == (a == c && b == d));
    }));
    CallRecord slash = wantedBy("x");
    slash.workspace = "a/b";
    slash.key = "c";
    CHECK(CallRecords::storageKey(slash) == "/cyclamencross/calls/a%2fb/c");
}
