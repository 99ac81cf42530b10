#include "configwatch.h"

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

constexpr Millis FirstPause{200};
constexpr Millis LongestPause{4000};
constexpr Millis StopPeriod{50};

}

struct ConfigWatch::Members
{
    void run();
    void watchOnce(std::size_t rank);
    std::optional<std::int64_t> pull(bool writeBack);
    bool isRank(std::size_t expected);

    Settings settings;
    ConfigSync *sync = nullptr;
    Metrics *metrics = nullptr;
    std::mutex mutex;
    std::condition_variable changed;
    std::optional<std::size_t> rank;
    std::shared_ptr<KeyValueWatch> watch;
    Millis pause = FirstPause;
    bool stopping = false;
    bool ended = false;
    std::thread thread;
};

ConfigWatch::ConfigWatch(const Settings &settings, ConfigSync &sync, Metrics &metrics)
    : members(std::make_unique<Members>())
{
    this->members->settings = settings;
    this->members->sync = &sync;
    this->members->metrics = &metrics;
}

void ConfigWatch::start()
{
    this->members->thread = std::thread([this] { this->members->run(); });
}

ConfigWatch::~ConfigWatch()
{
    if (this->members->thread.joinable()) {
        std::unique_lock lock(this->members->mutex);
        this->members->stopping = true;
        this->members->changed.notify_all();
        while (!this->members->ended) {
            if (this->members->watch) {
                this->members->watch->stop();
            }
            this->members->changed.wait_for(lock, StopPeriod);
        }
        lock.unlock();
        this->members->thread.join();
    }
}

void ConfigWatch::setRank(std::optional<std::size_t> rank)
{
    const std::scoped_lock lock(this->members->mutex);
    if (this->members->rank != rank) {
        this->members->rank = rank;
        if (this->members->watch) {
            this->members->watch->stop();
        }
        this->members->changed.notify_all();
    }
}

bool ConfigWatch::Members::isRank(std::size_t expected)
{
    const std::scoped_lock lock(this->mutex);
    return !this->stopping && this->rank == expected;
}

void ConfigWatch::Members::run()
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
        // Jitter, so that the watchers do not all return at the same moment after an outage.
        const Millis jittered = this->pause / 2 + Millis(randomNumber() % (this->pause.count() / 2 + 1));
        this->changed.wait_for(lock, jittered, [this, current] { return this->stopping || this->rank != current; });
    }
    this->ended = true;
    this->changed.notify_all();
}

void ConfigWatch::Members::watchOnce(std::size_t rank)
{
    const auto revision = this->pull(rank == 0);
    if (!revision) {
        this->pause = std::min(2 * this->pause, LongestPause);
        return;
    }
    this->pause = FirstPause;
    if (!this->isRank(rank)) {
        return;
    }
    this->watch->run(ConfigSync::CurrentKey, *revision + 1, [this, rank](const KeyValueEntry &entry) {
        if (this->sync->take(entry) && rank == 0) {
            this->pull(true);
        }
    });
}

std::optional<std::int64_t> ConfigWatch::Members::pull(bool writeBack)
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
