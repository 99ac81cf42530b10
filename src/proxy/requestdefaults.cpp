#include "requestdefaults.h"

#include "cyclamencross/decide/effectivedefaults.h"

namespace Cyclamen
{

FleetDefaults requestDefaults(const FleetView &view, const std::string &workspace, const std::string &model,
                              std::int64_t unixTime)
{
    if (!view.config) {
        return {};
    }
    return effectiveDefaults(*view.config, ConfigSubject{workspace, model, view.self.zone, ""}, unixTime);
}

}
