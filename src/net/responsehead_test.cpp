#include "../rawserver.h"

#include "cyclamencross/net/peerhttp.h"

#include <string>

#include <catch2/catch.hpp>

using namespace Cyclamen;

namespace
{

bool isAccepted(const std::string &answer)
{
    const RawServer server(answer);
    const HttpRequest request{"POST", "/peer/call", {}, "x"};
    return bool(callPeer(server.address(), request, "0123456789abcdef0123456789abcdef", Millis(1000)));
}

}

TEST_CASE("a peer's answer with a malformed head is a failed exchange")
{
    // Guards against a status that is none, and against a body that is framed in another way than the peer meant.
    CHECK(isAccepted("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"));
    CHECK_FALSE(isAccepted("HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\nok"));
    CHECK_FALSE(isAccepted("HTTP/1.1 200 OK\r\nContent Length: 1\r\n\r\nok"));
    CHECK_FALSE(isAccepted("HTTP/1.1 200 OK\r\nX\1: 1\r\nContent-Length: 2\r\n\r\nok"));
}
