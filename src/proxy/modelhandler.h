#pragma once

#include "callerexchange.h"
#include "callregistry.h"
#include "proxycore.h"

namespace Cyclamen
{

/// Handles POST /v1/completions and /v1/chat/completions: validates and refuses requests, replays stored responses, and
/// runs the others by a ModelRun.
class ModelHandler
{
public:
    ModelHandler(ProxyCore &core, CallRegistry &registry);

    /// Handles one request to its end, and records its log line and metrics.
    void handle(CallerExchange &exchange);

private:
    /// Runs the request unless it is refused.
    /// @return the error that was reported to the caller, if any.
    std::optional<CallerError> process(CallerExchange &exchange, const std::string &requestId);

    ProxyCore &core;
    CallRegistry &registry;
};

}
