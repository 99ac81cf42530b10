#pragma once

#include "cyclamencross/net/datagram.h"

#include <functional>
#include <memory>
#include <string>

namespace Cyclamen
{

class Metrics;

/// The UDP socket of an entry. Signs what it sends; drops and counts what is forged, replayed or too large.
class DatagramPort
{
public:
    using Receiver = std::function<void(const Datagram &)>;

    static constexpr std::size_t MaxBytes = 1400;

    /// @param address "IP:PORT" to bind; port 0 picks a free one.
    /// @param sender name that stands in each datagram sent.
    /// @param incarnation incarnation of this process.
    /// @param sharedKey key of the keyed hash.
    /// @throws std::system_error if the address cannot be bound.
    DatagramPort(const std::string &address, std::string sender, std::uint64_t incarnation, std::string sharedKey,
                 Metrics &metrics);
    /// Stops the receiving thread.
    ~DatagramPort();
    DatagramPort(const DatagramPort &) = delete;
    DatagramPort &operator=(const DatagramPort &) = delete;

    /// Sets the function that gets datagrams of @p kind, called on the receiving thread. Set before start().
    void receive(DatagramKind kind, Receiver receiver);
    /// Starts the receiving thread.
    void start();
    /// Sends @p payload to @p address; a lost or oversize datagram is only counted. Thread-safe.
    void send(const std::string &address, DatagramKind kind, const std::string &payload);
    /// Returns the bound "IP:PORT".
    std::string address() const;

private:
    struct Members;
    std::unique_ptr<Members> members;
};

}
