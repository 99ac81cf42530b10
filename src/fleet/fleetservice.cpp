#include "cyclamencross/fleet/fleetservice.h"

#include "hostlistpoll.h"

#include "cyclamencross/base/failures.h"

#include <mutex>

#include <boost/leaf/error.hpp>

namespace Cyclamen
{

namespace
{

Member makeSelf(const Settings &settings, std::uint64_t incarnation)
{
    Member self;
    self.name = settings.name;
    self.incarnation = incarnation;
    self.callerAddress = settings.callerAddress;
    self.adminAddress = settings.adminAddress;
    self.gossipAddress = settings.gossipAddress;
    self.zone = settings.zone;
    self.region = settings.region;
    return self;
}

}

struct FleetService::Members
{
    // Replaces the snapshot by a changed copy.
    void publish(const std::function<void(FleetView &)> &change)
    {
        const std::scoped_lock lock(this->mutex);
        FleetView next = *this->view;
        change(next);
        this->view = std::make_shared<const FleetView>(std::move(next));
    }

    Settings settings;
    mutable std::mutex mutex;
    FleetViewPtr view;
    std::unique_ptr<HostListPoll> hostListPoll;
};

FleetService::FleetService(const Settings &settings, std::uint64_t incarnation, ControlSystem & /*control*/,
                           DatagramPort & /*port*/, Metrics & /*metrics*/)
    : members(std::make_unique<Members>())
{
    this->members->settings = settings;
    FleetView first;
    first.self = makeSelf(settings, incarnation);
    first.members = {first.self};
    first.config = std::make_shared<const FleetConfig>();
    this->members->view = std::make_shared<const FleetView>(std::move(first));
}

FleetService::~FleetService() = default;

void FleetService::start()
{
    this->members->hostListPoll = std::make_unique<HostListPoll>(this->members->settings, [this](const HostList &list) {
        this->members->publish([&list](FleetView &view) {
            view.backends = list.backends;
            view.ready = true;
        });
    });
}

FleetViewPtr FleetService::view() const
{
    const std::scoped_lock lock(this->members->mutex);
    return this->members->view;
}

void FleetService::beginDrain()
{
    this->members->publish([](FleetView &view) {
        view.self.state = MemberState::Draining;
        view.members = {view.self};
    });
}

void FleetService::leave()
{
    this->members->publish([](FleetView &view) {
        view.self.state = MemberState::Left;
        view.members = {view.self};
    });
}

void FleetService::setLoad(std::uint32_t /*requests*/)
{
}

void FleetService::reportCrash(const CrashReport & /*report*/)
{
}

std::vector<CrashReport> FleetService::crashes() const
{
    return {};
}

void FleetService::liftCrash(std::uint64_t /*fingerprint*/)
{
}

boost::leaf::result<CallRecord> FleetService::createCallRecord(const CallRecord & /*wanted*/)
{
    return boost::leaf::new_error(KeyValueUnavailable{"not connected"});
}

void FleetService::finishCallRecord(const CallRecord & /*record*/)
{
}

std::string FleetService::configText() const
{
    return {};
}

boost::leaf::result<std::uint64_t> FleetService::applyConfig(const std::string & /*text*/,
                                                             std::uint64_t /*baseRevision*/,
                                                             const std::string & /*changeId*/,
                                                             const std::string & /*author*/)
{
    return boost::leaf::new_error(KeyValueUnavailable{"not connected"});
}

}
