#include "entryprocess.h"

#include "adminroutes.h"
#include "stopsignal.h"

#include "cyclamencross/admin/adminserver.h"
#include "cyclamencross/base/controlsystem.h"
#include "cyclamencross/base/hash.h"
#include "cyclamencross/base/logline.h"
#include "cyclamencross/base/metrics.h"
#include "cyclamencross/base/processmetrics.h"
#include "cyclamencross/fleet/fleetservice.h"
#include "cyclamencross/grant/grantservice.h"
#include "cyclamencross/net/datagramport.h"
#include "cyclamencross/net/incarnation.h"
#include "cyclamencross/proxy/proxyserver.h"

#include <atomic>

namespace Cyclamen
{

namespace
{

constexpr Millis StopPollInterval{100};

ProxyHooks makeProxyHooks(FleetService &fleet, GrantService &grants)
{
    ProxyHooks hooks;
    hooks.view = [&fleet] { return fleet.view(); };
    hooks.acquireSlot = [&grants](const SlotAsk &ask) { return grants.acquire(ask); };
    hooks.releaseSlot = [&grants](const SlotGrant &grant) { grants.release(grant); };
    hooks.engineLoad = [&grants](const std::string &engine) { return grants.load(engine); };
    hooks.prefixHint = [&grants](const std::string &prefix) { return grants.prefixHint(prefix); };
    hooks.notePrefix = [&grants](const std::string &prefix, const std::string &engine) {
        grants.notePrefix(prefix, engine);
    };
    hooks.reportCrash = [&fleet](const CrashReport &report) { fleet.reportCrash(report); };
    hooks.crashes = [&fleet] { return fleet.crashes(); };
    hooks.createCallRecord = [&fleet](const CallRecord &wanted) { return fleet.createCallRecord(wanted); };
    hooks.finishCallRecord = [&fleet](const CallRecord &record) { fleet.finishCallRecord(record); };
    hooks.setLoad = [&fleet](std::uint32_t requests) { fleet.setLoad(requests); };
    return hooks;
}

AdminHooks makeAdminHooks(FleetService &fleet)
{
    AdminHooks hooks;
    hooks.view = [&fleet] { return fleet.view(); };
    hooks.configText = [&fleet] { return fleet.configText(); };
    hooks.applyConfig = [&fleet](const std::string &text, std::uint64_t baseRevision, const std::string &changeId,
                                 const std::string &author) {
        return fleet.applyConfig(text, baseRevision, changeId, author);
    };
    hooks.configHistory = [&fleet] { return fleet.configHistory(); };
    hooks.crashes = [&fleet] { return fleet.crashes(); };
    hooks.liftCrash = [&fleet](std::uint64_t fingerprint) { fleet.liftCrash(fingerprint); };
    return hooks;
}

// Keeps accepting requests until the entry addresses that callers may cache have expired, then waits for the requests
// in progress. A second signal skips the waits.
void drain(const Settings &settings, const StopSignal &signal, FleetService &fleet, ProxyServer &proxy)
{
    LogLine("drain-begin").write();
    fleet.beginDrain();
    const Millis answerTtl = fleet.view()->config ? fleet.view()->config->defaults.answerTtl : Millis(10000);
    signal.wait(1, answerTtl + settings.drainMargin);
    proxy.refuseNewWork();
    proxy.stopAccepting();
    while (proxy.inProgress() > 0 && signal.count() < 2) {
        signal.wait(1, StopPollInterval);
    }
    fleet.leave();
    LogLine("drain-end").add("signals", signal.count()).add("in_progress", std::int64_t(proxy.inProgress())).write();
}

}

int runEntry(const Settings &settings)
{
    const StopSignal signal;
    const std::uint64_t incarnation = newIncarnation();
    std::atomic<bool> drainRequested{false};
    Metrics metrics;
    ControlSystem control;
    DatagramPort port(settings.gossipAddress, settings.name, incarnation, settings.sharedKey, metrics);
    FleetService fleet(settings, incarnation, control, port, metrics);
    GrantService grants(
        settings, [&fleet] { return fleet.view(); }, control, port, metrics);
    ProxyServer proxy(settings, incarnation, makeProxyHooks(fleet, grants), metrics);
    ProcessMetrics process(metrics);
    AdminServer admin(settings, metrics);
    admin.readiness([&fleet] { return fleet.view()->ready && !fleet.view()->isolated; });
    addAdminRoutes(admin, makeAdminHooks(fleet));
    admin.route("POST", "/peer/call", RouteAccess::Signed,
                [&proxy](const HttpRequest &request) { return proxy.answerPeerCall(request); });
    admin.route("POST", "/admin/drain", RouteAccess::Signed, [&drainRequested](const HttpRequest &) {
        drainRequested.store(true);
        return HttpReply{202, {}, "{\"draining\":true}"};
    });
    process.start();
    port.start();
    fleet.start();
    grants.start();
    if (!admin.start() || !proxy.start()) {
        LogLine("bind-failed").add("caller", settings.callerAddress).add("admin", settings.adminAddress).error();
        return 1;
    }
    LogLine("entry-started").add("caller", settings.callerAddress).add("incarnation", toHex(incarnation)).write();
    while (signal.count() == 0 && !drainRequested.load()) {
        signal.wait(0, StopPollInterval);
    }
    drain(settings, signal, fleet, proxy);
    return 0;
}

}
