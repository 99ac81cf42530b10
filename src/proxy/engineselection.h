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
    /// @param suspect whether the request has crashed a backend server and must avoid engines that other suspect
    /// requests have reserved.
    EngineSelection(ProxyCore &core, std::string model, bool suspect);

    void setSuspect(bool isSuspect);
    /// Avoids @p engine from now on, unless no other candidate is left.
    void exclude(const std::string &engine);
    /// Returns the candidate decode engines, best first.
    std::vector<RankedEngine> rankDecodeEngines();
    /// Returns the candidate prefill engines, best first.
    /// @param prefix cache key of the prompt prefix; see ModelRequest::prefix().
    std::vector<RankedEngine> rankPrefillEngines(std::uint64_t promptTokens, const std::string &prefix);
    /// Returns whether any engine, live or not, serves the model.
    bool isModelKnown() const;
    /// Returns whether the current fleet view lists @p engine as live. Must be checked right before each dispatch.
    bool isLive(const std::string &engine) const;

private:
    std::vector<Backend> candidates(EngineRole role) const;

    ProxyCore &core;
    std::string model;
    bool suspect;
    std::set<std::string> excluded;
    std::mt19937_64 random;
};

/// Returns the servers of @p pool that are not ejected as outliers.
std::vector<Backend> withoutOutliers(const RetryPolicy &retries, const std::vector<Backend> &pool);

/// Returns whether @p view lists @p address as live.
bool isLiveBackend(const FleetView &view, const std::string &address);

}
