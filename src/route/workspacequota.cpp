#include "cyclamencross/route/workspacequota.h"

namespace Cyclamen
{

bool WorkspaceQuota::isLimited() const
{
    return this->ratePerSecond > 0;
}

double WorkspaceQuota::cost(std::int64_t tokens) const
{
    if (this->unit == Unit::Requests) {
        return 1;
    }
    return double(tokens > 0 ? tokens : this->plainTokens);
}

}
