#include "adminclient.h"
#include "adminroutes.h"
#include "commanderrors.h"
#include "commands.h"
#include "configchange.h"
#include "configdiff.h"
#include "exitcode.h"
#include "fakeentry.h"

#include "cyclamencross/base/failures.h"

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>

using namespace Cyclamen;

namespace
{

constexpr Millis ShortLookupTimeout{600};

std::string configText(std::uint64_t revision, const std::string &keys)
{
    return "[change]\nrevision = " + std::to_string(revision) + "\n[defaults]\n" + keys;
}

}

TEST_CASE("a change is stored once against the revision that the operator read")
{
    FakeEntry entry(configText(5, "max_tokens = 4096\n"), 5);
    const TextFile file(configText(5, "max_tokens = 2048\n"));
    const Output output = entry.run(configApplyCommand, {"apply", file.path, "--author", "anna"});
    CHECK(output.exitCode == ExitOk);
    CHECK(entry.applyCalls == 1);
    CHECK(entry.revision() == 6);
}

// Guards against one operator's change overwriting another's, and against a conflict message that leaves out one of
// them.
TEST_CASE("a conflict stores nothing and shows both changes")
{
    FakeEntry entry(configText(5, "max_tokens = 4096\nretry_budget = 0.2\n"), 5);
    entry.store(configText(6, "max_tokens = 4096\nretry_budget = 0.1\n"), 6, "other", "beata");
    const TextFile file(configText(5, "max_tokens = 2048\nretry_budget = 0.2\n"));
    const Output output = entry.run(configApplyCommand, {"apply", file.path, "--author", "anna"});
    CHECK(output.exitCode == ExitConflict);
    CHECK(entry.revision() == 6);
    CHECK(output.errors.find("+ defaults.max_tokens = 2048") != std::string::npos);
    CHECK(output.errors.find("+ defaults.retry_budget = 0.1") != std::string::npos);
    CHECK(output.errors.find("beata") != std::string::npos);
}

// Guards against submitting a change a second time because the reply to the first submission was lost.
TEST_CASE("after a lost reply, a change is looked up by its id and never submitted again")
{
    FakeEntry entry(configText(5, "max_tokens = 4096\n"), 5);
    const ConfigChange change{configText(5, "max_tokens = 2048\n"), 5, "change-1", "anna"};
    entry.loseReplies = true;
    SECTION("the write took effect")
    {
        const std::uint64_t revision = boost::leaf::try_handle_all(
            [&] { return submitChange(entry.client(), change, ShortLookupTimeout); }, [] { return std::uint64_t(0); });
        CHECK(revision == 6);
    }
    SECTION("the write took effect and another change followed")
    {
        entry.followingChangeId = "change-2";
        const std::uint64_t revision = boost::leaf::try_handle_all(
            [&] { return submitChange(entry.client(), change, ShortLookupTimeout); }, [] { return std::uint64_t(0); });
        CHECK(revision == 6);
    }
    SECTION("the write did not take effect")
    {
        entry.dropWrites = true;
        const bool unknown = boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<bool> {
                BOOST_LEAF_AUTO(revision, submitChange(entry.client(), change, ShortLookupTimeout));
                return revision == 0;
            },
            [](const OutcomeUnknown &error) { return error.changeId == "change-1"; }, [] { return false; });
        CHECK(unknown);
    }
    CHECK(entry.applyCalls == 1);
}

TEST_CASE("an invalid change, a conflict and an unreachable entry have distinct exit codes")
{
    FakeEntry entry(configText(5, ""), 5);
    const TextFile invalid(configText(5, "colour = red\n"));
    CHECK(entry.run(configApplyCommand, {"apply", invalid.path, "--author", "anna"}).exitCode == ExitUsage);
    const TextFile noBase("[defaults]\nmax_tokens = 1\n");
    const Output conflict = entry.run(configApplyCommand, {"apply", noBase.path, "--author", "anna"});
    CHECK(conflict.exitCode == ExitConflict);
    CHECK(conflict.errors.find("Your change to revision 0:\n  - defaults.max_tokens = 4096") != std::string::npos);
    CHECK(entry.run(configApplyCommand, {"apply", noBase.path, "--base", "five"}).exitCode == ExitUsage);
    CHECK(entry.applyCalls == 1);
    entry.server.stop();
    const TextFile file(configText(5, "max_tokens = 2048\n"));
    CHECK(entry.run(configApplyCommand, {"apply", file.path, "--author", "anna"}).exitCode == ExitUnreachable);
    CHECK(entry.revision() == 5);
}

// Guards against reporting differences in units, order or names of exceptions as changes.
TEST_CASE("configurations are compared by content, not by notation")
{
    const std::string exception =
        "]\nscope = workspace\nsubject = advice\nkey = max_tokens\nvalue = 9\nreason = long\n";
    const ConfigDiff diff = compareConfig(
        "# one\n[change]\nrevision = 1\n[defaults]\nanswer_ttl = 10s\nmax_tokens = 2\n[exception 1" + exception,
        "[change]\nrevision = 2\n[exception advice" + exception + "[defaults]\nmax_tokens = 3\nanswer_ttl = 10000ms\n");
    CHECK(diff.removed == std::vector<std::string>{"defaults.max_tokens = 2"});
    CHECK(diff.added == std::vector<std::string>{"defaults.max_tokens = 3"});
}
