"""The store leaves the calls of two machines of six without a response for some seconds and serves all others.
Meanwhile an engine leaves that doesn't report `draining`: its entry is removed. Three times, one after the other.
Rule DRAIN is checked on the requests that reach such an engine from the two machines once they are in touch again."""
import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.append(os.path.join(os.path.dirname(HERE), "standins"))
import standplatform as stand  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CONTACT_S = 3.0  # ContactMs
DRAIN_S = 2.0  # DrainMs
REJECTED = ["front-martin-b-1", "front-trencin-c-1"]
OTHERS = ["front-zilina-a-1", "front-zilina-a-2", "front-zilina-a-3", "front-martin-b-3"]
ROUNDS = 3
REJECT_S = 6.0  # platform_down with `nodes` lasts up to 9 s in the site files in force
LEAVE_BEFORE_S = 0.4  # an engine leaves that long before the two machines are served again
SERVE_S = 4.5  # how long an engine serves after its entry was removed: DrainMs and a little longer
CALM_S = 7.0
TOKENS = (2000, 69)  # prompt and output of a draft


async def traffic(deployment, attempts, ended):
    """Sends drafts, most of them to the two machines."""
    tasks = []
    while not ended:
        attempt = stand.Attempt(f"note-{len(tasks) + 1:05d}")
        attempts.append(attempt)
        headers = {"Model": "m", "Token-Count": f"{TOKENS[0]},{TOKENS[1]}", "Length-Hint": str(TOKENS[1]),
                   "Prompt-Prefix": f"{random.getrandbits(32):08x}:{TOKENS[0]}"}
        router = deployment.routers[random.choice(REJECTED if random.random() < 0.7 else OTHERS)]
        tasks.append(asyncio.ensure_future(stand.send(deployment.record, router.name, router.front, attempt, "POST",
                                                      "/note/1", headers, b"{}", 14.0)))
        await asyncio.sleep(random.expovariate(25.0))
    await asyncio.gather(*tasks)


async def case():
    """Runs the case. Returns whether the rule held."""
    deployment = stand.Deployment(HERE)
    record = deployment.record
    attempts, arrivals, ended = [], [], []
    rounds = []  # engine, time of the acknowledgement, time at which the two machines are in touch again
    try:
        await deployment.begin(stand.configuration(7, [
            stand.route("note", "/note/", "streaming", "llm", 14000, 900, 1, AllowResume=False, StickySessions=True,
                        GapAimMs=300)]))

        async def add(name, stage):
            engine = await deployment.add_engine(name, "llm", stage, "martin-b")
            engine.on_arrival = lambda at, request: arrivals.append((record.now(), at.name, request))
            return engine

        engines = [await add(f"i-d{number}", "decode") for number in (1, 2, 3)]
        for name in ("i-p1", "i-p2"):
            await add(name, "prefill")
        for name in REJECTED + OTHERS:
            await deployment.add_router(name, name[6:-2])
        for router in deployment.routers.values():
            await router.wait_ready()
        await asyncio.sleep(4)
        load = asyncio.ensure_future(traffic(deployment, attempts, ended))
        leaving = []
        for number in range(ROUNDS):
            await asyncio.sleep(CALM_S)
            if TROUBLE:
                record.add("store-rejects", routers=",".join(REJECTED))
                for name in REJECTED:
                    deployment.gates[name].mute = True
            await asyncio.sleep(REJECT_S - LEAVE_BEFORE_S)
            engine = engines[number]
            rounds.append((engine.name, record.now(), record.now() + LEAVE_BEFORE_S + CONTACT_S))
            leaving.append(asyncio.ensure_future(engine.leave(SERVE_S, report=False)))
            engines.append(await add(f"i-d{number + 4}", "decode"))
            await asyncio.sleep(LEAVE_BEFORE_S)
            for name in REJECTED:
                deployment.gates[name].mute = False
            record.add("store-serves", routers=",".join(REJECTED))
            rounds[-1] = (engine.name, rounds[-1][1], record.now() + CONTACT_S)
        await asyncio.sleep(CALM_S)
        ended.append(True)
        await load
        await asyncio.gather(*leaving)
    finally:
        await deployment.end()
    by_request = {attempt.request: attempt for attempt in attempts}
    held = True
    print(f"{len(attempts)} sent, {sum(a.complete and a.status == 200 for a in attempts)} whole")
    for engine, acknowledged, in_touch in rounds:
        for when, name, request in arrivals:
            attempt = by_request[request]
            # Taken from the client and sent on by a machine in touch.
            late = name == engine and when > acknowledged + DRAIN_S
            if late and (attempt.router in OTHERS or min(when, attempt.sent_at) > in_touch):
                held = False
                whole = attempt.complete and attempt.status == 200
                record.add("BROKEN", request=request, router=attempt.router, engine=engine,
                           after_s=round(when - acknowledged, 3), whole=whole)
                print(f"DRAIN broken: {request} reached {engine} from {attempt.router} {when - acknowledged:.3f} s "
                      f"after the acknowledgement, {when - in_touch:.3f} s after the machine was in touch again"
                      f"{'' if whole else ', not answered whole'}")
    return held


stand.main(case)
