#pragma once

#include <cstdint>

namespace Cyclamen
{

/// Returns the incarnation number of this process start: the wall-clock time in milliseconds followed by 20 random
/// bits. It is greater than that of any earlier start if the clocks of the hosts agree. Receivers drop datagrams whose
/// incarnation is smaller than the largest one known, so with a plain random number, the peers would ignore about every
/// other restarted process.
std::uint64_t newIncarnation();

}
