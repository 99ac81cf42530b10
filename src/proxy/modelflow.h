#pragma once

#include "callerexchange.h"
#include "callregistry.h"
#include "proxycore.h"

namespace Cyclamen
{

/// Answers POST /v1/completions and /v1/chat/completions: validation, refusals and resends around a ModelRun.
class ModelFlow
{
public:
    ModelFlow(ProxyCore &core, CallRegistry &registry);

    void handle(CallerExchange &exchange);

private:
    /// Runs the request unless it is refused.
    /// @return the error that the caller was told.
    std::optional<CallerError> answer(CallerExchange &exchange, const std::string &requestId);

    ProxyCore &core;
    CallRegistry &registry;
};

}
