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

/// HTTP server of the admin port, which operators and peers use. It has its own threads, so that it responds while the
/// callers' port is overloaded.
///
/// Requests that the server itself refuses get a response with `Run-Outcome: not-run` and the JSON body
/// `{"error":{"type","message"}}`.
class AdminServer
{
public:
    using Handler = std::function<HttpReply(const HttpRequest &)>;

    AdminServer(const Settings &settings, Metrics &metrics);
    /// Calls stop().
    ~AdminServer();
    AdminServer(const AdminServer &) = delete;
    AdminServer &operator=(const AdminServer &) = delete;

    /// Stops listening and waits for the requests in progress.
    void stop();
    /// Sets the check that `/readyz` calls. Without one, the process counts as ready. Call before start().
    void readiness(std::function<bool()> isReady);
    /// Adds a route, whose handler may run on several threads at once. `/metrics`, `/healthz` and `/readyz` are built
    /// in. Call before start().
    /// @param path exact path without the query.
    void route(const std::string &method, const std::string &path, RouteAccess access, Handler handler);
    /// Binds the port and starts the threads.
    /// @return whether the port could be bound.
    bool start();

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

}
