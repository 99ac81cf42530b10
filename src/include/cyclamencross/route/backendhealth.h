#pragma once

#include "cyclamencross/base/timing.h"
#include "cyclamencross/route/calloutcome.h"

#include <map>
#include <string>

namespace Cyclamen
{

/// The state of backend servers as judged from the outcomes of real calls, this router's and its peers'. Health answers
/// play no part: they can be false either way. Not thread-safe.
class BackendHealth
{
public:
    /// Weight of the newest outcome in the average failure rate; about the last eight calls count.
    static constexpr double OutcomeWeight = 0.15;
    /// Average failure rate from which a backend server is avoided. Above the share of errors that a healthy
    /// application answers by itself.
    static constexpr double AvoidRate = 0.35;
    /// First time for which an unreachable backend server is avoided; doubles with each further failure.
    static constexpr Millis FirstAvoidance{500};
    static constexpr Millis LongestAvoidance{4000};
    /// An average without new outcomes fades with this half-life, so that recovered backend servers are tried again.
    static constexpr Millis HalfLife{4000};

    /// Adds an outcome.
    /// @param weight share of a full outcome, below 1 for what peers report.
    void add(const std::string &backend, CallOutcome outcome, TimePoint now, double weight = 1);
    /// Adds the time that reading a prompt took, in milliseconds for each token that had to be read before the answer.
    void addPrefillPace(const std::string &backend, double millisPerToken);
    /// Returns the average failure rate of @p backend, from 0 to 1.
    double failureRate(const std::string &backend, TimePoint now) const;
    /// Returns whether @p backend is to be passed over while others can serve.
    bool isAvoided(const std::string &backend, TimePoint now) const;
    /// Returns the milliseconds for each token at @p backend; the average of all if it is not known.
    double prefillPace(const std::string &backend) const;
    /// Forgets backend servers that @p isKnown denies.
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
        int unreachable = 0; ///< Failed connects in a row.
        TimePoint avoidedUntil;
        double millisPerToken = 0; ///< 0: not known.
    };
    std::map<std::string, Record> records;
    double averagePace = 0;
};

}
