#pragma once

#include "cyclamencross/base/timing.h"
#include "cyclamencross/route/containment.h"
#include "cyclamencross/route/crashedcall.h"

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Cyclamen
{

/// Finds out what makes backend servers crash, from the calls that were running when they crashed, and contains it:
/// requests with it are refused. A cause may be a request that comes again, or a part of the prompt that many requests
/// share which are otherwise sound.
///
/// A suspect is contained after a few crashes of calls that followed one another; backend servers that fail together
/// count once. A crash after some output is weaker evidence than one before it, since most calls that run at a backend
/// server have output. A request that is served clears its suspects: a whole answer of all crashes, a part of it of
/// those that came after much less output. Of several suspects of the same crashes, the one that explains most of them
/// is contained, or else the most specific one, which refuses the fewest sound requests.
///
/// A containment ends when a single request, tried after a period without crashes, is served. Not thread-safe.
class CrashAttribution
{
public:
    /// Crashes before any output after which a suspect is contained.
    static constexpr int CrashesToContain = 2;
    /// The same for crashes after some output.
    static constexpr int OutputCrashesToContain = 3;
    /// The same for a suspect with which requests have been served before. Engines crash for other reasons too, and a
    /// widely shared part is present at many of these crashes.
    static constexpr int CrashesToContainServed = 4;
    static constexpr int OutputCrashesToContainServed = 6;
    /// How long a crash counts.
    static constexpr Millis CrashLifetime{600000};
    /// Time after the last crash until a request is tried. Doubles with each crash of such a request.
    static constexpr Millis InitialPeriod{60000};
    /// The same for a suspect with which requests have been served before: it is more likely sound, and shared by many.
    static constexpr Millis InitialPeriodServed{4000};
    static constexpr Millis MaxPeriod{3600000};
    /// Time in which a tried request is served or crashes.
    static constexpr Millis TrialTime{30000};
    /// Bounds on memory: crashed calls, served suspects and containments that are remembered.
    static constexpr std::size_t MaxCalls = 512;
    static constexpr std::size_t MaxServed = 1024;
    static constexpr std::size_t MaxContainments = 256;

    /// Output time from which on output clears suspects, and a crash counts as one after output. Shorter times differ
    /// by little more than the delays on the way to the router.
    static constexpr Millis SoundOutputTime{100};
    /// Output time that stands for a whole answer.
    static constexpr Millis WholeAnswer = Millis::max();
    /// Output clears a suspect of crashes for which OutputFactor times the output before them is not more than it: the
    /// crashes of one cause come after different times.
    static constexpr int OutputFactor = 2;

    enum class Verdict : std::uint8_t {
        Allowed,
        Contained, ///< The request must be refused.
        Trial, ///< The request is the one that is tried.
    };
    /// Returns whether this router is the one that tries requests with the given suspect.
    using TrialHook = std::function<bool(const std::string &suspect)>;
    /// Called when a suspect is contained, with the number of its crashes, or when its containment ends (0).
    using ChangeHook = std::function<void(const std::string &suspect, int crashes)>;

    CrashAttribution(TrialHook isTrialRouter, ChangeHook onChange);

    /// Records a crashed call; a duplicate is ignored.
    /// @return whether the call was recorded.
    bool addCrash(const CrashedCall &call, TimePoint now);
    /// Records that a request of this router with the given suspects was served, or a part of its answer.
    /// @param outputTime how long it has produced output; WholeAnswer at the end of the answer.
    /// @return the suspects for which other routers must know this, since calls with them have crashed.
    std::vector<std::string> recordServed(const std::vector<std::string> &suspects, Millis outputTime, TimePoint now);
    /// Records that a request of another router with @p suspect was served, or a part of its answer.
    /// @param outputTime see recordServed().
    /// @param age time since then.
    void addServed(const std::string &suspect, Millis outputTime, Millis age, TimePoint now);
    /// Returns the output time at which a running call, which has produced output for @p outputTime, is to be recorded
    /// as served next: after twice the time each time.
    static Millis nextOutputTime(Millis outputTime);
    /// Returns whether a request with @p suspect has been served, as far as this router remembers, with so much output
    /// that it would clear the suspect of all known crashes and of one after @p outputTime.
    bool wasServed(const std::string &suspect, Millis outputTime) const;
    /// Decides whether a request may be sent to a backend server.
    /// @param suspects the suspects of the request.
    Verdict check(const std::vector<std::string> &suspects, TimePoint now);
    /// Returns the contained one of @p suspects, or nullptr if there is none.
    const std::string *findContained(const std::vector<std::string> &suspects) const;
    /// Returns the time until a request with the contained @p suspect may be tried; at least 0.
    Millis timeUntilTrial(const std::string &suspect, TimePoint now) const;

    /// Returns the containments in force by suspect.
    const std::map<std::string, Containment> &containments() const;
    /// Takes over the containments in the store. One that was there and is not any more ends, unless this router has
    /// seen enough crashes itself.
    void restore(const std::map<std::string, Containment> &storedNow);
    /// Drops crashes and containments that no longer count.
    void expire(TimePoint now);

private:
    /// Weights of a crash before any output and of one after some. Both divide WeightToContain.
    static constexpr int CrashWeight = 3;
    static constexpr int OutputCrashWeight = 2;
    static constexpr int WeightToContain = CrashesToContain * CrashWeight;
    static constexpr int WeightToContainServed = CrashesToContainServed * CrashWeight;
    static_assert(OutputCrashesToContain * OutputCrashWeight == WeightToContain);
    static_assert(OutputCrashesToContainServed * OutputCrashWeight == WeightToContainServed);

    struct Call
    {
        std::uint64_t id = 0;
        std::string backend;
        std::vector<std::string> suspects;
        TimePoint sentAt;
        TimePoint crashedAt;
        Millis outputTime{0};
        int level = 0; ///< See levelToClear().
    };
    /// Output times are compared by levels: SoundOutputTime is level 0, and each further level twice as long. The last
    /// one is a whole answer.
    static constexpr int Levels = 12;
    /// When requests with one suspect were last served, by the level of their output; TimePoint::min() if never.
    using Served = std::array<TimePoint, Levels>;
    /// The crashed calls with one suspect.
    struct Evidence
    {
        int specificity = 0; ///< Position of the suspect in its last call.
        std::vector<std::size_t> calls; ///< Indices into `calls`.
        int level = 0; ///< Highest level of a call.
    };
    /// By index into `calls`: whether the crash has another cause.
    using ExplainedCalls = std::vector<bool>;

    /// Attributes all recorded crashes anew.
    void attribute();
    /// Returns the suspect that explains most of the crashes, with their number; std::nullopt if none is to be
    /// contained.
    /// @param explained the calls to leave out.
    std::optional<std::pair<std::string, int>> findCause(const ExplainedCalls &explained) const;
    /// Rebuilds `evidence` from `calls`.
    void collectEvidence();
    /// Returns the crashes of which the suspect has not been cleared since and that followed one another.
    /// @param explained the calls to leave out; empty for none.
    std::vector<const Call *> findCrashes(const std::string &suspect, const ExplainedCalls &explained) const;
    /// Returns whether there is a crash of which a request that is served now with output of @p level clears the
    /// suspect.
    bool isAccused(const std::string &suspect, int level) const;
    static int weightOf(const std::vector<const Call *> &crashes);
    /// Returns whether two calls ran at the same backend server when it crashed.
    static bool isSameCrash(const Call &call, const Call &other);
    /// Marks the calls that ran at the backend servers which @p suspect has crashed.
    void markExplained(const std::string &suspect, ExplainedCalls &explained) const;
    /// Returns the weight of crashes from which on a suspect is contained.
    int weightToContain(const std::string &suspect) const;
    /// Returns the level that output of the given time has reached; -1 for less than SoundOutputTime.
    static int levelOf(Millis outputTime);
    /// Returns the level from which on output clears of a crash after output of the given time; 0 for a crash before
    /// SoundOutputTime.
    static int levelToClear(Millis outputTime);
    /// Returns when a request with @p suspect was last served with output of at least @p level; TimePoint::min() if
    /// never.
    TimePoint servedAt(const std::string &suspect, int level) const;
    /// Returns whether the recorded crashes would contain @p suspect if no other suspect explained them.
    bool hasEnoughCrashes(const std::string &suspect) const;
    void setServed(const std::string &suspect, int level, TimePoint at);
    /// Ends the containments for which @p hasEnded returns true.
    void releaseIf(const std::function<bool(const std::string &suspect, const Containment &containment)> &hasEnded);
    /// Adds a containment unless there is one. Drops the oldest one if there are too many.
    void contain(const std::string &suspect, const Containment &containment, int crashes);

    TrialHook isTrialRouter;
    ChangeHook onChange;
    std::deque<Call> calls; ///< In the order in which they became known.
    std::map<std::string, Evidence> evidence; ///< By suspect.
    std::map<std::string, Served> served; ///< By suspect.
    std::deque<std::pair<TimePoint, std::string>> servedOrder; ///< Entries of `served` from the oldest on.
    std::set<std::string> servedElsewhere; ///< Suspects of `calls` that the router of the call knew as served before.
    std::map<std::string, Containment> contained;
    std::set<std::string> stored; ///< Suspects that were contained in the store at the last restore().
};

}
