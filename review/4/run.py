"""Open connections to the store that carry nothing for a while go silent for good, once; new ones work. Three seconds
later an engine leaves. Rule DRAIN is checked on the requests that still reach it."""
import asyncio
import json
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.append(os.path.join(os.path.dirname(HERE), "standins"))
import standplatform as stand  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CONTACT_S = 3.0  # ContactMs
DRAIN_S = 2.0  # DrainMs
IDLE_S = 1.2  # connections that have been idle for longer go silent
SERVE_S = 3.4  # how long the leaving engine serves after its report: DrainMs and a little longer
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


async def case():
    """Runs the case. Returns whether the rule held."""
    deployment = stand.Deployment(HERE)
    record = deployment.record
    attempts, arrivals = [], []
    routes = [stand.route("note", "/note/", "streaming", "llm", 14000, 900, 1, AllowResume=False, StickySessions=True,
                          GapAimMs=300)]
    try:
        await deployment.begin(stand.configuration(7, routes))
        engines = {}
        for name, stage in (("i-p1", "prefill"), ("i-p2", "prefill"), ("i-d1", "decode"), ("i-d2", "decode"),
                            ("i-d3", "decode"), ("i-d4", "decode")):
            engines[name] = await deployment.add_engine(name, "llm", stage, "zilina-a")
            engines[name].on_arrival = lambda engine, request: arrivals.append((record.now(), engine.name, request))
        for name in ("front-zilina-a-1", "front-zilina-a-2", "front-martin-b-1", "front-trencin-c-1"):
            await deployment.add_router(name)
        for router in deployment.routers.values():
            await router.wait_ready()
        await asyncio.sleep(4)
        load = asyncio.ensure_future(traffic(deployment, attempts, record.now() + 15))
        await asyncio.sleep(1)
        # The operator changes the configuration: routes that nobody uses.
        routes.append(stand.route("idle", "/idle/", "idempotent", "llm", 1500, 300, 1))
        deployment.store.put("op/config", json.dumps(stand.configuration(9, routes)).encode())
        await asyncio.sleep(0.9 + IDLE_S + 0.1)
        if TROUBLE:
            for name, gate in deployment.gates.items():
                record.add("silent", router=name, connections=gate.silence_idle(IDLE_S), of=len(gate.connections))
        await asyncio.sleep(CONTACT_S + 0.1)
        acknowledged = record.now()
        leaving = asyncio.ensure_future(engines["i-d1"].leave(SERVE_S))
        await load
        await leaving
    finally:
        await deployment.end()
    late = {request: when - acknowledged for when, engine, request in arrivals
            if engine == "i-d1" and when > acknowledged + DRAIN_S}
    whole = {attempt.request for attempt in attempts if attempt.complete and attempt.status == 200}
    print(f"{len(attempts)} sent, {len(whole)} whole")
    for request, after in late.items():
        lost = "" if request in whole else ", not answered whole"
        record.add("BROKEN", request=request, after_s=round(after, 3), whole=request in whole)
        print(f"DRAIN broken: {request} reached the leaving engine {after:.3f} s after the acknowledgement{lost}")
    return not late


stand.main(case)
