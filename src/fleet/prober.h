#pragma once

#include "cyclamencross/base/timing.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Cyclamen
{

/// Selects the members to probe and tracks the probes in flight, both those of this entry and those relayed for other
/// entries. Not thread-safe; the current time is passed in.
class Prober
{
public:
    /// A probe on behalf of another entry.
    struct Relay
    {
        std::string requester; ///< Gossip address to which the Ack is forwarded.
        std::uint64_t number = 0; ///< Number of the probe at the requester.
    };
    /// Probes whose timeouts have passed.
    struct Due
    {
        /// Members to probe indirectly, with the probe numbers.
        std::vector<std::pair<std::string, std::uint64_t>> indirect;
        std::vector<std::string> unanswered; ///< Members that did not answer within the probe period.
    };

    /// @param timeout time without an Ack after which a member is probed indirectly.
    /// @param period time without an Ack after which a probe has failed.
    Prober(Millis timeout, Millis period);

    /// Returns the next member to probe. All of @p candidates, which must be sorted, are probed once in random order
    /// before any of them is probed again, which bounds the time until a failed member is detected.
    std::optional<std::string> next(const std::vector<std::string> &candidates, std::mt19937_64 &random);
    /// Registers a probe of @p name and returns its number.
    std::uint64_t begin(const std::string &name, TimePoint now);
    /// Registers a probe on behalf of another entry and returns its number at this entry.
    std::uint64_t beginRelay(Relay relay, TimePoint now);
    /// Processes an Ack.
    /// @return the relay that the Ack belongs to, if any.
    std::optional<Relay> acknowledge(std::uint64_t number);
    /// Returns the probes whose timeouts have passed and removes the failed ones.
    Due due(TimePoint now);
    /// Drops all probes of this entry in flight without reporting them as unanswered.
    void cancelAll();

private:
    struct Probe
    {
        std::string name;
        TimePoint sent;
        bool indirect = false;
    };
    // A relayed probe of this age has already failed at its requester.
    static constexpr Millis RelayLifetime{2000};

    Millis timeout;
    Millis period;
    std::uint64_t lastNumber = 0;
    std::vector<std::string> currentRound;
    std::map<std::uint64_t, Probe> probes;
    std::map<std::uint64_t, std::pair<Relay, TimePoint>> relays;
};

}
