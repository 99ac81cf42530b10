#pragma once

#include <cstdint>

namespace Cyclamen
{

/// Returns a number for this start of the process that is greater than that of any earlier start on hosts whose clocks
/// agree: the wall-clock time in milliseconds followed by 20 random bits. Receivers refuse datagrams of an incarnation
/// that is smaller than one they know, so a plain random number would silence every other restart.
std::uint64_t newIncarnation();

}
