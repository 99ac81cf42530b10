#include "faults.h"

#include <catch2/catch.hpp>

using namespace Cyclamen;

TEST_CASE("A fault applies only to its path and text and only as often as configured", "[emu]")
{
    // Guards against faults that apply to requests other than those a test intends.
    Faults faults;
    Fault fault;
    fault.kind = "close";
    fault.pathPrefix = "/v1/decode";
    fault.bodyText = "boom";
    fault.remainingUses = 1;
    faults.add(fault);
    CHECK_FALSE(faults.consume("close", "/v1/prefill", "a boom"));
    CHECK_FALSE(faults.consume("close", "/v1/decode", "harmless"));
    CHECK_FALSE(faults.consume("full", "/v1/decode", "a boom"));
    CHECK(faults.consume("close", "/v1/decode", "a boom"));
    CHECK_FALSE(faults.consume("close", "/v1/decode", "a boom"));
}

TEST_CASE("Clearing one kind of fault keeps the other kinds", "[emu]")
{
    // Guards against clearing one fault also removing another that the test still needs.
    Faults faults;
    Fault fault;
    fault.kind = "slow";
    fault.delay = Millis(7);
    faults.add(fault);
    fault.kind = "late";
    faults.add(fault);
    faults.clear("slow");
    CHECK(faults.delayOf("slow") == Millis(0));
    CHECK(faults.delayOf("late") == Millis(7));
    faults.clear("");
    CHECK_FALSE(faults.consume("late"));
}
