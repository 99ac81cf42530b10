#pragma once

#include "cyclamencross/base/settings.h"
#include "cyclamencross/net/httpreply.h"
#include "cyclamencross/net/httprequest.h"
#include "cyclamencross/proxy/proxyhooks.h"

#include <memory>

namespace Cyclamen
{

class Metrics;

/// HTTP server of the callers' port. Serves model completions, calls to services, entry lookup, health and metrics.
class ProxyServer
{
public:
    ProxyServer(const Settings &settings, std::uint64_t incarnation, ProxyHooks hooks, Metrics &metrics);
    /// Stops immediately. Requests in progress are cancelled; their responses report whether the work ran.
    ~ProxyServer();
    ProxyServer(const ProxyServer &) = delete;
    ProxyServer &operator=(const ProxyServer &) = delete;

    /// Binds the callers' port and starts serving.
    /// @return false if the port cannot be bound.
    bool start();
    /// Closes the listener. Open connections and the requests on them continue.
    void stopAccepting();
    /// Refuses all new work from now on, with outcome NotRun.
    void refuseNewWork();
    std::uint32_t inProgress() const;
    /// Handles POST /peer/call: runs a call that another entry forwarded, or returns the result of an earlier run.
    HttpReply answerPeerCall(const HttpRequest &request);

private:
    struct Members;
    std::unique_ptr<Members> members;
};

}
