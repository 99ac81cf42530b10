#pragma once

#include "cyclamencross/base/timing.h"
#include "cyclamencross/route/backendwork.h"

#include <map>
#include <string>

namespace Cyclamen
{

/// Tracks the unfinished work that this router and its peers have placed on each backend server. This gives the current
/// load of a backend server without asking it; the load reports of engines are some hundred milliseconds old. Not
/// thread-safe.
class BackendWorkTracker
{
public:
    /// How long the work of a peer counts after its last report: three times the longest pause between two reports of a
    /// router that has work in progress.
    static constexpr Millis PeerReportLifetime{1500};

    /// Adds work that this router places on @p backend.
    void add(const std::string &backend, const BackendWork &work);
    /// Removes work that add() has added before.
    void remove(const std::string &backend, const BackendWork &work);
    /// Replaces all work that @p peer has reported before.
    /// @param work unfinished work of the peer by backend server.
    void setPeerWork(const std::string &peer, std::map<std::string, BackendWork> work, TimePoint now);
    /// Drops the work of peers whose last report is older than PeerReportLifetime.
    void expire(TimePoint now);
    /// Returns the work that all routers have placed on @p backend.
    BackendWork total(const std::string &backend) const;
    /// Returns the work that all routers have placed on each key from @p from to before @p to.
    std::map<std::string, BackendWork> totals(const std::string &from, const std::string &to) const;
    /// Returns the work of this router by backend server.
    const std::map<std::string, BackendWork> &own() const;

private:
    struct PeerWork
    {
        std::map<std::string, BackendWork> work;
        TimePoint received; ///< When the last report was received.
    };
    std::map<std::string, BackendWork> ownWork;
    std::map<std::string, PeerWork> peers;
    std::map<std::string, BackendWork> peerTotals; ///< Work of all peers by backend server.

    /// Adds the work of a peer to the totals if @p isAdded is set, or subtracts it.
    void updatePeerTotals(const std::map<std::string, BackendWork> &work, bool isAdded);
};

}
