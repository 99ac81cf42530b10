#include "cyclamencross/base/hash.h"

#include <catch2/catch.hpp>

using namespace Cyclamen;

// Guards against a keyed hash that ignores its key: every datagram would then pass authentication.
TEST_CASE("keyed hash depends on the key and on the data")
{
    CHECK(keyedHash("data", "key-a") == keyedHash("data", "key-a"));
    CHECK(keyedHash("data", "key-a") != keyedHash("data", "key-b"));
    CHECK(keyedHash("data", "key-a") != keyedHash("date", "key-a"));
}

TEST_CASE("hexadecimal numbers keep leading zeros")
{
    CHECK(toHex(0xABC) == "0000000000000abc");
}
