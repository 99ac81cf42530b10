#pragma once

#include "callerexchange.h"
#include "callguard.h"
#include "proxycore.h"

#include <string>

namespace Cyclamen
{

/// Answers ANY /services/NAME/...: passes the call to a backend server of the pool NAME.
class ServiceFlow
{
public:
    /// @param registry remembers the calls with an idempotency key.
    /// @param peerCaller forwards a call to the entry that may run it.
    ServiceFlow(ProxyCore &core, CallRegistry &registry, CallGuard::PeerCaller peerCaller);

    void handle(CallerExchange &exchange);
    /// Calls with an idempotency key, their tickets, and calls that other entries forward.
    CallGuard &guard();

private:
    /// A call on its way through the attempts.
    struct Call
    {
        const CallerRequest &request;
        const std::string &requestId;
        CancelSignal &cancel;
        std::uint64_t fingerprint = 0;
        bool mayRepeat = false; ///< GET and HEAD without an idempotency key.
    };

    HttpReply run(const CallerRequest &request, const std::string &requestId, CancelSignal &cancel, bool once);
    HttpReply attempts(const Call &call, std::vector<Backend> servers, const std::string &pool);
    ExchangeEnd sendTo(const Backend &server, const Call &call);
    void noteEnd(const Backend &server, const ExchangeEnd &end, const Call &call);
    void logChoice(const Call &call, const std::vector<Backend> &servers, const std::string &choice,
                   const char *reason) const;

    ProxyCore &core;
    CallGuard callGuard;
};

}
