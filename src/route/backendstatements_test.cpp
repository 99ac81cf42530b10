#include "cyclamencross/route/backendstatements.h"

#include "cyclamencross/route/backendserver.h"

#include <catch2/catch.hpp>

using namespace Cyclamen;

namespace
{

constexpr TimePoint Start{std::chrono::hours(1)};
constexpr StatementSource Own = StatementSource::OwnAnswer;

constexpr const char *Address = "10.0.0.1:1";
constexpr const char *OtherAddress = "10.0.0.2:1";

BackendServer server(std::int64_t born, const char *address = Address)
{
    return BackendServer{"e", "s", address, "z", false, EngineStage::Decode, 4, born};
}

// A state in which the instance `server(born)` has said that it leaves.
BackendStatements leavingSince(std::int64_t born)
{
    BackendStatements statements;
    statements.recordLeaving(server(born), Own, Start);
    return statements;
}

}

TEST_CASE("A server leaves from its first statement on, however often it says so")
{
    BackendStatements statements;
    CHECK_FALSE(statements.isLeaving("e"));
    CHECK(statements.recordLeaving(server(7), Own, Start));
    CHECK_FALSE(statements.recordLeaving(server(7), StatementSource::Peer, Start + Millis(10)));
    CHECK(statements.isLeaving("e"));
    CHECK(statements.isSilent("e", Start + std::chrono::hours(20)));
    CHECK(statements.leavingCount() == 1);
    REQUIRE(statements.find("e") != nullptr);
    CHECK(statements.find("e")->leavingSince == std::optional<TimePoint>(Start));
    CHECK(statements.find("e")->leavingSource == Own);
}

TEST_CASE("Only a registration of a new incarnation ends what the server has said")
{
    // Guards against an entry that says ready and wins over the server's own answer, and against a restarted server
    // that gets no work for what its predecessor has said.
    struct Case
    {
        std::int64_t said; ///< Start time in the registration when the server said that it leaves.
        std::int64_t written; ///< Start time in the next registration.
        bool wasRegistered;
        const char *address;
        bool isForgotten;
    };
    const Case example = GENERATE_COPY(values<Case>({
        {7, 7, true, Address, false}, // Written again by the same instance.
        {7, 7, false, Address, false}, // The lease had lapsed.
        {7, 7, false, OtherAddress, false}, // The same process at another address.
        {7, 8, true, Address, true}, // A restart that kept its id, and perhaps its address.
        {7, 8, false, OtherAddress, true},
        {7, 6, true, Address, false}, // An older entry read late.
        {0, 0, true, Address, false}, // No start times: another address or a gap shows a restart.
        {0, 0, true, OtherAddress, true},
        {0, 0, false, Address, true},
        {7, 0, true, Address, false}, // One start time: no evidence of a restart.
        {0, 7, true, Address, false},
        {0, 7, false, Address, true},
    }));
    CAPTURE(example.said, example.written, example.wasRegistered, example.address);
    BackendStatements statements = leavingSince(example.said);
    statements.recordPause(server(example.said), Millis(5000), Own, Start);
    statements.recordLimit(server(example.said), true);
    CHECK(statements.applyRegistration(server(example.written, example.address), example.wasRegistered)
          == example.isForgotten);
    CHECK(statements.isLeaving("e") == !example.isForgotten);
    CHECK(statements.pausedUntil("e", Start).has_value() == !example.isForgotten);
    CHECK(statements.hasLimit("e") == !example.isForgotten);
}

TEST_CASE("A start time that is registered later identifies the instance from then on")
{
    BackendStatements statements = leavingSince(0);
    CHECK_FALSE(statements.applyRegistration(server(7), true));
    CHECK_FALSE(statements.applyRegistration(server(0), true));
    CHECK(statements.isLeaving("e"));
    CHECK(statements.applyRegistration(server(8), true));
}

TEST_CASE("Late statements of an earlier incarnation are ignored")
{
    // Guards against a sound server that gets no work because an answer of its predecessor arrived late.
    BackendStatements statements;
    statements.recordPause(server(8), Millis(100), Own, Start);
    CHECK_FALSE(statements.recordLeaving(server(7), Own, Start + Millis(1)));
    CHECK_FALSE(statements.recordPause(server(7), Millis(9000), Own, Start + Millis(1)));
    CHECK_FALSE(statements.isSilent("e", Start + Millis(100)));
    CHECK(statements.recordLeaving(server(9), Own, Start + Millis(2)));
    CHECK_FALSE(statements.pausedUntil("e", Start + Millis(2)).has_value());
}

TEST_CASE("A pause ends by itself, and the latest end counts")
{
    // Guards against a shorter pause in a later answer that ends the longer one before, and against endless pauses.
    BackendStatements statements;
    CHECK_FALSE(statements.recordPause(server(7), Millis(0), Own, Start));
    CHECK(statements.find("e") == nullptr);
    CHECK(statements.recordPause(server(7), Millis(2000), Own, Start));
    CHECK_FALSE(statements.recordPause(server(7), Millis(500), Own, Start + Millis(100)));
    CHECK_FALSE(statements.recordPause(server(7), Millis(2000), Own, Start + Millis(200)));
    CHECK(statements.pausedUntil("e", Start + Millis(2199)) == std::optional<TimePoint>(Start + Millis(2200)));
    CHECK(statements.pausedCount(Start + Millis(2199)) == 1);
    CHECK_FALSE(statements.isSilent("e", Start + Millis(2200)));
    CHECK(statements.pausedCount(Start + Millis(2200)) == 0);
    CHECK(statements.recordPause(server(7), Millis(100), Own, Start + Millis(3000)));
    CHECK(statements.pausedUntil("e", Start + Millis(3000)) == std::optional<TimePoint>(Start + Millis(3100)));
    CHECK(statements.recordPause(server(7), Millis(100000000), Own, Start + Millis(3010)));
    CHECK_FALSE(statements.isSilent("e", Start + Millis(3010) + BackendStatements::MaxPause));
}

TEST_CASE("A pause and the announcement to leave do not end one another")
{
    BackendStatements statements = leavingSince(7);
    statements.recordPause(server(7), Millis(300), Own, Start);
    CHECK(statements.isSilent("e", Start + Millis(299)));
    statements.expire([](const std::string & /*id*/) { return true; }, Start + Millis(400));
    CHECK_FALSE(statements.pausedUntil("e", Start + Millis(400)).has_value());
    CHECK(statements.isSilent("e", Start + Millis(400)));
}

TEST_CASE("The pause of a peer does not silence a server")
{
    // Guards against a server that pauses one router and thereby loses the work of all.
    BackendStatements statements;
    statements.recordPause(server(7), Millis(1000), StatementSource::Peer, Start);
    CHECK_FALSE(statements.isSilent("e", Start));
    CHECK(statements.isPausedForPeer("e", Start + Millis(999)));
    CHECK_FALSE(statements.isPausedForPeer("e", Start + Millis(1000)));
}

TEST_CASE("What a server has said outlives its registration for a time, and is dropped then")
{
    // Guards against a leaving server whose lease lapses in an outage and that gets requests after it, and against
    // memory that grows with each server that ever left.
    BackendStatements statements = leavingSince(7);
    const auto gone = [](const std::string & /*id*/) { return false; };
    const auto present = [](const std::string & /*id*/) { return true; };
    statements.expire(gone, Start);
    CHECK(statements.isLeaving("e"));
    CHECK(statements.leavingCount() == 0);
    statements.expire(present, Start + BackendStatements::GoneLifetime);
    CHECK(statements.leavingCount() == 1);
    statements.expire(gone, Start + BackendStatements::GoneLifetime + Millis(1));
    statements.expire(gone, Start + 2 * BackendStatements::GoneLifetime + Millis(1));
    CHECK(statements.find("e") != nullptr);
    statements.expire(gone, Start + 2 * BackendStatements::GoneLifetime + Millis(2));
    CHECK(statements.find("e") == nullptr);
}

TEST_CASE("Ended pauses are dropped; malformed statements are news once a registration")
{
    BackendStatements statements;
    statements.recordPause(server(7), Millis(100), Own, Start);
    statements.expire([](const std::string & /*id*/) { return true; }, Start + Millis(100));
    CHECK(statements.find("e") == nullptr);
    CHECK(statements.recordMalformed("e"));
    CHECK_FALSE(statements.recordMalformed("e"));
    statements.expire([](const std::string & /*id*/) { return false; }, Start);
    CHECK(statements.recordMalformed("e"));
}

TEST_CASE("A limit is kept for a while after the registration is gone, and until the server names none")
{
    // Guards against a server in need that counts as unlimited when its registration returns, and against limits of
    // servers that never return.
    const auto isRegistered = [](const std::string & /*id*/) { return true; };
    const auto isGone = [](const std::string & /*id*/) { return false; };
    BackendStatements statements;
    statements.recordLimit(server(7), false);
    CHECK(statements.find("e") == nullptr);
    statements.recordLimit(server(7), true);
    SECTION("It ends")
    {
        statements.expire(isRegistered, Start + std::chrono::hours(1));
        CHECK(statements.hasLimit("e"));
        statements.recordLimit(server(7), false);
        statements.expire(isRegistered, Start + std::chrono::hours(1));
        CHECK(statements.find("e") == nullptr);
    }
    SECTION("Its server is gone")
    {
        statements.expire(isGone, Start);
        statements.expire(isGone, Start + BackendStatements::GoneLifetime);
        CHECK(statements.hasLimit("e"));
        statements.expire(isGone, Start + BackendStatements::GoneLifetime + Millis(1));
        CHECK_FALSE(statements.hasLimit("e"));
    }
    SECTION("An earlier instance named it")
    {
        statements.recordLimit(server(6), false);
        CHECK(statements.hasLimit("e"));
    }
}
