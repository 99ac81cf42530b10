#include "cyclamencross/gateway/httplink.h"

#include "awaiting.h"

#include "cyclamencross/base/number.h"

#include <optional>

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

// Bounds the memory that one response of a backend server can take.
constexpr std::uint64_t MaxResponseBytes = 16U << 20U;
constexpr std::uint32_t MaxResponseHeaderBytes = 32U << 10U;

LinkStatus toStatus(const boost::system::error_code &error)
{
    if (!error) {
        return LinkStatus::Ok;
    }
    if (error == boost::beast::error::timeout) {
        return LinkStatus::TimedOut;
    }
    if (error == boost::asio::error::operation_aborted || error == boost::asio::error::bad_descriptor) {
        return LinkStatus::Cancelled;
    }
    if (error == http::error::end_of_stream || error == http::error::partial_message) {
        return LinkStatus::Broken;
    }
    return error.category() == http::make_error_code(http::error::end_of_stream).category() ? LinkStatus::Malformed
                                                                                            : LinkStatus::Broken;
}

}

struct HttpLink::Members
{
    Members(const boost::asio::any_io_executor &executor, std::string serverAddress)
        : stream(executor)
        , address(std::move(serverAddress))
    {
    }

    boost::beast::tcp_stream stream;
    std::string address;
    boost::beast::flat_buffer buffer;
    std::optional<Parser> parser;
    HeaderList headers;
    bool headRequest = false;
    bool closed = false;
    bool requestSent = true;
    std::uint64_t watchId = 0; ///< Id of the current idle watch; 0 if there is none.
    std::uint64_t lastWatchId = 0;
};

HttpLink::HttpLink(const boost::asio::any_io_executor &executor, std::string address)
    : members(std::make_unique<Members>(executor, std::move(address)))
{
}

HttpLink::~HttpLink() = default;

boost::asio::awaitable<bool> HttpLink::connect(Millis timeout)
{
    const auto self = this->shared_from_this();
    const auto endpoint = toTcpEndpoint(this->members->address);
    if (!endpoint) {
        co_return false;
    }
    this->members->stream.expires_after(timeout);
    boost::system::error_code error;
    co_await this->members->stream.async_connect(*endpoint, withError(error));
    if (error || this->members->closed) {
        this->close();
        co_return false;
    }
    this->members->stream.expires_never();
    this->members->stream.socket().set_option(tcp::no_delay(true), error);
    co_return true;
}

void HttpLink::startExchange(std::string bytes, bool headRequest)
{
    Members &connection = *this->members;
    connection.headRequest = headRequest;
    this->expectNextResponse();
    connection.requestSent = false;
    auto message = std::make_shared<std::string>(std::move(bytes));
    // The reads set the timeout of an exchange; a blocked write ends when the connection is closed.
    connection.stream.expires_never();
    boost::asio::async_write(
        connection.stream, boost::asio::buffer(*message),
        [self = this->shared_from_this(), message](const boost::system::error_code &error, std::size_t /*sent*/) {
            // The reads report the failure; they may still deliver a response that the server sent early.
            self->members->requestSent = !error;
        });
}

void HttpLink::expectNextResponse()
{
    Members &connection = *this->members;
    connection.parser.emplace();
    connection.parser->body_limit(MaxResponseBytes);
    connection.parser->header_limit(MaxResponseHeaderBytes);
    connection.parser->eager(true);
    connection.parser->skip(connection.headRequest);
}

boost::asio::awaitable<LinkStatus> HttpLink::readHead(TimePoint deadline)
{
    const auto self = this->shared_from_this();
    Members &connection = *this->members;
    boost::system::error_code error;
    while (true) {
        if (connection.closed) {
            co_return LinkStatus::Cancelled;
        }
        connection.stream.expires_at(deadline);
        co_await http::async_read_header(connection.stream, connection.buffer, *connection.parser, withError(error));
        if (error) {
            co_return connection.closed &&error != boost::beast::error::timeout ? LinkStatus::Cancelled
                                                                                : toStatus(error);
        }
        if (connection.parser->get().result_int() != 100) {
            break;
        }
        this->expectNextResponse();
    }
    connection.headers = HeaderList();
    for (const auto &field : connection.parser->get()) {
        connection.headers.add(std::string(field.name_string()), std::string(field.value()));
    }
    co_return LinkStatus::Ok;
}

boost::asio::awaitable<LinkStatus> HttpLink::readSome(TimePoint deadline)
{
    const auto self = this->shared_from_this();
    Members &connection = *this->members;
    if (connection.parser->is_done()) {
        co_return LinkStatus::Ok;
    }
    if (connection.closed) {
        co_return LinkStatus::Cancelled;
    }
    connection.stream.expires_at(deadline);
    boost::system::error_code error;
    co_await http::async_read_some(connection.stream, connection.buffer, *connection.parser, withError(error));
    if (error == http::error::end_of_stream && connection.parser->is_done()) {
        error = {};
    }
    if (error && connection.closed && error != boost::beast::error::timeout) {
        co_return LinkStatus::Cancelled;
    }
    co_return toStatus(error);
}

boost::asio::awaitable<LinkStatus> HttpLink::readRest(TimePoint deadline)
{
    while (!this->isComplete()) {
        const LinkStatus status = co_await this->readSome(deadline);
        if (status != LinkStatus::Ok) {
            co_return status;
        }
    }
    co_return LinkStatus::Ok;
}

boost::asio::awaitable<LinkStatus> HttpLink::exchange(std::string call, std::optional<std::string> json,
                                                      TimePoint deadline)
{
    std::string message = call + " HTTP/1.1\r\nHost: " + this->members->address + "\r\n";
    if (json) {
        message += "Content-Type: application/json\r\n";
    }
    if (!call.starts_with("GET ")) {
        message += "Content-Length: " + std::to_string(json ? json->size() : 0) + "\r\n";
    }
    message += "\r\n" + json.value_or("");
    this->startExchange(std::move(message), false);
    LinkStatus status = co_await this->readHead(deadline);
    if (status == LinkStatus::Ok) {
        status = co_await this->readRest(deadline);
    }
    co_return status;
}

int HttpLink::status() const
{
    return int(this->members->parser->get().result_int());
}

std::string HttpLink::reason() const
{
    return std::string(this->members->parser->get().reason());
}

const HeaderList &HttpLink::headers() const
{
    return this->members->headers;
}

std::string HttpLink::takeBody()
{
    return std::exchange(this->members->parser->get().body(), std::string());
}

bool HttpLink::isComplete() const
{
    return this->members->parser && this->members->parser->is_done();
}

bool HttpLink::isReusable() const
{
    const Members &connection = *this->members;
    return !connection.closed && connection.requestSent && this->isComplete() && connection.parser->get().keep_alive()
        && !connection.parser->need_eof() && connection.buffer.size() == 0;
}

Millis HttpLink::keepAlive() const
{
    const std::string value(this->members->headers.find("Keep-Alive"));
    for (const auto &parameter : http::param_list(";" + value)) {
        if (boost::beast::iequals(parameter.first, "timeout")) {
            return Millis(1000 * std::int64_t(parseNumber(std::string(parameter.second)).value_or(0)));
        }
    }
    return Millis(0);
}

void HttpLink::watchIdle()
{
    Members &connection = *this->members;
    connection.watchId = ++connection.lastWatchId;
    connection.stream.expires_never();
    connection.stream.socket().async_wait(
        tcp::socket::wait_read,
        [self = this->shared_from_this(), watchId = connection.watchId](const auto & /*error*/) {
            if (self->members->watchId == watchId) {
                self->members->watchId = 0;
                self->close();
            }
        });
}

bool HttpLink::endIdleWatch()
{
    Members &connection = *this->members;
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

void HttpLink::close()
{
    if (this->members->closed) {
        return;
    }
    this->members->closed = true;
    this->members->stream.close();
}

const std::string &HttpLink::address() const
{
    return this->members->address;
}

}
