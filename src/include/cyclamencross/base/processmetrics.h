#pragma once

#include <cstdint>
#include <memory>

namespace Cyclamen
{

class Metrics;

/// Adds to the number of control-plane bytes that this process has sent: gossip, slot requests, peer and key-value
/// calls. Datagrams count in full, HTTP messages with their bodies only. Thread-safe.
void addControlBytesSent(std::uint64_t bytes);
/// Adds to the number of control-plane bytes that this process has received, counted like those sent. Thread-safe.
void addControlBytesReceived(std::uint64_t bytes);

/// Publishes the resource usage of this process as gauges, once a second from its own thread. With the prefix
/// `cyclamencross_` they are process_cpu_seconds, process_resident_bytes, process_threads, control_bytes_sent and
/// control_bytes_received.
class ProcessMetrics
{
public:
    explicit ProcessMetrics(Metrics &metrics);
    /// Stops the thread and waits for it.
    ~ProcessMetrics();
    ProcessMetrics(const ProcessMetrics &) = delete;
    ProcessMetrics &operator=(const ProcessMetrics &) = delete;

    /// Starts the publishing thread. Call it at most once.
    void start();
    /// Publishes the current values once.
    void publish();

private:
    struct Members;
    std::unique_ptr<Members> members;
};

}
