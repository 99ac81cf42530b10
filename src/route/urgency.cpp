#include "cyclamencross/route/urgency.h"

#include <algorithm>
#include <tuple>

namespace Cyclamen
{

namespace
{

constexpr int LeastUrgent = 9;
// Streams that have begun, large requests, workspaces within their share, and the others.
constexpr int ClassesPerPriority = 4;

static_assert((LeastUrgent + 1) * ClassesPerPriority == Urgency::ClassCount);

}

Urgency::Urgency(int priority, TimePoint onTimeUntil, std::int64_t expectedTokens)
    : level(std::clamp(priority, 0, LeastUrgent))
    , onTimeUntil(onTimeUntil)
    , tokens(expectedTokens)
{
}

Urgency Urgency::asBegun() const
{
    Urgency copy = *this;
    copy.begun = true;
    return copy;
}

Urgency Urgency::withTurn(int mostUrgent, double meanTokens, double draw) const
{
    Urgency copy = *this;
    copy.turn = draw < (this->isLarge(meanTokens) ? LargeTurnShare : TurnShare);
    copy.levelInTurn = std::clamp(mostUrgent, 0, LeastUrgent);
    return copy;
}

Urgency Urgency::withSize(double meanTokens, double draw) const
{
    Urgency copy = *this;
    copy.largeFirst = this->isLarge(meanTokens) && draw < LargeFirstShare;
    return copy;
}

Urgency Urgency::withOverShare(bool isOver) const
{
    Urgency copy = *this;
    copy.overShare = isOver;
    return copy;
}

bool Urgency::isLarge(double meanTokens) const
{
    return meanTokens > 0 && double(this->tokens) >= meanTokens * LargeFactor;
}

int Urgency::priority() const
{
    return this->level;
}

bool Urgency::hasTurn() const
{
    return this->turn;
}

bool Urgency::isBegun() const
{
    return this->begun;
}

std::int64_t Urgency::expectedTokens() const
{
    return this->tokens;
}

bool Urgency::isOnTime(TimePoint now) const
{
    return now < this->onTimeUntil;
}

int Urgency::waitClass() const
{
    int rank = 2;
    if (this->begun) {
        rank = 0;
    } else if (this->overShare && !this->turn) {
        rank = 3;
    } else if (this->largeFirst) {
        rank = 1;
    }
    return (this->turn ? this->levelInTurn : this->level) * ClassesPerPriority + rank;
}

bool Urgency::isBefore(const Urgency &other, TimePoint now) const
{
    const auto key = [now](const Urgency &one) {
        return std::make_tuple(!one.isOnTime(now), one.waitClass(), one.onTimeUntil);
    };
    return key(*this) < key(other);
}

}
