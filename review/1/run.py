"""The store rejects the calls of the leader for nine seconds, serves all others, and then serves the leader again.

Engines are ordered to change their stage because prompts queue at the only prefill engine. Rule ONE is checked on the
orders that reach one engine.
"""
import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.append(os.path.join(os.path.dirname(HERE), "standins"))
import standplatform as stand  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
REJECT_S = 9.0  # largest length of platform_down with `nodes` in the site files in force
LEASE_S = 3.0  # LeaseMs
THAW_S = 0.3  # ThawMs
FIRST = "front-zilina-a-4"
OTHERS = ["front-trencin-c-3", "front-zilina-a-5", "front-zilina-a-3", "front-zilina-a-1"]
STREAM = {"AllowResume": True, "StickySessions": True, "GapAimMs": 300}


async def traffic(deployment, path, tokens, per_s, until):
    """Sends streams at a rate, each to a router drawn at random."""
    number = 0
    tasks = []
    while deployment.record.now() < until[0]:
        number += 1
        request = f"{path.strip('/')}-{number:05d}"
        headers = {"Model": "m", "Token-Count": f"{tokens[0]},{tokens[1]}", "Length-Hint": str(tokens[1]),
                   "Prompt-Prefix": f"{random.getrandbits(32):08x}:{tokens[0]}"}
        router = random.choice(list(deployment.routers.values()))
        tasks.append(asyncio.ensure_future(stand.send(deployment.record, router.name, router.front,
                                                      stand.Attempt(request), "POST", path + "1", headers, b"{}")))
        await asyncio.sleep(random.expovariate(per_s))
    await asyncio.gather(*tasks)


def breaches(orders, healed_at):
    """Returns the orders to one engine that break the rule: a lower fencing token after a higher one, one token of two
    holders, or holders that take turns within LeaseMs."""
    found = []
    for engine in sorted({order[1] for order in orders}):
        own = [order for order in orders if order[1] == engine]
        for index, (when, _, holder, token) in enumerate(own):
            if healed_at is not None and healed_at <= when < healed_at + THAW_S:
                continue
            for before, _, other, other_token in own[:index]:
                if other != holder and (token <= other_token or when - before < LEASE_S):
                    found.append(f"{engine}: {holder} token {token} at {when:.3f} s after {other} token {other_token} "
                                 f"at {before:.3f} s")
    return found


async def case():
    """Runs the case. Returns whether the rule held."""
    deployment = stand.Deployment(HERE)
    record = deployment.record
    orders = []
    first_order = asyncio.Event()

    def on_order(engine, order, status):
        orders.append((record.now(), engine.name, order.get("Holder"), order.get("FencingToken")))
        first_order.set()

    try:
        await deployment.begin(stand.configuration(7, [
            stand.route("draft", "/draft/", "streaming", "llm", 14000, 900, 2, **STREAM),
            stand.route("note", "/note/", "streaming", "llm", 14000, 900, 2, **STREAM)]))
        for name, stage in (("i-p1", "prefill"), ("i-d1", "decode"), ("i-d2", "decode"), ("i-d3", "decode"),
                            ("i-d4", "decode")):
            engine = await deployment.add_engine(name, "llm", stage, "zilina-a", step_ms=28.0)
            engine.on_order = on_order
        first = await deployment.add_router(FIRST)
        await first.wait_ready()
        await asyncio.sleep(4)  # It is the only machine and becomes the leader.
        for name in OTHERS:
            await deployment.add_router(name)
        for router in deployment.routers.values():
            await router.wait_ready()
        await asyncio.sleep(1)
        until = [record.now() + 90]
        load = asyncio.gather(traffic(deployment, "/draft/", (5000, 16), 13.0, until),
                              traffic(deployment, "/note/", (1000, 170), 2.0, until))
        try:
            async with asyncio.timeout(25):
                await first_order.wait()
        except TimeoutError:
            until[0] = 0
            load.cancel()
            raise RuntimeError("no order was given")
        leader = orders[0][2]
        healed_at = None
        await asyncio.sleep(0.1)
        if TROUBLE:
            record.add("store-rejects", router=leader)
            deployment.gates[leader].set_busy(True)
        await asyncio.sleep(REJECT_S)
        if TROUBLE:
            deployment.gates[leader].set_busy(False)
            healed_at = record.now()
            record.add("store-serves", router=leader)
        await asyncio.sleep(6)
        until[0] = 0
        await load
    finally:
        await deployment.end()
    for when, engine, holder, token in orders:
        print(f"order at {when:.3f} s to {engine} from {holder} with token {token}")
    found = breaches(orders, healed_at)
    for line in found:
        record.add("BROKEN", detail=line.replace(" ", "_"))
        print("ONE broken:", line)
    return not found


stand.main(case)
