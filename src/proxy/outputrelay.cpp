#include "outputrelay.h"

namespace Cyclamen
{

namespace
{

constexpr std::size_t MaxBufferedBytes = 32U << 20U;

}

OutputRelay::OutputRelay(CallerExchange &exchange, const ModelRequest &request, const std::string &requestId,
                         std::function<void()> onFirstOutput)
    : exchange(exchange)
    , requestId(requestId)
    , stream(request.stream)
    , formatter(request, requestId, unixSeconds())
    , onFirstOutput(std::move(onFirstOutput))
    , streamValidator(requestId)
{
}

void OutputRelay::startAttempt(const std::string &attemptId)
{
    this->streamValidator = StreamValidator(attemptId);
}

void OutputRelay::resume()
{
    this->streamValidator.resume();
}

bool OutputRelay::handleEvent(std::string_view data)
{
    const auto text = this->streamValidator.accept(data);
    if (text) {
        return this->deliver(*text);
    }
    return this->streamValidator.violation().empty() && !this->streamValidator.complete();
}

bool OutputRelay::deliver(const std::string &text)
{
    this->lastOutputTime = Clock::now();
    if (this->outputCount == 0) {
        this->firstOutputTime = this->lastOutputTime;
        this->onFirstOutput();
    }
    ++this->outputCount;
    if (!this->stream) {
        this->bufferedText += text;
        return this->bufferedText.size() <= MaxBufferedBytes;
    }
    bool written = true;
    if (!this->exchange.streamStarted()) {
        written = this->exchange.startStream(
            {{"Content-Type", "text/event-stream"}, {"Cache-Control", "no-store"}, {"Request-Id", this->requestId}});
    }
    if (!written || !this->exchange.write(this->formatter.chunkEvent(text))) {
        this->exchange.cancelSignal().cancel(CancelReason::CallerGone);
        return false;
    }
    return true;
}

const StreamValidator &OutputRelay::validator() const
{
    return this->streamValidator;
}

std::uint64_t OutputRelay::outputs() const
{
    return this->outputCount;
}

TimePoint OutputRelay::firstOutput() const
{
    return this->firstOutputTime;
}

Micros OutputRelay::betweenOutputs() const
{
    if (this->outputCount < 2) {
        return Micros(0);
    }
    return std::chrono::duration_cast<Micros>(this->lastOutputTime - this->firstOutputTime)
        / static_cast<std::int64_t>(this->outputCount - 1);
}

std::string OutputRelay::finish()
{
    if (!this->stream) {
        std::string body = this->formatter.fullResponse(this->bufferedText, this->outputCount);
        this->exchange.reply(
            HttpReply{200, {{"Content-Type", "application/json"}, {"Request-Id", this->requestId}}, body});
        return body;
    }
    if (!this->exchange.streamStarted()) {
        this->exchange.startStream(
            {{"Content-Type", "text/event-stream"}, {"Cache-Control", "no-store"}, {"Request-Id", this->requestId}});
    }
    this->exchange.write(this->formatter.endEvent());
    this->exchange.endStream();
    return "";
}

void OutputRelay::fail(const CallerError &error)
{
    if (this->exchange.streamStarted()) {
        this->exchange.write(this->formatter.errorEvent(error));
        this->exchange.abortStream();
    } else {
        this->exchange.reply(errorReply(error, this->requestId));
    }
}

}
