#pragma once

#include <cstdint>

namespace Cyclamen
{

/// Says whether requests of a route may be sent to a backend server more than once.
enum class RequestKind : std::uint8_t {
    Idempotent, ///< May run more than once.
    NonIdempotent, ///< Runs at most once.
    Stream, ///< Answered as a series of events; runs at most once unless the route allows resuming.
};

}
