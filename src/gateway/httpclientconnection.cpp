#include "cyclamencross/gateway/httpclientconnection.h"

#include "asioutil.h"

#include "cyclamencross/base/httpsyntax.h"
#include "cyclamencross/base/number.h"

#include <algorithm>
#include <array>
#include <optional>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/string_body.hpp>

namespace Cyclamen
{

namespace
{

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using Parser = http::response_parser<http::string_body>;

// Bounds the memory that one response of a backend server can take: a small part of that of the smallest hosts.
constexpr std::uint64_t MaxResponseBytes = 4U << 20U;
// Bounds the head of a response, and all interim responses before it together.
constexpr std::uint32_t MaxResponseHeaderBytes = 32U << 10U;
// Bounds the bytes that are buffered until the parser accepts them, such as the size line of a chunk, which may be sent
// without end.
constexpr std::size_t MaxBufferedBytes = 128U << 10U;
// Size of one read of a head, which usually fits into it together with a small body.
constexpr std::size_t ReadBytes = 4U << 10U;

// Size of the kernel's buffers of a connection in each direction, which doubles it for its own use. Without it, the
// kernel holds up to 32 MB of a response that is not read.
constexpr int KernelBufferBytes = 64 << 10;

// Longer keep-alive timeouts count as this one. The product with the milliseconds of a second must not overflow.
constexpr std::uint64_t MaxKeepAliveSeconds = 86400;

// The interim status that ends HTTP on a connection. The router never asks for that.
constexpr int SwitchingProtocols = 101;

ConnectionStatus toStatus(const boost::system::error_code &error)
{
    if (!error) {
        return ConnectionStatus::Ok;
    }
    if (error == boost::beast::error::timeout) {
        return ConnectionStatus::TimedOut;
    }
    if (error == boost::asio::error::operation_aborted || error == boost::asio::error::bad_descriptor) {
        return ConnectionStatus::Cancelled;
    }
    if (error == http::error::end_of_stream || error == http::error::partial_message) {
        return ConnectionStatus::Broken;
    }
    return error.category() == http::make_error_code(http::error::end_of_stream).category()
        ? ConnectionStatus::Malformed
        : ConnectionStatus::Broken;
}

}

struct HttpClientConnection::Impl
{
    Impl(const boost::asio::any_io_executor &executor, std::string serverAddress)
        : stream(executor)
        , sendEnd(executor)
        , address(std::move(serverAddress))
    {
    }

    /// Reads until the parser has the whole head of a response.
    /// @param head receives the bytes of the head.
    boost::asio::awaitable<boost::system::error_code> parseHead(std::string &head)
    {
        boost::system::error_code error;
        while (!this->parser->is_header_done()) {
            if (this->buffer.size() > 0) {
                const std::size_t used = this->parser->put(this->buffer.data(), error);
                head.append(static_cast<const char *>(this->buffer.data().data()), used);
                this->buffer.consume(used);
                if (error && error != http::error::need_more) {
                    co_return error;
                }
            }
            if (this->parser->is_header_done()) {
                break;
            }
            const std::size_t room = std::min(ReadBytes, this->buffer.max_size() - this->buffer.size());
            if (room == 0) {
                co_return http::error::buffer_overflow;
            }
            const std::size_t count =
                co_await this->stream.async_read_some(this->buffer.prepare(room), awaitableWithError(error));
            this->buffer.commit(count);
            if (error == boost::asio::error::eof) {
                co_return this->parser->got_some() ? http::error::partial_message : http::error::end_of_stream;
            }
            if (error) {
                co_return error;
            }
        }
        co_return boost::system::error_code();
    }

    /// Waits until the request was sent.
    /// @return ConnectionStatus::Broken if it could not be sent, TimedOut if it is not sent by @p deadline.
    boost::asio::awaitable<ConnectionStatus> waitUntilSent(TimePoint deadline)
    {
        if (this->sending) {
            boost::system::error_code error; // The timer is cancelled at the end of the write.
            this->sendEnd.expires_at(deadline);
            co_await this->sendEnd.async_wait(awaitableWithError(error));
        }
        if (this->requestSent) {
            co_return ConnectionStatus::Ok;
        }
        co_return this->sending ? ConnectionStatus::TimedOut : ConnectionStatus::Broken;
    }

    boost::beast::tcp_stream stream;
    boost::asio::steady_timer sendEnd;
    std::string address;
    boost::beast::flat_buffer buffer{MaxBufferedBytes};
    std::optional<Parser> parser;
    HeaderList headers;
    bool headRequest = false;
    bool closed = false;
    bool sending = false; ///< The request is being written.
    bool requestSent = true; ///< The last request was written completely.
    std::uint64_t watchId = 0; ///< Id of the current idle watch; 0 if there is none.
    std::uint64_t lastWatchId = 0;
};

HttpClientConnection::HttpClientConnection(const boost::asio::any_io_executor &executor, std::string address)
    : impl(std::make_unique<Impl>(executor, std::move(address)))
{
}

HttpClientConnection::~HttpClientConnection() = default;

boost::asio::awaitable<ConnectionStatus> HttpClientConnection::connect(Millis timeout)
{
    const auto self = this->shared_from_this();
    const auto endpoint = toTcpEndpoint(this->impl->address);
    if (!endpoint) {
        co_return ConnectionStatus::Malformed;
    }
    this->impl->stream.expires_after(timeout);
    boost::system::error_code error;
    // The kernel agrees with the server on the largest window when it connects.
    this->impl->stream.socket().open(endpoint->protocol(), error);
    this->impl->stream.socket().set_option(boost::asio::socket_base::receive_buffer_size(KernelBufferBytes), error);
    this->impl->stream.socket().set_option(boost::asio::socket_base::send_buffer_size(KernelBufferBytes), error);
    co_await this->impl->stream.async_connect(*endpoint, awaitableWithError(error));
    if (error || this->impl->closed) {
        const bool cancelled = this->impl->closed;
        this->close();
        co_return cancelled ? ConnectionStatus::Cancelled : toStatus(error);
    }
    this->impl->stream.expires_never();
    this->impl->stream.socket().set_option(tcp::no_delay(true), error);
    co_return ConnectionStatus::Ok;
}

void HttpClientConnection::startRequest(std::string bytes, bool headRequest, RequestBody body)
{
    Impl &connection = *this->impl;
    connection.headRequest = headRequest;
    this->expectNextResponse();
    connection.sending = true;
    connection.requestSent = false;
    auto head = std::make_shared<std::string>(std::move(bytes));
    const std::array buffers{boost::asio::buffer(std::as_const(*head)), boost::asio::buffer(body.bytes())};
    // The reads set the timeout of a request; a blocked write ends when the connection is closed.
    connection.stream.expires_never();
    boost::asio::async_write(
        connection.stream, buffers,
        [self = this->shared_from_this(), head, body](const boost::system::error_code &error, std::size_t /*sent*/) {
            // The reads report the failure; they may still deliver a response that the server sent early.
            self->impl->sending = false;
            self->impl->requestSent = !error;
            self->impl->sendEnd.cancel();
        });
}

void HttpClientConnection::expectNextResponse()
{
    Impl &connection = *this->impl;
    connection.parser.emplace();
    connection.parser->body_limit(MaxResponseBytes);
    connection.parser->header_limit(MaxResponseHeaderBytes);
    connection.parser->skip(connection.headRequest);
}

boost::asio::awaitable<ConnectionStatus> HttpClientConnection::readHead(TimePoint deadline)
{
    const auto self = this->shared_from_this();
    Impl &connection = *this->impl;
    boost::system::error_code error;
    std::size_t interimBytes = 0;
    while (true) {
        if (connection.closed) {
            co_return ConnectionStatus::Cancelled;
        }
        // The timeout of a read does not apply to bytes that have already arrived, which may go on without end.
        if (Clock::now() >= deadline) {
            co_return ConnectionStatus::TimedOut;
        }
        connection.stream.expires_at(deadline);
        std::string head;
        error = co_await connection.parseHead(head);
        if (error) {
            co_return connection.closed &&error != boost::beast::error::timeout ? ConnectionStatus::Cancelled
                                                                                : toStatus(error);
        }
        if (hasFoldedLine(head)) {
            co_return ConnectionStatus::Malformed;
        }
        const int status = this->status();
        if (isFinalStatus(status)) {
            break;
        }
        if (!isInterimStatus(status)) {
            co_return ConnectionStatus::Malformed;
        }
        interimBytes += head.size();
        if (status == SwitchingProtocols || interimBytes > MaxResponseHeaderBytes) {
            co_return ConnectionStatus::Malformed;
        }
        this->expectNextResponse();
    }
    connection.headers = HeaderList();
    for (const auto &field : connection.parser->get()) {
        connection.headers.add(std::string(field.name_string()), std::string(field.value()));
    }
    co_return ConnectionStatus::Ok;
}

boost::asio::awaitable<ConnectionStatus> HttpClientConnection::readSome(TimePoint deadline)
{
    const auto self = this->shared_from_this();
    Impl &connection = *this->impl;
    if (connection.parser->is_done()) {
        co_return ConnectionStatus::Ok;
    }
    if (connection.closed) {
        co_return ConnectionStatus::Cancelled;
    }
    // The timeout of a read does not apply to bytes that have already arrived, which may go on without end.
    if (Clock::now() >= deadline) {
        co_return ConnectionStatus::TimedOut;
    }
    connection.stream.expires_at(deadline);
    boost::system::error_code error;
    co_await http::async_read_some(connection.stream, connection.buffer, *connection.parser, awaitableWithError(error));
    if (error == http::error::end_of_stream && connection.parser->is_done()) {
        error = {};
    }
    if (!error && connection.parser->is_done() && connection.parser->need_eof()) {
        // The write of the request may learn of a reset of the connection before the read, which then sees its end in
        // good order.
        const ConnectionStatus sent = co_await connection.waitUntilSent(deadline);
        if (sent != ConnectionStatus::Ok) {
            co_return connection.closed ? ConnectionStatus::Cancelled : sent;
        }
    }
    if (error && connection.closed && error != boost::beast::error::timeout) {
        co_return ConnectionStatus::Cancelled;
    }
    co_return toStatus(error);
}

boost::asio::awaitable<ConnectionStatus> HttpClientConnection::readBody(TimePoint deadline)
{
    while (!this->isComplete()) {
        const ConnectionStatus status = co_await this->readSome(deadline);
        if (status != ConnectionStatus::Ok) {
            co_return status;
        }
    }
    co_return ConnectionStatus::Ok;
}

boost::asio::awaitable<ConnectionStatus> HttpClientConnection::performRequest(std::string call,
                                                                              std::optional<std::string> json,
                                                                              TimePoint deadline,
                                                                              HeaderList extraHeaders, Millis bodyPause)
{
    std::string message = call + " HTTP/1.1\r\nHost: " + this->impl->address + "\r\n";
    if (json) {
        message += "Content-Type: application/json\r\n";
    }
    if (!call.starts_with("GET ")) {
        message += "Content-Length: " + std::to_string(json ? json->size() : 0) + "\r\n";
    }
    message += extraHeaders.text() + "\r\n" + json.value_or("");
    this->startRequest(std::move(message), false);
    ConnectionStatus status = co_await this->readHead(deadline);
    if (bodyPause <= Millis(0)) {
        if (status == ConnectionStatus::Ok) {
            status = co_await this->readBody(deadline);
        }
        co_return status;
    }
    const TimePoint end = Clock::now() + MaxBodyTime;
    while (status == ConnectionStatus::Ok && !this->isComplete()) {
        const TimePoint now = Clock::now();
        if (now >= end) {
            co_return ConnectionStatus::TimedOut;
        }
        status = co_await this->readSome(std::min(end, std::max(deadline, now + bodyPause)));
    }
    co_return status;
}

int HttpClientConnection::status() const
{
    return int(this->impl->parser->get().result_int());
}

std::string HttpClientConnection::reason() const
{
    return std::string(this->impl->parser->get().reason());
}

const HeaderList &HttpClientConnection::headers() const
{
    return this->impl->headers;
}

std::string HttpClientConnection::takeBody()
{
    return std::exchange(this->impl->parser->get().body(), std::string());
}

std::size_t HttpClientConnection::bodyMemory() const
{
    return this->impl->parser->get().body().capacity();
}

bool HttpClientConnection::isComplete() const
{
    return this->impl->parser && this->impl->parser->is_done();
}

bool HttpClientConnection::endsWithConnection() const
{
    return this->impl->parser && this->impl->parser->need_eof();
}

bool HttpClientConnection::isReusable() const
{
    const Impl &connection = *this->impl;
    return !connection.closed && connection.requestSent && this->isComplete() && connection.parser->get().keep_alive()
        && !connection.parser->need_eof() && connection.buffer.size() == 0;
}

Millis HttpClientConnection::keepAlive() const
{
    // The list keeps a view of its text. It separates parameters by semicolons, the header by commas.
    std::string parameters(";");
    parameters += this->impl->headers.find("Keep-Alive");
    std::replace(parameters.begin(), parameters.end(), ',', ';');
    for (const auto &parameter : http::param_list(parameters)) {
        if (boost::beast::iequals(parameter.first, "timeout")) {
            const std::uint64_t seconds = parseNumber(std::string(parameter.second)).value_or(0);
            return Millis(1000 * std::int64_t(std::min(seconds, MaxKeepAliveSeconds)));
        }
    }
    return Millis(0);
}

void HttpClientConnection::watchIdle()
{
    Impl &connection = *this->impl;
    connection.watchId = ++connection.lastWatchId;
    if (connection.parser) {
        this->takeBody(); // An idle connection must not hold the body of a response that nobody has taken.
    }
    connection.stream.expires_never();
    connection.stream.socket().async_wait(
        tcp::socket::wait_read,
        [self = this->shared_from_this(), watchId = connection.watchId](const auto & /*error*/) {
            if (self->impl->watchId == watchId) {
                self->impl->watchId = 0;
                self->close();
            }
        });
}

bool HttpClientConnection::stopIdleWatch()
{
    Impl &connection = *this->impl;
    if (connection.watchId == 0 || connection.closed) {
        return false;
    }
    connection.watchId = 0;
    boost::system::error_code error;
    connection.stream.socket().cancel(error);
    // Bytes that arrived while the connection was idle belong to no request.
    if (connection.stream.socket().available(error) > 0 || error) {
        this->close();
        return false;
    }
    return true;
}

void HttpClientConnection::close()
{
    if (this->impl->closed) {
        return;
    }
    this->impl->closed = true;
    this->impl->stream.close();
}

const std::string &HttpClientConnection::address() const
{
    return this->impl->address;
}

}
