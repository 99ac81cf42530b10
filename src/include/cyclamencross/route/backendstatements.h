#pragma once

#include "cyclamencross/base/timing.h"
#include "cyclamencross/route/backendstatement.h"
#include "cyclamencross/route/statementsource.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace Cyclamen
{

struct BackendServer;

/// Holds what backend servers say of themselves in their answers: that they leave, that they want no requests of this
/// router for a time, and that they have a limit. NamedRateLimits, which divides a server's limit among routers, holds
/// the limits as long as this class has the statement.
///
/// A statement belongs to one instance of a server. Another registration of the same instance does not end it, whatever
/// state the registration names: the answer is what the server itself knows, and the store may be late or away. Not
/// thread-safe.
class BackendStatements
{
public:
    /// Longest pause that is kept to. A server that wants a longer one is asked again then: it gets no work at all in a
    /// pause, so a wrong value must not remove it for good.
    static constexpr Millis MaxPause{600000};
    /// How long a statement is kept after the registration of its server is gone. The registration of the same instance
    /// returns after an outage in which its lease expired.
    static constexpr Millis GoneLifetime{600000};
    /// An end of a pause that moves by less is no news. Requests that are turned away together each move it.
    static constexpr Millis PauseNewsStep{500};

    /// Records that @p server leaves.
    /// @param at time of the answer.
    /// @return whether this was not known.
    bool recordLeaving(const BackendServer &server, StatementSource source, TimePoint at);
    /// Records that @p server wants no requests for a time; of several such times the one that ends last counts.
    /// @param source StatementSource::OwnAnswer if it told this router. The pause of a peer only makes other servers
    /// preferable, since a server may pause one router and not the others.
    /// @param length cut to MaxPause.
    /// @param at time of the answer.
    /// @return whether the server was not paused or its pause has become longer by PauseNewsStep.
    bool recordPause(const BackendServer &server, Millis length, StatementSource source, TimePoint at);
    /// Records whether NamedRateLimits holds a limit that @p server has named.
    void recordLimit(const BackendServer &server, bool hasLimit);
    /// Drops the limits of all servers whose id @p isKnown returns false for: NamedRateLimits has forgotten their end.
    void forgetLimits(const std::function<bool(const std::string &id)> &isKnown);
    /// Records that an answer of a server had a malformed statement.
    /// @return whether it is the first one of this server.
    bool recordMalformed(const std::string &id);

    /// Returns whether a server has said that it leaves.
    bool isLeaving(const std::string &id) const;
    /// Returns when the pause of this router ends; std::nullopt if the server is not paused.
    std::optional<TimePoint> pausedUntil(const std::string &id, TimePoint now) const;
    /// Returns whether the server has told another router to pause.
    bool isPausedForPeer(const std::string &id, TimePoint now) const;
    /// Returns whether this router must send no new requests to a server: it leaves or is paused.
    bool isSilent(const std::string &id, TimePoint now) const;
    /// Returns whether a server has named a limit that counts until it names another one or none.
    bool hasLimit(const std::string &id) const;
    /// Returns the statement of a server, or nullptr. The pointer is valid until the next change.
    const BackendStatement *find(const std::string &id) const;
    /// Returns the number of registered servers that leave.
    std::size_t leavingCount() const;
    /// Returns the number of registered servers that have told this router to pause.
    std::size_t pausedCount(TimePoint now) const;

    /// Applies a registration: a new incarnation has said nothing yet. It is a new one if its start time is later. If
    /// either start time is not known, it is one if the registration was gone or has another address.
    /// @param wasRegistered whether the server was registered before.
    /// @return whether a statement was dropped.
    bool applyRegistration(const BackendServer &server, bool wasRegistered);
    /// Drops the statements of servers that have not been registered for GoneLifetime, and pauses that have ended.
    void expire(const std::function<bool(const std::string &id)> &isRegistered, TimePoint now);

private:
    /// Returns the statement of @p server to be changed, or nullptr if a newer incarnation is known.
    BackendStatement *prepare(const BackendServer &server);

    std::map<std::string, BackendStatement> statements; ///< By id of the backend server.
    std::set<std::string> malformed; ///< Ids of the registered backend servers with malformed statements.
};

}
