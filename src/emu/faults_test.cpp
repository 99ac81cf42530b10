#include "faults.h"

#include <catch2/catch.hpp>

using namespace Cyclamen;

TEST_CASE("A fault applies to its path, its text and no more often than told", "[emu]")
{
    // Guards against faults that hit other requests than the test means.
    Faults faults;
    Fault fault;
    fault.kind = "close";
    fault.path = "/v1/decode";
    fault.text = "boom";
    fault.times = 1;
    faults.add(fault);
    CHECK_FALSE(faults.take("close", "/v1/prefill", "a boom"));
    CHECK_FALSE(faults.take("close", "/v1/decode", "harmless"));
    CHECK_FALSE(faults.take("full", "/v1/decode", "a boom"));
    CHECK(faults.take("close", "/v1/decode", "a boom"));
    CHECK_FALSE(faults.take("close", "/v1/decode", "a boom"));
}

TEST_CASE("Clearing a kind leaves the others", "[emu]")
{
    // Guards against a cleared fault that ends another one under test.
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
    CHECK_FALSE(faults.take("late"));
}
