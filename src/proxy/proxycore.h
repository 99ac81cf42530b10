#pragma once

#include "backendclient.h"
#include "crashguard.h"
#include "errorreply.h"
#include "retrypolicy.h"

#include "cyclamencross/base/settings.h"
#include "cyclamencross/proxy/proxyhooks.h"

#include <atomic>
#include <cstdint>
#include <mutex>
#include <optional>
#include <set>
#include <string>

namespace Cyclamen
{

class Metrics;

/// State that all requests of one entry share. Thread-safe.
class ProxyCore
{
public:
    ProxyCore(const Settings &settings, std::uint64_t incarnation, ProxyHooks hooks, Metrics &metrics);

    /// Returns a new request id, ENTRY.INCARNATIONHEX.N; unique in the fleet.
    std::string newRequestId();
    /// Returns why new work must be refused (shutting down, isolated or not ready); nothing if it is accepted.
    std::optional<CallerError> refusal() const;
    /// Returns the metric label for @p workspace. Callers choose the names, so new ones beyond MaxWorkspaceLabels share
    /// the label "other".
    std::string workspaceLabel(const std::string &workspace);

    /// Returns the moving average of recent KV transfer times, from the decode request to the first output.
    Millis transferEstimate() const;
    void recordTransfer(Clock::duration duration);

    static constexpr std::size_t MaxWorkspaceLabels = 1000;

    const Settings settings;
    const std::uint64_t incarnation;
    const ProxyHooks hooks;
    Metrics &metrics;
    const BackendClient client;
    const BackendClient cancelClient; ///< With a short timeout, for cancelling work on an engine.
    RetryPolicy retries;
    CrashGuard crashGuard;
    std::atomic<bool> refusesNewWork{false};
    std::atomic<std::uint32_t> inProgress{0};

private:
    std::atomic<std::uint64_t> requestCount{0};
    std::atomic<double> transferMillis{20};
    std::mutex mutex;
    std::set<std::string> labelledWorkspaces;
};

}
