// Request heads and chunked bodies of callers (HttpSession).

#include "check.h"
#include "httpsession.h"

#include <algorithm>
#include <string>

#include <sys/socket.h>
#include <unistd.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

using namespace Cyclamen;

namespace
{

constexpr std::size_t MaxBodyBytes = 1000;
constexpr std::size_t MaxHeaderBytes = 500;
// Less than the limit of one body, so that both bounds are met.
constexpr std::size_t BodyMemoryBytes = 900;

CallerLimits limits()
{
    CallerLimits result;
    result.maxHeaderBytes = MaxHeaderBytes;
    result.maxBodyBytes = MaxBodyBytes;
    return result;
}

boost::asio::awaitable<void> answer(HttpSession &session, RouterRequest &request)
{
    check(request.body.bytes().size() <= MaxBodyBytes, "no body is longer than the limit");
    check(request.target.starts_with('/'), "a target is a path");
    const std::string head = request.headers.text();
    check(std::none_of(head.begin(), head.end(), [](char c) { return c == '\0'; }), "headers have no NUL");
    check(!request.headers.contains("Content-Length") && !request.headers.contains("Transfer-Encoding"),
          "headers that frame the body are not passed on");
    co_await session.reply(200, "", HeaderList(), "ok");
}

}

extern "C" int LLVMFuzzerTestOneInput(const unsigned char *data, std::size_t size)
{
    if (size < 1) {
        return 0;
    }
    int sockets[2];
    check(socketpair(AF_UNIX, SOCK_STREAM, 0, sockets) == 0, "a pair of sockets can be opened");
    const auto budget = std::make_shared<MemoryBudget>(BodyMemoryBytes);
    {
        boost::asio::io_context context;
        boost::asio::ip::tcp::socket socket(context);
        socket.assign(boost::asio::ip::tcp::v4(), sockets[0]);
        auto session = std::make_shared<HttpSession>(std::move(socket), limits, answer);
        session->boundBodies(budget, [](RouterRequest & /*request*/) { return HeaderList(); });
        bool ended = false;
        const auto run = [](std::shared_ptr<HttpSession> one, bool &done) -> boost::asio::awaitable<void> {
            co_await one->run();
            done = true;
        };
        boost::asio::co_spawn(context, run(std::move(session), ended), boost::asio::detached);
        // The first byte says where the bytes are split into two writes.
        const std::size_t first = std::min<std::size_t>(size - 1, std::size_t(data[0]) * 2);
        check(write(sockets[1], data + 1, first) == ssize_t(first), "the first part can be sent");
        context.poll();
        const ssize_t sent = send(sockets[1], data + 1 + first, size - 1 - first, MSG_NOSIGNAL);
        check(sent == ssize_t(size - 1 - first) || sent < 0, "the second part can be sent");
        shutdown(sockets[1], SHUT_WR);
        context.restart();
        context.run_for(Millis(2000));
        check(ended, "a session ends when its caller has sent everything");
    }
    close(sockets[1]);
    check(budget->heldBytes() == 0, "all memory of bodies is returned");
    return 0;
}
