#pragma once

#include <cstddef>

namespace Cyclamen
{

/// Load of the engines of one model service, by stage.
struct StageLoad
{
    std::size_t prefillEngines = 0;
    std::size_t decodeEngines = 0;
    double prefillRequests = 0; ///< Requests at all prefill engines together, running or queued.
    double decodeUse = 0; ///< Share of the decode engines' KV cache that is expected to be used, from 0.
    std::size_t minPrefillEngines = 1; ///< Prefill engines that must remain.

    bool operator==(const StageLoad &) const = default;
};

}
