#include "engineclient.h"

#include "../rawserver.h"

#include <string>

#include <catch2/catch.hpp>

using namespace Cyclamen;

namespace
{

bool isAccepted(const std::string &head)
{
    const RawServer server(head + "\r\n{\"slots\":4,\"held\":1}");
    return bool(EngineClient(server.address(), Millis(1000), Millis(1000)).load());
}

}

TEST_CASE("an engine's load with a malformed head is not used")
{
    // Guards against a status that is none, and against a body that is framed in another way than the engine meant.
    CHECK(isAccepted("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n"));
    CHECK_FALSE(isAccepted("HTTP/1.1 000 X\r\nContent-Length: 20\r\n"));
    CHECK_FALSE(isAccepted("HTTP/1.1 200 OK\r\nContent Length: 20\r\n"));
    CHECK_FALSE(isAccepted("HTTP/1.1 200 OK\r\nX\1: 1\r\nContent-Length: 20\r\n"));
}
