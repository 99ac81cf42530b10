#pragma once

#include <memory>

namespace caf
{
class actor_system;
}

namespace Cyclamen
{

/// The CAF actor system whose single scheduler worker is the control thread. All control state lives in its actors.
class ControlSystem
{
public:
    ControlSystem();
    /// Waits until all actors have terminated.
    ~ControlSystem();
    ControlSystem(const ControlSystem &) = delete;
    ControlSystem &operator=(const ControlSystem &) = delete;

    /// Returns the actor system, which lives as long as this object.
    caf::actor_system &actors();

private:
    struct Members;
    std::unique_ptr<Members> members;
};

}
