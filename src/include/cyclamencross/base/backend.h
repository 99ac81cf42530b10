#pragma once

#include <string>

namespace Cyclamen
{

enum class BackendKind { Engine, Service };
enum class EngineRole { None, Prefill, Decode };
enum class BackendState { Live, Leaving };

/// A backend server as the platform's host list describes it.
struct Backend
{
    std::string address; ///< "IP:PORT"; identifies the backend server.
    BackendKind kind = BackendKind::Engine;
    std::string pool; ///< For a plain service, the NAME in the path /services/NAME/.
    std::string model; ///< Empty for plain services.
    EngineRole role = EngineRole::None;
    std::string zone;
    BackendState state = BackendState::Live;
    bool checksOrders = true; ///< Whether it rejects requests that carry an outdated fencing token.

    bool operator==(const Backend &) const = default;
    auto operator<=>(const Backend &) const = default; // NOLINT(modernize-use-nullptr): false positive
};

}
