"""What the cases on named limits share: the configuration, the clients and the check of the rule LIMIT."""
import asyncio
import json
import random

from standins import Broken, Router, Server, Store, call, now, request_id  # noqa: E402

HOST, PREFIX = "ficu95.example", "/lohu930/"
ROUTERS = 20  # obrzil-grown: 132 machines in groups of 22
RATE = 141.0  # requests a second: the site's usual for dispatch-app, which has 3 engines
WORK = 0.06  # seconds: the site's
CONTACT = 4.0  # ContactMs
WINDOW = 4.0  # "in some 4 s"


def config():
    """Returns the configuration: one route to one service."""
    return json.dumps({
        "Version": 7,
        "Routes": [{"Name": "r-1", "Host": HOST, "PathPrefix": PREFIX, "Kind": "idempotent", "TimeoutMs": 4000,
                    "TargetLatencyMs": 300, "Priority": 1, "Service": "app", "MaxAttempts": 2, "StickySessions": False,
                    "AllowResume": False, "GapAimMs": 0}],
        "Services": [{"Name": "app", "HealthPath": "/health", "MaxConnections": 828, "Protocol": "h1", "Tls": False}],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}})


class Clients:
    """Clients that send requests at random times to random routers."""

    def __init__(self, routers):
        self.routers = routers
        self.sent = {}  # router by request
        self.told = {}  # by limit: time of the first answer with it by router
        self.statuses = {}

    async def send(self, router):
        """Sends one request."""
        request = request_id()
        self.sent[request] = router
        headers = {"Host": HOST, "Request-Id": request, "Deadline-Ms": "1500"}
        try:
            status, answer, _ = await call(f"{router.ip}:8149", "POST", PREFIX + "2f", headers, b"body", timeout=2)
        except Broken:
            status, answer = 0, {}
        self.statuses[status] = self.statuses.get(status, 0) + 1
        if "server-limit" in answer:
            self.told.setdefault(answer["server-limit"], {}).setdefault(router, now())

    async def run(self):
        """Sends requests until it is cancelled."""
        while True:
            await asyncio.sleep(random.expovariate(RATE))
            asyncio.ensure_future(self.send(random.choice(self.routers)))


async def start(folder, routers):
    """Starts the store, three servers and the routers. Returns the store and the servers."""
    store = Store()
    await store.start("127.0.0.1")
    servers = [Server(store, "app", f"server-{number}", work_s=WORK) for number in range(3)]
    for server in servers:
        await server.start("127.0.0.1")
        server.register()
    store.put("op/config", config())
    routers += [Router(folder, number, store.address) for number in range(ROUTERS)]
    for router in routers:
        await router.start()
    for router in routers:
        await router.wait_ready()
    return store, servers


def is_broken(clients, server, limit, first_named_at, record, until=float("inf")):
    """Looks for the window with the most requests that count under the limit. Returns whether the rule was broken.

    A request counts if its router had passed on an answer with this limit half a second before it arrived, from
    ContactMs after the server first named a limit.
    """
    told_by = clients.told.get(str(limit), {})
    times = []
    for at, request, _, _ in server.runs:
        told = told_by.get(clients.sent.get(request))
        if told is not None and at >= told + 0.5 and first_named_at + CONTACT <= at <= until:
            times.append(at)
    allowed = 1.5 * limit * WINDOW + 5
    most, when = max(((sum(1 for other in times if at <= other <= at + WINDOW), at) for at in times), default=(0, 0))
    record.write(f"requests that count at {server.id} under its limit of {limit} a second: {len(times)}; most in "
                 f"{WINDOW:.0f} s: {most} from {when:.2f} s on; allowed: {allowed:.0f}")
    return most > allowed
