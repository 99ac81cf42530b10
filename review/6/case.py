"""A router that lists the store in pages makes the other routers miss a configuration for good."""
import asyncio
import json
import os
import sys

sys.path.append(os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "standins-3"))
from standins import Broken, Link, Router, Server, Store, call, now, request_id, run_case  # noqa: E402

ROUTERS = 8
ROUTES = 4400  # a configuration of just under ValueBytes (1,048,576)
HOST, PREFIX = "ficu95.example", "/probe/"
LINK_MBIT = 40  # the machines of the site have 10 to 200
CONTACT, APPLY, OUTER = 4.0, 3.0, 6.0  # ContactMs, ConfigApplyMs, OuterMs
ROUNDS = 9
# Seconds from the cut of the watches to the configuration, and from there to the changes of the release.
CONFIG_AFTER = [0.15, 0.2, 0.25]
STARTS_AFTER, DRAINS_AFTER = 0.02, 0.06


def config(version, service):
    """Returns a configuration in which the probe's route leads to the service."""
    def route(name, prefix, target):
        return {"Name": name, "Host": HOST, "PathPrefix": prefix, "Kind": "idempotent", "TimeoutMs": 4000,
                "TargetLatencyMs": 300, "Priority": 1, "Service": target, "MaxAttempts": 2, "StickySessions": False,
                "AllowResume": False, "GapAimMs": 0}
    routes = [route("r-probe", PREFIX, service)]
    routes += [route(f"r-{number:06d}", f"/team-{number:06d}/", "app-a") for number in range(ROUTES)]
    services = [{"Name": name, "HealthPath": "/health", "MaxConnections": 214, "Protocol": "h1", "Tls": False}
                for name in ("app-a", "app-b", "app-c")]
    limits = {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}
    return json.dumps({"Version": version, "Routes": routes, "Services": services, "Limits": limits},
                      separators=(",", ":"))


async def probe(router):
    """Sends one request to a router. Returns the service that ran it, or what came instead."""
    headers = {"Host": HOST, "Request-Id": request_id(), "Deadline-Ms": "3000"}
    try:
        status, _, body = await call(f"{router.ip}:8149", "POST", PREFIX + "x", headers, b"probe", timeout=4)
    except Broken as error:
        return f"broken ({error})"
    return body.decode().split("-server")[0] if status == 200 else str(status)


async def probe_all(routers, record, acknowledged):
    """Sends one request to each router. Returns the services that ran them."""
    sent = now() - acknowledged
    answers = await asyncio.gather(*[probe(router) for router in routers])
    record.write(f"requests sent {sent:.1f} s after the acknowledgement are run by {', '.join(answers)}")
    return answers


async def play(routers, record, trouble):
    """Plays the rounds. Returns whether the rule was broken."""
    store = Store()
    await store.start("127.0.0.1")
    servers = [Server(store, f"app-{name}", f"app-{name}-server{number}") for name in "ab" for number in range(3)]
    for server in servers:
        await server.start("127.0.0.1")
        server.register()
    version, service = 7, "app-a"
    text = config(version, service)
    record.write(f"configuration of {len(text)} bytes")
    store.put("op/config", text)
    broken = False
    starting = Server(store, "app-c", "app-c-server0")
    await starting.start("127.0.0.1")
    starting.register()
    for number in range(ROUTERS):
        link = Link(store.address, LINK_MBIT)
        await link.start("127.0.0.1")
        routers.append(Router(folder_of[0], number, link.address))
    for router in routers:
        await router.start()
    for router in routers:
        await router.wait_ready()
    await asyncio.sleep(4)
    await probe_all(routers, record, now())
    generation = 0
    for round_number in range(ROUNDS):
        if trouble:
            record.write(f"the store cuts the waiting watches: {store.cut_watches()}")
        cut = now()
        generation += 1
        starting, leaving = Server(store, "app-c", f"app-c-server{generation}"), starting
        await starting.start("127.0.0.1")
        config_at = cut + CONFIG_AFTER[round_number % len(CONFIG_AFTER)]
        steps = [(cut + STARTS_AFTER, starting, "ready"), (config_at, None, None),
                 (config_at + DRAINS_AFTER, leaving, "draining")]
        old, service = service, "app-b" if service == "app-a" else "app-a"
        version += 3
        for at, server, state in steps:
            await asyncio.sleep(at - now())
            if server:
                server.register(state)
                record.write(f"{server.id} is registered as {state} at revision {store.revision}")
                continue
            revision = store.put("op/config", config(version, service))
            acknowledged = now()
            record.write(f"the store accepts configuration {version} at revision {revision}: {PREFIX} leads to "
                         f"{service}")
        await asyncio.sleep(acknowledged + APPLY + 0.5 - now())
        if old not in await probe_all(routers, record, acknowledged):
            await asyncio.sleep(1)
            leaving.unregister()
            await asyncio.sleep(2)
            continue
        # Late already. It counts once no excuse of the rules is left, whatever the cut of a watch counts as.
        await asyncio.sleep(acknowledged + CONTACT + APPLY + OUTER + 2 - now())
        answers = await probe_all(routers, record, acknowledged)
        if old in answers:
            record.write(f"BROKEN: {answers.count(old)} of {len(routers)} routers run requests at {old}, which only "
                         f"the configuration before {version} allows")
            broken = True
            break
    for router in routers:
        versions = [line["version"] for line in router.events("config-applied")]
        reads = [line["reason"] for line in router.events("catching-up")]
        record.write(f"{router.name}: configurations applied {versions}; reads of the store {len(reads)}")
    return broken


folder_of = []


async def case(folder, record, trouble):
    """Starts the routers, plays the rounds and ends the routers."""
    folder_of.append(folder)
    routers = []
    try:
        return 1 if await play(routers, record, trouble) else 0
    finally:
        for router in routers:
            await router.end()


run_case(__file__, case)
