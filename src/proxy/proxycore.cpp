#include "proxycore.h"

#include "cyclamencross/base/hash.h"

namespace Cyclamen
{

namespace
{

constexpr Millis CancelTimeout{1000};
constexpr Millis ShutdownRetryAfter{1000};
constexpr Millis IsolatedRetryAfter{3000};
constexpr double TransferSmoothing = 0.1; // Weight of a new sample in the moving average.

}

ProxyCore::ProxyCore(const Settings &settings, std::uint64_t incarnation, ProxyHooks hooks, Metrics &metrics)
    : settings(settings)
    , incarnation(incarnation)
    , hooks(std::move(hooks))
    , metrics(metrics)
    , client(settings.connectTimeout, settings.backendTimeout)
    , cancelClient(settings.connectTimeout, CancelTimeout)
    , retries(randomNumber())
    , crashGuard(settings.name, settings.sharedKey, this->hooks.reportCrash, this->hooks.crashes)
{
}

std::string ProxyCore::newRequestId()
{
    return this->settings.name + "." + toHex(this->incarnation) + "." + std::to_string(++this->requestCount);
}

std::optional<CallerError> ProxyCore::refusal() const
{
    if (this->refusesNewWork.load()) {
        return CallerError{503, "shutting-down", "this entry is shutting down; use another entry", RunOutcome::NotRun,
                           ShutdownRetryAfter};
    }
    const FleetViewPtr view = this->hooks.view();
    if (view->isolated) {
        return CallerError{503, "isolated", "this entry can reach neither its peers nor the platform",
                           RunOutcome::NotRun, IsolatedRetryAfter};
    }
    if (!view->ready) {
        return CallerError{503, "not-ready", "this entry has not loaded the fleet state yet", RunOutcome::NotRun,
                           ShutdownRetryAfter};
    }
    return std::nullopt;
}

Millis ProxyCore::transferEstimate() const
{
    return Millis(static_cast<std::int64_t>(this->transferMillis.load()));
}

void ProxyCore::recordTransfer(Clock::duration duration)
{
    const double sample = std::chrono::duration<double, std::milli>(duration).count();
    const double average = this->transferMillis.load();
    // A concurrent update may be lost, which only delays the average.
    this->transferMillis.store(average + TransferSmoothing * (sample - average));
}

std::string ProxyCore::workspaceLabel(const std::string &workspace)
{
    const std::scoped_lock lock(this->mutex);
    if (this->labelledWorkspaces.contains(workspace)) {
        return workspace;
    }
    if (this->labelledWorkspaces.size() >= MaxWorkspaceLabels) {
        return "other";
    }
    this->labelledWorkspaces.insert(workspace);
    return workspace;
}

}
