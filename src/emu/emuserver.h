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

/// The HTTP server of a stand-in. It applies the faults given by POST /fault to every other route.
class EmuServer : public httplib::Server
{
public:
    /// Handles a kind of fault that only one stand-in knows.
    /// @return false if the kind is unknown.
    using FaultHook = std::function<bool(const Fault &)>;

    /// @param kinds the kinds of fault that the routes themselves look up, besides those that apply to any request.
    EmuServer(std::set<std::string> kinds, FaultHook hook);

    /// Adds a route on which faults apply.
    /// @param method "GET", "POST", "PUT", "DELETE" or "*" for all of them.
    void route(const std::string &method, const std::string &pattern, const Handler &handler);
    /// Adds a route on which no fault applies.
    void plainRoute(const std::string &method, const std::string &pattern, const Handler &handler);
    /// Listens on @p address ("IP:PORT") until the process ends.
    /// @return false if the address can't be bound.
    bool run(const std::string &address);
    Faults &activeFaults();
    /// Ends the process at once, as a crash does, if a "crash" fault applies to a request.
    /// @param text the text of the request: its body, or the prompt that came another way.
    void crashIfTold(const std::string &path, const std::string &text);
    /// Calls @p counter with the path of each request on a route with faults, before any fault applies.
    void countCalls(std::function<void(const std::string &)> counter);

private:
    bool process_and_close_socket(int descriptor) override;
    void serve(const httplib::Request &request, httplib::Response &response, const Handler &handler);
    bool failBefore(const httplib::Request &request, httplib::Response &response);
    void acceptFault(const httplib::Request &request, httplib::Response &response);
    void cutConnections();

    std::set<std::string> kinds;
    FaultHook hook;
    std::function<void(const std::string &)> counter;
    Faults faults;
    std::mutex mutex;
    std::set<int> connections;
    std::atomic<int> listening{-1};
    std::atomic<std::int64_t> refuseMs{0};
};

}
