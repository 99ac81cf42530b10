#include "virtualrouter_test.h"

#include "peersocket.h"

#include "cyclamencross/base/hash.h"
#include "cyclamencross/route/routetablebuilder.h"

#include <utility>

namespace Cyclamen
{

namespace
{

constexpr Millis HousekeepingPeriod{100};
constexpr Millis OrderConnectTime{2};

ProcessPtr makeProcess(std::size_t index)
{
    auto process = std::make_shared<VirtualProcess>();
    process->router = index;
    return process;
}

RouterSettings makeSettings(std::size_t index)
{
    RouterSettings settings;
    settings.name = VirtualRouter::nameOf(index);
    settings.zone = "z";
    const std::string host = "10.0.0." + std::to_string(index + 1);
    settings.callerAddress = host + ":1000";
    settings.peerAddress = host + ":1001";
    return settings;
}

RouterEnvironment makeEnvironment(VirtualTime &time, const ProcessPtr &process)
{
    RouterEnvironment environment;
    environment.now = [&time, process] { return time.now(*process); };
    environment.bootTime = [&time] { return time.now().time_since_epoch(); };
    environment.unixSeconds = [&time] { return time.millis() / 1000; };
    environment.sleep = [&time, process](Millis duration) { return time.sleep(process, duration); };
    environment.seed = std::uint64_t(time.random() * 1e15);
    return environment;
}

FleetCodec makeFleetCodec()
{
    FleetCodec codec;
    codec.configKey = VirtualRouter::configKey();
    codec.backendPrefix = VirtualRouter::backendPrefix();
    codec.decodeConfig = [](std::string_view value) {
        RouteConfig route;
        route.name = "r";
        route.host = "host";
        route.pathPrefix = "/";
        return RouteTableBuilder().version(std::stoull(std::string(value))).add(route).build();
    };
    codec.decodeBackend = [](const std::string &id, std::string_view value) {
        const EngineStage stage = id.starts_with("e") ? EngineStage::Prefill : EngineStage::None;
        const auto space = value.find(' ');
        const std::int64_t start = space == value.npos ? 0 : std::stoll(std::string(value.substr(space)));
        return BackendServer{id, "s", "10.0.1.1:1", "z", value.starts_with("draining"), stage, 1, start};
    };
    return codec;
}

BackendCodec makeBackendCodec()
{
    BackendCodec codec;
    codec.stageOrder = [](const std::string & /*backend*/, EngineStage /*stage*/, const std::string &holder,
                          std::uint64_t fencingToken) {
        return OrderCall{holder, HeaderList(), std::to_string(fencingToken)};
    };
    return codec;
}

}

VirtualRouter::VirtualRouter(VirtualTime &time, VirtualStore &store, std::size_t index, std::uint64_t incarnation,
                             SendReport sendReport, OrderSent orderSent)
    : process(makeProcess(index))
    , startTime(time.now())
    , backendCodec(makeBackendCodec())
    , state(time.context.get_executor(), makeSettings(index), incarnation, makeEnvironment(time, this->process))
    , sync(this->state, store.makeClient(this->process), makeFleetCodec())
    , stages(this->state, this->sync, this->backendCodec)
    , time(time)
    , sendReport(std::move(sendReport))
{
    this->stages.sendOrder = [this, orderSent = std::move(orderSent)](
                                 BackendServer /*server*/,
                                 StageController::MakeOrder makeOrder) -> boost::asio::awaitable<std::optional<int>> {
        co_await this->time.sleep(this->process, OrderConnectTime);
        const std::optional<OrderCall> order = makeOrder();
        if (!order) {
            co_return std::nullopt;
        }
        orderSent(*order);
        co_return 202;
    };
}

void VirtualRouter::start()
{
    this->time.spawn(this->sync.follow(""));
    this->time.spawn(this->sync.catchUp(""));
    this->time.spawn(this->sync.keepFresh(""));
    this->time.spawn(this->sync.keepRegistered());
    this->time.spawn(this->stages.run());
    this->time.spawn(this->sendReports());
    this->time.spawn(this->runHousekeeping());
}

boost::asio::awaitable<void> VirtualRouter::sendReports()
{
    while (true) {
        co_await this->time.sleep(this->process, PeerSocket::ReportPause);
        const TimePoint now = this->time.now(*this->process);
        if (auto report = this->state.takeReport(now)) {
            for (const auto &peers : {this->state.groupPeers(), this->state.lapsedPeers(now)}) {
                for (const RouterMember &peer : peers) {
                    report->clockOffset = this->state.clockOffset(peer);
                    this->sendReport({peer}, *report);
                }
            }
        }
    }
}

boost::asio::awaitable<void> VirtualRouter::runHousekeeping()
{
    while (true) {
        co_await this->time.sleep(this->process, HousekeepingPeriod);
        const TimePoint now = this->time.now(*this->process);
        this->sync.expire(now);
        this->state.regroupIfPending(now);
    }
}

std::string VirtualRouter::nameOf(std::size_t index)
{
    std::string name = "r";
    name += std::to_string(index);
    return name;
}

std::string VirtualRouter::backendPrefix()
{
    return "servers/";
}

std::string VirtualRouter::configKey()
{
    return "config";
}

std::string VirtualRouter::backendValue(bool draining, int start)
{
    std::string value = draining ? "draining" : "serving";
    if (start != 0) {
        value += " " + std::to_string(start);
    }
    return value;
}

bool VirtualRouter::isServing(const std::string &value)
{
    return value.starts_with("serving");
}

}
