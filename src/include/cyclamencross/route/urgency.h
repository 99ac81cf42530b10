#pragma once

#include "cyclamencross/base/timing.h"

#include <cstdint>

namespace Cyclamen
{

/// How urgent a request is compared with others that need room at the same backend servers. Requests that can still be
/// on time go before late ones, then the more urgent priority, then streams that have begun, then most of the large
/// requests, then workspaces within their share, then the request that has to start first. Immutable.
class Urgency
{
public:
    /// Share of the requests that take their turn with the most urgent ones, chosen at random, so that no priority and
    /// no workspace starves: each is served at least this often when the most urgent ones are all served.
    static constexpr double TurnShare = 0.2;
    /// The same for large requests, for which there is seldom room in the time that more urgent ones leave.
    static constexpr double LargeTurnShare = 0.4;
    /// Share of the large requests that go before others of their priority once they have waited for LargeFirstAfter,
    /// chosen at random. Room for them has to be gathered at one engine, while smaller ones take each bit. In the model
    /// of the tests (burst of 2.5, 8 engines) the largest requests of the second kind are served 0.40 times as often as
    /// the kind without this and 0.53 times with it; the operators ask for half.
    static constexpr double LargeFirstShare = 0.9;
    static constexpr Millis LargeFirstAfter{200};
    /// Expected work relative to the mean of the service from which on a request counts as large.
    static constexpr double LargeFactor = 1.6;
    /// Number of values of waitClass().
    static constexpr int ClassCount = 40;

    /// @param priority from 0, the most urgent, to 9; other values count as the nearest one.
    /// @param onTimeUntil latest time at which the request can get room and still be on time.
    /// @param expectedTokens expected work, for the shares of workspaces and for reports.
    Urgency(int priority, TimePoint onTimeUntil, std::int64_t expectedTokens);
    /// Returns a copy for a stream that has begun: it has cost work, and its caller sees a pause.
    Urgency asBegun() const;
    /// Returns a copy that takes its turn with the most urgent requests, whatever its priority and the share of its
    /// workspace, if @p draw, a random number from 0 to 1, is below the share of requests of its size.
    /// @param mostUrgent the most urgent priority of the service.
    /// @param meanTokens mean expected tokens of the service; 0 if not known.
    Urgency withTurn(int mostUrgent, double meanTokens, double draw) const;
    /// Returns a copy that goes before others of its priority if the request is large, compared with the mean expected
    /// tokens of the service, and @p draw, a random number from 0 to 1, is below LargeFirstShare.
    Urgency withSize(double meanTokens, double draw) const;
    /// Returns a copy for a workspace that uses more than its share of the service, or not.
    Urgency withOverShare(bool isOver) const;

    int priority() const;
    /// Returns whether the request takes its turn with the most urgent ones.
    bool hasTurn() const;
    bool isBegun() const;
    std::int64_t expectedTokens() const;
    /// Returns whether the request is on time if it gets room at @p now.
    bool isOnTime(TimePoint now) const;
    /// Returns the class by which requests of different routers give way to one another: those of a lower class go
    /// first. Less than ClassCount.
    int waitClass() const;
    /// Returns whether this request goes before @p other at @p now. A strict weak order.
    bool isBefore(const Urgency &other, TimePoint now) const;

    bool operator==(const Urgency &) const = default;

private:
    bool isLarge(double meanTokens) const;

    int level; ///< Priority as configured, within the bounds.
    TimePoint onTimeUntil;
    std::int64_t tokens;
    bool begun = false;
    bool turn = false;
    int levelInTurn = 0; ///< Priority that counts if `turn` is set.
    bool largeFirst = false;
    bool overShare = false;
};

}
