#include "httpsession.h"

#include "asioutil.h"
#include "tcpprogress.h"

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

// Maximum number of bytes of pipelined requests that are read ahead while a request is handled. Reading ahead detects
// that the caller closes the connection.
constexpr std::size_t MaxReadAhead = 64U << 10U;
// Buffer size of one read: a memory page, which most requests fit in.
constexpr std::size_t ReadBytes = 4096;
// Size of the kernel's buffer for bytes on their way to a caller, which doubles it for its own use. Without it, the
// kernel holds up to 4 MB for each caller that does not read.
constexpr int SendBufferBytes = 32 << 10;
// How long a caller's remaining bytes are read before the connection is closed. Closing with unread bytes would reset
// the connection, and the caller could lose the response.
constexpr Millis LingerTime{1000};

// Bytes that may be buffered beyond the limit of the header.
constexpr std::size_t ReadAheadBytes = 64U << 10U;
// Time for the body of a request, relative to the time for its header.
constexpr int BodyTimeFactor = 10;

// Returns the status that tells the caller why its request could not be parsed; 0 if the connection itself failed.
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

// Cancels a read that takes too long but leaves the connection open, so that an error can be sent.
class ReadTimeout
{
public:
    ReadTimeout(boost::beast::tcp_stream &stream, Millis duration)
        : stream(stream)
        , duration(duration)
        , timer(stream.get_executor())
        , state(std::make_shared<State>())
    {
        this->stream.expires_never();
        this->restart();
    }

    ~ReadTimeout()
    {
        this->stop();
    }
    ReadTimeout(const ReadTimeout &) = delete;
    ReadTimeout &operator=(const ReadTimeout &) = delete;

    void restart()
    {
        this->timer.expires_after(this->duration);
        this->timer.async_wait([this, shared = this->state](const boost::system::error_code &error) {
            // The handler may be queued already when stop() is called; this object may be gone then.
            if (!error && !shared->stopped) {
                shared->expired = true;
                this->stream.socket().cancel();
            }
        });
    }

    void stop()
    {
        this->state->stopped = true;
        this->timer.cancel();
    }

    bool hasExpired() const
    {
        return this->state->expired;
    }

private:
    struct State
    {
        bool expired = false;
        bool stopped = false;
    };
    boost::beast::tcp_stream &stream;
    Millis duration;
    boost::asio::steady_timer timer;
    std::shared_ptr<State> state;
};

// Fills in the head of a request.
void setHead(RouterRequest &request, const Parser &parser)
{
    const auto &message = parser.get();
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.host = std::string(message[http::field::host]);
    for (const auto &field : message) {
        request.headers.add(std::string(field.name_string()), std::string(field.value()));
    }
    request.headers.removeConnectionHeaders();
    request.headers.remove("Expect");
}

bool isWellFormed(const Parser &parser)
{
    const auto &message = parser.get();
    const auto encoding = message[http::field::transfer_encoding];
    return message.count(http::field::host) == 1 && message.version() == 11
        && (encoding.empty() || boost::beast::iequals(encoding, "chunked")) && message.target().starts_with('/');
}

}

struct HttpSession::Impl
{
    Impl(tcp::socket socket, std::function<CallerLimits()> limitsHook, Handler requestHandler)
        : stream(std::move(socket))
        , limits(std::move(limitsHook))
        , handler(std::move(requestHandler))
        , writeTimer(stream.get_executor())
        , roomSignal(stream.get_executor())
    {
    }

    boost::beast::tcp_stream stream;
    std::function<CallerLimits()> limits;
    Handler handler;
    std::shared_ptr<MemoryBudget> bodyMemory;
    std::function<HeaderList(RouterRequest &request)> bodyRefusedHook;
    boost::beast::flat_buffer buffer;
    boost::asio::cancellation_signal watchCancel;
    std::function<void()> callerDisconnectHook;
    bool gone = false;
    /// What the connection is used for.
    enum class Phase : std::uint8_t {
        Idle, ///< Waiting for the first bytes of a request.
        Reading, ///< Reading a request.
        Handling, ///< A complete request is being handled, or an answer is being sent.
        Closing, ///< The last answer is being sent or has been sent.
    };
    Phase phase = Phase::Idle;
    bool refusingIncomplete = false; ///< The request that is being read is refused.
    bool responseStarted = false;
    bool closing = false;
    bool headRequest = false;
    std::uint64_t watchId = 0; ///< Id of the current watch of the caller; 0 if there is none.
    std::uint64_t lastWatchId = 0;
    std::string queue; ///< Chunks that are not being written yet.
    std::string queueWrite; ///< The part of the queue that is being written.
    std::size_t writingBytes = 0; ///< Size of the current write; 0 if there is none.
    boost::asio::steady_timer writeTimer; ///< Of the current write.
    std::uint64_t writeId = 0; ///< Of the current write, for its timer.
    boost::asio::steady_timer roomSignal; ///< Cancelled when a write ends or the caller is gone.
    MemoryLease queueMemory;
    std::optional<TcpProgress> lastProgress; ///< Of the last checkProgress().
    std::optional<TimePoint> stalledSince;
    std::string cutReason;
    std::size_t unsentAtCut = 0;
};

HttpSession::HttpSession(tcp::socket socket, std::function<CallerLimits()> limits, Handler handler)
    : impl(std::make_unique<Impl>(std::move(socket), std::move(limits), std::move(handler)))
{
}

HttpSession::~HttpSession() = default;

void HttpSession::boundBodies(std::shared_ptr<MemoryBudget> memory,
                              std::function<HeaderList(RouterRequest &request)> onRefused)
{
    this->impl->bodyMemory = std::move(memory);
    this->impl->queueMemory = MemoryLease(this->impl->bodyMemory, MemoryBudget::Use::ResponseBody);
    this->impl->bodyRefusedHook = std::move(onRefused);
}

boost::asio::awaitable<void> HttpSession::run()
{
    const auto self = this->shared_from_this();
    boost::system::error_code error;
    this->impl->stream.socket().set_option(tcp::no_delay(true), error);
    this->impl->stream.socket().set_option(boost::asio::socket_base::send_buffer_size(SendBufferBytes), error);
    while (!this->impl->closing && !this->impl->gone) {
        const bool requestStarted = co_await this->waitForRequest();
        if (!requestStarted) {
            break;
        }
        RouterRequest request;
        this->impl->responseStarted = false;
        const bool complete = co_await this->readRequest(request);
        if (!complete) {
            break;
        }
        this->watchCaller();
        this->impl->phase = Impl::Phase::Handling;
        co_await this->impl->handler(*this, request);
        this->stopWatchingCaller();
        this->impl->phase = Impl::Phase::Idle;
        this->impl->callerDisconnectHook = nullptr;
    }
    co_await this->closeGracefully();
}

boost::asio::awaitable<bool> HttpSession::waitForRequest()
{
    Impl &session = *this->impl;
    if (session.buffer.size() > 0) {
        session.phase = Impl::Phase::Reading;
        co_return true;
    }
    session.stream.expires_after(session.limits().idleTimeout);
    boost::system::error_code error;
    const std::size_t count =
        co_await session.stream.async_read_some(session.buffer.prepare(ReadBytes), awaitableWithError(error));
    session.buffer.commit(count);
    session.phase = error ? Impl::Phase::Idle : Impl::Phase::Reading;
    const bool cancelled = session.closing && error == boost::asio::error::operation_aborted;
    session.gone = session.gone || (error && error != boost::beast::error::timeout && !cancelled);
    co_return !error;
}

boost::asio::awaitable<bool> HttpSession::readRequest(RouterRequest &request)
{
    Impl &session = *this->impl;
    const CallerLimits limits = session.limits();
    // Also bounds the size line of a chunk, to which the parser's limits do not apply.
    session.buffer.max_size(limits.maxHeaderBytes + ReadAheadBytes);
    Parser parser;
    parser.header_limit(std::uint32_t(limits.maxHeaderBytes));
    parser.body_limit(limits.maxBodyBytes);
    boost::system::error_code error;
    // The stream's own timeout would close the connection, and a slow caller would get no response.
    ReadTimeout readTimeout(session.stream, limits.headerTimeout);
    co_await http::async_read_header(session.stream, session.buffer, parser, awaitableWithError(error));
    request.received = Clock::now();
    if (!error && !isWellFormed(parser)) {
        co_await this->refuse(400);
        co_return false;
    }
    MemoryLease lease(session.bodyMemory, MemoryBudget::Use::RequestBody);
    if (!error) {
        setHead(request, parser);
        session.closing = session.closing || !parser.get().keep_alive();
        if (!lease.growTo(std::size_t(parser.content_length().value_or(0)))) {
            co_await this->refuseBody(request);
            co_return false;
        }
    }
    if (!error && boost::beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        session.phase = Impl::Phase::Handling;
        co_await this->write("HTTP/1.1 100 Continue\r\n\r\n");
        session.phase = Impl::Phase::Reading;
    }
    const TimePoint bodyDeadline = request.received + limits.headerTimeout * BodyTimeFactor;
    while (!error && !session.refusingIncomplete && !parser.is_done()) {
        // The timeout applies to each read, and a longer one to all of them, since single bytes may arrive forever.
        if (Clock::now() >= bodyDeadline) {
            co_await this->refuse(408);
            co_return false;
        }
        readTimeout.restart();
        co_await http::async_read_some(session.stream, session.buffer, parser, awaitableWithError(error));
        // The length of a chunked body is not known before its end.
        if (!error && !lease.growTo(parser.get().body().capacity())) {
            co_await this->refuseBody(request);
            co_return false;
        }
    }
    readTimeout.stop();
    if (error || !parser.is_done()) {
        const int failure = readTimeout.hasExpired() ? 408 : refusalStatus(error);
        const int status = session.refusingIncomplete ? 503 : failure;
        if (status != 0) {
            co_await this->refuse(status);
        }
        co_return false;
    }
    auto message = parser.release();
    session.headRequest = message.method() == http::verb::head;
    request.body = RequestBody(std::move(message.body()), std::move(lease));
    co_return true;
}

boost::asio::awaitable<void> HttpSession::refuse(int status, HeaderList headers)
{
    this->impl->phase = Impl::Phase::Closing;
    this->impl->closing = true;
    this->impl->headRequest = false;
    co_await this->reply(status, "", std::move(headers), "");
}

boost::asio::awaitable<void> HttpSession::refuseBody(RouterRequest &request)
{
    HeaderList headers = this->impl->bodyRefusedHook(request);
    co_await this->refuse(503, std::move(headers));
}

boost::asio::awaitable<void> HttpSession::reply(int status, std::string reason, HeaderList headers, std::string body)
{
    this->impl->responseStarted = true;
    headers.removeConnectionHeaders();
    if (reason.empty()) {
        reason = std::string(http::obsolete_reason(http::int_to_status(unsigned(status))));
    }
    std::string message = "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n" + headers.text();
    if (status != 204 && status != 304) {
        message += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    message += this->impl->closing ? "Connection: close\r\n\r\n" : "\r\n";
    if (this->impl->headRequest) {
        body.clear();
    }
    co_await this->write(std::move(message), std::move(body));
}

boost::asio::awaitable<void> HttpSession::startStream(int status, std::string reason, HeaderList headers)
{
    this->impl->responseStarted = true;
    headers.removeConnectionHeaders();
    std::string message = "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n" + headers.text();
    message += this->impl->closing ? "Connection: close\r\n" : "";
    co_await this->write(message + "Transfer-Encoding: chunked\r\n\r\n");
}

boost::asio::awaitable<void> HttpSession::sendChunk(std::string bytes)
{
    if (bytes.empty()) {
        co_return;
    }
    this->queueChunk(bytes);
    co_await this->flush();
}

bool HttpSession::queueChunk(const std::string &bytes)
{
    Impl &session = *this->impl;
    if (bytes.empty() || session.gone) {
        return true;
    }
    std::array<char, 20> size{};
    const auto end = std::to_chars(size.data(), size.data() + size.size(), bytes.size(), 16).ptr;
    session.queue.append(size.data(), end);
    session.queue += "\r\n";
    session.queue += bytes;
    session.queue += "\r\n";
    const bool admitted = session.queueMemory.growTo(this->unsentBytes());
    if (session.writingBytes == 0) {
        this->writeQueue();
    }
    return admitted;
}

std::size_t HttpSession::unsentBytes() const
{
    return this->impl->queue.size() + this->impl->writingBytes;
}

void HttpSession::checkProgress(TimePoint now)
{
    Impl &session = *this->impl;
    const auto progress = session.gone ? std::nullopt : TcpProgress::read(session.stream.socket().native_handle());
    const bool stalled = progress && progress->hasOutstanding && session.lastProgress == progress;
    session.lastProgress = progress;
    session.stalledSince = stalled ? session.stalledSince.value_or(now) : std::optional<TimePoint>();
}

void HttpSession::forgetProgress()
{
    this->impl->lastProgress = std::nullopt;
    this->impl->stalledSince = std::nullopt;
}

std::optional<TimePoint> HttpSession::stalledSince() const
{
    return this->impl->stalledSince;
}

boost::asio::awaitable<void> HttpSession::waitForRoom(std::size_t bytes, TimePoint until)
{
    const auto self = this->shared_from_this();
    while (!this->impl->gone && this->unsentBytes() > bytes && Clock::now() < until) {
        this->impl->roomSignal.expires_at(until);
        boost::system::error_code error;
        co_await this->impl->roomSignal.async_wait(awaitableWithError(error));
    }
}

boost::asio::awaitable<void> HttpSession::flush()
{
    // Each write has a timeout, so this ends.
    while (!this->impl->gone && this->unsentBytes() > 0) {
        co_await this->waitForRoom(0, Clock::now() + WriteTimeout);
    }
}

void HttpSession::writeQueue()
{
    Impl &session = *this->impl;
    const std::size_t count = std::min(session.queue.size(), QueueWriteBytes);
    session.queueWrite = session.queue.substr(0, count);
    session.queue.erase(0, count);
    session.writingBytes = count;
    session.stream.expires_never();
    this->startWriteTimer();
    boost::asio::async_write(
        session.stream, boost::asio::buffer(session.queueWrite),
        [self = this->shared_from_this()](const boost::system::error_code &error, std::size_t /*count*/) {
            Impl &current = *self->impl;
            self->stopWriteTimer();
            if (error || current.gone) {
                current.queue = std::string();
                current.queueMemory.release();
                self->markCallerDisconnected();
                return;
            }
            if (!current.queue.empty()) {
                self->writeQueue();
            } else {
                current.queueMemory.release();
            }
            current.roomSignal.cancel();
        });
}

void HttpSession::startWriteTimer()
{
    Impl &session = *this->impl;
    session.writeTimer.expires_after(WriteTimeout);
    session.writeTimer.async_wait(
        [weak = this->weak_from_this(), id = ++session.writeId](const boost::system::error_code &error) {
            // The handler may be queued already when the write ends.
            const auto self = weak.lock();
            if (!error && self && self->impl->writeId == id && self->impl->writingBytes > 0) {
                self->cut("write-timeout");
            }
        });
}

void HttpSession::stopWriteTimer()
{
    this->impl->writingBytes = 0;
    this->impl->writeTimer.cancel();
}

void HttpSession::cut(const std::string &reason)
{
    Impl &session = *this->impl;
    if (session.gone) {
        return;
    }
    session.cutReason = reason;
    session.unsentAtCut = this->unsentBytes();
    // Otherwise the kernel would keep the unread bytes for minutes.
    boost::system::error_code error;
    session.stream.socket().set_option(boost::asio::socket_base::linger(true, 0), error);
    this->markCallerDisconnected();
    session.stream.close();
}

std::size_t HttpSession::unsentAtCut() const
{
    return this->impl->unsentAtCut;
}

const std::string &HttpSession::cutReason() const
{
    return this->impl->cutReason;
}

boost::asio::awaitable<void> HttpSession::endStream()
{
    co_await this->write("0\r\n\r\n");
}

void HttpSession::abort()
{
    this->impl->gone = true;
    this->impl->roomSignal.cancel();
    this->impl->stream.close();
}

boost::asio::awaitable<void> HttpSession::write(std::string bytes, std::string body)
{
    if (this->impl->gone) {
        co_return;
    }
    co_await this->flush();
    if (this->impl->gone) {
        co_return;
    }
    this->impl->stream.expires_never();
    this->impl->writingBytes = bytes.size() + body.size();
    this->startWriteTimer();
    boost::system::error_code error;
    const std::array buffers{boost::asio::buffer(std::as_const(bytes)), boost::asio::buffer(std::as_const(body))};
    co_await boost::asio::async_write(this->impl->stream, buffers, awaitableWithError(error));
    this->stopWriteTimer();
    if (error) {
        this->markCallerDisconnected();
    }
}

boost::asio::awaitable<void> HttpSession::closeGracefully()
{
    Impl &session = *this->impl;
    session.phase = Impl::Phase::Closing;
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
            co_await session.stream.async_read_some(session.buffer.prepare(ReadBytes), awaitableWithError(error));
        if (count == 0) {
            break;
        }
    }
    session.stream.close();
}

void HttpSession::watchCaller()
{
    Impl &session = *this->impl;
    session.watchId = ++session.lastWatchId;
    session.stream.socket().async_wait(
        tcp::socket::wait_read,
        boost::asio::bind_cancellation_slot(
            session.watchCancel.slot(),
            [self = this->shared_from_this(), watchId = session.watchId](const boost::system::error_code &error) {
                Impl &current = *self->impl;
                if (current.watchId != watchId) {
                    return;
                }
                current.watchId = 0;
                if (error) {
                    self->markCallerDisconnected();
                    return;
                }
                boost::system::error_code readError;
                const std::size_t room =
                    current.buffer.size() < MaxReadAhead ? MaxReadAhead - current.buffer.size() : 0;
                if (room == 0) {
                    return;
                }
                current.stream.socket().non_blocking(true, readError);
                const std::size_t count =
                    current.stream.socket().read_some(current.buffer.prepare(std::min(room, ReadBytes)), readError);
                current.buffer.commit(count);
                if (readError && readError != boost::asio::error::would_block) {
                    self->markCallerDisconnected();
                    return;
                }
                self->watchCaller();
            }));
}

void HttpSession::stopWatchingCaller()
{
    this->impl->watchId = 0;
    this->impl->watchCancel.emit(boost::asio::cancellation_type::all);
}

void HttpSession::markCallerDisconnected()
{
    if (std::exchange(this->impl->gone, true)) {
        return;
    }
    this->impl->roomSignal.cancel();
    if (const auto hook = std::exchange(this->impl->callerDisconnectHook, nullptr)) {
        hook();
    }
}

bool HttpSession::isCallerDisconnected() const
{
    return this->impl->gone;
}

void HttpSession::onCallerDisconnect(std::function<void()> hook)
{
    this->impl->callerDisconnectHook = std::move(hook);
}

void HttpSession::closeAfterResponse()
{
    this->impl->closing = true;
}

void HttpSession::closeIfIdle()
{
    this->impl->closing = true;
    boost::system::error_code error;
    if (this->impl->phase == Impl::Phase::Idle && this->impl->stream.socket().available(error) == 0) {
        this->impl->stream.cancel();
    }
}

void HttpSession::refuseIncompleteRequest()
{
    if (this->impl->phase == Impl::Phase::Reading) {
        this->impl->refusingIncomplete = true;
        this->impl->stream.socket().cancel();
    }
}

bool HttpSession::isResponseStarted() const
{
    return this->impl->responseStarted;
}

}
