#include "answerrelay.h"

namespace Cyclamen
{

namespace
{

constexpr std::size_t MaxWholeBytes = 32U << 20U;

}

AnswerRelay::AnswerRelay(CallerExchange &exchange, const ModelRequest &request, const std::string &requestId,
                         std::function<void()> begun)
    : exchange(exchange)
    , requestId(requestId)
    , stream(request.stream)
    , writer(request, requestId, unixSeconds())
    , begun(std::move(begun))
    , streamCheck(requestId)
{
}

void AnswerRelay::expect(const std::string &attemptId)
{
    this->streamCheck = StreamCheck(attemptId);
}

void AnswerRelay::resume()
{
    this->streamCheck.resume();
}

bool AnswerRelay::take(std::string_view data)
{
    const auto text = this->streamCheck.take(data);
    if (text) {
        return this->deliver(*text);
    }
    return this->streamCheck.violation().empty() && !this->streamCheck.complete();
}

bool AnswerRelay::deliver(const std::string &text)
{
    this->last = Clock::now();
    if (this->count == 0) {
        this->first = this->last;
        this->begun();
    }
    ++this->count;
    if (!this->stream) {
        this->whole += text;
        return this->whole.size() <= MaxWholeBytes;
    }
    bool written = true;
    if (!this->exchange.streamBegun()) {
        written = this->exchange.beginStream(
            {{"Content-Type", "text/event-stream"}, {"Cache-Control", "no-store"}, {"Request-Id", this->requestId}});
    }
    if (!written || !this->exchange.write(this->writer.chunk(text))) {
        this->exchange.cancelSignal().cancel(CancelReason::CallerGone);
        return false;
    }
    return true;
}

const StreamCheck &AnswerRelay::check() const
{
    return this->streamCheck;
}

std::uint64_t AnswerRelay::outputs() const
{
    return this->count;
}

TimePoint AnswerRelay::firstOutput() const
{
    return this->first;
}

Micros AnswerRelay::betweenOutputs() const
{
    if (this->count < 2) {
        return Micros(0);
    }
    return std::chrono::duration_cast<Micros>(this->last - this->first) / static_cast<std::int64_t>(this->count - 1);
}

std::string AnswerRelay::finish()
{
    if (!this->stream) {
        std::string answer = this->writer.whole(this->whole, this->count);
        this->exchange.reply(
            HttpReply{200, {{"Content-Type", "application/json"}, {"Request-Id", this->requestId}}, answer});
        return answer;
    }
    if (!this->exchange.streamBegun()) {
        this->exchange.beginStream(
            {{"Content-Type", "text/event-stream"}, {"Cache-Control", "no-store"}, {"Request-Id", this->requestId}});
    }
    this->exchange.write(this->writer.streamEnd());
    this->exchange.endStream();
    return "";
}

void AnswerRelay::fail(const CallerError &error)
{
    if (this->exchange.streamBegun()) {
        this->exchange.write(this->writer.streamError(error));
        this->exchange.abortStream();
    } else {
        this->exchange.reply(errorReply(error, this->requestId));
    }
}

}
