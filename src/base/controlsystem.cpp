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
    // One worker is the control thread: actors never run at the same time.
    this->members->config.set("scheduler.max-threads", 1);
    // A busy-polling worker would spend the control budget of 1.7% of a core on its own.
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
