#include "cyclamencross/base/number.h"

#include <catch2/catch.hpp>

using namespace Cyclamen;

// Guards against accepting text that is only partly a number, or a number that doesn't fit into 64 bits.
TEST_CASE("only text that is a number as a whole is parsed")
{
    CHECK(parseNumber("0") == 0U);
    CHECK(parseNumber("18446744073709551615") == 18446744073709551615U);
    CHECK_FALSE(parseNumber("18446744073709551616"));
    CHECK_FALSE(parseNumber(""));
    CHECK_FALSE(parseNumber("+1"));
    CHECK_FALSE(parseNumber("1 "));
    CHECK(parseHex("0000000000000abc") == 0xABCU);
    CHECK_FALSE(parseHex(""));
    CHECK_FALSE(parseHex("-1"));
    CHECK_FALSE(parseHex("12g"));
    CHECK_FALSE(parseHex("00000000000000000000"
                         "1ffffffffffffffff"));
}
