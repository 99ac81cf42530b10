#pragma once

#include "proxycore.h"

#include "cyclamencross/decide/rankedengine.h"

#include <random>
#include <set>
#include <string>
#include <vector>

namespace Cyclamen
{

/// Finds and ranks the engines that may take one attempt of a request.
class EngineSelection
{
public:
    /// @param suspect whether the request has one crash and must keep away from others like it.
    EngineSelection(ProxyCore &core, std::string model, bool suspect);

    void setSuspect(bool isSuspect);
    /// Leaves @p engine out from now on.
    void exclude(const std::string &engine);
    /// Returns the decode engines, the best first.
    std::vector<RankedEngine> rankDecodes();
    /// Returns the prefill engines, the best first.
    std::vector<RankedEngine> rankPrefills(std::uint64_t promptTokens, const std::string &prefix);
    /// Returns whether any engine, live or not, serves the model.
    bool modelKnown() const;
    /// Returns whether the newest fleet view still lists @p engine as live. Asked right before each dispatch.
    bool isLive(const std::string &engine) const;

private:
    std::vector<Backend> candidates(EngineRole role) const;

    ProxyCore &core;
    std::string model;
    bool suspect;
    std::set<std::string> excluded;
    std::mt19937_64 random;
};

/// Returns the live servers of @p pool that outlier ejection leaves.
std::vector<Backend> withoutOutliers(const RetryPolicy &retries, const std::vector<Backend> &pool);

/// Returns whether @p view lists @p address as live.
bool isLiveBackend(const FleetView &view, const std::string &address);

}
