#pragma once

#include "cyclamencross/base/settings.h"
#include "cyclamencross/net/httpreply.h"
#include "cyclamencross/net/httprequest.h"
#include "cyclamencross/proxy/proxyhooks.h"

#include <memory>

namespace Cyclamen
{

class Metrics;

/// The callers' port: model requests, plain services and the entry address.
class ProxyServer
{
public:
    ProxyServer(const Settings &settings, std::uint64_t incarnation, ProxyHooks hooks, Metrics &metrics);
    /// Stops at once; requests in progress end with a truthful outcome.
    ~ProxyServer();
    ProxyServer(const ProxyServer &) = delete;
    ProxyServer &operator=(const ProxyServer &) = delete;

    /// Binds the callers' port and starts the traffic threads.
    /// @return whether the port could be bound.
    bool start();
    /// Closes the listener; requests in progress and on open connections go on.
    void stopAccepting();
    /// Refuses new work as not-run from now on.
    void refuseNewWork();
    /// Returns the number of requests in progress.
    std::uint32_t inProgress() const;
    /// Answers POST /peer/call: a call that was forwarded here, or a question for its result.
    HttpReply answerPeerCall(const HttpRequest &request);

private:
    struct Members;
    std::unique_ptr<Members> members;
};

}
