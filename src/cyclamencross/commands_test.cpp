#include "commands.h"
#include "exitcode.h"
#include "fakeentry.h"

#include "cyclamencross/base/timing.h"

#include <array>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace Cyclamen;

namespace
{

FleetView makeView()
{
    FleetView view;
    view.self.name = "entry-1";
    view.self.load = 7;
    view.ready = true;
    view.members = {view.self};
    view.backends = {Backend{"127.0.0.1:9001", BackendKind::Engine, "draft-llm", "draft", EngineRole::Decode,
                             "zilina-a", BackendState::Leaving, true}};
    return view;
}

}

// Guards against example files that an entry would reject after an operator copied them.
TEST_CASE("the example files pass config check")
{
    const std::string settings = std::string(EXAMPLES_DIR) + "/entry.ini";
    const std::array<const char *, 2> entry{"check", settings.c_str()};
    CHECK(configCheckCommand(int(entry.size()), entry.data()) == ExitOk);
    const std::string config = std::string(EXAMPLES_DIR) + "/fleet.ini";
    const std::array<const char *, 3> fleet{"check", "--fleet", config.c_str()};
    CHECK(configCheckCommand(int(fleet.size()), fleet.data()) == ExitOk);
    const std::array<const char *, 3> wrongKind{"check", "--fleet", settings.c_str()};
    CHECK(configCheckCommand(int(wrongKind.size()), wrongKind.data()) == ExitUsage);
}

TEST_CASE("wrong arguments are usage errors")
{
    const std::array<const char *, 2> unknown{"status", "--colour"};
    CHECK(statusCommand(int(unknown.size()), unknown.data()) == ExitUsage);
    const std::array<const char *, 1> noEntry{"status"};
    CHECK(statusCommand(int(noEntry.size()), noEntry.data()) == ExitUsage);
    const std::array<const char *, 2> help{"status", "--help"};
    CHECK(statusCommand(int(help.size()), help.data()) == ExitOk);
}

TEST_CASE("status shows members, backend servers and load")
{
    FakeEntry entry("", 3);
    entry.view.self = makeView().self;
    entry.view.ready = true;
    entry.view.members = makeView().members;
    entry.view.backends = makeView().backends;
    const Output output = entry.run(statusCommand, {"status"});
    CHECK(output.exitCode == ExitOk);
    CHECK(output.text.find("ready, load 7, configuration revision 3") != std::string::npos);
    CHECK(output.text.find("leaving") != std::string::npos);
    const auto json = nlohmann::json::parse(entry.run(statusCommand, {"status", "--json"}).text);
    CHECK(json["backends"][0]["role"] == "decode");
    CHECK(json["members"][0]["load"] == 7);
}

// Guards against lifting crash containment without the shared key, and against containment that operators can't see or
// end.
TEST_CASE("crash containment is listed and lifted")
{
    FakeEntry entry("", 1);
    entry.crashes = {CrashReport{0xABC, "127.0.0.1:9001", "entry-1", unixSeconds()},
                     CrashReport{0xABC, "127.0.0.1:9002", "entry-1", unixSeconds()},
                     CrashReport{0xDEF, "127.0.0.1:9001", "entry-2", unixSeconds()}};
    const auto listed = nlohmann::json::parse(entry.run(crashesCommand, {"crashes", "--json"}).text);
    CHECK(listed["crashes"].size() == 3);
    CHECK(listed["contained"] == nlohmann::json::array({"0000000000000abc"}));
    const std::array<const char *, 5> unsignedLift{"crashes", "--entry", entry.settings.adminAddress.c_str(), "--lift",
                                                   "abc"};
    CHECK(crashesCommand(int(unsignedLift.size()), unsignedLift.data()) == ExitUsage);
    CHECK(entry.crashes.size() == 3);
    CHECK(entry.run(crashesCommand, {"crashes", "--lift", "zzz"}).exitCode == ExitUsage);
    CHECK(entry.run(crashesCommand, {"crashes", "--lift", "abc"}).exitCode == ExitOk);
    CHECK(entry.crashes.size() == 1);
}

TEST_CASE("config show prints the configuration text and config history lists the changes")
{
    FakeEntry entry("[defaults]\nmax_tokens = 1\n", 1);
    entry.store("[defaults]\nmax_tokens = 2\n", 2, "second", "anna");
    CHECK(entry.run(configShowCommand, {"show"}).text == entry.text);
    const std::string history = entry.run(configHistoryCommand, {"history"}).text;
    CHECK(history.find("revision 2  change second  by anna") == 0);
    CHECK(history.find("+ defaults.max_tokens = 2") != std::string::npos);
}

TEST_CASE("config explain names the exception that sets a value")
{
    FakeEntry entry("[defaults]\nmax_tokens = 1\n[exception 1]\nscope = workspace\nsubject = advice\nkey = max_tokens\n"
                    "value = 9\nreason = long advice\nauthor = beata\n",
                    1);
    const std::string other = entry.run(configExplainCommand, {"explain", "--workspace", "other"}).text;
    CHECK(other.find("max_tokens                1         defaults") != std::string::npos);
    const std::string advice = entry.run(configExplainCommand, {"explain", "--workspace", "advice"}).text;
    CHECK(advice.find("9         workspace advice, by beata: long advice") != std::string::npos);
}
