#pragma once

#include "cyclamencross/base/timing.h"
#include "cyclamencross/route/calloutcome.h"

#include <map>
#include <string>

namespace Cyclamen
{

/// Tracks the failure rate, the reachability, the prefill speed and the pace of generation of backend servers. Uses
/// only the outcomes of real calls, made by this router and by its peers: the answer of a health check can be wrong in
/// both directions. Not thread-safe.
class BackendHealth
{
public:
    /// Weight of the newest outcome in the moving average of the failure rate. The average covers about the last eight
    /// calls.
    static constexpr double OutcomeWeight = 0.15;
    /// Average failure rate above which a backend server is avoided. It lies above the share of errors that a healthy
    /// application returns by itself.
    static constexpr double AvoidanceThreshold = 0.35;
    /// How long a backend server is avoided after its first failed connection attempt. Doubles with each further failed
    /// attempt, up to MaxAvoidance.
    static constexpr Millis InitialAvoidance{500};
    static constexpr Millis MaxAvoidance{4000};
    /// Half-life with which the failure rate decays while there are no new outcomes, so that recovered backend servers
    /// are tried again.
    static constexpr Millis HalfLife{4000};

    /// Half-life with which the slowness of an engine decays while there are no new samples, so that it gets work again
    /// from which its pace can be seen.
    static constexpr Millis SlownessHalfLife{3000};
    /// Difference from the average pace, relative to it, that does not count: the pace of a sound engine varies with
    /// the number of its requests and with the prompts that it processes.
    static constexpr double NormalVariation = 0.7;
    /// Largest slowness that is returned.
    static constexpr double MaxSlowness = 8;
    /// Slowness from which an engine is reported as slow.
    static constexpr double SlowThreshold = 2;

    /// Records the outcome of a call to @p backend.
    /// @param weight 1 for the outcome of a call of this router, less for one that a peer reported.
    void add(const std::string &backend, CallOutcome outcome, TimePoint now, double weight = 1);
    /// Records the duration of a prefill.
    /// @param millisPerToken milliseconds for each prompt token that the engine had to process before its answer, those
    /// of requests queued ahead included.
    void addPrefillSample(const std::string &backend, double millisPerToken);
    /// Records the pace at which an engine generates tokens.
    /// @param millisPerToken milliseconds between two tokens, averaged over the sample.
    /// @param weight 1 for a sample of this router, less for one that a peer reported.
    /// @return whether the engine has become slow or stopped being slow by this sample.
    bool addPaceSample(const std::string &backend, double millisPerToken, TimePoint now, double weight = 1);
    /// Returns how much longer @p backend takes for a token than the average engine: 1 if it is as fast or not known.
    double slowness(const std::string &backend, TimePoint now) const;
    /// Returns the average failure rate of @p backend, from 0 to 1.
    double failureRate(const std::string &backend, TimePoint now) const;
    /// Returns whether @p backend should get requests only if no other backend server can serve them.
    bool isAvoided(const std::string &backend, TimePoint now) const;
    /// Returns the average prefill time of @p backend in milliseconds per prompt token. Returns the average over all
    /// backend servers if there is no sample of @p backend, and 0 if there is none at all.
    double prefillMillisPerToken(const std::string &backend) const;
    /// Drops the records of all backend servers whose id @p isKnown returns false for.
    template<typename IsKnown>
    void retain(const IsKnown &isKnown)
    {
        std::erase_if(this->records, [&isKnown](const auto &item) { return !isKnown(item.first); });
    }

private:
    struct Record
    {
        double failureRate = 0;
        TimePoint updated;
        int connectFailures = 0; ///< Consecutive failed connection attempts.
        TimePoint avoidedUntil;
        double millisPerToken = 0; ///< Average prefill time; 0 if not known.
        double pace = 0; ///< Average milliseconds for each generated token; 0 if not known.
        TimePoint paceUpdated;
    };
    std::map<std::string, Record> records;
    double averageMillisPerToken = 0;
    double averagePace = 0; ///< Over all engines.
};

}
