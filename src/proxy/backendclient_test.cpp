#include "backendclient.h"

#include "../rawserver.h"
#include "cancelsignal.h"

#include <csignal>
#include <string>
#include <variant>

#include <catch2/catch.hpp>

using namespace Cyclamen;

namespace
{

// Sends a request with @p body to a server that gives @p answer.
ExchangeResult exchange(const std::string &answer, const std::string &body = "",
                        RawServer::End end = RawServer::End::Close)
{
    const RawServer server(answer, end);
    const BackendClient client(Millis(1000), Millis(1000));
    CancelSignal cancel;
    return client.send(BackendRequest{server.address(), "POST", "/", {}, body}, cancel);
}

}

TEST_CASE("an answer whose status is not one of HTTP is a failed exchange")
{
    // Guards against callers that get a status such as 000 of a server in trouble as an answer.
    for (const char *status : {"000", "001", "099", "101", "600", "999"}) {
        CAPTURE(status);
        const std::string line = std::string("HTTP/1.1 ") + status + " X\r\n";
        CHECK(std::holds_alternative<ExchangeFailed>(exchange(line + "Content-Length: 2\r\n\r\nok")));
        CHECK(std::holds_alternative<ExchangeFailed>(exchange(line + "Content-Length: 0\r\n\r\n")));
    }
    CHECK(std::holds_alternative<BackendResponse>(exchange("HTTP/1.1 599 X\r\nContent-Length: 2\r\n\r\nok")));
}

TEST_CASE("an answer in whose head the name of a field is no token is a failed exchange")
{
    // Guards against a field of the framing that is not recognized, so that callers get a body that is not the
    // server's, and against lines that are passed on and read in another way by callers.
    for (const std::string &name :
         {std::string("Content Length"), std::string("Content-Length "), std::string(" Content-Length"),
          std::string("Content\1Length"), std::string("Content\tLength"), std::string("Content\0Length", 14),
          std::string("X\x7f"), std::string("X("), std::string()}) {
        CAPTURE(name);
        const std::string head = "HTTP/1.1 200 OK\r\nServer: s\r\n" + name + ": 2\r\n";
        CHECK(std::holds_alternative<ExchangeFailed>(exchange(head + "\r\nok")));
        CHECK(std::holds_alternative<ExchangeFailed>(exchange(head + "Content-Length: 2\r\n\r\nok")));
        CHECK(std::holds_alternative<ExchangeFailed>(exchange(head + "Content-Length: 0\r\n\r\n")));
    }
    const auto valid = exchange("HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~9aZ: x\r\nContent-Length: 2\r\n\r\nok");
    REQUIRE(std::holds_alternative<BackendResponse>(valid));
    CHECK(std::get<BackendResponse>(valid).body == "ok");
}

TEST_CASE("an answer without a length whose connection is reset during the upload is a failed exchange")
{
    // Guards against a part of an answer that callers take for the whole.
    std::signal(SIGPIPE, SIG_IGN); // As the entry process does; cpp-httplib writes to the connection after the reset.
    const std::string part = "HTTP/1.1 200 OK\r\n\r\nhalf of the bo";
    for (const RawServer::End end : {RawServer::End::Reset, RawServer::End::Close}) {
        CHECK(std::holds_alternative<ExchangeFailed>(exchange(part, std::string(16U << 20U, 'x'), end)));
    }
}
