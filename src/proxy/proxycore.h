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

/// What all requests of one entry share. Thread-safe.
class ProxyCore
{
public:
    ProxyCore(const Settings &settings, std::uint64_t incarnation, ProxyHooks hooks, Metrics &metrics);

    /// Returns a new request id, ENTRY.INCARNATIONHEX.N.
    std::string newRequestId();
    /// Returns the refusal of new work: shutting down, isolated or not ready.
    std::optional<CallerError> refusal() const;
    /// Returns @p workspace as a metric label. Past MaxWorkspaceLabels it is "other", since callers choose the names.
    std::string workspaceLabel(const std::string &workspace);

    /// Returns the time that recent transfers took, from the decode request to the first output.
    Millis transferEstimate() const;
    void noteTransfer(Clock::duration duration);

    static constexpr std::size_t MaxWorkspaceLabels = 1000;

    const Settings settings;
    const std::uint64_t incarnation;
    const ProxyHooks hooks;
    Metrics &metrics;
    const BackendClient client;
    const BackendClient cancelClient; ///< With a short bound, for giving up work on an engine.
    RetryPolicy retries;
    CrashGuard crashGuard;
    std::atomic<bool> refusesNewWork{false};
    std::atomic<std::uint32_t> inProgress{0};

private:
    std::atomic<std::uint64_t> requests{0};
    std::atomic<double> transferMillis{20};
    std::mutex mutex;
    std::set<std::string> workspaces;
};

}
