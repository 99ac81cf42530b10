#pragma once

#include "cyclamencross/base/settings.h"
#include "cyclamencross/net/httpreply.h"
#include "cyclamencross/net/httprequest.h"

#include <functional>
#include <memory>
#include <string>

namespace Cyclamen
{

class Metrics;

/// Whether a route needs a valid `Peer-Signature`.
enum class RouteAccess { Open, Signed };

/// The port for operators and peers, with threads of its own, so that it answers when the callers' port is overloaded.
///
/// Whatever it refuses itself carries `Run-Outcome: not-run` and the JSON body `{"error":{"type","message"}}`.
class AdminServer
{
public:
    using Handler = std::function<HttpReply(const HttpRequest &)>;

    AdminServer(const Settings &settings, Metrics &metrics);
    ~AdminServer();
    AdminServer(const AdminServer &) = delete;
    AdminServer &operator=(const AdminServer &) = delete;

    /// Stops the listener and waits for the requests in progress.
    void stop();
    /// Sets what `/readyz` asks; set before start(). Without it the process counts as ready.
    void readiness(std::function<bool()> isReady);
    /// Adds a route; set before start(). `/metrics`, `/healthz` and `/readyz` are there from the beginning.
    /// @param path exact path, without the query.
    void route(const std::string &method, const std::string &path, RouteAccess access, Handler handler);
    /// Binds the port and starts its threads.
    /// @return whether the port could be bound.
    bool start();

private:
    struct Members;
    std::unique_ptr<Members> members;
};

}
