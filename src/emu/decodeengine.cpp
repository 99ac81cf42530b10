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
constexpr Millis CrossTimeout{2000};
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
    server.addRoute("POST", "/v1/decode",
                    [this](const auto &request, auto &response) { this->decode(request, response); });
    server.addRoute("POST", "/v1/resume",
                    [this](const auto &request, auto &response) { this->resume(request, response); });
    server.addRoute("POST", "/v1/cancel",
                    [this](const auto &request, auto &response) { this->cancel(request, response); });
    std::thread([this] { this->runSteps(); }).detach();
}

DecodeEngine::StreamPtr DecodeEngine::find(const std::string &id) const
{
    const auto found = std::ranges::find_if(this->streams, [&id](const StreamPtr &other) { return other->id == id; });
    return found == this->streams.end() ? nullptr : *found;
}

void DecodeEngine::decode(const httplib::Request &request, httplib::Response &response)
{
    const nlohmann::json body = parseJsonObject(request.body);
    const auto stream = std::make_shared<DecodeStream>();
    stream->id = stringMember(body, "request_id");
    stream->maxTokens = static_cast<int>(std::max<std::int64_t>(1, numberMember(body, "max_tokens", DefaultMaxTokens)));
    stream->arrivalTime = Clock::now();
    {
        const std::lock_guard lock(this->mutex);
        if (stream->id.empty() || stringMember(body, "model") != this->options.model) {
            answerNotRun(response, 400, "request_id is missing or the model is not loaded");
            return;
        }
        const bool idInUse = this->find(stream->id) != nullptr;
        if (idInUse || this->streams.size() >= this->options.slots) {
            ++this->totals.rejected;
            answerNotRun(response, idInUse ? 409 : 429, idInUse ? "request_id is in use" : "memory is full");
            return;
        }
        this->streams.push_back(stream);
        this->totals.maxHeld = std::max(this->totals.maxHeld, this->streams.size());
    }
    const int status = this->pull(stream, stringMember(body, "source"), stringMember(body, "handle"));
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
    this->server->crashIfInjected(request.path, stream->promptStart);
    if (this->server->activeFaults().consume("crossed", request.path, request.body)) {
        this->crossStreams(stream, CrossTimeout);
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

void DecodeEngine::crossStreams(const StreamPtr &stream, Millis timeout)
{
    std::unique_lock lock(this->mutex);
    if (this->unpairedCrossStream) {
        this->unpairedCrossStream->crossedWith = stream;
        stream->crossedWith = this->unpairedCrossStream;
        this->unpairedCrossStream.reset();
        this->changed.notify_all();
        return;
    }
    this->unpairedCrossStream = stream;
    this->changed.wait_for(lock, timeout, [&stream] { return stream->crossedWith || stream->cancelled; });
    if (this->unpairedCrossStream == stream) {
        this->unpairedCrossStream.reset();
    }
}

StreamFaults DecodeEngine::takeFaults(const httplib::Request &request)
{
    Faults &faults = this->server->activeFaults();
    StreamFaults taken;
    if (const auto fault = faults.consume("cut", request.path, request.body)) {
        taken.cutAfter = fault->afterEvents;
    }
    if (const auto fault = faults.consume("gap", request.path, request.body)) {
        taken.gapIndex = fault->afterEvents;
    }
    taken.omitEndMarker = faults.consume("no-end", request.path, request.body).has_value();
    return taken;
}

void DecodeEngine::resume(const httplib::Request &request, httplib::Response &response)
{
    const nlohmann::json body = parseJsonObject(request.body);
    StreamPtr stream;
    {
        const std::lock_guard lock(this->mutex);
        stream = this->find(stringMember(body, "request_id"));
        if (!stream || stream->stage == DecodeStage::Pulling) {
            answerJson(response, 404, {{"error", {{"message", "unknown request_id"}}}});
            return;
        }
        ++this->totals.resumed;
    }
    const int firstIndex = static_cast<int>(std::max<std::int64_t>(0, numberMember(body, "from_index", 0)));
    this->sendEvents(stream, firstIndex, this->takeFaults(request), response);
}

void DecodeEngine::cancel(const httplib::Request &request, httplib::Response &response)
{
    const std::lock_guard lock(this->mutex);
    const StreamPtr stream = this->find(stringMember(parseJsonObject(request.body), "request_id"));
    if (stream) {
        ++this->totals.cancelled;
        stream->cancelled = true;
        this->streams.remove(stream);
        this->changed.notify_all();
    }
    answerJson(response, 200, {{"cancelled", stream != nullptr}});
}

void DecodeEngine::sendEvents(const StreamPtr &stream, int firstIndex, const StreamFaults &faults,
                              httplib::Response &response)
{
    std::uint64_t connectionNumber = 0;
    {
        const std::lock_guard lock(this->mutex);
        connectionNumber = ++stream->connectionNumber;
        stream->attached = true;
    }
    const auto next = std::make_shared<int>(firstIndex);
    response.set_chunked_content_provider(
        "text/event-stream",
        [this, stream, connectionNumber, next, faults](std::size_t /*offset*/, httplib::DataSink &sink) {
            return this->sendNext(stream, connectionNumber, *next, faults, sink);
        },
        [this, stream, connectionNumber](bool /*complete*/) { this->detach(stream, connectionNumber); });
}

bool DecodeEngine::sendNext(const StreamPtr &stream, std::uint64_t connectionNumber, int &next,
                            const StreamFaults &faults, httplib::DataSink &sink)
{
    std::string events;
    bool finished = false;
    {
        std::unique_lock lock(this->mutex);
        while (stream->producedOutputs <= next && stream->stage != DecodeStage::Finished && !stream->cancelled) {
            this->changed.wait_for(lock, PeerPollPeriod);
            if (stream->connectionNumber != connectionNumber || Connection::peerClosed()) {
                return false;
            }
        }
        if (stream->cancelled || stream->connectionNumber != connectionNumber) {
            Connection::shutDown();
            return false;
        }
        const StreamPtr shownStream = stream->crossedWith ? stream->crossedWith : stream;
        for (; next < stream->producedOutputs; ++next) {
            if (faults.cutAfter >= 0 && next >= faults.cutAfter) {
                break;
            }
            if (next != faults.gapIndex) {
                const nlohmann::json event = {
                    {"request_id", shownStream->id}, {"index", next}, {"text", outputText(shownStream->tag, next)}};
                events += "data: " + event.dump() + "\n\n";
            }
        }
        finished = stream->stage == DecodeStage::Finished && next >= stream->producedOutputs;
    }
    if (!events.empty() && !sink.write(events.data(), events.size())) {
        return false;
    }
    if (faults.cutAfter >= 0 && next >= faults.cutAfter) {
        Connection::shutDown();
        return false;
    }
    if (!finished) {
        return true;
    }
    static const std::string EndMarker = "data: [DONE]\n\n";
    if (!faults.omitEndMarker) {
        if (!sink.write(EndMarker.data(), EndMarker.size())) {
            return false;
        }
        const std::lock_guard lock(this->mutex);
        ++this->totals.finished;
        this->streams.remove(stream);
    }
    sink.done();
    return true;
}

void DecodeEngine::detach(const StreamPtr &stream, std::uint64_t connectionNumber)
{
    const std::lock_guard lock(this->mutex);
    if (stream->connectionNumber == connectionNumber) {
        stream->attached = false;
        stream->detachTime = Clock::now();
    }
}

void DecodeEngine::runSteps()
{
    TimePoint next = Clock::now();
    std::unique_lock lock(this->mutex);
    while (true) {
        const auto active = std::ranges::count_if(
            this->streams, [](const StreamPtr &stream) { return stream->stage == DecodeStage::Decoding; });
        const Millis slowOutputDelay = this->server->activeFaults().delayOf("slow-output");
        const auto duration =
            this->options.pace + this->options.paceSlope * std::max<std::int64_t>(0, active - 1) + slowOutputDelay;
        // A late wake-up shortens the next wait so that the pace is kept; a delay of more than one step is not made up
        // for.
        next = std::max(next + duration, Clock::now());
        while (Clock::now() < next) {
            this->changed.wait_until(lock, next);
        }
        this->expireDetached();
        for (const StreamPtr &stream : this->streams) {
            if (stream->stage == DecodeStage::Decoding) {
                ++stream->producedOutputs;
                ++this->totals.tokens;
                stream->stage =
                    stream->producedOutputs >= stream->maxTokens ? DecodeStage::Finished : DecodeStage::Decoding;
            }
        }
        this->changed.notify_all();
    }
}

void DecodeEngine::expireDetached()
{
    const TimePoint expiryLimit = Clock::now() - this->options.resumeKeep;
    const auto expired = [&expiryLimit](const StreamPtr &stream) {
        return !stream->attached && stream->detachTime < expiryLimit;
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
        const auto age = std::chrono::duration_cast<Millis>(Clock::now() - stream->arrivalTime).count();
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
