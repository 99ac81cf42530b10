#pragma once

#include "storechanges.h"

#include "cyclamencross/base/crashreport.h"
#include "cyclamencross/route/backendwork.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Cyclamen
{

/// What a router tells its peers: the work it has placed and what it has learned since its last message.
struct PeerReport
{
    /// Outcomes of calls to one backend server.
    struct Outcomes
    {
        std::uint32_t served = 0;
        std::uint32_t failed = 0;
        std::uint32_t broken = 0;

        bool operator==(const Outcomes &) const = default;
    };

    std::string router;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0; ///< Grows with each message of an incarnation.
    std::uint64_t storeRevision = 0; ///< Newest change of the store that the router has seen.
    bool watching = false; ///< The router watches the store, and the store answers it.
    StoreChanges changes; ///< What it has read from the store since the message before.
    std::map<std::string, BackendWork> work; ///< By backend server; replaces what was told before.
    std::map<std::string, BackendWork> waiting; ///< Requests that wait for room and can be on time, by service.
    std::map<std::string, std::int64_t> callsThere; ///< Calls at backend servers by their own newest answers.
    std::map<std::string, Outcomes> outcomes; ///< By backend server, since the message before.
    std::vector<CrashReport> crashes; ///< Recent ones, told several times.

    bool operator==(const PeerReport &) const = default;
};

/// Encodes a report as a datagram.
std::string encodePeerReport(const PeerReport &report);
/// Decodes a datagram.
/// @return whether @p bytes are a whole report.
bool decodePeerReport(const std::string &bytes, PeerReport &report);

}
