#include "decodeengine.h"

#include "connection.h"
#include "cyclamencross/base/base64.h"
#include "emuserver.h"
#include "jsonbody.h"
#include "prompttag.h"

#include <algorithm>
#include <array>
#include <thread>

namespace Cyclamen
{

namespace
{

constexpr Millis PeerPollPeriod{20};
constexpr Millis PullTimeout{5000};
constexpr Millis CrossPatience{2000};
constexpr std::int64_t DefaultMaxTokens = 16;

std::string toText(DecodeStage stage)
{
    static constexpr std::array<const char *, 3> Texts = {"pulling", "decoding", "finished"};
    return Texts.at(static_cast<std::size_t>(stage));
}

}

DecodeEngine::DecodeEngine(const EngineOptions &options)
    : options(options)
{
}

void DecodeEngine::start(EmuServer &server)
{
    this->server = &server;
    server.route("POST", "/v1/decode",
                 [this](const auto &request, auto &response) { this->decode(request, response); });
    server.route("POST", "/v1/resume",
                 [this](const auto &request, auto &response) { this->resume(request, response); });
    server.route("POST", "/v1/cancel",
                 [this](const auto &request, auto &response) { this->cancel(request, response); });
    std::thread([this] { this->step(); }).detach();
}

DecodeEngine::StreamPtr DecodeEngine::find(const std::string &id) const
{
    const auto found = std::ranges::find_if(this->streams, [&id](const StreamPtr &other) { return other->id == id; });
    return found == this->streams.end() ? nullptr : *found;
}

void DecodeEngine::decode(const httplib::Request &request, httplib::Response &response)
{
    const nlohmann::json body = parseJson(request.body);
    const auto stream = std::make_shared<DecodeStream>();
    stream->id = textMember(body, "request_id");
    stream->maxTokens = static_cast<int>(std::max<std::int64_t>(1, numberMember(body, "max_tokens", DefaultMaxTokens)));
    stream->arrived = Clock::now();
    {
        const std::lock_guard lock(this->mutex);
        if (stream->id.empty() || textMember(body, "model") != this->options.model) {
            answerNotRun(response, 400, "request_id is missing or the model is not loaded");
            return;
        }
        const bool known = this->find(stream->id) != nullptr;
        if (known || this->streams.size() >= this->options.slots) {
            ++this->totals.rejected;
            answerNotRun(response, known ? 409 : 429, known ? "request_id is in use" : "memory is full");
            return;
        }
        this->streams.push_back(stream);
        this->totals.maxHeld = std::max(this->totals.maxHeld, this->streams.size());
    }
    const int status = this->pull(stream, textMember(body, "source"), textMember(body, "handle"));
    std::unique_lock lock(this->mutex);
    if (status != 200 || stream->cancelled) {
        this->streams.remove(stream);
        ++this->totals.pullFailures;
        const std::string message = stream->cancelled ? "cancelled" : "the KV pull failed";
        answerJson(response, stream->cancelled ? 409 : status, {{"error", {{"message", message}}}});
        return;
    }
    ++this->totals.streams;
    lock.unlock();
    this->server->crashIfTold(request.path, stream->promptStart);
    if (this->server->activeFaults().take("crossed", request.path, request.body)) {
        this->cross(stream, CrossPatience);
    }
    lock.lock();
    stream->stage = DecodeStage::Decoding;
    this->changed.notify_all();
    lock.unlock();
    this->sendEvents(stream, 0, this->takeFaults(request), response);
}

int DecodeEngine::pull(const StreamPtr &stream, const std::string &source, const std::string &handle)
{
    const std::size_t colon = source.rfind(':');
    if (colon == std::string::npos) {
        return 400;
    }
    httplib::Client client(source.substr(0, colon), std::atoi(source.substr(colon + 1).c_str()));
    client.set_connection_timeout(Millis(500));
    client.set_read_timeout(PullTimeout);
    const auto receive = [this, &stream](const char * /*data*/, std::size_t /*size*/) {
        const std::lock_guard lock(this->mutex);
        return !stream->cancelled && !Connection::peerClosed();
    };
    const auto result = client.Get("/v1/kv/" + handle, receive);
    if (!result) {
        return 502;
    }
    const std::lock_guard lock(this->mutex);
    stream->tag = result->get_header_value("Prompt-Tag");
    stream->promptStart = fromBase64(result->get_header_value("Prompt-Start")).value_or("");
    return result->status;
}

void DecodeEngine::cross(const StreamPtr &stream, Millis patience)
{
    std::unique_lock lock(this->mutex);
    if (this->crossPartner) {
        this->crossPartner->shownAs = stream;
        stream->shownAs = this->crossPartner;
        this->crossPartner.reset();
        this->changed.notify_all();
        return;
    }
    this->crossPartner = stream;
    this->changed.wait_for(lock, patience, [&stream] { return stream->shownAs || stream->cancelled; });
    if (this->crossPartner == stream) {
        this->crossPartner.reset();
    }
}

StreamFaults DecodeEngine::takeFaults(const httplib::Request &request)
{
    Faults &faults = this->server->activeFaults();
    StreamFaults taken;
    if (const auto fault = faults.take("cut", request.path, request.body)) {
        taken.cutAfter = fault->after;
    }
    if (const auto fault = faults.take("gap", request.path, request.body)) {
        taken.gapAt = fault->after;
    }
    taken.withoutEnd = faults.take("no-end", request.path, request.body).has_value();
    return taken;
}

void DecodeEngine::resume(const httplib::Request &request, httplib::Response &response)
{
    const nlohmann::json body = parseJson(request.body);
    StreamPtr stream;
    {
        const std::lock_guard lock(this->mutex);
        stream = this->find(textMember(body, "request_id"));
        if (!stream || stream->stage == DecodeStage::Pulling) {
            answerJson(response, 404, {{"error", {{"message", "unknown request_id"}}}});
            return;
        }
        ++this->totals.resumed;
    }
    const int from = static_cast<int>(std::max<std::int64_t>(0, numberMember(body, "from_index", 0)));
    this->sendEvents(stream, from, this->takeFaults(request), response);
}

void DecodeEngine::cancel(const httplib::Request &request, httplib::Response &response)
{
    const std::lock_guard lock(this->mutex);
    const StreamPtr stream = this->find(textMember(parseJson(request.body), "request_id"));
    if (stream) {
        ++this->totals.cancelled;
        stream->cancelled = true;
        this->streams.remove(stream);
        this->changed.notify_all();
    }
    answerJson(response, 200, {{"cancelled", stream != nullptr}});
}

void DecodeEngine::sendEvents(const StreamPtr &stream, int from, const StreamFaults &faults,
                              httplib::Response &response)
{
    std::uint64_t attachment = 0;
    {
        const std::lock_guard lock(this->mutex);
        attachment = ++stream->attachment;
        stream->attached = true;
    }
    const auto next = std::make_shared<int>(from);
    response.set_chunked_content_provider(
        "text/event-stream",
        [this, stream, attachment, next, faults](std::size_t /*offset*/, httplib::DataSink &sink) {
            return this->sendNext(stream, attachment, *next, faults, sink);
        },
        [this, stream, attachment](bool /*complete*/) { this->detach(stream, attachment); });
}

bool DecodeEngine::sendNext(const StreamPtr &stream, std::uint64_t attachment, int &next, const StreamFaults &faults,
                            httplib::DataSink &sink)
{
    std::string events;
    bool finished = false;
    {
        std::unique_lock lock(this->mutex);
        while (stream->produced <= next && stream->stage != DecodeStage::Finished && !stream->cancelled) {
            this->changed.wait_for(lock, PeerPollPeriod);
            if (stream->attachment != attachment || Connection::peerClosed()) {
                return false;
            }
        }
        if (stream->cancelled || stream->attachment != attachment) {
            Connection::breakOff();
            return false;
        }
        const StreamPtr shown = stream->shownAs ? stream->shownAs : stream;
        for (; next < stream->produced; ++next) {
            if (faults.cutAfter >= 0 && next >= faults.cutAfter) {
                break;
            }
            if (next != faults.gapAt) {
                const nlohmann::json event = {
                    {"request_id", shown->id}, {"index", next}, {"text", outputText(shown->tag, next)}};
                events += "data: " + event.dump() + "\n\n";
            }
        }
        finished = stream->stage == DecodeStage::Finished && next >= stream->produced;
    }
    if (!events.empty() && !sink.write(events.data(), events.size())) {
        return false;
    }
    if (faults.cutAfter >= 0 && next >= faults.cutAfter) {
        Connection::breakOff();
        return false;
    }
    if (!finished) {
        return true;
    }
    static const std::string End = "data: [DONE]\n\n";
    if (!faults.withoutEnd) {
        if (!sink.write(End.data(), End.size())) {
            return false;
        }
        const std::lock_guard lock(this->mutex);
        ++this->totals.finished;
        this->streams.remove(stream);
    }
    sink.done();
    return true;
}

void DecodeEngine::detach(const StreamPtr &stream, std::uint64_t attachment)
{
    const std::lock_guard lock(this->mutex);
    if (stream->attachment == attachment) {
        stream->attached = false;
        stream->detachedSince = Clock::now();
    }
}

void DecodeEngine::step()
{
    TimePoint next = Clock::now();
    std::unique_lock lock(this->mutex);
    while (true) {
        const auto active = std::ranges::count_if(
            this->streams, [](const StreamPtr &stream) { return stream->stage == DecodeStage::Decoding; });
        const Millis slow = this->server->activeFaults().delayOf("slow-output");
        const auto duration =
            this->options.pace + this->options.paceSlope * std::max<std::int64_t>(0, active - 1) + slow;
        // After a late wake-up the next step starts at once, but an idle time is not made up for.
        next = std::max(next + duration, Clock::now());
        while (Clock::now() < next) {
            this->changed.wait_until(lock, next);
        }
        this->freeDetached();
        for (const StreamPtr &stream : this->streams) {
            if (stream->stage == DecodeStage::Decoding) {
                ++stream->produced;
                ++this->totals.tokens;
                stream->stage = stream->produced >= stream->maxTokens ? DecodeStage::Finished : DecodeStage::Decoding;
            }
        }
        this->changed.notify_all();
    }
}

void DecodeEngine::freeDetached()
{
    const TimePoint oldest = Clock::now() - this->options.resumeKeep;
    const auto expired = [&oldest](const StreamPtr &stream) {
        return !stream->attached && stream->detachedSince < oldest;
    };
    for (const StreamPtr &stream : this->streams) {
        stream->cancelled = stream->cancelled || expired(stream);
    }
    this->totals.expired += std::erase_if(this->streams, expired);
}

nlohmann::json DecodeEngine::load()
{
    const std::lock_guard lock(this->mutex);
    return {{"held", this->streams.size()}, {"queued_tokens", 0}, {"tokens_per_second", 0}};
}

nlohmann::json DecodeEngine::requests()
{
    const std::lock_guard lock(this->mutex);
    nlohmann::json list = nlohmann::json::array();
    for (const StreamPtr &stream : this->streams) {
        const auto age = std::chrono::duration_cast<Millis>(Clock::now() - stream->arrived).count();
        list.push_back({{"request_id", stream->id},
                        {"stage", toText(stream->stage)},
                        {"age_ms", age},
                        {"attached", stream->attached}});
    }
    return list;
}

nlohmann::json DecodeEngine::counts()
{
    const std::lock_guard lock(this->mutex);
    return {{"streams", this->totals.streams},
            {"finished", this->totals.finished},
            {"cancelled", this->totals.cancelled},
            {"expired", this->totals.expired},
            {"resumed", this->totals.resumed},
            {"rejected", this->totals.rejected},
            {"pull_failures", this->totals.pullFailures},
            {"tokens", this->totals.tokens},
            {"held", this->streams.size()},
            {"max_held", this->totals.maxHeld}};
}

}
