#include "cyclamencross/fleet/fleetservice.h"

#include "cyclamencross/base/failures.h"

#include <boost/leaf/error.hpp>

namespace Cyclamen
{

struct FleetService::Members
{
    FleetViewPtr view = std::make_shared<const FleetView>();
};

FleetService::FleetService(const Settings & /*settings*/, std::uint64_t /*incarnation*/, ControlSystem & /*control*/,
                           DatagramPort & /*port*/, Metrics & /*metrics*/)
    : members(std::make_unique<Members>())
{
}

FleetService::~FleetService() = default;

void FleetService::start()
{
}

FleetViewPtr FleetService::view() const
{
    return this->members->view;
}

void FleetService::beginDrain()
{
}

void FleetService::leave()
{
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
