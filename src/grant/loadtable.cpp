#include "loadtable.h"

namespace Cyclamen
{

void LoadTable::update(const EngineLoad &load, TimePoint now)
{
    if (load.known == TimePoint()) {
        return; // The owner has no report of the engine yet.
    }
    const std::scoped_lock lock(this->mutex);
    EngineLoad &entry = this->loads[load.engine];
    entry = load;
    entry.known = now;
}

std::optional<EngineLoad> LoadTable::find(const std::string &engine, TimePoint now) const
{
    const std::scoped_lock lock(this->mutex);
    const auto it = this->loads.find(engine);
    if (it == this->loads.end() || now - it->second.known > MaxAge) {
        return std::nullopt;
    }
    return it->second;
}

}
