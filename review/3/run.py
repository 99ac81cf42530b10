"""The store leaves the calls of one zone's machines without a response and serves all others. At the same time a
configuration adds a route, and an engine leaves. Rule CONFIG is checked on requests for the new route to the other
machines, rule DRAIN on the requests that still reach the engine from them."""
import asyncio
import json
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.append(os.path.join(os.path.dirname(HERE), "standins"))
import standplatform as stand  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DRAIN_S = 2.0  # DrainMs
APPLY_S = 2.0  # ConfigApplyMs
REJECTED = ["front-zilina-a-1", "front-zilina-a-2", "front-zilina-a-3"]
OTHERS = ["front-martin-b-1", "front-martin-b-2", "front-martin-b-3", "front-trencin-c-1", "front-trencin-c-2",
          "front-trencin-c-5"]
REJECT_S = 4.5  # platform_down with `nodes` lasts up to 9 s in the site files in force
SERVE_S = 3.0  # how long the leaving engine serves after its report: DrainMs and a little longer
TOKENS = (2000, 69)  # prompt and output of a draft


async def traffic(deployment, attempts, until):
    """Sends drafts, each to a machine drawn at random."""
    tasks = []
    while deployment.record.now() < until:
        attempt = stand.Attempt(f"note-{len(tasks) + 1:05d}")
        attempts.append(attempt)
        headers = {"Model": "m", "Token-Count": f"{TOKENS[0]},{TOKENS[1]}", "Length-Hint": str(TOKENS[1]),
                   "Prompt-Prefix": f"{random.getrandbits(32):08x}:{TOKENS[0]}"}
        router = random.choice(list(deployment.routers.values()))
        tasks.append(asyncio.ensure_future(stand.send(deployment.record, router.name, router.front, attempt, "POST",
                                                      "/note/1", headers, b"{}", 14.0)))
        await asyncio.sleep(random.expovariate(30.0))
    await asyncio.gather(*tasks)


async def probe(deployment, acknowledged, refused):
    """Sends requests for the new route to each machine that the store serves, from ConfigApplyMs after the
    acknowledgement on."""
    record = deployment.record
    tasks = []

    async def one(router, number):
        attempt = stand.Attempt(f"probe-{router.name}-{number}")
        await stand.send(record, router.name, router.front, attempt, "GET", "/added/1", {}, b"", 1.5)
        if attempt.status == 404:
            refused.append((attempt.request, attempt.sent_at - acknowledged))

    await asyncio.sleep(acknowledged + APPLY_S + 0.01 - record.now())
    for number in range(8):
        for name in OTHERS:
            tasks.append(asyncio.ensure_future(one(deployment.routers[name], number)))
        await asyncio.sleep(0.1)
    await asyncio.gather(*tasks)


async def case():
    """Runs the case. Returns whether the rule held."""
    deployment = stand.Deployment(HERE)
    record = deployment.record
    attempts, arrivals, refused = [], [], []
    routes = [stand.route("note", "/note/", "streaming", "llm", 14000, 900, 1, AllowResume=False, StickySessions=True,
                          GapAimMs=300)]
    try:
        await deployment.begin(stand.configuration(7, routes))
        engines = {}
        for name, stage, zone in (("i-p1", "prefill", "martin-b"), ("i-p2", "prefill", "trencin-c"),
                                  ("i-d1", "decode", "martin-b"), ("i-d2", "decode", "trencin-c"),
                                  ("i-d3", "decode", "zilina-a")):
            engines[name] = await deployment.add_engine(name, "llm", stage, zone)
            engines[name].on_arrival = lambda engine, request: arrivals.append((record.now(), engine.name, request))
        await deployment.add_engine("i-a1", "app", None, "martin-b", slots=6)
        for name in REJECTED + OTHERS:
            await deployment.add_router(name, name[6:-2])
        for router in deployment.routers.values():
            await router.wait_ready()
        await asyncio.sleep(4)
        load = asyncio.ensure_future(traffic(deployment, attempts, record.now() + 10))
        await asyncio.sleep(3)
        if TROUBLE:
            record.add("store-rejects", routers=",".join(REJECTED))
            for name in REJECTED:
                deployment.gates[name].mute = True
        await asyncio.sleep(0.1)
        routes.append(stand.route("added", "/added/", "idempotent", "app", 1500, 300, 2))
        deployment.store.put("op/config", json.dumps(stand.configuration(9, routes)).encode())
        acknowledged = record.now()
        probing = asyncio.ensure_future(probe(deployment, acknowledged, refused))
        leaving = asyncio.ensure_future(engines["i-d1"].leave(SERVE_S))
        await asyncio.sleep(REJECT_S)
        for name in REJECTED:
            deployment.gates[name].mute = False
        await load
        await leaving
        await probing
    finally:
        await deployment.end()
    by_machine = {attempt.request: attempt.router for attempt in attempts}
    late = {request: when - acknowledged for when, engine, request in arrivals
            if engine == "i-d1" and when > acknowledged + DRAIN_S and by_machine[request] not in REJECTED}
    whole = {attempt.request for attempt in attempts if attempt.complete and attempt.status == 200}
    print(f"{len(attempts)} sent, {len(whole)} whole")
    for request, after in refused:
        record.add("BROKEN", rule="CONFIG", request=request, after_s=round(after, 3))
        print(f"CONFIG broken: {request} sent {after:.3f} s after the acknowledgement is refused with 404")
    for request, after in late.items():
        lost = "" if request in whole else ", not answered whole"
        record.add("BROKEN", rule="DRAIN", request=request, router=by_machine[request], after_s=round(after, 3),
                   whole=request in whole)
        print(f"DRAIN broken: {request} reached the leaving engine from {by_machine[request]} {after:.3f} s after the "
              f"acknowledgement{lost}")
    return not late and not refused


stand.main(case)
