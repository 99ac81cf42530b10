#pragma once

#include "cyclamencross/base/timing.h"

#include <array>
#include <cstddef>
#include <string>

#include <httplib.h>

namespace Cyclamen
{

/// An accepted connection as a cpp-httplib stream. Handlers can check whether the client has closed it and can close it
/// themselves, which cpp-httplib does not offer. Both apply to the connection that the calling thread serves.
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
    /// @return false if the peer closed the connection or sent nothing within @p timeout.
    bool waitForRequest(Millis timeout) const;

    /// Returns whether the peer has closed the connection that the calling thread serves.
    static bool peerClosed();
    /// Shuts down the connection that the calling thread serves, so that no further byte of a response is sent.
    static void shutDown();

private:
    int descriptor;
    std::array<char, 8192> buffer{};
    std::size_t begin = 0; ///< Start of the unread bytes in the buffer.
    std::size_t end = 0;
};

}
