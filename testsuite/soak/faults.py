"""The faults and changes that the soak test injects."""
import asyncio
import json
import random
import signal
import time

from requestkinds import KINDS
from stops import PlannedStops
from storereturns import StoreReturns
import wirehttp
from workspaces import FIXED_KEY, IN_FORCE_SECONDS, headers_of

FAULT_FREE_SECONDS = 3.0  # time without faults before guarantees with a time limit are checked
RESTART_SECONDS = 1.5  # time after which a crashed engine starts again


def config(version, capacity=60000, long_service="llm"):
    """Returns the configuration with a version number. Each version has its own route, so that it can be recognised."""
    timeouts = {kind.path: kind.timeout_ms for kind in KINDS.values()}

    def route(path, kind, service, resume):
        return {"Name": path, "Host": "h.example", "PathPrefix": path, "Kind": kind,
                "TimeoutMs": timeouts.get(path, 6000),
                "TargetLatencyMs": 900, "Priority": 1, "Service": service, "MaxAttempts": 2, "AllowResume": resume,
                "GapAimMs": 300}
    engine = {"Slots": 64, "KvCapacityTokens": capacity, "HoldMs": 2000, "HandleTtlS": 0.5}
    return {"Version": version,
            "Routes": [route("/plain/", "non_idempotent", "app", False), route("/read/", "idempotent", "app", False),
                       route("/stream/", "streaming", "llm", True), route("/once/", "streaming", "llm", False),
                       route("/long/", "streaming", long_service, False),
                       route("/varied/", "streaming", long_service, True),
                       route("/varied-once/", "streaming", long_service, False),
                       route("/patient/", "idempotent", "app", False), route("/large/", "idempotent", "app", False),
                       route(f"/v{version}/", "idempotent", "app", False)],
            "Services": [{"Name": "app", "HealthPath": "/health", "MaxConnections": 200},
                         *({"Name": name, "HealthPath": "/health", "MaxConnections": 200, "Engine": engine}
                           for name in dict.fromkeys(("llm", long_service)))],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 1000000, "HeaderTimeoutMs": 3000,
                       "IdleTimeoutMs": 15000}}


class Faults:
    """Injects faults and records them."""

    def __init__(self, fleet, guarantees, options):
        self.random = random.Random(options.seed)
        self.fleet, self.guarantees, self.options = fleet, guarantees, options
        self.stops = PlannedStops(self)
        self.returns = StoreReturns(self)
        self.fleet.on_backend_event = self.on_backend_event
        self.restarts = set()
        self.faults = []  # (begin, end, what)
        self.version = 1
        self.long_service = "llm"
        self.drained_backends = []
        self.callers = []
        self.writing = asyncio.Lock()  # a repeated write must not replace a newer version

    def record_fault(self, begin, end, what):
        """Records a fault for the report and for the guarantees with a time limit."""
        self.faults.append((begin, end, what))
        self.fleet.log.write(f"{time.time():.3f} soak fault {what} until {end:.3f}\n".encode())

    def is_fault_free(self, begin, end):
        """Returns whether no fault overlapped an interval or the FAULT_FREE_SECONDS before it."""
        return all(fault_end + FAULT_FREE_SECONDS < begin or fault_begin > end
                   for fault_begin, fault_end, _ in self.faults)

    def is_fault_free_but_crashes(self, begin, end):
        """Like is_fault_free, without regard to engines that requests have crashed."""
        return all(fault_end + FAULT_FREE_SECONDS < begin or fault_begin > end or what.startswith("crash ")
                   for fault_begin, fault_end, what in self.faults)

    async def inject_fault(self):
        """Injects one random fault and waits until it is over."""
        stops = self.stops
        kinds = [self.pause, self.kill, self.proxy, self.proxy, self.store_mode, stops.stop_router, stops.roll,
                 self.replace_backend, self.reconfigure, self.restart_all, self.name_limit, self.use_bad_part]
        weights = [2, 2, 3, 3, 2, 3, 0.5, 2, 3, 0.5, 2, 1]
        names = self.options.faults.split(",") if self.options.faults else [kind.__name__ for kind in kinds]
        # Not among the defaults, so that the seeds of earlier runs still give the same faults.
        kinds += [stops.stop_young, stops.stop_with_signals, stops.roll_repeatedly, self.move_route,
                  self.returns.store_return]
        weights += [2, 2, 0.3, 2, 6]
        if self.guarantees.workspaces:
            kinds, weights = [*kinds, self.replace_key], [*weights, 3]
            names = names if self.options.faults else [*names, "replace_key"]
        chosen = [(kind, weight) for kind, weight in zip(kinds, weights) if kind.__name__ in names]
        kind = self.random.choices([kind for kind, _ in chosen], [weight for _, weight in chosen])[0]
        await kind(self.random.uniform(0.3, 4.0))

    async def pause(self, seconds):
        """Suspends a router or a backend server for some seconds."""
        process = self.random.choice([*self.fleet.routers.values(), *self.fleet.backends.values()])
        self.record_fault(time.time(), time.time() + seconds, f"pause {process.name}")
        process.send(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        process.send(signal.SIGCONT)

    async def kill(self, seconds):
        """Kills a router or a backend server and restarts it after some seconds."""
        process = self.random.choice([*self.fleet.routers.values(), *self.fleet.backends.values()])
        if not process.running():
            return
        self.record_fault(time.time(), time.time() + seconds, f"kill {process.name}")
        await process.end()
        await asyncio.sleep(seconds)
        if not process.running():
            await process.start()

    async def proxy(self, seconds):
        """Disturbs the connections to one backend server, or those of one router to the store."""
        name = self.random.choice(sorted(self.fleet.proxies))
        proxy = self.fleet.proxies[name]
        mode = self.random.choice(("delay", "refuse", "silent", "to-target", "to-caller", "reset", "silence-open"))
        self.record_fault(time.time(), time.time() + seconds, f"{mode} {name}")
        if mode == "reset":
            proxy.reset()
            return
        if mode == "silence-open":
            proxy.silence_open()
            return
        proxy.mode = mode
        await asyncio.sleep(seconds)
        proxy.mode = "pass"
        proxy.reset()

    async def store_mode(self, seconds):
        """Makes the store delay, lose or refuse calls, or suspends it."""
        mode = self.random.choice(({"delay": 0.25}, {"lose": 0.4}, {"refuse": 0.7}, {"refuse": 1.0}, None))
        self.record_fault(time.time(), time.time() + seconds, f"store {mode}")
        if mode is None:
            self.fleet.store.send(signal.SIGSTOP)
            await asyncio.sleep(seconds)
            self.fleet.store.send(signal.SIGCONT)
            return
        await self.fleet.call_store("/standin/mode", mode, tries=20)
        await asyncio.sleep(seconds)
        await self.fleet.call_store("/standin/mode", {}, tries=20)

    async def replace_backend(self, _seconds):
        """Starts a new backend server and drains an old one of the same kind."""
        name = self.random.choice(sorted(name for name, one in self.fleet.backends.items() if one.running()))
        backend = self.fleet.backends.pop(name)
        await self.fleet.add_backend(backend.service, backend.kind)
        await asyncio.sleep(1.0)
        backend.send(signal.SIGTERM)
        self.drained_backends.append(backend)

    async def reconfigure(self, _seconds):
        """Writes a new configuration. Without other faults it must be in force at all routers after two seconds."""
        self.version += self.random.randrange(1, 4)
        version = self.version
        await self.write_config()
        written = time.time()
        await asyncio.sleep(IN_FORCE_SECONDS)
        if not self.is_fault_free(written - FAULT_FREE_SECONDS, time.time()) or version != self.version:
            return
        for router in self.fleet.routers.values():
            if router.running() and not router.paused and time.time() - router.last_fault > 12:
                status = await self.probe(router, f"/v{version}/x")
                if version != self.version:
                    return  # A newer version has replaced the route.
                if status == 404:
                    self.guarantees.fail("configuration", f"{router.name} does not have version {version} in force")

    async def move_route(self, seconds):
        """Moves the routes of the long streams to the other service, while their streams run."""
        self.long_service = "llm" if self.long_service == "llm2" else "llm2"
        await self.reconfigure(seconds)

    async def replace_key(self, _seconds):
        """Removes a key that callers use, and adds another one."""
        self.version += 1
        await self.guarantees.workspaces.replace_key(self.write_config)

    async def write_config(self):
        """Writes the configuration to the store."""
        async with self.writing:
            content = config(self.version, self.fleet.capacity(), self.long_service)
            if self.guarantees.workspaces:
                content["Tenants"] = self.guarantees.workspaces.config()
            value = json.dumps(content)
            await self.fleet.call_store("/standin/put", {"key": "op/config", "value": value}, tries=20)

    async def probe(self, router, path):
        """Sends a request for a path to a router and returns the status; 0 for no answer."""
        request = f"probe{self.random.getrandbits(60):x}"
        self.guarantees.sent[request] = {"kind": "probe", "method": "GET", "target": path, "body": "",
                                         "deadline_ms": 6000, "sent_at": time.time(), "key": FIXED_KEY}
        headers = headers_of(FIXED_KEY) if self.guarantees.workspaces else {}
        try:
            status, _, _ = await wirehttp.exchange(f"127.0.0.1:{router.front}", "GET", path,
                                                   {"Host": "h.example", "Request-Id": request, **headers})
            return status
        except wirehttp.ConnectionBroken:
            return 0

    async def restart_all(self, seconds):
        """Kills all routers at once and restarts them."""
        self.record_fault(time.time(), time.time() + seconds, "kill all routers")
        for router in self.fleet.routers.values():
            await router.end()
        await asyncio.sleep(seconds / 4)
        for router in self.fleet.routers.values():
            if not router.running():
                await router.start()

    async def name_limit(self, seconds):
        """Has a backend server name a limit for a while."""
        process = self.random.choice(list(self.fleet.backends.values()))
        if not process.running():
            return
        process.child.send_signal(signal.SIGUSR1)
        await asyncio.sleep(2 * seconds + 4)
        if process.running():
            process.child.send_signal(signal.SIGUSR2)

    async def use_bad_part(self, seconds):
        """Has callers send requests with a prompt part that crashes engines for a while."""
        if self.fleet.bad_part:
            return
        self.fleet.bad_part = f"bad{self.random.getrandbits(40):x}"
        await asyncio.sleep(3 * seconds)
        self.fleet.bad_part = ""

    def on_backend_event(self, event):
        """Passes an event on to the checks, and restarts an engine that has crashed."""
        self.guarantees.on_backend_event(event)
        if event["event"] == "crash" and event["backend"] in self.fleet.backends:
            self.record_fault(time.time(), time.time() + RESTART_SECONDS, f"crash {event['backend']}")
            self.restarts.add(asyncio.ensure_future(self.restart(self.fleet.backends[event["backend"]])))

    @staticmethod
    async def restart(process):
        """Restarts a backend server after a while."""
        await asyncio.sleep(RESTART_SECONDS)
        await process.start()
