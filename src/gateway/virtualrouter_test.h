#pragma once

#include "fleetsync.h"
#include "routerstate.h"
#include "stagecontroller.h"
#include "virtualstore_test.h"
#include "virtualtime_test.h"

#include "cyclamencross/gateway/backendcodec.h"

#include <functional>
#include <string>

namespace Cyclamen
{

/// One process of a router on VirtualTime: its state and all loops that decide on membership.
class VirtualRouter
{
public:
    /// Sends a report of this router to its peers.
    using SendReport = std::function<void(const std::vector<RouterMember> &peers, const PeerReport &report)>;
    /// Called for each order, when it is sent.
    using OrderSent = std::function<void(const OrderCall &order)>;

    VirtualRouter(VirtualTime &time, VirtualStore &store, std::size_t index, std::uint64_t incarnation,
                  SendReport sendReport, OrderSent orderSent);

    /// Starts the loops.
    void start();
    /// Returns the name of the router with an index.
    static std::string nameOf(std::size_t index);
    /// Returns the key prefix of backend servers in the store.
    static std::string backendPrefix();
    /// Returns the key of the configuration, whose value is its version.
    static std::string configKey();
    /// Returns the value of a backend server's entry.
    /// @param start number of its start; 0 if the entry does not tell.
    static std::string backendValue(bool draining, int start = 0);
    /// Returns whether the value of a backend server's entry says that it takes requests.
    static bool isServing(const std::string &value);

    const ProcessPtr process;
    const TimePoint startTime;
    const BackendCodec backendCodec;
    RouterState state;
    FleetSync sync;
    StageController stages;

private:
    boost::asio::awaitable<void> sendReports();
    boost::asio::awaitable<void> runHousekeeping();

    VirtualTime &time;
    SendReport sendReport;
};

}
