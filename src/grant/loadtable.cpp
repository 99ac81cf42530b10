#include "loadtable.h"

namespace Cyclamen
{

void LoadTable::learn(const EngineLoad &load, TimePoint now)
{
    if (load.known == TimePoint()) {
        return; // The owner itself has no report yet.
    }
    const std::scoped_lock lock(this->mutex);
    EngineLoad &known = this->loads[load.engine];
    known = load;
    known.known = now;
}

std::optional<EngineLoad> LoadTable::find(const std::string &engine, TimePoint now) const
{
    const std::scoped_lock lock(this->mutex);
    const auto it = this->loads.find(engine);
    if (it == this->loads.end() || now - it->second.known > Lifetime) {
        return std::nullopt;
    }
    return it->second;
}

}
