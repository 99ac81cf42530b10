#include "engineselection.h"

#include "cyclamencross/decide/enginechoice.h"

#include <algorithm>

namespace Cyclamen
{

EngineSelection::EngineSelection(ProxyCore &core, std::string model, bool suspect)
    : core(core)
    , model(std::move(model))
    , suspect(suspect)
    , random(core.retries.generator())
{
}

void EngineSelection::setSuspect(bool isSuspect)
{
    this->suspect = isSuspect;
}

void EngineSelection::exclude(const std::string &engine)
{
    this->excluded.insert(engine);
}

std::vector<RankedEngine> EngineSelection::rankDecodeEngines()
{
    return rankDecode(this->candidates(EngineRole::Decode), this->core.hooks.engineLoad, this->core.settings.zone,
                      this->random);
}

std::vector<RankedEngine> EngineSelection::rankPrefillEngines(std::uint64_t promptTokens, const std::string &prefix)
{
    return rankPrefill(this->candidates(EngineRole::Prefill), this->core.hooks.engineLoad, promptTokens,
                       this->core.hooks.prefixHint(prefix), this->random);
}

bool EngineSelection::isModelKnown() const
{
    return std::ranges::any_of(this->core.hooks.view()->backends, [this](const Backend &backend) {
        return backend.kind == BackendKind::Engine && backend.model == this->model;
    });
}

bool EngineSelection::isLive(const std::string &engine) const
{
    return isLiveBackend(*this->core.hooks.view(), engine);
}

std::vector<Backend> EngineSelection::candidates(EngineRole role) const
{
    const FleetViewPtr view = this->core.hooks.view();
    std::vector<Backend> pool;
    for (const Backend &backend : view->backends) {
        if (backend.kind == BackendKind::Engine && backend.model == this->model && backend.role == role
            && backend.state == BackendState::Live) {
            pool.push_back(backend);
        }
    }
    pool = withoutOutliers(this->core.retries, pool);
    // An engine that failed this request is tried again only if there is no other one.
    const auto isExcluded = [this](const Backend &backend) { return this->excluded.contains(backend.address); };
    if (!std::ranges::all_of(pool, isExcluded)) {
        std::erase_if(pool, isExcluded);
    }
    std::erase_if(pool, [this](const Backend &backend) {
        return this->suspect && this->core.crashGuard.isReserved(backend.address);
    });
    return pool;
}

std::vector<Backend> withoutOutliers(const RetryPolicy &retries, const std::vector<Backend> &pool)
{
    std::vector<std::string> addresses;
    for (const Backend &backend : pool) {
        addresses.push_back(backend.address);
    }
    const std::vector<std::string> remaining = retries.filter(addresses);
    std::vector<Backend> result;
    std::ranges::copy_if(pool, std::back_inserter(result), [&remaining](const Backend &backend) {
        return std::ranges::count(remaining, backend.address) > 0;
    });
    return result;
}

bool isLiveBackend(const FleetView &view, const std::string &address)
{
    return std::ranges::any_of(view.backends, [&address](const Backend &backend) {
        return backend.address == address && backend.state == BackendState::Live;
    });
}

}
