#include "cyclamencross/base/controlsystem.h"

#include <caf/actor_system.hpp>
#include <caf/actor_system_config.hpp>

namespace Cyclamen
{

struct ControlSystem::Members
{
    caf::actor_system_config config;
    std::unique_ptr<caf::actor_system> system;
};

ControlSystem::ControlSystem()
    : members(std::make_unique<Members>())
{
    // The only worker is the control thread, so no two actors ever run at the same time.
    this->members->config.set("scheduler.max-threads", 1);
    // An idle worker that polls without sleeping would exceed the control plane's CPU budget of 1.7% of a core by
    // itself.
    this->members->config.set("work-stealing.aggressive-poll-attempts", 0);
    this->members->config.set("work-stealing.moderate-poll-attempts", 0);
    this->members->system = std::make_unique<caf::actor_system>(this->members->config);
}

ControlSystem::~ControlSystem() = default;

caf::actor_system &ControlSystem::actors()
{
    return *this->members->system;
}

}
