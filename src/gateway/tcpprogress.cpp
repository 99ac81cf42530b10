#include "tcpprogress.h"

// The header of the kernel, since that of the C library lacks the newer fields.
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace Cyclamen
{

std::optional<TcpProgress> TcpProgress::read(int socket)
{
    tcp_info info{};
    socklen_t size = sizeof info;
    if (::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
        return std::nullopt;
    }
    return TcpProgress{info.tcpi_bytes_acked, info.tcpi_unacked > 0 || info.tcpi_notsent_bytes > 0};
}

}
