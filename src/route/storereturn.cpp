#include "cyclamencross/route/storereturn.h"

namespace Cyclamen
{

void StoreReturn::begin(TimePoint at)
{
    this->settled = at;
}

std::optional<TimePoint> StoreReturn::settledAt(TimePoint now) const
{
    return now < this->settled ? std::optional(this->settled) : std::nullopt;
}

}
