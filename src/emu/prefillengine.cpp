#include "prefillengine.h"

#include "connection.h"
#include "cyclamencross/base/base64.h"
#include "emuserver.h"
#include "jsonbody.h"
#include "prompttag.h"

#include "cyclamencross/base/hash.h"

#include <algorithm>
#include <array>
#include <thread>

namespace Cyclamen
{

namespace
{

constexpr Millis EvictionPeriod{10};
constexpr Millis PeerPollPeriod{50};
constexpr std::size_t PromptStartBytes = 512;
constexpr std::size_t PullChunkBytes = 64U << 10U;

std::string toText(PrefillStage stage)
{
    static constexpr std::array<const char *, 5> Texts = {"queued", "prefilling", "held", "pulled", "gone"};
    return Texts.at(static_cast<std::size_t>(stage));
}

}

PrefillEngine::PrefillEngine(const EngineOptions &options)
    : options(options)
    , cache(options.cacheBytes, options.eventLag, options.eventLoss, options.seed)
    , link(options.linkRate)
{
}

void PrefillEngine::start(EmuServer &server)
{
    this->server = &server;
    server.addRoute("POST", "/v1/prefill",
                    [this](const auto &request, auto &response) { this->prefill(request, response); });
    server.addRoute("POST", "/v1/cancel",
                    [this](const auto &request, auto &response) { this->cancel(request, response); });
    server.addRoute("GET", "/v1/kv/([^/]+)", [this](const auto &request, auto &response) {
        this->sendResult(request.matches[1].str(), response);
    });
    server.addRoute("GET", "/v1/cache_events", [this](const auto &request, auto &response) {
        const std::lock_guard lock(this->mutex);
        answerJson(response, 200,
                   this->cache.events(std::strtoull(request.get_param_value("since").c_str(), nullptr, 10)));
    });
    std::thread([this] { this->runJobs(); }).detach();
    std::thread([this] { this->evictExpiredResults(); }).detach();
}

void PrefillEngine::prefill(const httplib::Request &request, httplib::Response &response)
{
    const nlohmann::json body = parseJsonObject(request.body);
    const auto job = std::make_shared<PrefillJob>();
    job->id = stringMember(body, "request_id");
    job->prompt = stringMember(body, "prompt");
    job->priority = numberMember(body, "priority", 1);
    job->promptTokens = (job->prompt.size() + 3) / 4;
    job->arrivalTime = Clock::now();
    std::unique_lock lock(this->mutex);
    if (job->id.empty() || stringMember(body, "model") != this->options.model) {
        answerNotRun(response, 400, "request_id is missing or the model is not loaded");
        return;
    }
    const bool idInUse = std::ranges::any_of(this->jobs, [&job](const JobPtr &other) { return other->id == job->id; });
    if (idInUse || this->jobs.size() >= this->options.slots) {
        ++this->totals.rejected;
        answerNotRun(response, idInUse ? 409 : 429, idInUse ? "request_id is in use" : "memory is full");
        return;
    }
    this->jobs.push_back(job);
    this->changed.notify_all();
    while (job->stage == PrefillStage::Queued || job->stage == PrefillStage::Running) {
        this->changed.wait_for(lock, PeerPollPeriod);
        if (Connection::peerClosed()) {
            job->attached = false;
            return;
        }
    }
    if (job->cancelled) {
        answerJson(response, 409, {{"error", {{"message", "cancelled"}}}});
        return;
    }
    const bool isCrossed = this->server->activeFaults().consume("crossed", request.path, request.body).has_value();
    const std::string answerId = isCrossed ? this->previousId : job->id;
    this->previousId = job->id;
    answerJson(response, 200,
               {{"request_id", answerId},
                {"handle", job->handle},
                {"prompt_tokens", job->promptTokens},
                {"cached_tokens", job->cachedTokens},
                {"kv_bytes", job->promptTokens * this->options.kvBytesPerToken}});
}

void PrefillEngine::cancel(const httplib::Request &request, httplib::Response &response)
{
    const std::string id = stringMember(parseJsonObject(request.body), "request_id");
    const std::lock_guard lock(this->mutex);
    const auto found = std::ranges::find_if(this->jobs, [&id](const JobPtr &job) { return job->id == id; });
    if (found == this->jobs.end()) {
        answerJson(response, 200, {{"cancelled", false}});
        return;
    }
    const JobPtr job = *found;
    ++this->totals.cancelled;
    if (job->stage == PrefillStage::Held || job->stage == PrefillStage::Pulled) {
        ++this->totals.cancelledAfterRun;
    }
    job->cancelled = true;
    this->removeJob(job);
    answerJson(response, 200, {{"cancelled", true}});
}

void PrefillEngine::sendResult(const std::string &handle, httplib::Response &response)
{
    JobPtr job;
    {
        const std::lock_guard lock(this->mutex);
        const auto found = std::ranges::find_if(this->jobs, [&handle](const JobPtr &other) {
            return other->handle == handle && other->stage == PrefillStage::Held;
        });
        if (found == this->jobs.end()) {
            answerJson(response, 410, {{"error", {{"message", "the handle is gone"}}}});
            return;
        }
        job = *found;
        job->stage = PrefillStage::Pulled;
    }
    response.set_header("Prompt-Tag", promptTag(job->prompt));
    // A decode engine does not get the prompt itself, but needs its text to apply a "crash" fault that matches a
    // prompt.
    response.set_header("Prompt-Start", toBase64(job->prompt.substr(0, PromptStartBytes)));
    const std::size_t resultBytes = std::max<std::size_t>(1, job->promptTokens * this->options.kvBytesPerToken);
    response.set_content_provider(
        resultBytes, "application/octet-stream",
        [this, job](std::size_t /*offset*/, std::size_t length, httplib::DataSink &sink) {
            static const std::string Zeros(PullChunkBytes, '\0');
            const std::size_t chunk = std::min(length, PullChunkBytes);
            this->link.transfer(chunk);
            return !job->cancelled && sink.write(Zeros.data(), chunk);
        },
        [this, job](bool complete) { this->endPull(job, complete); });
}

void PrefillEngine::endPull(const JobPtr &job, bool complete)
{
    const std::lock_guard lock(this->mutex);
    if (job->stage != PrefillStage::Pulled) {
        return;
    }
    if (!complete) {
        job->stage = PrefillStage::Held;
        return;
    }
    ++this->totals.used;
    this->removeJob(job);
}

PrefillEngine::JobPtr PrefillEngine::nextJob() const
{
    JobPtr next;
    for (const JobPtr &job : this->jobs) {
        if (job->stage == PrefillStage::Queued && (!next || job->priority < next->priority)) {
            next = job;
        }
    }
    return next;
}

void PrefillEngine::runJobs()
{
    TimePoint jobEnd = Clock::now();
    std::unique_lock lock(this->mutex);
    while (true) {
        const JobPtr job = this->nextJob();
        if (!job) {
            this->changed.wait(lock);
            continue;
        }
        job->stage = PrefillStage::Running;
        job->cachedTokens =
            std::min(this->cache.cachedBytes(job->prompt) / 4, std::max<std::size_t>(job->promptTokens, 1) - 1);
        const double prefillMicros = double(job->promptTokens - job->cachedTokens) * this->options.microsPerToken;
        // The start is the end of the previous prefill, not the current time, so that late wake-ups of this thread do
        // not reduce the rate.
        jobEnd = std::max(jobEnd, job->arrivalTime) + Micros(static_cast<std::int64_t>(prefillMicros));
        this->changed.wait_until(lock, jobEnd, [&job] { return job->cancelled; });
        if (job->cancelled) {
            jobEnd = std::min(jobEnd, Clock::now());
            continue;
        }
        ++this->totals.prefills;
        this->totals.tokens += job->promptTokens - job->cachedTokens;
        this->totals.cachedTokens += job->cachedTokens;
        this->cache.add(job->prompt);
        job->stage = PrefillStage::Held;
        job->heldSince = Clock::now();
        job->handle = toHex(hash64(job->id, this->options.seed)) + "-" + std::to_string(this->nextHandleNumber++);
        this->changed.notify_all();
    }
}

void PrefillEngine::evictExpiredResults()
{
    while (true) {
        std::this_thread::sleep_for(EvictionPeriod);
        const std::lock_guard lock(this->mutex);
        const TimePoint expiryLimit = Clock::now() - this->options.resultTtl;
        const std::list<JobPtr> all = this->jobs;
        for (const JobPtr &job : all) {
            if (job->stage == PrefillStage::Held && job->heldSince < expiryLimit) {
                ++this->totals.evicted;
                this->removeJob(job);
            }
        }
    }
}

void PrefillEngine::removeJob(const JobPtr &job)
{
    job->stage = PrefillStage::Gone;
    this->jobs.remove(job);
    this->changed.notify_all();
}

nlohmann::json PrefillEngine::load()
{
    const std::lock_guard lock(this->mutex);
    std::size_t queuedTokens = 0;
    for (const JobPtr &job : this->jobs) {
        const bool waiting = job->stage == PrefillStage::Queued || job->stage == PrefillStage::Running;
        queuedTokens += waiting ? job->promptTokens - job->cachedTokens : 0;
    }
    return {{"held", this->jobs.size()},
            {"queued_tokens", queuedTokens},
            {"tokens_per_second", 1e6 / std::max(0.001, this->options.microsPerToken)}};
}

nlohmann::json PrefillEngine::requests()
{
    const std::lock_guard lock(this->mutex);
    nlohmann::json list = nlohmann::json::array();
    for (const JobPtr &job : this->jobs) {
        const auto age = std::chrono::duration_cast<Millis>(Clock::now() - job->arrivalTime).count();
        list.push_back(
            {{"request_id", job->id}, {"stage", toText(job->stage)}, {"age_ms", age}, {"attached", job->attached}});
    }
    return list;
}

nlohmann::json PrefillEngine::counts()
{
    const std::lock_guard lock(this->mutex);
    return {{"prefills", this->totals.prefills},
            {"used", this->totals.used},
            {"evicted", this->totals.evicted},
            {"cancelled", this->totals.cancelled},
            {"cancelled_after_run", this->totals.cancelledAfterRun},
            {"rejected", this->totals.rejected},
            {"tokens", this->totals.tokens},
            {"cached_tokens", this->totals.cachedTokens},
            {"held", this->jobs.size()}};
}

}
