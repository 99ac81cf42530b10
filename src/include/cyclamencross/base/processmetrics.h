#pragma once

#include <cstdint>
#include <memory>

namespace Cyclamen
{

class Metrics;

/// Adds to the control bytes that this process has sent: gossip, slot requests, peer and key-value calls. Datagrams
/// count whole, HTTP messages with their bodies only. Thread-safe.
void addControlBytesSent(std::uint64_t bytes);
/// Adds to the control bytes that this process has received. Thread-safe.
void addControlBytesReceived(std::uint64_t bytes);

/// Publishes what the process itself uses, as gauges, every second from a thread of its own. Their names begin with
/// `cyclamencross_`: process_cpu_seconds, process_resident_bytes, process_threads, control_bytes_sent and
/// control_bytes_received.
class ProcessMetrics
{
public:
    explicit ProcessMetrics(Metrics &metrics);
    /// Stops the thread.
    ~ProcessMetrics();
    ProcessMetrics(const ProcessMetrics &) = delete;
    ProcessMetrics &operator=(const ProcessMetrics &) = delete;

    /// Starts the thread.
    void start();
    /// Publishes the current values once.
    void publish();

private:
    struct Members;
    std::unique_ptr<Members> members;
};

}
