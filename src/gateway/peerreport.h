#pragma once

#include "storechanges.h"

#include "cyclamencross/base/timing.h"
#include "cyclamencross/route/backendwork.h"
#include "cyclamencross/route/crashedcall.h"
#include "cyclamencross/route/namedlimit.h"
#include "cyclamencross/route/quotareport.h"
#include "cyclamencross/route/servedsuspect.h"
#include "cyclamencross/route/stageload.h"
#include "cyclamencross/route/statementnews.h"
#include "cyclamencross/route/streamorigin.h"
#include "cyclamencross/route/streamsample.h"
#include "cyclamencross/route/toldslowdown.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Cyclamen
{

/// A report that a router sends to its peers: the work it has placed and what it has learned since its last report.
/// The order and types of the serialized fields are part of the protocol between routers.
struct PeerReport
{
    /// Newest format that this release reads and writes. A router reads older ones too, and writes to each receiver the
    /// newest one that the receiver's registration names. Format 0, of 72bc030, has no generations; format 1 puts them
    /// before it.
    static constexpr std::uint32_t Format = 1;

    /// Numbers of calls to one backend server by outcome, and the pace of its streams.
    struct Outcomes
    {
        std::uint32_t served = 0;
        std::uint32_t failed = 0;
        std::uint32_t broken = 0;
        std::uint32_t paceSamples = 0;
        double paceSum = 0; ///< Sum of the samples, in milliseconds for each generated token.

        bool operator==(const Outcomes &) const = default;
    };

    std::string router;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0; ///< Increases with each report of an incarnation.
    StoreRevision storeRevision; ///< Newest store revision that the router has seen.
    /// Whether the report names the generations of its revisions; releases before Format 1 know none.
    bool namesGenerations = true;
    bool watching = false; ///< The router watches the store and can reach it.
    /// Age of the last answer of the store which showed the router that it knew all changes, also counting the time for
    /// which its host was suspended; negative if there was none. What peers have told it does not count.
    Millis changesKnownAge{-1};
    Millis sentAt{0}; ///< On the boot-time clock of the sender.
    /// How far the boot-time clock of the sender is ahead of that of the receiver at most (see PeerClocks), so that the
    /// receiver can tell how old the report is. The only field that differs between receivers.
    std::optional<Millis> clockOffset;
    StoreChanges changes; ///< Changes read from the store since the last report.
    /// Services none of whose backend servers accepts connections of the sender.
    std::set<std::string> cutOff;
    std::map<std::string, BackendWork> work; ///< By backend server; replaces that of earlier reports.
    /// Work of the sender's whole group on the backend servers that all groups share. Only sent between the delegates
    /// of the groups; such a report carries nothing else
    /// but `quota`.
    std::map<std::string, BackendWork> groupWork;
    /// Load of the engines that the sender's group uses, by service. Only sent between delegates.
    std::map<std::string, StageLoad> stageLoads;
    /// Work of all other groups on the shared backend servers. Only sent by the delegate of the receiver's group.
    std::map<std::string, BackendWork> otherGroupsWork;
    bool knowsOtherGroups = false; ///< `otherGroupsWork` is known, even if it is empty.
    /// Use of limited workspaces: by the sender, or by its whole group in a report between delegates.
    QuotaReport quota;
    QuotaReport otherGroupsQuota; ///< By all other groups. Only sent by the delegate of the receiver's group.
    bool isGroupReport = false; ///< Sent between delegates.
    bool isCrashNews = false; ///< Contains only `crashes` and `servedSuspects`. Sent to routers of other groups.
    /// Requests that wait for capacity and can be on time, by service; for services with an order of urgency also by
    /// class, and the work in progress of the largest workspaces (see WaitingKeys). Replaces that of earlier reports.
    std::map<std::string, BackendWork> waiting;
    /// Number of calls that backend servers reported in their latest responses.
    std::map<std::string, std::int64_t> reportedCalls;
    /// Figures of backend servers on the pace of their machines that differ from what the sender expected. Few.
    std::map<std::string, ToldSlowdown> slowdowns;
    /// Streams that have begun at the sender while their service has several software versions. Repeated.
    StreamOriginsByVersion streamOrigins;
    std::map<std::string, NamedLimit> namedLimits; ///< Read from answers of backend servers since the last report.
    /// What backend servers have said to the sender of themselves, by id; recent ones, repeated in several reports.
    std::map<std::string, StatementNews> statements;
    std::map<std::string, Outcomes> outcomes; ///< By backend server, since the last report.
    std::vector<StreamSample> streams; ///< Streams completed since the last report.
    std::vector<CrashedCall> crashes; ///< Recent ones, repeated in several reports.
    std::vector<ServedSuspect> servedSuspects; ///< Recent ones, repeated in several reports.

    /// Sets the generations of all revisions, whose numbers stay.
    /// @param store of `storeRevision`.
    /// @param changesAfter of the revision after which the changes begin.
    /// @param changesUpTo of the newest revision that they cover, and of the items.
    void setGenerations(std::uint64_t store, std::uint64_t changesAfter, std::uint64_t changesUpTo);

    bool operator==(const PeerReport &) const = default;
};

/// Encodes what all receivers of a report that read the same format get, so that this is done once for all of them.
/// @param format newest format that the receivers read.
std::string encodePeerReportBody(const PeerReport &report, std::uint32_t format = PeerReport::Format);
/// Appends the field that differs between receivers.
/// @param body of encodePeerReportBody().
/// @return the payload of a datagram.
std::string withClockOffset(const std::string &body, std::optional<Millis> offset);
/// Encodes a report as the payload of a datagram.
std::string encodePeerReport(const PeerReport &report, std::uint32_t format = PeerReport::Format);
/// Decodes the payload of a datagram. @p report is unspecified on failure.
/// @return whether @p bytes are exactly one complete report with plausible numbers.
bool decodePeerReport(const std::string &bytes, PeerReport &report);

}
