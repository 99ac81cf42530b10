#include "cyclamencross/route/stageloads.h"

#include <algorithm>

namespace Cyclamen::StageLoads
{

StageLoad ofAll(const std::vector<StageLoad> &groups, std::size_t prefillEngines, std::size_t decodeEngines)
{
    StageLoad sum;
    for (const StageLoad &group : groups) {
        sum.prefillEngines += group.prefillEngines;
        sum.decodeEngines += group.decodeEngines;
        sum.prefillRequests += group.prefillRequests;
        sum.decodeUse += group.decodeUse * double(group.decodeEngines);
    }
    StageLoad result;
    result.prefillEngines = prefillEngines;
    result.decodeEngines = decodeEngines;
    result.prefillRequests =
        sum.prefillRequests / double(std::max<std::size_t>(1, sum.prefillEngines)) * double(prefillEngines);
    result.decodeUse = sum.decodeUse / double(std::max<std::size_t>(1, sum.decodeEngines));
    return result;
}

}
