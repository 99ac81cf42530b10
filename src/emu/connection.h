#pragma once

#include "cyclamencross/base/timing.h"

#include <array>
#include <cstddef>
#include <string>

#include <httplib.h>

namespace Cyclamen
{

/// An accepted connection as cpp-httplib reads and writes it. The thread that serves it can look at it and break it,
/// which cpp-httplib itself doesn't offer to its handlers.
class Connection : public httplib::Stream
{
public:
    /// @param descriptor an accepted socket; the caller closes it.
    explicit Connection(int descriptor);
    ~Connection() override;

    bool is_readable() const override;
    bool is_writable() const override;
    ssize_t read(char *data, std::size_t size) override;
    ssize_t write(const char *data, std::size_t size) override;
    void get_remote_ip_and_port(std::string &ip, int &port) const override;
    void get_local_ip_and_port(std::string &ip, int &port) const override;
    int socket() const override;

    /// Waits for the first byte of the next request.
    /// @return false if the peer closed the connection or stayed silent for @p timeout.
    bool waitForRequest(Millis timeout) const;

    /// Returns whether the peer of the connection that this thread serves has closed it.
    static bool peerClosed();
    /// Breaks the connection that this thread serves, so that no further byte of an answer reaches the peer.
    static void breakOff();

private:
    int descriptor;
    std::array<char, 8192> buffer{};
    std::size_t begin = 0;
    std::size_t end = 0;
};

}
