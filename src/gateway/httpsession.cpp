#include "httpsession.h"

#include "awaiting.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/beast/http/string_body.hpp>

namespace Cyclamen
{

namespace
{

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using Parser = http::request_parser<http::string_body>;

// Bytes of pipelined requests that are read ahead while a request is handled, to notice that the caller closes.
constexpr std::size_t MaxReadAhead = 64U << 10U;
// Bytes asked for by one read: a page, which most requests fit in.
constexpr std::size_t ReadBytes = 4096;
// How long a refused caller's remaining bytes are read before the close, which would otherwise reset the answer.
constexpr Millis LingerTime{1000};

int refusalStatus(const boost::system::error_code &error)
{
    if (error == http::error::header_limit) {
        return 431;
    }
    if (error == http::error::body_limit) {
        return 413;
    }
    return error.category() == http::make_error_code(http::error::header_limit).category() ? 400 : 0;
}

// Ends a read that takes too long and leaves the connection open.
class ReadLimit
{
public:
    ReadLimit(boost::beast::tcp_stream &stream, Millis length)
        : stream(stream)
        , length(length)
        , timer(stream.get_executor())
        , state(std::make_shared<State>())
    {
        this->stream.expires_never();
        this->restart();
    }

    ~ReadLimit()
    {
        this->stop();
    }
    ReadLimit(const ReadLimit &) = delete;
    ReadLimit &operator=(const ReadLimit &) = delete;

    void restart()
    {
        this->timer.expires_after(this->length);
        this->timer.async_wait([this, shared = this->state](const boost::system::error_code &error) {
            // The handler may be queued already when stop() is called; this object may be gone then.
            if (!error && !shared->stopped) {
                shared->over = true;
                this->stream.socket().cancel();
            }
        });
    }

    void stop()
    {
        this->state->stopped = true;
        this->timer.cancel();
    }

    bool isOver() const
    {
        return this->state->over;
    }

private:
    struct State
    {
        bool over = false;
        bool stopped = false;
    };
    boost::beast::tcp_stream &stream;
    Millis length;
    boost::asio::steady_timer timer;
    std::shared_ptr<State> state;
};

bool isWellFormed(const Parser &parser)
{
    const auto &message = parser.get();
    const auto encoding = message[http::field::transfer_encoding];
    return message.count(http::field::host) == 1 && message.version() == 11
        && (encoding.empty() || boost::beast::iequals(encoding, "chunked")) && message.target().starts_with('/');
}

}

struct HttpSession::Members
{
    Members(tcp::socket socket, std::function<CallerLimits()> limitsHook, Handler requestHandler)
        : stream(std::move(socket))
        , limits(std::move(limitsHook))
        , handler(std::move(requestHandler))
    {
    }

    boost::beast::tcp_stream stream;
    std::function<CallerLimits()> limits;
    Handler handler;
    boost::beast::flat_buffer buffer;
    boost::asio::cancellation_signal watchCancel;
    std::function<void()> goneHook;
    bool gone = false;
    bool busy = false;
    bool answered = false;
    bool closing = false;
    bool headRequest = false;
    std::uint64_t watch = 0; ///< Number of the watch in force; 0 if there is none.
    std::uint64_t watches = 0;
};

HttpSession::HttpSession(tcp::socket socket, std::function<CallerLimits()> limits, Handler handler)
    : members(std::make_unique<Members>(std::move(socket), std::move(limits), std::move(handler)))
{
}

HttpSession::~HttpSession() = default;

boost::asio::awaitable<void> HttpSession::run()
{
    const auto self = this->shared_from_this();
    boost::system::error_code error;
    this->members->stream.socket().set_option(tcp::no_delay(true), error);
    while (!this->members->closing && !this->members->gone) {
        const bool begins = co_await this->waitForRequest();
        if (!begins) {
            break;
        }
        RouterRequest request;
        this->members->answered = false;
        const bool complete = co_await this->readRequest(request);
        if (!complete) {
            break;
        }
        this->watchCaller();
        co_await this->members->handler(*this, request);
        this->unwatchCaller();
        this->members->busy = false;
        this->members->goneHook = nullptr;
    }
    co_await this->closeGracefully();
}

boost::asio::awaitable<bool> HttpSession::waitForRequest()
{
    Members &session = *this->members;
    if (session.buffer.size() > 0) {
        session.busy = true;
        co_return true;
    }
    session.stream.expires_after(session.limits().idleTimeout);
    boost::system::error_code error;
    const std::size_t count =
        co_await session.stream.async_read_some(session.buffer.prepare(ReadBytes), withError(error));
    session.buffer.commit(count);
    session.busy = !error;
    session.gone = session.gone || (error && error != boost::beast::error::timeout);
    co_return !error;
}

boost::asio::awaitable<bool> HttpSession::readRequest(RouterRequest &request)
{
    Members &session = *this->members;
    const CallerLimits limits = session.limits();
    Parser parser;
    parser.header_limit(std::uint32_t(limits.maxHeaderBytes));
    parser.body_limit(limits.maxBodyBytes);
    boost::system::error_code error;
    // The stream's own time limit would close the connection, so a slow caller would get no answer.
    ReadLimit limit(session.stream, limits.headerTimeout);
    co_await http::async_read_header(session.stream, session.buffer, parser, withError(error));
    request.received = Clock::now();
    if (!error && !isWellFormed(parser)) {
        co_await this->refuse(400);
        co_return false;
    }
    if (!error && boost::beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        co_await this->write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    while (!error && !parser.is_done()) {
        // A body may take as long as it likes while bytes keep coming.
        limit.restart();
        co_await http::async_read_some(session.stream, session.buffer, parser, withError(error));
    }
    limit.stop();
    if (error) {
        const int status = limit.isOver() ? 408 : refusalStatus(error);
        if (status != 0) {
            co_await this->refuse(status);
        }
        co_return false;
    }
    auto message = parser.release();
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.host = std::string(message[http::field::host]);
    for (const auto &field : message) {
        request.headers.add(std::string(field.name_string()), std::string(field.value()));
    }
    session.closing = session.closing || !message.keep_alive();
    session.headRequest = message.method() == http::verb::head;
    request.headers.removeConnectionHeaders();
    request.headers.remove("Expect");
    request.body = std::move(message.body());
    co_return true;
}

boost::asio::awaitable<void> HttpSession::refuse(int status)
{
    this->members->closing = true;
    this->members->headRequest = false;
    co_await this->reply(status, "", HeaderList(), "");
}

boost::asio::awaitable<void> HttpSession::reply(int status, std::string reason, HeaderList headers, std::string body)
{
    this->members->answered = true;
    headers.removeConnectionHeaders();
    if (reason.empty()) {
        reason = std::string(http::obsolete_reason(http::int_to_status(unsigned(status))));
    }
    std::string message = "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n" + headers.text();
    if (status != 204 && status != 304) {
        message += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    message += this->members->closing ? "Connection: close\r\n\r\n" : "\r\n";
    if (!this->members->headRequest) {
        message += body;
    }
    co_await this->write(std::move(message));
}

boost::asio::awaitable<void> HttpSession::startStream(int status, std::string reason, HeaderList headers)
{
    this->members->answered = true;
    headers.removeConnectionHeaders();
    std::string message = "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n" + headers.text();
    message += this->members->closing ? "Connection: close\r\n" : "";
    co_await this->write(message + "Transfer-Encoding: chunked\r\n\r\n");
}

boost::asio::awaitable<void> HttpSession::sendPart(std::string bytes)
{
    if (bytes.empty()) {
        co_return;
    }
    std::array<char, 20> size{};
    const auto end = std::to_chars(size.data(), size.data() + size.size(), bytes.size(), 16).ptr;
    co_await this->write(std::string(size.data(), end) + "\r\n" + bytes + "\r\n");
}

boost::asio::awaitable<void> HttpSession::endStream()
{
    co_await this->write("0\r\n\r\n");
}

void HttpSession::abort()
{
    this->members->gone = true;
    this->members->stream.close();
}

boost::asio::awaitable<void> HttpSession::write(std::string bytes)
{
    if (this->members->gone) {
        co_return;
    }
    this->members->stream.expires_after(WriteTimeout);
    boost::system::error_code error;
    co_await boost::asio::async_write(this->members->stream, boost::asio::buffer(bytes), withError(error));
    if (error) {
        this->markGone();
    }
}

boost::asio::awaitable<void> HttpSession::closeGracefully()
{
    Members &session = *this->members;
    boost::system::error_code error;
    if (session.gone) {
        session.stream.close();
        co_return;
    }
    session.stream.socket().shutdown(tcp::socket::shutdown_send, error);
    session.stream.expires_after(LingerTime);
    while (!error) {
        session.buffer.clear();
        const std::size_t count =
            co_await session.stream.async_read_some(session.buffer.prepare(ReadBytes), withError(error));
        if (count == 0) {
            break;
        }
    }
    session.stream.close();
}

void HttpSession::watchCaller()
{
    Members &session = *this->members;
    session.watch = ++session.watches;
    session.stream.socket().async_wait(
        tcp::socket::wait_read,
        boost::asio::bind_cancellation_slot(
            session.watchCancel.slot(),
            [self = this->shared_from_this(), watch = session.watch](const boost::system::error_code &error) {
                Members &its = *self->members;
                if (its.watch != watch) {
                    return;
                }
                its.watch = 0;
                if (error) {
                    self->markGone();
                    return;
                }
                boost::system::error_code readError;
                const std::size_t room = its.buffer.size() < MaxReadAhead ? MaxReadAhead - its.buffer.size() : 0;
                if (room == 0) {
                    return;
                }
                its.stream.socket().non_blocking(true, readError);
                const std::size_t count =
                    its.stream.socket().read_some(its.buffer.prepare(std::min(room, ReadBytes)), readError);
                its.buffer.commit(count);
                if (readError && readError != boost::asio::error::would_block) {
                    self->markGone();
                    return;
                }
                self->watchCaller();
            }));
}

void HttpSession::unwatchCaller()
{
    this->members->watch = 0;
    this->members->watchCancel.emit(boost::asio::cancellation_type::all);
}

void HttpSession::markGone()
{
    if (std::exchange(this->members->gone, true)) {
        return;
    }
    if (const auto hook = std::exchange(this->members->goneHook, nullptr)) {
        hook();
    }
}

bool HttpSession::isCallerGone() const
{
    return this->members->gone;
}

void HttpSession::onCallerGone(std::function<void()> hook)
{
    this->members->goneHook = std::move(hook);
}

void HttpSession::closeAfterAnswer()
{
    this->members->closing = true;
}

void HttpSession::closeIfIdle()
{
    this->members->closing = true;
    if (!this->members->busy) {
        this->members->stream.cancel();
    }
}

bool HttpSession::isAnswered() const
{
    return this->members->answered;
}

}
