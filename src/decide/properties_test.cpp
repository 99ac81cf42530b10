#include "cyclamencross/decide/crashledger.h"
#include "cyclamencross/decide/requeststate.h"

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <vector>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace Cyclamen;

namespace
{

std::vector<std::uint32_t> randomSteps()
{
    return *rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange<std::uint32_t>(0, 1U << 20U));
}

}

// Guards against a request wrongly reported as not run when rejections of one attempt arrive late or twice while
// another attempt may be running.
TEST_CASE("not-run is reported only if every attempt was rejected")
{
    CHECK(rc::check("request state under reordered and duplicated rejections", [] {
        RequestState state;
        std::set<int> mayHaveRun;
        std::vector<int> rejections; // sent, and delivered any number of times
        bool worked = false;
        bool answered = false;
        for (const std::uint32_t step : randomSteps()) {
            switch (step % 8) {
            case 0:
            case 1:
                mayHaveRun.insert(state.dispatch());
                break;
            case 2:
                if (!mayHaveRun.empty()) {
                    rejections.push_back(*std::next(mayHaveRun.begin(), step / 8 % mayHaveRun.size()));
                }
                break;
            case 3:
            case 4:
            case 5:
                if (!rejections.empty()) {
                    const int attempt = rejections.at(step / 8 % rejections.size());
                    state.rejectedByBackend(attempt);
                    mayHaveRun.erase(attempt);
                }
                break;
            case 6:
                if (step % 32 == 6) {
                    state.workDone();
                    worked = true;
                }
                break;
            default:
                if (step % 64 == 7) {
                    state.answering();
                    answered = true;
                }
            }
            const RunOutcome outcome = state.outcomeOnFailure();
            RC_ASSERT((outcome == RunOutcome::NotRun) == (mayHaveRun.empty() && !worked && !answered));
            RC_ASSERT((outcome == RunOutcome::Failed) == (worked || answered));
            RC_ASSERT(outcome != RunOutcome::Done);
        }
        state.complete();
        RC_ASSERT(state.outcomeOnFailure() == RunOutcome::Done);
    }));
}

// Guards against entries that refuse different requests because gossip reached them in a different order, and against a
// lifted containment that a late duplicate of a record restores.
TEST_CASE("crash ledgers agree for any order of records and lifts")
{
    CHECK(rc::check("crash ledger under reordered and duplicated records", [] {
        constexpr std::int64_t Now = 10000;
        struct Message
        {
            bool isLift = false;
            CrashReport report;
        };
        std::vector<Message> messages;
        std::map<std::uint64_t, std::int64_t> lifted;
        for (const std::uint32_t step : randomSteps()) {
            Message message;
            message.isLift = step % 8 == 0;
            message.report.fingerprint = step / 8 % 3;
            message.report.backend = step / 24 % 2 == 0 ? "a" : "b";
            message.report.unixTime = Now - 1000 + step / 48 % 1000;
            if (message.isLift) {
                std::int64_t &mark = lifted[message.report.fingerprint];
                mark = std::max(mark, message.report.unixTime);
            }
            messages.push_back(message);
        }
        std::mt19937 random(*rc::gen::arbitrary<std::uint32_t>());
        std::vector<CrashLedger> ledgers(2);
        for (CrashLedger &ledger : ledgers) {
            std::vector<Message> sent = messages;
            sent.insert(sent.end(), messages.begin(), messages.begin() + static_cast<std::ptrdiff_t>(sent.size() / 2));
            std::shuffle(sent.begin(), sent.end(), random);
            for (const Message &message : sent) {
                if (message.isLift) {
                    ledger.lift(message.report.fingerprint, message.report.unixTime);
                } else {
                    ledger.add(message.report);
                }
            }
            ledger.expire(Now - 10);
        }
        std::set<CrashReport> expected;
        for (const Message &message : messages) {
            const bool isLifted = message.report.unixTime <= lifted[message.report.fingerprint];
            if (!message.isLift && !isLifted && Now - message.report.unixTime < CrashLedger::LifetimeSeconds) {
                expected.insert(message.report);
            }
        }
        const std::vector<CrashReport> wanted(expected.begin(), expected.end());
        RC_ASSERT(ledgers[0].inForce(Now) == wanted);
        RC_ASSERT(ledgers[1].inForce(Now) == wanted);
        for (std::uint64_t fingerprint = 0; fingerprint < 3; ++fingerprint) {
            const auto crashes = std::count_if(wanted.begin(), wanted.end(), [&](const CrashReport &report) {
                return report.fingerprint == fingerprint;
            });
            RC_ASSERT(ledgers[0].isContained(fingerprint, Now) == (crashes >= CrashLedger::CrashesToContain));
        }
    }));
}
