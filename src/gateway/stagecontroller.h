#pragma once

#include "cyclamencross/base/timing.h"
#include "cyclamencross/gateway/backendcodec.h"
#include "cyclamencross/gateway/ordercall.h"
#include "cyclamencross/route/backendserver.h"
#include "cyclamencross/route/stagebalancer.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include <boost/asio/awaitable.hpp>

namespace Cyclamen
{

class FleetSync;
class RouterState;
struct StagePlan;

/// Changes the stages of engines to balance prefill and decode capacity. One router does this for the whole fleet: the
/// leader, whose record in the store is bound to the lease of its registration. It extrapolates the load of its group
/// to the fleet, writes the changes to the stage plan in the store, and then orders the engines to make them. Used from
/// one thread.
class StageController
{
public:
    /// Interval between two looks at the load.
    static constexpr Millis Period{250};
    /// Extra time for which a new leader gives no orders, beyond the pause that the settings demand between two
    /// holders.
    static constexpr Millis TakeoverMargin{500};
    /// Time between the write of the plan and the first order: routers know the plan by then.
    static constexpr Millis PlanHeadStart{800};
    /// Time after which an order that had no effect is repeated, longer than an engine needs to change its stage.
    static constexpr Millis OrderRepeatTime{9000};
    static constexpr Millis OrderTimeout{500};
    /// Orders to one engine after which a change is given up.
    static constexpr int MaxOrders = 2;
    /// Engines that get an order in one period.
    static constexpr int MaxOrdersPerPeriod = 8;

    /// Returns the order to be sent; std::nullopt if this router may not give it any more.
    using MakeOrder = std::function<std::optional<OrderCall>()>;

    StageController(RouterState &state, FleetSync &sync, const BackendCodec &codec);

    /// Claims leadership whenever there is no leader and balances the stages while this router leads, until
    /// RouterState::stopping is set.
    boost::asio::awaitable<void> run();
    /// Returns whether this router is the leader and may give orders now.
    bool mayOrder() const;

    /// Connects to an engine and sends it the order that the second argument returns then. Returns the
    /// status of the answer, 0 if there was none; std::nullopt if no order was sent. Uses HTTP unless a test replaces
    /// it.
    std::function<boost::asio::awaitable<std::optional<int>>(BackendServer server, MakeOrder makeOrder)> sendOrder;

private:
    /// The orders that an engine was given.
    struct OrderRecord
    {
        TimePoint time; ///< Of the last one.
        int count = 0;
    };

    boost::asio::awaitable<void> claim();
    /// Orders engines to follow the stage plan.
    /// @return whether any engine does not follow it yet.
    boost::asio::awaitable<bool> enforcePlan();
    /// Gives one order. Records the service as fixed if the engine rejects it for good.
    boost::asio::awaitable<void> order(BackendServer server, EngineStage stage);
    /// See sendOrder.
    boost::asio::awaitable<std::optional<int>> sendByHttp(BackendServer server, MakeOrder makeOrder);
    /// Removes the changes that engines have rejected or not made after MaxOrders from the plan, since routers send
    /// nothing to an engine whose stage differs from the plan.
    boost::asio::awaitable<void> dropFailedChanges();
    /// Records the load of each model service and extends the plan if engines should change.
    boost::asio::awaitable<void> balance();
    /// Adds @p count changes of engines of @p service from stage @p from to stage @p target to the plan.
    void addChanges(StagePlan &plan, const std::string &service, EngineStage from, EngineStage target, int count) const;

    RouterState &state;
    FleetSync &sync;
    const BackendCodec &codec;
    std::optional<TimePoint> leaderSince;
    std::map<std::string, StageBalancer> balancers; ///< By service.
    std::map<std::string, OrderRecord> orders; ///< By id of the engine.
    std::set<std::string> fixedServices; ///< Services whose engines do not change their stage.
};

}
