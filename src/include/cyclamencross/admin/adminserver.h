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
class AdminServer
{
public:
    using Handler = std::function<HttpReply(const HttpRequest &)>;

    AdminServer(const Settings &settings, Metrics &metrics);
    ~AdminServer();
    AdminServer(const AdminServer &) = delete;
    AdminServer &operator=(const AdminServer &) = delete;

    /// Adds a route; set before start(). `/metrics` and `/healthz` are there from the beginning.
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
