"""routers that missed a run of large configurations go on with an old one, though the store answers them."""
import asyncio
import json
import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import runner  # noqa: E402
import store as platform  # noqa: E402

STEPS, STEP_ROUTES = 4, 350  # big_config, four times
MORE_ROUTES = STEPS * STEP_ROUTES
CHANGES, GAP = 12, 0.33  # config_storm
REFUSED_SECONDS = 5.0  # platform_down, how = "nodes busy"
CONTACT, APPLY, OUTER = 3.0, 2.0, 5.0


def configuration(version, service, more):
    """Returns a configuration; the route /moved/ goes to a service, and /added/ is there from version 100 on."""
    def route(name, kind="idempotent", target="dispatch-app"):
        return {"Name": f"r-{name}", "Host": "visits.example", "PathPrefix": f"/{name}/", "Kind": kind, "Priority": 2,
                "TimeoutMs": 800, "TargetLatencyMs": 300, "Service": target, "MaxAttempts": 2, "StickySessions": False,
                "AllowResume": False, "GapAimMs": 0}
    routes = [route("moved", target=service), *(route(f"idle{number:05d}") for number in range(more))]
    if version >= 100:
        routes.append(route("added"))
    return {"Version": version, "Routes": routes,
            "Services": [{"Name": name, "HealthPath": "/health", "MaxConnections": 214, "Protocol": "h1", "Tls": False}
                         for name in ("dispatch-app", "dispatch-new")],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000,
                       "IdleTimeoutMs": 15000}}


async def main(case):
    """Runs the case."""
    store = platform.Store()
    store.put("op/config", json.dumps(configuration(3, "dispatch-app", 0)))
    zones = ["zilina-a", "martin-b", "trencin-c"]
    for number in range(6):
        service = ("dispatch-app", "dispatch-new")[number // 3]
        engine = case.add(runner.Engine(case, store, f"i-{number}", service, case.ip(20 + number), zones[number % 3]))
        await engine.start()
    routers = []
    for number in range(6):
        name = f"front-{number}"
        address = await store.start(case.ip(2 + number), name)
        routers.append(case.add(runner.Router(case, name, case.ip(40 + number), zones[number % 3], address)))
        await routers[-1].start()
    if not await case.wait_ready(routers):
        return await case.finish(2, "the routers are not ready")
    await asyncio.sleep(4.0)
    for step in range(1, STEPS + 1):
        store.put("op/config", json.dumps(configuration(10 + step, "dispatch-app", step * STEP_ROUTES)))
        case.record(f"version {10 + step} acknowledged: {step * STEP_ROUTES} routes more")
        await asyncio.sleep(2.0)
    await asyncio.sleep(4.0)
    # The watchers of a group read the whole store after an outage; any other machine may be turned away just as well.
    ranked = sorted(routers, key=lambda router: router.last("group").get("watcher_rank", 0))
    away = ranked[-2:]
    if case.trouble:
        store.refused = {router.name for router in away}
        case.record(f"the store turns away {sorted(store.refused)}")
    begin = time.time()
    size = 0
    for number in range(CHANGES):
        version = 100 + 3 * number
        text = json.dumps(configuration(version, "dispatch-new", MORE_ROUTES))
        size = len(text)
        store.put("op/config", text)
        case.record(f"version {version} acknowledged, {size} bytes")
        acknowledged = time.time()
        await asyncio.sleep(GAP)
    await asyncio.sleep(max(0.0, begin + REFUSED_SECONDS - time.time()))
    store.refused = set()
    healed = time.time()
    case.record("the store serves all machines")
    sent, draws = [], random.Random(5)

    async def one(router, kind):
        name = f"q{len(sent):04x}"
        entry = {"name": name, "router": router.name, "kind": kind, "at": time.time()}
        sent.append(entry)
        headers = {"Host": "visits.example", "Request-Id": name, "Deadline-Ms": "1500"}
        status, _, _, _ = await case.request(router.front, "GET", f"/{kind}/{draws.randrange(10 ** 6)}", headers,
                                             limit=1.5)
        entry["status"] = status
    tasks = []
    while time.time() < healed + 24.0:
        for router in routers:
            for kind in ("moved", "added"):
                tasks.append(asyncio.ensure_future(one(router, kind)))
        await asyncio.sleep(0.25)
    await asyncio.gather(*tasks)
    bound = max(acknowledged + APPLY + OUTER, healed + CONTACT + APPLY + OUTER)
    old, last = {}, 0.0
    for entry in sent:
        by = [service for _, _, service in case.runs.get(entry["name"], [])]
        stale = "dispatch-app" in by if entry["kind"] == "moved" else entry["status"] == 404
        if stale:
            last = max(last, entry["at"])
            if entry["at"] > bound:
                old[entry["router"]] = old.get(entry["router"], 0) + 1
    text = (f"{len(sent)} requests after the end of the disruption; later than {bound - healed:.1f} s after it, "
            f"{sum(old.values())} were handled as only an older version allows {old}; the last such request was sent "
            f"{last - healed if last else 0:.1f} s after it; {CHANGES} versions of {size} bytes")
    return await case.finish(1 if old else 0, text)


runner.play(main)
