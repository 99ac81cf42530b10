#include "enginepoller.h"

#include "engineclient.h"

#include "cyclamencross/base/failures.h"
#include "cyclamencross/base/logline.h"
#include "cyclamencross/base/metrics.h"
#include "cyclamencross/decide/enginescheduler.h"

#include <algorithm>
#include <set>
#include <utility>

#include <boost/leaf/handle_errors.hpp>

namespace Cyclamen
{

namespace
{

// An engine that does not answer is tried less often, but is back in service within about a second of its return.
constexpr Millis LongestRetry{1000};
constexpr int MostDoublings = 4;

template<typename Value>
std::optional<Value> valueOf(boost::leaf::result<Value> result)
{
    return result ? std::optional<Value>(std::move(*result)) : std::nullopt;
}

}

EnginePoller::EnginePoller(const Settings &settings, Hooks hooks, OrphanTracker &orphans, PrefixHints &hints,
                           Metrics &metrics)
    : settings(settings)
    , hooks(std::move(hooks))
    , orphans(orphans)
    , hints(hints)
    , metrics(metrics)
{
}

EnginePoller::~EnginePoller()
{
    {
        const std::scoped_lock lock(this->mutex);
        this->isStopping = true;
    }
    this->changed.notify_all();
    for (std::thread &thread : this->threads) {
        thread.join();
    }
}

void EnginePoller::start()
{
    for (int i = 0; i < Threads; ++i) {
        this->threads.emplace_back([this] { this->run(); });
    }
}

void EnginePoller::watch(const std::vector<Backend> &engines)
{
    {
        const std::scoped_lock lock(this->mutex);
        std::set<std::string> wanted;
        for (const Backend &engine : engines) {
            wanted.insert(engine.address);
            JobPtr &job = this->jobs[engine.address];
            if (!job) {
                job = std::make_shared<Job>();
            }
            job->engine = engine;
        }
        std::erase_if(this->jobs, [&](const auto &entry) {
            if (wanted.contains(entry.first)) {
                return false;
            }
            this->orphans.forget(entry.first);
            this->hints.forget(entry.first);
            return true;
        });
    }
    this->changed.notify_all();
}

EnginePoller::JobPtr EnginePoller::nextJob(TimePoint now)
{
    JobPtr next;
    for (const auto &[address, job] : this->jobs) {
        if (!job->busy && job->due <= now && (!next || job->due < next->due)) {
            next = job;
        }
    }
    return next;
}

TimePoint EnginePoller::nextDue(TimePoint now) const
{
    TimePoint next = now + LongestRetry;
    for (const auto &[address, job] : this->jobs) {
        next = job->busy ? next : std::min(next, job->due);
    }
    return next;
}

void EnginePoller::run()
{
    std::unique_lock lock(this->mutex);
    while (!this->isStopping) {
        const TimePoint now = Clock::now();
        const JobPtr job = this->nextJob(now);
        if (!job) {
            this->changed.wait_until(lock, this->nextDue(now));
            continue;
        }
        job->busy = true;
        lock.unlock();
        const bool isGood = this->poll(*job);
        lock.lock();
        this->finish(*job, isGood);
        job->busy = false;
    }
}

void EnginePoller::finish(Job &job, bool isGood)
{
    Millis pause = this->settings.loadPollPeriod;
    job.failures = isGood ? 0 : job.failures + 1;
    for (int i = 0; i < std::min(job.failures, MostDoublings); ++i) {
        pause *= 2;
    }
    job.due = Clock::now() + (isGood ? pause : std::min(pause, LongestRetry));
    if (job.failures == 1) {
        LogLine("engine-unreadable").add("engine", job.engine.address).warn();
    }
    if (!isGood) {
        this->metrics.count("cyclamencross_engine_poll_failures_total");
    }
}

// Only the thread that made the job busy calls this; watch() changes job.engine under the mutex.
bool EnginePoller::poll(Job &job)
{
    Backend engine;
    {
        const std::scoped_lock lock(this->mutex);
        engine = job.engine;
    }
    const EngineClient client(engine.address, this->settings.connectTimeout, ReplyTimeout);
    const auto load = this->readLoad(client, engine.address);
    if (!load) {
        return false;
    }
    EngineReport report{*load, std::nullopt};
    std::optional<std::vector<HeldRequest>> list;
    // After a gap the ledger takes nothing but a full report.
    if (load->known >= job.listDue || load->known - job.lastGood > EngineScheduler::MaxReportAge) {
        list = valueOf(client.requests());
        if (!list) {
            return false;
        }
        job.listDue = load->known + this->settings.orphanSweepPeriod;
        report.held.emplace();
        for (const HeldRequest &request : *list) {
            report.held->push_back(request.requestId);
        }
    }
    job.lastGood = load->known;
    this->hooks.report(report);
    if (list) {
        this->sweep(client, engine.address, *list);
        if (engine.role != EngineRole::Decode) {
            this->readCacheEvents(client, engine.address);
        }
    }
    return true;
}

std::optional<EngineLoad> EnginePoller::readLoad(const EngineClient &client, const std::string &engine)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<EngineLoad>> {
            BOOST_LEAF_AUTO(load, client.load());
            return std::optional(load);
        },
        [&](const ConnectFailed &) -> std::optional<EngineLoad> {
            this->hooks.unreachable(engine);
            return std::nullopt;
        },
        []() -> std::optional<EngineLoad> { return std::nullopt; });
}

void EnginePoller::sweep(const EngineClient &client, const std::string &engine, const std::vector<HeldRequest> &list)
{
    const FleetViewPtr view = this->hooks.view();
    for (const auto &orphan : this->orphans.update(engine, list, *view, Clock::now())) {
        const auto wasKnown = valueOf(client.cancel(orphan.requestId));
        LogLine("orphan-cancel")
            .add("request", orphan.requestId)
            .add("engine", engine)
            .add("reason", orphan.reason)
            .add("cancelled", wasKnown.value_or(false))
            .write();
        this->metrics.count("cyclamencross_orphans_cancelled_total", {{"reason", std::string(orphan.reason)}});
    }
}

void EnginePoller::readCacheEvents(const EngineClient &client, const std::string &engine)
{
    const auto events = valueOf(client.cacheEvents(this->hints.nextSequence(engine)));
    if (events && this->hints.apply(engine, *events)) {
        LogLine("prefix-hints-dropped").add("engine", engine).add("reason", "gap in cache events").write();
        this->metrics.count("cyclamencross_cache_event_gaps_total");
    }
}

}
