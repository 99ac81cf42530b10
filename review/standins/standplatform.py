"""Stand-ins for the platform's store, for engines and services, and for clients, all in one asyncio process, and the
start of router processes as deploy/system.toml says. They speak what PROTOCOL.md says, with no fault of their own;
each case adds the disruption that it names."""
import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.append(os.path.join(ROOT, "testsuite", "soak"))
import wirehttp  # noqa: E402

STORE_ANSWER_S = 0.004  # time of an answer of the store
HISTORY_S = 20.0
HEARTBEAT_S = 1.2
DRAIN_S = 2.0
TOKENS_PER_MS = 55.5556
HOST = "ficu95.example"


class Record:
    """Writes record.txt: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf8")

    def now(self):
        """Returns the seconds since the start."""
        return time.monotonic() - self.start

    def add(self, what, **more):
        """Writes one line."""
        text = " ".join(f"{key}={value}" for key, value in more.items())
        self.file.write(f"{self.now():8.3f} {what} {text}\n")
        self.file.flush()


class Gate:
    """The address at which one machine reaches the store. `busy` rejects all its calls with 503, those that wait
    too; `mute` leaves them all without a response."""

    def __init__(self, store, name):
        self.store, self.name, self.port = store, name, 0
        self.busy = self.mute = False
        self.connections = {}  # writer -> time of the last bytes
        self.dark = set()  # writers whose connection has gone silent for good
        self.turned = asyncio.Event()

    async def open(self):
        """Starts listening."""
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    def set_busy(self, busy):
        """Begins or ends the rejection of the machine's calls."""
        self.busy = busy
        self.turned.set()
        self.turned = asyncio.Event()

    def silence_idle(self, idle_s):
        """Lets the open connections that have carried no byte for idle_s go silent for good, without a reset."""
        now = time.monotonic()
        gone = [writer for writer, last in self.connections.items() if now - last >= idle_s]
        self.dark.update(gone)
        return len(gone)

    async def serve(self, reader, writer):
        """Handles the calls of one connection."""
        self.connections[writer] = time.monotonic()
        try:
            while head := await wirehttp.read_head(reader):
                raw = await wirehttp.read_body(reader, head[1])
                if self.mute or writer in self.dark:
                    continue  # What is sent on a silent connection arrives nowhere.
                self.connections[writer] = time.monotonic()
                method, target, _ = head[0].split()
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query))
                status, content = await self.answer(method, url.path, query, json.loads(raw or b"{}"))
                await asyncio.sleep(self.store.answer_s)
                if self.mute or writer in self.dark:
                    continue
                self.connections[writer] = time.monotonic()
                text = json.dumps(content).encode()
                writer.write(wirehttp.message(f"HTTP/1.1 {status} X", {"Content-Type": "application/json"}, text))
                await writer.drain()
        except (wirehttp.ConnectionBroken, ConnectionError, OSError):
            pass
        finally:
            self.connections.pop(writer, None)
            writer.close()

    async def answer(self, method, path, query, body):
        """Returns status and content of a call."""
        if self.busy:
            return 503, {}
        if not path.endswith("/kv-watch"):
            return self.store.call(method, path, query, body)
        call = asyncio.ensure_future(self.store.watch(query.get("PathPrefix", ""), int(query["after"]),
                                                      int(query["WaitMs"]) / 1000))
        turned = asyncio.ensure_future(self.turned.wait())
        await asyncio.wait([call, turned], return_when=asyncio.FIRST_COMPLETED)
        turned.cancel()
        if call.done():
            return call.result()
        call.cancel()
        return 503, {}


class Store:
    """The platform's store. Linearizable, since one process holds it."""

    def __init__(self, record):
        self.record = record
        self.revision = 1
        self.items, self.leases, self.history = {}, {}, []
        self.changed = asyncio.Event()
        self.answer_s = STORE_ANSWER_S

    async def gate(self, name):
        """Opens an address for a machine."""
        gate = Gate(self, name)
        await gate.open()
        return gate

    def put(self, key, value, lease=0):
        """Writes an item, or removes it if the value is None. Returns the revision."""
        self.revision += 1
        if value is None:
            self.items.pop(key, None)
            event = {"Key": key, "Revision": self.revision, "Removed": True}
        else:
            created = self.items.get(key, {}).get("CreatedAt", self.revision)
            event = {"Key": key, "Value": base64.b64encode(value).decode(), "Revision": self.revision,
                     "CreatedAt": created, "Lease": lease}
            self.items[key] = event
        now = time.monotonic()
        self.history = [item for item in self.history if now - item[0] < HISTORY_S] + [(now, event)]
        self.changed.set()
        self.changed = asyncio.Event()
        self.record.add("store", key=key, revision=self.revision, removed=value is None)
        return self.revision

    def value(self, key):
        """Returns the value of an item, or None."""
        item = self.items.get(key)
        return base64.b64decode(item["Value"]) if item else None

    def expire(self):
        """Ends the leases whose time is over."""
        now = time.monotonic()
        for lease in [lease for lease, (end, _) in self.leases.items() if end < now]:
            self.end_lease(lease)

    def end_lease(self, lease):
        """Ends a lease and removes its keys."""
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["Lease"] == lease]:
            self.put(key, None)

    async def run(self):
        """Expires leases until the process ends."""
        while True:
            await asyncio.sleep(0.02)
            self.expire()

    async def watch(self, prefix, after, wait_s):
        """Returns the changes after a revision as soon as there is one."""
        end = time.monotonic() + wait_s
        while True:
            oldest = self.history[0][1]["Revision"] if self.history else self.revision + 1
            if after + 1 < oldest and after < self.revision:
                return 410, {}
            events = [event for _, event in self.history
                      if event["Revision"] > after and event["Key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "At": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                pass

    def call(self, method, path, query, body):
        """Performs any other call."""
        self.expire()
        name = path.removeprefix("/cyclamencross/")
        if name == "kv-range":
            prefix, after = query.get("PathPrefix", ""), query.get("after", "")
            items = [item for key, item in sorted(self.items.items()) if key.startswith(prefix) and key > after]
            return 200, {"items": items[:500], "HasMore": len(items) > 500, "At": self.revision}
        if name == "kv-key":
            item = self.items.get(query.get("Key", ""))
            return (200, {**item, "At": self.revision}) if item else (404, {})
        if name == "kv-lease" and method == "POST":
            lease = random.getrandbits(40) + 1
            ttl = max(1000, int(body["TtlMs"]))
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"Lease": lease, "TtlMs": ttl}
        if name.startswith("kv-keep/"):
            lease = int(name.split("/")[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"TtlMs": ttl}
        if name.startswith("kv-lease-end/"):
            lease = int(name.split("/")[1])
            known = lease in self.leases
            self.end_lease(lease)
            return (200, {}) if known else (404, {})
        if name == "kv-txn":
            return self.transaction(body)
        return 404, {}

    def transaction(self, body):
        """Writes all or nothing."""
        expected = body.get("Expected", [])
        if any(self.items.get(row["Key"], {}).get("Revision", 0) != row["Revision"] for row in expected):
            return 412, {"items": [self.items[row["Key"]] for row in expected if row["Key"] in self.items]}
        writes, deletes = body.get("Writes", []), body.get("Deletes", [])
        if any(write.get("Lease", 0) and write["Lease"] not in self.leases for write in writes):
            return 404, {}
        if any(key.startswith(("op/", "servers/")) for key in [write["Key"] for write in writes] + deletes):
            return 403, {}
        for write in writes:
            self.put(write["Key"], base64.b64decode(write["Value"]), write.get("Lease", 0))
        for key in deletes:
            self.put(key, None)
        return 200, {"Revision": self.revision}


class Engine:
    """A backend server: a model engine of a stage, or a plain service if the stage is None."""

    CAPACITY_TOKENS = 58494
    SWITCH_S = 6.0
    QUEUE = 24

    def __init__(self, store, record, name, service, stage, zone, step_ms=18.0, slots=64, work_ms=60.0):
        self.store, self.record = store, record
        self.name, self.service, self.stage, self.zone = name, service, stage, zone
        self.step_ms, self.slots, self.work_ms = step_ms, slots, work_ms
        self.address, self.state, self.born = "", "ready", int(time.time() * 1000)
        self.sequence, self.used_tokens = 0, 0
        self.running = set()
        self.order_pending = self.leaving = False
        self.handles, self.holds = {}, {}
        self.reading = asyncio.Lock()
        self.writers = set()
        self.server = None
        self.on_order = lambda engine, body, status: None
        self.on_arrival = lambda engine, request: None
        self.registered = None

    async def open(self, engines):
        """Starts listening and registers; `engines` finds engines by their address."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        engines[self.address] = self
        self.engines = engines
        self.register()

    def register(self):
        """Writes the registration if it has changed. Returns whether it has."""
        entry = {"Service": self.service, "Address": self.address, "Zone": self.zone, "Version": "v1",
                 "Slots": self.slots, "State": self.state, "ColdLeftMs": 0, "Sequence": 1, "born": self.born}
        if self.stage:
            entry.update({"Stage": self.stage, "Models": [{"Name": "m", "Version": 1, "Adapters": []}]})
        if entry == self.registered or self.leaving:
            return False
        self.registered = entry
        self.store.put(f"servers/{self.name}", json.dumps(entry).encode())
        return True

    async def beat(self):
        """Writes the registration every heartbeat."""
        while self.server:
            await asyncio.sleep(HEARTBEAT_S * random.uniform(0.9, 1.1))
            if self.server:
                self.register()

    async def leave(self, serve_s, report=True):
        """Reports `draining`, serves on for `serve_s` after the store's acknowledgement, and exits. Without `report`,
        its entry is removed instead, as with engines that never report it."""
        if report:
            self.state = "draining"
            self.register()
        else:
            self.leaving = True
            self.store.put(f"servers/{self.name}", None)
        self.record.add("leaving-acknowledged", engine=self.name, draining=report)
        await asyncio.sleep(serve_s)
        self.record.add("exits", engine=self.name, running=len(self.running))
        server, self.server = self.server, None
        server.close()
        if report:
            self.store.put(f"servers/{self.name}", None)
        for writer in list(self.writers):
            writer.transport.abort()

    def kv_used(self):
        """Returns the tokens of running requests and of reservations in force."""
        now = time.monotonic()
        self.holds = {key: hold for key, hold in self.holds.items() if hold[1] > now}
        return self.used_tokens + sum(tokens for tokens, _ in self.holds.values())

    async def order(self, body):
        """Begins to change the stage. Returns the status."""
        if "Holder" not in body or "FencingToken" not in body or body.get("Operation") != "Stage":
            return 400
        if self.order_pending or ("Expected" in body and body["Expected"] != self.sequence):
            return 409
        if body["Stage"] == self.stage:
            return 200
        self.order_pending = True
        self.sequence += 1
        asyncio.ensure_future(self.change_stage(body["Stage"]))
        return 202

    async def change_stage(self, stage):
        """Lets running work run to completion and is back SWITCH_S later."""
        while self.running:
            await asyncio.sleep(0.05)
        await asyncio.sleep(self.SWITCH_S)
        self.stage, self.order_pending = stage, False
        self.record.add("stage-changed", engine=self.name, stage=stage)
        self.register()

    async def serve(self, reader, writer):
        """Handles the requests of one connection."""
        self.writers.add(writer)
        try:
            while head := await wirehttp.read_head(reader):
                method, target, _ = head[0].split()
                body = await wirehttp.read_body(reader, head[1])
                again = await self.handle(reader, writer, method, target, head[1], body)
                await writer.drain()
                if not again:
                    break
        except (wirehttp.ConnectionBroken, ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, reader, writer, method, target, headers, body):
        """Answers one request. Returns whether the connection goes on."""
        if headers.get("expect-instance", self.name) != self.name:
            refusal = {"Request-Id": headers.get("request-id", ""), "Not-Executed": "1"}
            writer.write(wirehttp.message("HTTP/1.1 421 X", refusal))
            return True
        if target.startswith("/cyclamencross/"):
            status, content = await self.control(method, target, body)
            text = json.dumps(content).encode() if content is not None else b""
            writer.write(wirehttp.message(f"HTTP/1.1 {status} X", {"Content-Type": "application/json"}, text))
            return True
        request = headers.get("request-id", "")
        self.on_arrival(self, request)
        own = {"Request-Id": request, "Server-Stamp": f"{self.name}.{request}",
               "Server-Load": f"{len(self.running)},0,{self.slots}"}
        if headers.get("stage") == "prefill" or self.stage == "prefill":
            return await self.prefill(writer, headers, request, own)
        tokens = int(headers.get("token-count", "0,0").split(",")[0])
        copy = headers.get("kv-source")
        hold = self.holds.pop(headers.get("kv-hold"), None)
        full = hold is None and (len(self.running) >= self.slots
                                 or (self.stage and self.kv_used() + tokens > self.CAPACITY_TOKENS))
        if full or self.order_pending or (copy and not self.take(copy, request)):
            self.record.add("rejects", engine=self.name, request=request)
            writer.write(wirehttp.message("HTTP/1.1 503 X", {"Request-Id": request, "Not-Executed": "1"}))
            return True
        self.running.add(request)
        self.used_tokens += tokens
        self.record.add("runs", engine=self.name, request=request, tokens=tokens)
        gone = asyncio.ensure_future(reader.read(1))
        done = False
        try:
            if self.stage:
                done = await self.stream(writer, headers, own, gone, 0 if copy else tokens)
            else:
                await asyncio.wait([gone], timeout=self.work_ms / 1000)
                if not gone.done():
                    writer.write(wirehttp.message("HTTP/1.1 200 OK", {**own, "Connection": "close"}, b"x" * 800))
                    await writer.drain()
                    done = True
        finally:
            self.running.discard(request)
            self.used_tokens -= tokens
            self.record.add("run-ended", engine=self.name, request=request, complete=done)
            gone.cancel()
        return False

    async def control(self, method, target, body):
        """Answers one of the calls under /cyclamencross/."""
        if target == "/cyclamencross/order":
            order = json.loads(body)
            status = await self.order(order)
            self.record.add("order", engine=self.name, holder=order.get("Holder"), token=order.get("FencingToken"),
                            stage=order.get("Stage"), status=status)
            self.on_order(self, order, status)
            return status, None
        if target == "/cyclamencross/hold-take":
            take = json.loads(body)
            if not self.stage or self.order_pending or self.kv_used() + take["Tokens"] > self.CAPACITY_TOKENS:
                return 503, None
            hold = f"{random.getrandbits(48):012x}"
            self.holds[hold] = (take["Tokens"], time.monotonic() + take["TtlMs"] / 1000)
            return 200, {"Hold": hold}
        if method == "DELETE":
            self.holds.pop(target.rsplit("/", 1)[1], None)
            self.handles.pop(target.rsplit("/", 1)[1], None)
            return 200, None
        return 404, None

    async def prefill(self, writer, headers, request, own):
        """Reads a prompt; prompts are read one after another."""
        if self.stage != "prefill" or headers.get("stage") != "prefill":
            writer.write(wirehttp.message("HTTP/1.1 421 X", {"Request-Id": request, "Not-Executed": "1"}))
            return True
        if self.order_pending:
            writer.write(wirehttp.message("HTTP/1.1 503 X", {"Request-Id": request, "Not-Executed": "1"}))
            return True
        tokens = int(headers.get("token-count", "0,0").split(",")[0])
        self.running.add(request)
        try:
            async with self.reading:
                await asyncio.sleep(tokens / TOKENS_PER_MS / 1000)
        finally:
            self.running.discard(request)
        handle = f"{random.getrandbits(48):012x}"
        self.handles[handle] = request
        text = json.dumps({"Handle": handle, "Tokens": tokens, "Version": 1}).encode()
        writer.write(wirehttp.message("HTTP/1.1 200 OK", {**own, "Content-Type": "application/json"}, text))
        return True

    def take(self, copy, request):
        """Takes a handle at the engine that it names."""
        address, _, handle = copy.partition("/")
        source = self.engines.get(address)
        return source is not None and source.handles.pop(handle, None) == request

    async def stream(self, writer, headers, own, gone, tokens_to_read):
        """Sends the events of a stream, one token each. Returns whether all were sent."""
        await asyncio.wait([gone], timeout=0.01 + 2 * tokens_to_read / TOKENS_PER_MS / 1000)
        lines = "".join(f"{name}: {value}\r\n" for name, value in own.items())
        writer.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n" + lines
                      + "Transfer-Encoding: chunked\r\n\r\n").encode())
        first = int(headers.get("last-event-id", "0")) + 1
        for number in range(first, int(headers["token-count"].split(",")[1]) + 1):
            await asyncio.wait([gone], timeout=self.step_ms / 1000)
            if gone.done():
                return False
            event = f"id: {number}\ndata: {own['Request-Id']}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


def free_port(address):
    """Returns a TCP port that is free at an address."""
    with socket.socket() as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


class Router:
    """A machine with a router process, which is started as deploy/system.toml says."""

    def __init__(self, folder, record, name, zone, number, store_port, ports, grace_s=8):
        self.folder, self.record, self.name, self.process = folder, record, name, None
        self.ip = f"127.77.{os.getpid() % 250 + 1}.{number + 10}"
        self.front, self.ready, self.directory = (f"{self.ip}:{port}" for port in ports[:3])
        fields = {"NodeName": name, "Zone": zone, "Ip": self.ip,
                  "Listen": {"Front": self.front, "ReadyAddress": self.ready, "Directory": self.directory},
                  "PortRange": [ports[3], ports[3] + 15],
                  "Platform": {"Address": f"127.0.0.1:{store_port}", "TtlMinMs": 1000},
                  "Limits": {"MemoryMb": 96, "MaxFds": 2870}, "HeartbeatMs": int(HEARTBEAT_S * 1000),
                  "Bounds": {"GraceS": grace_s, "RetryBudgetRatio": 0.2, "BudgetSlack": 116, "BudgetWindowS": 10,
                             "LeaseMs": 3000, "ttl_max_s": 5}}
        with open(os.path.join(ROOT, "deploy", "router.ini"), encoding="utf8") as file:
            text = file.read()

        def fill(match):
            value = fields
            for part in match.group(1).split("."):
                value = value[int(part)] if part.isdigit() else value[part]
            return str(value)

        self.settings = os.path.join(folder, f"{name}.ini")
        with open(self.settings, "w", encoding="utf8") as file:
            file.write(re.sub(r"\{\{([\w.]+)\}\}", fill, text))

    async def start(self):
        """Starts the process."""
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["CYCLAMENCROSS_SETTINGS"] = self.settings
        log = open(os.path.join(self.folder, f"{self.name}.log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            os.path.join(ROOT, "target/src/cyclamencross"), "router", cwd=ROOT, env=environment,
            stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)
        self.record.add("starts", router=self.name)

    def running(self):
        """Returns whether the process runs."""
        return self.process is not None and self.process.returncode is None

    def send(self, number):
        """Sends a signal to the process."""
        if self.running():
            self.record.add("signal", router=self.name, number=signal.Signals(number).name)
            self.process.send_signal(number)

    async def is_ready(self):
        """Asks the readiness address."""
        try:
            return (await wirehttp.exchange(self.ready, "GET", "/cyclamencross/ready", timeout=1))[0] == 200
        except wirehttp.ConnectionBroken:
            return False

    async def wait_ready(self, seconds=10):
        """Waits until the machine is ready; raises TimeoutError."""
        async with asyncio.timeout(seconds):
            while not await self.is_ready():
                await asyncio.sleep(0.1)


class Deployment:
    """A store, engines and routers of a small deployment."""

    def __init__(self, case_folder):
        self.record = Record(case_folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store(self.record)
        self.engines, self.routers, self.gates = {}, {}, {}
        self.ports = None
        self.tasks = []

    async def begin(self, config):
        """Starts the store with a configuration."""
        self.store.put("op/config", json.dumps(config).encode())
        self.tasks.append(asyncio.ensure_future(self.store.run()))

    async def add_engine(self, *arguments, **more):
        """Adds an engine and returns it."""
        engine = Engine(self.store, self.record, *arguments, **more)
        await engine.open(self.engines)
        self.tasks.append(asyncio.ensure_future(engine.beat()))
        return engine

    async def add_router(self, name, zone="zilina-a", grace_s=8):
        """Starts a router and returns it."""
        if self.ports is None:
            probe = f"127.77.{os.getpid() % 250 + 1}.9"
            base = free_port(probe)
            self.ports = [base, base + 1, base + 2, base + 3] if base < 60000 else [45001, 45002, 45003, 45004]
        gate = await self.store.gate(name)
        router = Router(self.folder, self.record, name, zone, len(self.routers), gate.port, self.ports, grace_s)
        self.routers[name], self.gates[name] = router, gate
        await router.start()
        return router

    async def end(self):
        """Ends all processes that were started."""
        for router in self.routers.values():
            if router.running():
                router.process.send_signal(signal.SIGCONT)
                router.process.kill()
                await router.process.wait()
        for task in self.tasks:
            task.cancel()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Attempt:
    """One client attempt and what came of it."""

    def __init__(self, request):
        self.request = request
        self.sent_at = self.ended_at = None
        self.router, self.status, self.complete, self.events, self.stamp = "", None, False, 0, ""


async def send(record, router_name, address, attempt, method, path, headers, body=b"", timeout=14.0):
    """Sends one request on a new connection and reads the whole answer."""
    host, port = address.split(":")
    attempt.router, attempt.ended_at = router_name, None
    writer = None
    try:
        async with asyncio.timeout(1):
            reader, writer = await asyncio.open_connection(host, int(port))
        async with asyncio.timeout(timeout):
            head = {"Host": HOST, "Request-Id": attempt.request, "Deadline-Ms": str(int(timeout * 1000)), **headers}
            writer.write(wirehttp.message(f"{method} {path} HTTP/1.1", head, body))
            await writer.drain()
            attempt.sent_at = record.now()
            record.add("sent", request=attempt.request, router=router_name, path=path)
            answer = await wirehttp.read_head(reader)
            if answer is not None:
                attempt.status = int(answer[0].split()[1])
                attempt.stamp = answer[1].get("server-stamp", "")
                await read_answer(reader, answer[1], attempt)
                attempt.complete = True
    except (wirehttp.ConnectionBroken, OSError, TimeoutError) as error:
        record.add("broken", request=attempt.request, error=type(error).__name__)
    finally:
        if writer:
            writer.close()
    attempt.ended_at = record.now()
    record.add("answered", request=attempt.request, router=router_name, status=attempt.status,
               complete=attempt.complete, events=attempt.events)
    return attempt


async def read_answer(reader, headers, attempt):
    """Reads the body of an answer and counts the events of a stream."""
    if headers.get("transfer-encoding", "").lower() != "chunked":
        await wirehttp.read_body(reader, headers)
        return
    while data := await wirehttp.read_chunk(reader):
        attempt.events += data.count(b"\n\n")


def route(name, prefix, kind, service, timeout_ms, aim_ms, attempts, **more):
    """Returns a route of the configuration."""
    return {"Name": name, "Host": HOST, "PathPrefix": prefix, "Kind": kind, "TimeoutMs": timeout_ms,
            "TargetLatencyMs": aim_ms, "Priority": 1, "Service": service, "MaxAttempts": attempts, **more}


def configuration(version, routes):
    """Returns a configuration with a model service and a plain service, as the site's sheet has them."""
    engine = {"Slots": 64, "KvCapacityTokens": Engine.CAPACITY_TOKENS, "KvTokenBytes": 18432, "LinkMbps": 180000.0,
              "Moves": True, "Backups": True, "Stride": 8, "most": 12, "HandleTtlS": 0.5,
              "SwitchS": Engine.SWITCH_S, "PinMs": 4000.0, "HoldMs": 2000.0, "Models": [{"Name": "m"}]}
    return {"Version": version, "Routes": routes,
            "Services": [{"Name": "llm", "HealthPath": "/health", "MaxConnections": 771, "Protocol": "h1",
                          "Tls": False, "Engine": engine},
                         {"Name": "app", "HealthPath": "/health", "MaxConnections": 214, "Protocol": "h1",
                          "Tls": False}],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 5000,
                       "IdleTimeoutMs": 10000}}


def main(case):
    """Runs the coroutine `case`, which returns whether the rule held, and ends with the status of a case."""
    try:
        held = asyncio.run(case())
    except Exception as error:  # Whatever stops the case before its verdict: it couldn't run.
        print("couldn't run:", repr(error))
        sys.exit(2)
    sys.exit(0 if held else 1)
