#include "cyclamencross/route/workspaceshares.h"

#include <numeric>

namespace Cyclamen::WorkspaceShares
{

bool isOverShare(const std::map<std::string, std::int64_t> &tokens, const std::string &workspace)
{
    const auto own = tokens.find(workspace);
    if (own == tokens.end()) {
        return false;
    }
    const double sum = std::accumulate(tokens.begin(), tokens.end(), 0.0,
                                       [](double part, const auto &item) { return part + double(item.second); });
    return double(own->second) > sum / double(tokens.size()) * Tolerance;
}

}
