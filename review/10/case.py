"""Case 10: a request that crashes the engines that run it is not contained if it has begun to answer for 0.2 s."""
import asyncio
import itertools
import json
import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import runner  # noqa: E402
import store as platform  # noqa: E402

CRASH_AFTER_MS = int(os.environ.get("CRASH_AFTER_MS", "200"))
TIMEOUT_MS, CONTACT_S = 14000, 3.0
REPEAT_S, RATE, SECONDS = 1.0, 8, 40


def configuration():
    """Returns the operator's configuration."""
    route = {"Name": "summary", "Host": "visits.example", "PathPrefix": "/summary/", "Kind": "streaming",
             "TimeoutMs": TIMEOUT_MS, "TargetLatencyMs": 900, "Priority": 1, "Service": "draft", "MaxAttempts": 1,
             "StickySessions": False, "AllowResume": False, "GapAimMs": 300}
    return {"Version": 3, "Routes": [route],
            "Services": [{"Name": "draft", "HealthPath": "/health", "MaxConnections": 214}],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000,
                       "IdleTimeoutMs": 15000}}


async def main(case):
    """Runs the case."""
    store = platform.Store()
    address = await store.start(case.ip(1))
    store.put("op/config", json.dumps(configuration()))
    zones = ["zilina-a", "martin-b", "trencin-c"]
    numbers = itertools.count()

    def make(place):
        engine = runner.Engine(case, store, f"i-{next(numbers)}", "draft", case.ip(20 + place), zones[place % 3],
                               slots=64, work_ms=1000, fault=f"crash-{CRASH_AFTER_MS}", streams=True)
        engine.respawn = lambda: make(place)
        return engine
    for place in range(6):
        await case.add(make(place)).start()
    routers = [case.add(runner.Router(case, f"front-{number}", case.ip(40 + number), zones[number], address))
               for number in range(3)]
    for router in routers:
        await router.start()
    if not await case.wait_ready(routers):
        return await case.finish(2, "the routers are not ready")
    await asyncio.sleep(4.0)  # longer than ContactMs
    draws, tasks, cut = random.Random(7), [], []

    async def sound(number):
        name = f"q{number:04x}"
        headers = {"Host": "visits.example", "Request-Id": name, "Deadline-Ms": str(TIMEOUT_MS), "Model": "m",
                   "Token-Count": "1460,80", "Prompt-Prefix": f"{number:x}:660"}
        at = time.time()
        status, _, _, _ = await case.request(draws.choice(routers).front, "POST", f"/summary/{number}", headers,
                                             f"note {number}".encode(), limit=TIMEOUT_MS / 1000)
        if status != 200:
            cut.append((at, status))

    async def poison():
        for number in itertools.count():
            headers = {"Host": "visits.example", "Request-Id": f"bad{number:04x}", "Deadline-Ms": str(TIMEOUT_MS),
                       "Model": "m", "Token-Count": "1460,80", "Prompt-Prefix": "ffff:660"}
            await case.request(draws.choice(routers).front, "POST", "/summary/again", headers, b"poison",
                               limit=TIMEOUT_MS / 1000)
            await asyncio.sleep(REPEAT_S)
    bad = asyncio.ensure_future(poison()) if case.trouble else None
    for number in range(RATE * SECONDS):
        tasks.append(asyncio.ensure_future(sound(number)))
        await asyncio.sleep(1 / RATE)
    await asyncio.gather(*tasks)
    if bad:
        bad.cancel()
    arrivals = sorted(at for name, runs in case.runs.items() if name.startswith("bad") for at, _, _ in runs)
    third = case.crashes[2][0] if len(case.crashes) > 2 else None
    late = [at for at in arrivals if third and at > third + CONTACT_S]
    lost = [at for at, _ in cut if third and at > third + CONTACT_S]
    text = (f"{len(tasks)} sound streams and {len(arrivals)} runs of one request that crashes engines; "
            f"{len(case.crashes)} crashes; later than {CONTACT_S:.0f} s after the third one the request reached engines "
            f"{len(late)} times, and {len(lost)} sound streams ended without a whole answer ({len(cut)} in all)")
    return await case.finish(1 if len(late) > 3 else 0, text)


runner.play(main)
