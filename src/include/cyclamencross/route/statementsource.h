#pragma once

#include <cstdint>

namespace Cyclamen
{

/// How a router has learned what a backend server says of itself.
enum class StatementSource : std::uint8_t {
    OwnAnswer, ///< Read from an answer to this router.
    Peer, ///< Told by a router that has read it.
};

}
