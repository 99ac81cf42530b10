#include "keyvaluestore.h"

#include <thread>

#include <catch2/catch.hpp>

using namespace Cyclamen;

TEST_CASE("A range ends before its end key", "[emu]")
{
    // Guards against watches and range reads that return keys of a neighbouring prefix.
    CHECK(inRange("/a", "/a", ""));
    CHECK_FALSE(inRange("/ab", "/a", ""));
    CHECK(inRange("/ab", "/a", "/b"));
    CHECK_FALSE(inRange("/b", "/a", "/b"));
    CHECK(inRange("/z", "/a", std::string(1, '\0')));
}

TEST_CASE("A key keeps its create revision until it is removed", "[emu]")
{
    // Guards against a create-if-absent transaction that succeeds twice, or fails after the key was removed.
    KeyValueStore store;
    REQUIRE(store.put("/k", "1", 0, store.revision() + 1));
    REQUIRE(store.put("/k", "2", 0, store.revision() + 1));
    const StoredKey stored = store.range("/k", "").at(0);
    CHECK(stored.createRevision == 2);
    CHECK(stored.modRevision == 3);
    CHECK(stored.version == 2);
    CHECK(store.erase("/k", "", store.revision() + 1) == 1);
    REQUIRE(store.put("/k", "3", 0, store.revision() + 1));
    CHECK(store.range("/k", "").at(0).createRevision == 5);
}

TEST_CASE("The expiry of a lease removes its keys", "[emu]")
{
    // Guards against records that outlive the lease they are attached to.
    KeyValueStore store;
    const std::int64_t lease = store.grantLease(0, 0);
    REQUIRE(store.put("/k", "1", lease, store.revision() + 1));
    CHECK(store.expireLeases());
    CHECK(store.range("/k", "").empty());
    CHECK(store.keepAlive(lease) == 0);
    CHECK_FALSE(store.put("/k", "1", lease, store.revision() + 1));
    const auto events = store.eventsSince(1, "/k", "");
    REQUIRE(events.size() == 2);
    CHECK(events.back().removed);
}

TEST_CASE("Restoring a state also restores its revision", "[emu]")
{
    // Guards against newer keys or events that survive a restore. They would hide from the tests that the stored
    // configuration has gone back to an older revision.
    KeyValueStore store;
    CHECK_FALSE(store.restoreState());
    REQUIRE(store.put("/k", "1", 0, store.revision() + 1));
    store.saveState();
    REQUIRE(store.put("/k", "2", 0, store.revision() + 1));
    REQUIRE(store.restoreState());
    CHECK(store.revision() == 2);
    CHECK(store.range("/k", "").at(0).value == "1");
    CHECK(store.eventsSince(1, "/k", "").size() == 1);
}
