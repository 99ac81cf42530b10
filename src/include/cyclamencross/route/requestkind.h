#pragma once

#include <cstdint>

namespace Cyclamen
{

/// What may be repeated of the requests of a route.
enum class RequestKind : std::uint8_t {
    Idempotent, ///< May run more than once.
    NonIdempotent, ///< Runs at most once.
    Stream, ///< Answered as a series of events; runs at most once unless the route allows resuming.
};

}
