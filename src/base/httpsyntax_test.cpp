#include "cyclamencross/base/httpsyntax.h"

#include <string>

#include <catch2/catch.hpp>

using namespace Cyclamen;

TEST_CASE("The name of a field is a token")
{
    // Guards against names that one recipient of a message recognizes and another one does not.
    int count = 0;
    for (int byte = 0; byte < 256; ++byte) {
        const std::string name = std::string("X-") + char(byte);
        count += isFieldName(name) ? 1 : 0;
    }
    CHECK(count == 26 + 26 + 10 + 15);
    for (const char *name : {"Content-Length", "x", "!#$%&'*+-.^_`|~"}) {
        CHECK(isFieldName(name));
    }
    for (const char *name :
         {"", " ", "Content Length", "Content-Length ", " Content-Length", "A\tB", "A:", "\x7f", "\xe9"}) {
        CHECK_FALSE(isFieldName(name));
    }
}

TEST_CASE("A final status is between 200 and 599")
{
    for (const int status : {-1, 0, 1, 99, 100, 199, 600, 999}) {
        CHECK_FALSE(isFinalStatus(status));
        CHECK(isInterimStatus(status) == (status == 100 || status == 199));
    }
    for (const int status : {200, 404, 599}) {
        CHECK(isFinalStatus(status));
        CHECK_FALSE(isInterimStatus(status));
    }
}

TEST_CASE("A line that begins with a blank is folded")
{
    CHECK(hasFoldedLine("HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\n"));
    CHECK(hasFoldedLine("HTTP/1.1 200 OK\r\nA: b\r\n\tc\r\n\r\n"));
    CHECK(hasFoldedLine("HTTP/1.1 200 OK\r\n A: b\r\n\r\n"));
    CHECK_FALSE(hasFoldedLine("HTTP/1.1 200 OK\r\nA: b \r\nC:\td e\r\n\r\n"));
}
