#include "cyclamencross/base/processmetrics.h"

#include "cyclamencross/base/metrics.h"
#include "cyclamencross/base/timing.h"

#include <atomic>
#include <condition_variable>
#include <fstream>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>

#include <sys/resource.h>
#include <unistd.h>

namespace Cyclamen
{

namespace
{

constexpr Millis PublishInterval{1000};

std::atomic<std::uint64_t> controlBytesSent{0};
std::atomic<std::uint64_t> controlBytesReceived{0};

double toSeconds(const timeval &time)
{
    return double(time.tv_sec) + double(time.tv_usec) / 1e6;
}

double cpuSeconds()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    return toSeconds(usage.ru_utime) + toSeconds(usage.ru_stime);
}

double residentBytes()
{
    std::ifstream statm("/proc/self/statm");
    std::uint64_t totalPages = 0;
    std::uint64_t residentPages = 0;
    statm >> totalPages >> residentPages;
    return double(residentPages) * double(sysconf(_SC_PAGESIZE));
}

double threadCount()
{
    std::ifstream status("/proc/self/status");
    std::string line;
    while (std::getline(status, line)) {
        std::istringstream fields(line);
        std::string key;
        double value = 0;
        if (fields >> key >> value && key == "Threads:") {
            return value;
        }
    }
    return 0;
}

}

void addControlBytesSent(std::uint64_t bytes)
{
    controlBytesSent.fetch_add(bytes, std::memory_order_relaxed);
}

void addControlBytesReceived(std::uint64_t bytes)
{
    controlBytesReceived.fetch_add(bytes, std::memory_order_relaxed);
}

struct ProcessMetrics::Members
{
    Metrics &metrics;
    std::mutex mutex;
    std::condition_variable stopped;
    bool stopping = false;
    std::thread publisher;
};

ProcessMetrics::ProcessMetrics(Metrics &metrics)
    : members(new Members{metrics, {}, {}, false, {}})
{
}

ProcessMetrics::~ProcessMetrics()
{
    {
        const std::scoped_lock lock(this->members->mutex);
        this->members->stopping = true;
    }
    this->members->stopped.notify_all();
    if (this->members->publisher.joinable()) {
        this->members->publisher.join();
    }
}

void ProcessMetrics::start()
{
    this->members->publisher = std::thread([this] {
        std::unique_lock lock(this->members->mutex);
        while (!this->members->stopping) {
            this->publish();
            this->members->stopped.wait_for(lock, PublishInterval, [this] { return this->members->stopping; });
        }
    });
}

void ProcessMetrics::publish()
{
    this->members->metrics.set("cyclamencross_process_cpu_seconds", cpuSeconds());
    this->members->metrics.set("cyclamencross_process_resident_bytes", residentBytes());
    this->members->metrics.set("cyclamencross_process_threads", threadCount());
    this->members->metrics.set("cyclamencross_control_bytes_sent", double(controlBytesSent.load()));
    this->members->metrics.set("cyclamencross_control_bytes_received", double(controlBytesReceived.load()));
}

}
