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

/// Chooses whom to probe and follows the probes in flight, own ones and those made for others. Not thread-safe; time
/// is passed in.
class Prober
{
public:
    /// A probe made for another entry.
    struct Relay
    {
        std::string requester; ///< Gossip address that gets the Ack.
        std::uint64_t number = 0; ///< The requester's number of the probe.
    };
    /// What has become due.
    struct Due
    {
        std::vector<std::pair<std::string, std::uint64_t>> indirect; ///< Names and numbers to probe indirectly.
        std::vector<std::string> unanswered; ///< Names that did not answer in time.
    };

    /// @param timeout after which a probe is tried indirectly.
    /// @param period after which a probe has failed.
    Prober(Millis timeout, Millis period);

    /// Returns the next member to probe: each of @p candidates once, in random order, before any of them again, so
    /// that a failed member is found after a bounded time.
    std::optional<std::string> next(const std::vector<std::string> &candidates, std::mt19937_64 &random);
    /// Notes a probe of @p name and returns its number.
    std::uint64_t begin(const std::string &name, TimePoint now);
    /// Notes a probe made for another entry and returns its own number.
    std::uint64_t beginRelay(Relay relay, TimePoint now);
    /// Notes an Ack.
    /// @return the relay it belongs to, if any.
    std::optional<Relay> answered(std::uint64_t number);
    Due due(TimePoint now);
    /// Forgets all probes in flight without a verdict.
    void abandon();

private:
    struct Probe
    {
        std::string name;
        TimePoint sent;
        bool indirect = false;
    };
    // A relayed probe that is this old has failed at its requester.
    static constexpr Millis RelayLifetime{2000};

    Millis timeout;
    Millis period;
    std::uint64_t numbers = 0;
    std::vector<std::string> round;
    std::map<std::uint64_t, Probe> probes;
    std::map<std::uint64_t, std::pair<Relay, TimePoint>> relays;
};

}
