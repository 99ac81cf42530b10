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

// An engine that does not answer is polled less often, but is in use again within about a second of its return.
constexpr Millis MaxRetryDelay{1000};
constexpr int MaxDoublings = 4;

template<typename Value>
std::optional<Value> toOptional(boost::leaf::result<Value> result)
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
    for (int i = 0; i < ThreadCount; ++i) {
        this->threads.emplace_back([this] { this->run(); });
    }
}

void EnginePoller::setEngines(const std::vector<Backend> &engines)
{
    {
        const std::scoped_lock lock(this->mutex);
        std::set<std::string> wanted;
        for (const Backend &engine : engines) {
            wanted.insert(engine.address);
            TaskPtr &task = this->tasks[engine.address];
            if (!task) {
                task = std::make_shared<PollTask>();
            }
            task->engine = engine;
        }
        std::erase_if(this->tasks, [&](const auto &entry) {
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

EnginePoller::TaskPtr EnginePoller::nextTask(TimePoint now)
{
    TaskPtr next;
    for (const auto &[address, task] : this->tasks) {
        if (!task->busy && task->nextPoll <= now && (!next || task->nextPoll < next->nextPoll)) {
            next = task;
        }
    }
    return next;
}

TimePoint EnginePoller::nextPollTime(TimePoint now) const
{
    TimePoint next = now + MaxRetryDelay;
    for (const auto &[address, task] : this->tasks) {
        next = task->busy ? next : std::min(next, task->nextPoll);
    }
    return next;
}

void EnginePoller::run()
{
    std::unique_lock lock(this->mutex);
    while (!this->isStopping) {
        const TimePoint now = Clock::now();
        const TaskPtr task = this->nextTask(now);
        if (!task) {
            this->changed.wait_until(lock, this->nextPollTime(now));
            continue;
        }
        task->busy = true;
        lock.unlock();
        const bool succeeded = this->poll(*task);
        lock.lock();
        this->reschedule(*task, succeeded);
        task->busy = false;
    }
}

void EnginePoller::reschedule(PollTask &task, bool succeeded)
{
    Millis delay = this->settings.loadPollPeriod;
    task.failures = succeeded ? 0 : task.failures + 1;
    for (int i = 0; i < std::min(task.failures, MaxDoublings); ++i) {
        delay *= 2;
    }
    task.nextPoll = Clock::now() + (succeeded ? delay : std::min(delay, MaxRetryDelay));
    if (task.failures == 1) {
        LogLine("engine-unreadable").add("engine", task.engine.address).warn();
    }
    if (!succeeded) {
        this->metrics.count("cyclamencross_engine_poll_failures_total");
    }
}

// Called without the mutex by the thread that marked the task as busy. setEngines() may change task.engine meanwhile.
bool EnginePoller::poll(PollTask &task)
{
    Backend engine;
    {
        const std::scoped_lock lock(this->mutex);
        engine = task.engine;
    }
    const EngineClient client(engine.address, this->settings.connectTimeout, ReplyTimeout);
    const auto load = this->readLoad(client, engine.address);
    if (!load) {
        return false;
    }
    EngineReport report{*load, std::nullopt};
    std::optional<std::vector<HeldRequest>> list;
    // After a gap between reports the engine's scheduler grants nothing until it gets a full report.
    if (load->known >= task.nextListRead || load->known - task.lastSuccess > EngineScheduler::MaxReportAge) {
        list = toOptional(client.requests());
        if (!list) {
            return false;
        }
        task.nextListRead = load->known + this->settings.orphanSweepPeriod;
        report.held.emplace();
        for (const HeldRequest &request : *list) {
            report.held->push_back(request.requestId);
        }
    }
    task.lastSuccess = load->known;
    this->hooks.report(report);
    if (list) {
        this->cancelOrphans(client, engine.address, *list);
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

void EnginePoller::cancelOrphans(const EngineClient &client, const std::string &engine,
                                 const std::vector<HeldRequest> &list)
{
    const FleetViewPtr view = this->hooks.view();
    for (const auto &orphan : this->orphans.update(engine, list, *view, Clock::now())) {
        const auto wasKnown = toOptional(client.cancel(orphan.requestId));
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
    const auto events = toOptional(client.cacheEvents(this->hints.nextSequence(engine)));
    if (events && this->hints.apply(engine, *events)) {
        LogLine("prefix-hints-dropped").add("engine", engine).add("reason", "gap in cache events").write();
        this->metrics.count("cyclamencross_cache_event_gaps_total");
    }
}

}
