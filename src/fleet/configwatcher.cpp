#include "configwatcher.h"

#include "keyvaluewatch.h"

#include "cyclamencross/base/failures.h"
#include "cyclamencross/base/hash.h"
#include "cyclamencross/base/logline.h"
#include "cyclamencross/base/metrics.h"

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <thread>

#include <boost/leaf/handle_errors.hpp>

namespace Cyclamen
{

namespace
{

constexpr Millis InitialBackoff{200};
constexpr Millis MaxBackoff{4000};
// KeyValueWatch::stop() must be repeated, since a watch that is just connecting may miss it.
constexpr Millis StopRetryPeriod{50};

}

struct ConfigWatcher::Impl
{
    void run();
    void watchOnce(std::size_t rank);
    std::optional<std::int64_t> pull(bool writeBack);
    bool hasRank(std::size_t expected);

    Settings settings;
    ConfigSync *sync = nullptr;
    Metrics *metrics = nullptr;
    std::mutex mutex;
    std::condition_variable changed;
    std::optional<std::size_t> rank;
    std::shared_ptr<KeyValueWatch> watch;
    Millis backoff = InitialBackoff;
    bool stopping = false;
    bool threadEnded = false;
    std::thread thread;
};

ConfigWatcher::ConfigWatcher(const Settings &settings, ConfigSync &sync, Metrics &metrics)
    : impl(std::make_unique<Impl>())
{
    this->impl->settings = settings;
    this->impl->sync = &sync;
    this->impl->metrics = &metrics;
}

void ConfigWatcher::start()
{
    this->impl->thread = std::thread([this] { this->impl->run(); });
}

ConfigWatcher::~ConfigWatcher()
{
    if (this->impl->thread.joinable()) {
        std::unique_lock lock(this->impl->mutex);
        this->impl->stopping = true;
        this->impl->changed.notify_all();
        while (!this->impl->threadEnded) {
            if (this->impl->watch) {
                this->impl->watch->stop();
            }
            this->impl->changed.wait_for(lock, StopRetryPeriod);
        }
        lock.unlock();
        this->impl->thread.join();
    }
}

void ConfigWatcher::setRank(std::optional<std::size_t> rank)
{
    const std::scoped_lock lock(this->impl->mutex);
    if (this->impl->rank != rank) {
        this->impl->rank = rank;
        if (this->impl->watch) {
            this->impl->watch->stop();
        }
        this->impl->changed.notify_all();
    }
}

bool ConfigWatcher::Impl::hasRank(std::size_t expected)
{
    const std::scoped_lock lock(this->mutex);
    return !this->stopping && this->rank == expected;
}

void ConfigWatcher::Impl::run()
{
    std::unique_lock lock(this->mutex);
    while (true) {
        this->changed.wait(lock, [this] { return this->stopping || this->rank; });
        if (this->stopping) {
            break;
        }
        const std::size_t current = *this->rank;
        this->watch = std::make_shared<KeyValueWatch>(this->settings, *this->metrics);
        lock.unlock();
        this->watchOnce(current);
        lock.lock();
        this->watch.reset();
        // Jitter prevents all watchers from reconnecting at the same moment after an outage.
        const Millis delay = this->backoff / 2 + Millis(randomNumber() % (this->backoff.count() / 2 + 1));
        this->changed.wait_for(lock, delay, [this, current] { return this->stopping || this->rank != current; });
    }
    this->threadEnded = true;
    this->changed.notify_all();
}

void ConfigWatcher::Impl::watchOnce(std::size_t rank)
{
    const auto revision = this->pull(rank == 0);
    if (!revision) {
        this->backoff = std::min(2 * this->backoff, MaxBackoff);
        return;
    }
    this->backoff = InitialBackoff;
    if (!this->hasRank(rank)) {
        return;
    }
    this->watch->run(ConfigSync::CurrentKey, *revision + 1, [this, rank](const KeyValueEntry &entry) {
        if (this->sync->acceptEntry(entry) && rank == 0) {
            this->pull(true);
        }
    });
}

std::optional<std::int64_t> ConfigWatcher::Impl::pull(bool writeBack)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<std::int64_t>> {
            BOOST_LEAF_AUTO(revision, this->sync->pull(writeBack));
            return std::optional(revision);
        },
        [](const KeyValueUnavailable &failure) {
            LogLine("config-read-failed").add("detail", failure.detail).warn();
            return std::optional<std::int64_t>();
        },
        [] { return std::optional<std::int64_t>(); });
}

}
