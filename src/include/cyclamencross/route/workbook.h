#pragma once

#include "cyclamencross/base/timing.h"
#include "cyclamencross/route/backendwork.h"

#include <map>
#include <string>

namespace Cyclamen
{

/// What this router and its peers have placed on each backend server. Answers the question how loaded a backend server
/// is without asking it; load reports of engines are some hundred milliseconds old. Not thread-safe.
class WorkBook
{
public:
    /// A peer's work counts no longer than this after its last message: three times the longest pause between two
    /// messages of a router that has work in progress.
    static constexpr Millis PeerLifetime{1500};

    void add(const std::string &backend, const BackendWork &work);
    void remove(const std::string &backend, const BackendWork &work);
    /// Replaces what @p peer reported before.
    void setPeer(const std::string &peer, std::map<std::string, BackendWork> work, TimePoint now);
    void expire(TimePoint now);
    /// Returns the work on @p backend by all routers.
    BackendWork total(const std::string &backend) const;
    const std::map<std::string, BackendWork> &own() const;

private:
    struct PeerWork
    {
        std::map<std::string, BackendWork> work;
        TimePoint received;
    };
    std::map<std::string, BackendWork> ownWork;
    std::map<std::string, PeerWork> peers;
    std::map<std::string, BackendWork> peerTotals;

    /// Adds a peer's work to the totals or takes it out.
    void count(const std::map<std::string, BackendWork> &work, bool added);
};

}
