#pragma once

#include "cyclamencross/net/datagram.h"

#include <functional>
#include <memory>
#include <string>

namespace Cyclamen
{

class Metrics;

/// The UDP socket of an entry. Authenticates datagrams by a keyed hash, and drops and counts those that are forged,
/// replayed or too large.
class DatagramPort
{
public:
    using Receiver = std::function<void(const Datagram &)>;

    /// Limit on a datagram with its keyed hash, without IP and UDP headers.
    static constexpr std::size_t MaxBytes = 1400;

    /// @param address "IP:PORT" to bind to; port 0 selects a free port.
    /// @param sender name of this entry, contained in each datagram sent.
    /// @param incarnation incarnation of this process.
    /// @param sharedKey key of the keyed hash.
    /// @throws std::system_error if the address cannot be bound.
    DatagramPort(const std::string &address, std::string sender, std::uint64_t incarnation, std::string sharedKey,
                 Metrics &metrics);
    /// Stops the receiving thread.
    ~DatagramPort();
    DatagramPort(const DatagramPort &) = delete;
    DatagramPort &operator=(const DatagramPort &) = delete;

    /// Sets the function that is called with each datagram of @p kind, on the receiving thread. Call before start().
    void receive(DatagramKind kind, Receiver receiver);
    /// Starts the receiving thread.
    void start();
    /// Sends @p payload to @p address without blocking. Datagrams that are too large or cannot be sent are dropped and
    /// counted. Thread-safe.
    void send(const std::string &address, DatagramKind kind, const std::string &payload);
    /// Returns the "IP:PORT" that the socket is bound to.
    std::string address() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

}
