#include "cyclamencross/route/backendserver.h"
#include "cyclamencross/route/storereturn.h"

#include <catch2/catch.hpp>

using namespace Cyclamen;

namespace
{

const TimePoint Start{std::chrono::hours(1)};

BackendServer makeServer(std::int64_t startUnixMillis, bool draining)
{
    BackendServer server;
    server.id = "a1";
    server.startUnixMillis = startUnixMillis;
    server.draining = draining;
    return server;
}

}

TEST_CASE("While a returned store is incomplete its entries do not replace newer ones")
{
    // Guards against requests at servers that leave or have left, whose older entries the copy still holds (DRAIN).
    StoreReturn storeReturn;
    const BackendServer ready = makeServer(5, false);
    const BackendServer draining = makeServer(5, true);
    const BackendServer later = makeServer(6, false);
    CHECK_FALSE(storeReturn.isOlder(ready, &draining, Start)); // The store has not returned.
    storeReturn.begin(Start, Start + Millis(2000));
    CHECK(storeReturn.isOlder(ready, &draining, Start));
    CHECK_FALSE(storeReturn.isOlder(draining, &ready, Start));
    CHECK_FALSE(storeReturn.isOlder(ready, &ready, Start));
    CHECK(storeReturn.isOlder(ready, &later, Start));
    CHECK_FALSE(storeReturn.isOlder(later, &draining, Start));
    CHECK_FALSE(storeReturn.isOlder(ready, &draining, Start + Millis(2000)));
}

TEST_CASE("While a returned store is incomplete its entries of removed servers are left out")
{
    // Guards against both servers that have left and come back with the copy, and new starts that stay without work.
    StoreReturn storeReturn;
    storeReturn.recordRemoval(makeServer(5, false), Start);
    const TimePoint now = Start + Millis(3000);
    storeReturn.begin(now, now + Millis(2000));
    CHECK(storeReturn.isOlder(makeServer(5, false), nullptr, now));
    CHECK(storeReturn.isOlder(makeServer(4, false), nullptr, now));
    CHECK_FALSE(storeReturn.isOlder(makeServer(6, false), nullptr, now));
    const TimePoint late = Start + StoreReturn::MaxCopyAge + Millis(1);
    storeReturn.begin(late, late + Millis(2000));
    CHECK_FALSE(storeReturn.isOlder(makeServer(5, false), nullptr, late));
}

TEST_CASE("A return follows another one if the copy may be older than that")
{
    // Guards against numbers of a generation between the copy and the return that are taken for those of the copy.
    StoreReturn storeReturn;
    storeReturn.begin(Start, Start + Millis(2000));
    CHECK_FALSE(storeReturn.followsAnother());
    const TimePoint second = Start + StoreReturn::MaxCopyAge;
    storeReturn.begin(second, second + Millis(2000));
    CHECK(storeReturn.followsAnother());
    const TimePoint third = second + StoreReturn::MaxCopyAge + Millis(1);
    storeReturn.begin(third, third + Millis(2000));
    CHECK_FALSE(storeReturn.followsAnother());
}
