#include "proxycore.h"

#include "cyclamencross/base/hash.h"

namespace Cyclamen
{

namespace
{

constexpr Millis CancelSilence{1000};
constexpr Millis ShutdownRetryAfter{1000};
constexpr Millis IsolatedRetryAfter{3000};
constexpr double TransferWeight = 0.1;

}

ProxyCore::ProxyCore(const Settings &settings, std::uint64_t incarnation, ProxyHooks hooks, Metrics &metrics)
    : settings(settings)
    , incarnation(incarnation)
    , hooks(std::move(hooks))
    , metrics(metrics)
    , client(settings.connectTimeout, settings.backendTimeout)
    , cancelClient(settings.connectTimeout, CancelSilence)
    , retries(randomNumber())
    , crashGuard(settings.name, settings.sharedKey, this->hooks.reportCrash, this->hooks.crashes)
{
}

std::string ProxyCore::newRequestId()
{
    return this->settings.name + "." + toHex(this->incarnation) + "." + std::to_string(++this->requests);
}

std::optional<CallerError> ProxyCore::refusal() const
{
    if (this->refusesNewWork.load()) {
        return CallerError{503, "shutting-down", "this entry is shutting down; ask another one", RunOutcome::NotRun,
                           ShutdownRetryAfter};
    }
    const FleetViewPtr view = this->hooks.view();
    if (view->isolated) {
        return CallerError{503, "isolated", "this entry hears neither its peers nor the platform", RunOutcome::NotRun,
                           IsolatedRetryAfter};
    }
    if (!view->ready) {
        return CallerError{503, "not-ready", "this entry does not know the fleet yet", RunOutcome::NotRun,
                           ShutdownRetryAfter};
    }
    return std::nullopt;
}

Millis ProxyCore::transferEstimate() const
{
    return Millis(static_cast<std::int64_t>(this->transferMillis.load()));
}

void ProxyCore::noteTransfer(Clock::duration duration)
{
    const double measured = std::chrono::duration<double, std::milli>(duration).count();
    const double old = this->transferMillis.load();
    // A lost concurrent update only delays the estimate.
    this->transferMillis.store(old + TransferWeight * (measured - old));
}

std::string ProxyCore::workspaceLabel(const std::string &workspace)
{
    const std::scoped_lock lock(this->mutex);
    if (this->workspaces.contains(workspace)) {
        return workspace;
    }
    if (this->workspaces.size() >= MaxWorkspaceLabels) {
        return "other";
    }
    this->workspaces.insert(workspace);
    return workspace;
}

}
