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

CallRecord recordOf(const std::string &attempt)
{
    return CallRecord{"field-desk", "booking/1", attempt, "entry-" + attempt, 7, "127.0.0.1:1", false, 0, "hash"};
}

// Returns the stored record, or nothing if the service was unavailable.
std::optional<CallRecord> create(CallRecords &records, const CallRecord &proposed, TimePoint now = TimePoint())
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<CallRecord>> {
            BOOST_LEAF_AUTO(record, records.create(proposed, now));
            return std::optional(record);
        },
        [](const KeyValueUnavailable &) { return std::optional<CallRecord>(); },
        []() -> std::optional<CallRecord> { throw std::logic_error("failure of another type"); });
}

}

// Guards against a call that runs twice because two attempts both own its record. With any loss of requests and
// responses and any interleaving of attempts, all attempts must be told the same owner.
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
        std::set<std::string> reportedOwners;
        const auto order = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, entries));
        for (const int entry : order) {
            // Another attempt creates the record between the start and the end of this one.
            service.beforeTxn = [&] {
                const auto record = create(*records[0], recordOf("0"));
                if (record) {
                    reportedOwners.insert(record->attempt);
                }
            };
            const auto record = create(*records[entry], recordOf(std::to_string(entry)));
            if (record) {
                reportedOwners.insert(record->attempt);
            }
        }
        RC_ASSERT(reportedOwners.size() <= 1U);
        for (const std::string &owner : reportedOwners) {
            CallRecord done = recordOf(owner);
            done.finished = true;
            done.status = 201;
            pending.clear();
            const auto finished = records[0]->finish(done);
            RC_ASSERT(finished && *finished);
            RC_ASSERT(CallRecords::fromText(service.entries.at(CallRecords::storageKey(done)).value) == done);
        }
    }));
}

// Guards against an owner that takes its own record for another attempt's after a response was lost.
TEST_CASE("a lost response is resolved by the attempt id")
{
    FakeKeyValue service;
    Metrics metrics;
    KeyValueClient client(service.call(), metrics);
    CallRecords records(client);
    int call = 0;
    service.nextFault = [&call] { return ++call == 2 ? FakeKeyValue::Fault::ResponseLost : FakeKeyValue::Fault::None; };
    CHECK(create(records, recordOf("a")) == recordOf("a"));
    CHECK(create(records, recordOf("b")) == recordOf("a"));
    service.nextFault = [] { return FakeKeyValue::Fault::RequestLost; };
    CHECK(create(records, recordOf("c")) == std::nullopt);
}

// Guards against one lease per call, against records that expire within 24 hours, and against calls that keep failing
// after the service has lost the lease.
TEST_CASE("calls within an hour share a lease, which is replaced if it is lost")
{
    FakeKeyValue service;
    Metrics metrics;
    KeyValueClient client(service.call(), metrics);
    CallRecords records(client);
    auto next = [number = 0]() mutable {
        CallRecord proposed = recordOf("a" + std::to_string(++number));
        proposed.key = std::to_string(number);
        return proposed;
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

// Guards against callers that block each other's calls because the concatenations of workspace and key are equal.
TEST_CASE("different records never share a storage key")
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
    CallRecord slash = recordOf("x");
    slash.workspace = "a/b";
    slash.key = "c";
    CHECK(CallRecords::storageKey(slash) == "/cyclamencross/calls/a%2fb/c");
}
