#include "cyclamencross/base/ipport.h"

#include <catch2/catch.hpp>

using namespace Cyclamen;

// Guards against accepting host names, malformed addresses and out-of-range ports.
TEST_CASE("an address is a complete IPv4 address with a port in range")
{
    CHECK(parseIpPort("10.0.3.7:8080") == IpPort{"10.0.3.7", 8080});
    CHECK(parseIpPort("10.0.3.7:65535") == IpPort{"10.0.3.7", 65535});
    for (const char *text : {"", ":", "10.0.3.7", "10.0.3.7:", ":8080", "10.0.3:8080", "localhost:8080", "::1:8080",
                             "10.0.3.7:65536", "10.0.3.7:-1", "10.0.3.7:+1", "10.0.3.7:8080 ", "10.0.3.7:80x"}) {
        INFO(text);
        CHECK_FALSE(parseIpPort(text));
        CHECK_FALSE(parseIpPort(text, 0));
    }
    CHECK_FALSE(parseIpPort("10.0.3.7:0"));
    CHECK(parseIpPort("10.0.3.7:0", 0) == IpPort{"10.0.3.7", 0});
}
