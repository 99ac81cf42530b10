#pragma once

#include "callerexchange.h"
#include "idempotencyguard.h"
#include "proxycore.h"

#include <string>

namespace Cyclamen
{

/// Handles any method on /services/NAME/...: passes the call to a backend server of the pool NAME.
class ServiceHandler
{
public:
    /// @param registry stores the calls with an idempotency key.
    /// @param peerCaller sends a call to the entry that may run it.
    ServiceHandler(ProxyCore &core, CallRegistry &registry, IdempotencyGuard::PeerCaller peerCaller);

    /// Handles one call to its end, and records its log line and metrics.
    void handle(CallerExchange &exchange);
    /// Returns the handler of calls with an idempotency key.
    IdempotencyGuard &guard();

private:
    /// The data of one call that all its attempts share.
    struct Call
    {
        const CallerRequest &request;
        const std::string &requestId;
        CancelSignal &cancel;
        std::uint64_t fingerprint = 0;
        /// Whether the call may be sent again after an unknown outcome: GET and HEAD without an idempotency key.
        bool repeatable = false;
    };

    HttpReply run(const CallerRequest &request, const std::string &requestId, CancelSignal &cancel, bool hasKey);
    /// Sends the call to the servers in order until one responds or no further attempt is allowed.
    HttpReply tryServers(const Call &call, std::vector<Backend> servers, const std::string &pool);
    ExchangeResult sendRequest(const Backend &server, const Call &call);
    void recordResult(const Backend &server, const ExchangeResult &result, const Call &call);
    void logRouting(const Call &call, const std::vector<Backend> &servers, const std::string &choice,
                    const char *reason) const;

    ProxyCore &core;
    IdempotencyGuard idempotencyGuard;
};

}
