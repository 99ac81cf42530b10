#include "cyclamencross/grant/grantservice.h"

namespace Cyclamen
{

struct GrantService::Members
{
};

GrantService::GrantService(const Settings & /*settings*/, ViewHook /*view*/, ControlSystem & /*control*/,
                           DatagramPort & /*port*/, Metrics & /*metrics*/)
    : members(std::make_unique<Members>())
{
}

GrantService::~GrantService() = default;

void GrantService::start()
{
}

boost::leaf::result<SlotGrant> GrantService::acquire(const SlotAsk &ask)
{
    return SlotGrant{ask.requestId, ask.engine, "", ask.slots, ask.tokens, Millis(0)};
}

void GrantService::release(const SlotGrant & /*grant*/)
{
}

std::optional<EngineLoad> GrantService::load(const std::string & /*engine*/) const
{
    return std::nullopt;
}

std::optional<std::string> GrantService::prefixHint(const std::string & /*prefix*/) const
{
    return std::nullopt;
}

void GrantService::notePrefix(const std::string & /*prefix*/, const std::string & /*engine*/)
{
}

}
