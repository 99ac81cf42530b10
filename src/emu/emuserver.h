#pragma once

#include "faults.h"

#include "cyclamencross/base/timing.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <set>
#include <string>

#include <httplib.h>

namespace Cyclamen
{

/// The HTTP server of an emulator. POST /fault injects faults, which apply to the routes added with addRoute().
class EmuServer : public httplib::Server
{
public:
    /// Applies a fault that is specific to one emulator and takes effect at once.
    /// @return false if it does not handle this kind of fault.
    using FaultHook = std::function<bool(const Fault &)>;

    /// @param routeFaultKinds the kinds of fault that the route handlers consume themselves, in addition to those that
    /// apply to any request.
    EmuServer(std::set<std::string> routeFaultKinds, FaultHook faultHook);

    /// Adds a route on which injected faults apply.
    /// @param method "GET", "POST", "PUT", "DELETE", or "*" for all of these and PATCH.
    void addRoute(const std::string &method, const std::string &pattern, const Handler &handler);
    /// Adds a route on which no injected fault applies.
    void addRouteWithoutFaults(const std::string &method, const std::string &pattern, const Handler &handler);
    /// Serves requests on @p address ("IP:PORT"). After a "refuse" fault it binds the address again.
    /// @return false if the address cannot be bound; otherwise it does not return.
    bool run(const std::string &address);
    Faults &activeFaults();
    /// Ends the process immediately, like a crash, if a "crash" fault applies to a request.
    /// @param text the text that the fault is matched against: the request body, or a prompt received by other means.
    void crashIfInjected(const std::string &path, const std::string &text);
    /// Calls @p callCounter with the path of each request on a route with faults, before faults are applied.
    void setCallCounter(std::function<void(const std::string &)> callCounter);

private:
    bool process_and_close_socket(int descriptor) override;
    void handleWithFaults(const httplib::Request &request, httplib::Response &response, const Handler &handler);
    /// @return whether a fault has answered the request or closed its connection, so that the handler must not run.
    bool injectFaults(const httplib::Request &request, httplib::Response &response);
    void handleFaultRequest(const httplib::Request &request, httplib::Response &response);
    void closeConnections();

    std::set<std::string> routeFaultKinds;
    FaultHook faultHook;
    std::function<void(const std::string &)> callCounter;
    Faults faults;
    std::mutex mutex;
    std::set<int> openSockets; ///< Guarded by the mutex.
    std::atomic<int> listeningSocket{-1};
    std::atomic<std::int64_t> refuseForMs{0};
};

}
