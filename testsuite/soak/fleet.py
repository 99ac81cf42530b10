"""The processes of one soak run: routers, backend servers and the store, connected through fault proxies."""
import asyncio
import json
import os
import signal
import sys
import time

from faultproxy import FaultProxy
import wirehttp

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.append(os.path.dirname(HERE))
from harness import free_ports  # noqa: E402
ROUTER_SETTINGS = """[router]
name = {name}
zone = {zone}
[listen]
callers = 127.0.0.1:{front}
ready = 127.0.0.1:{ready}
directory = 127.0.0.1:{directory}
peers = 127.0.0.1:{peers}
[store]
address = 127.0.0.1:{store}
min_lease_ms = 1000
[limits]
memory_mib = 96
descriptors = 1000
[bounds]
stop_grace_s = 8
heartbeat_ms = 600
retry_ratio = 0.2
retry_slack = 30
retry_window_s = 10
order_pause_ms = 3000
answer_ttl_max_s = 5
"""


class Process:
    """A process started by the soak test. Signals are sent only to its own id."""

    def __init__(self, name, command, log):
        self.name, self.command, self.log = name, command, log
        self.child = None
        self.paused = False
        self.started = False  # it has logged that it accepts requests
        self.last_fault = 0.0
        self.on_line = lambda line: None
        self.on_exit = lambda: None
        self.throttle = None  # the process that lets this one run for a share of the time
        self.starting = asyncio.Lock()
        self.exits = []

    async def start(self):
        """Starts the process unless it is running, and begins to read its output."""
        async with self.starting:
            if not self.running():
                await self.spawn()

    async def spawn(self):
        """Starts the process and a task that reads its output."""
        self.started = False
        self.child = await asyncio.create_subprocess_exec(*self.command, stdin=asyncio.subprocess.DEVNULL,
                                                          stdout=asyncio.subprocess.PIPE,
                                                          stderr=asyncio.subprocess.STDOUT, limit=1 << 20)
        asyncio.ensure_future(self.read(self.child))
        if self.throttle:
            self.command_throttle("add")

    async def read(self, child):
        """Logs each output line and passes it to on_line until the process ends. Records the exit code."""
        async for line in child.stdout:
            self.log.write(f"{time.time():.3f} {self.name} ".encode() + line)
            self.started = self.started or b'"event":"started"' in line
            self.on_line(line)
        self.exits.append(await child.wait())
        self.on_exit()

    def running(self):
        """Returns whether the process was started and has not ended."""
        return self.child is not None and self.child.returncode is None

    def send(self, number):
        """Sends a signal to the process if it is running."""
        if self.running():
            self.last_fault = time.time()
            self.paused = {signal.SIGSTOP: True, signal.SIGCONT: False}.get(number, self.paused)
            if self.throttle and number in (signal.SIGSTOP, signal.SIGCONT):
                self.command_throttle("hold" if self.paused else "free")
            else:
                self.child.send_signal(number)

    def command_throttle(self, command):
        """Sends a command for this process to the throttle."""
        self.throttle.stdin.write(f"{command} {self.child.pid}\n".encode())

    async def end(self):
        """Kills the process with SIGKILL and waits until it has ended."""
        if self.running():
            self.child.send_signal(signal.SIGKILL)
            await self.child.wait()


class Fleet:
    """All processes and proxies of a run."""

    # Memory of a decode engine in tokens, and of one that is full with a few streams.
    CAPACITY, SMALL_CAPACITY = 60000, 12000

    def __init__(self, folder, options):
        self.folder, self.options = folder, options
        self.throttle = None
        self.log = open(os.path.join(folder, "log.txt"), "wb")
        self.routers, self.backends, self.proxies = {}, {}, {}
        self.store_port = free_ports(1)[0]
        self.store = Process("store", [sys.executable, f"{HERE}/store.py", str(self.store_port)], self.log)
        self.on_backend_event = lambda event: None
        self.backend_count = 0
        self.tells_load = False  # backend servers answer with their load
        self.bad_part = ""  # id of a prompt part that crashes engines, for callers to use

    async def start(self):
        """Starts all processes and proxies."""
        await self.store.start()
        await self.call_store("/standin/mode", {}, tries=50)
        if self.options.cpu_share:
            command = [sys.executable, f"{HERE}/throttle.py", str(self.options.cpu_share)]
            self.throttle = await asyncio.create_subprocess_exec(*command, stdin=asyncio.subprocess.PIPE)
        services = [("app", "none", 3), ("llm", "prefill", 2), ("llm", "decode", 3)]
        if self.options.second_service:
            services += [("llm2", "prefill", 1), ("llm2", "decode", 2)]
        for service, kind, count in services:
            for _ in range(count):
                await self.add_backend(service, kind)
        for number in range(self.options.routers):
            await self.add_router(f"r{number}")

    async def add_router(self, name, zone="z1", binary=None):
        """Starts a router with its own proxy to the store, from another build if its binary is given."""
        proxy = FaultProxy(self.store_port)
        await proxy.start()
        self.proxies[f"store-{name}"] = proxy
        front, ready, directory, peers = free_ports(4)
        path = os.path.join(self.folder, f"{name}.ini")
        with open(path, "w", encoding="utf8") as file:
            file.write(ROUTER_SETTINGS.format(name=name, zone=zone, front=front, ready=ready, directory=directory,
                                              peers=peers, store=proxy.port))
        router = Process(name, [binary or self.options.binary, "router", "--settings", path], self.log)
        router.throttle = self.throttle
        router.front, router.ready, router.directory = front, ready, directory
        router.stopping = False
        self.routers[name] = router
        await router.start()

    def capacity(self):
        """Returns the memory of a decode engine in tokens."""
        return self.SMALL_CAPACITY if self.options.full_engines else self.CAPACITY

    async def add_backend(self, service, kind):
        """Starts a backend server behind a proxy."""
        self.backend_count += 1
        name = f"{'app' if kind == 'none' else kind}{self.backend_count}"
        port = free_ports(1)[0]
        proxy = FaultProxy(port)
        await proxy.start()
        self.proxies[name] = proxy
        slots = 1 if kind == "none" and self.options.full_engines else 8
        backend = Process(name, [sys.executable, f"{HERE}/backend.py", name, service, kind, str(port),
                                 f"127.0.0.1:{proxy.port}", f"127.0.0.1:{self.store_port}", str(self.options.seed),
                                 str(self.capacity()), str(slots), str(int(self.tells_load))], self.log)
        backend.service, backend.kind = service, kind
        backend.on_exit = lambda: self.on_backend_event({"event": "gone", "backend": name, "request": "",
                                                         "t": time.time()})
        backend.on_line = self.on_backend_line
        self.backends[name] = backend
        await backend.start()

    def on_backend_line(self, line):
        """Passes an output line of a backend server to on_backend_event."""
        try:
            self.on_backend_event(json.loads(line))
        except ValueError:
            pass  # Not an event but a traceback of the backend server, which is in the log.

    async def call_store(self, target, content, tries=1, timeout=2.0):
        """Calls the control interface of the store, which faults do not affect."""
        for attempt in range(tries):
            try:
                return await wirehttp.exchange(f"127.0.0.1:{self.store_port}", "POST", target,
                                               body=json.dumps(content).encode(), timeout=timeout)
            except wirehttp.ConnectionBroken:
                if attempt + 1 == tries:
                    raise
                await asyncio.sleep(0.1)

    async def stop(self):
        """Ends all processes of the fleet."""
        for process in [*self.routers.values(), *self.backends.values(), self.store]:
            await process.end()
        if self.throttle:
            self.throttle.stdin.close()
            await self.throttle.wait()
        self.log.flush()
