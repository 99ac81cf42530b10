"""Stand-ins for the review scripts: the platform's store, backend servers and clients, all on loopback addresses.

They follow PROTOCOL.md and run in the process of the script; the routers are processes of their own, started with the
command of deploy/system.toml and a settings file that is filled in from deploy/router.ini.
"""
import asyncio
import base64
import json
import os
import random
import re
import signal
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PAGE_ITEMS, PAGE_BYTES = 500, 1_000_000  # kv-range: "at most about 500 items or 1 MB"
START = time.monotonic()


def now():
    """Seconds since the script began."""
    return time.monotonic() - START


class Broken(Exception):
    """A connection ended before a message was complete."""


async def read_message(reader):
    """Returns the first line, the headers (names in lower case) and the body; None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise Broken("head") from error
        return None
    except (OSError, asyncio.LimitOverrunError) as error:
        raise Broken("head") from error
    lines = raw.decode("latin1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = b""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
                body += (await reader.readexactly(size + 2))[:-2]
            await reader.readuntil(b"\r\n")
        elif "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
    except (asyncio.IncompleteReadError, OSError, ValueError) as error:
        raise Broken("body") from error
    return lines[0], headers, body


def encode(first_line, headers, body=b""):
    """Returns the bytes of a message with a length."""
    lines = [first_line] + [f"{name}: {value}" for name, value in headers.items()] + [f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin1") + body


class Store:
    """The platform's store: items, leases, watches, pages. Answers take self.delay seconds."""

    def __init__(self, history_s=20.0):
        self.revision, self.items, self.history, self.leases = 100, {}, [], {}
        self.history_s, self.dropped = history_s, 100
        self.delay = 0.004
        self.changed = asyncio.Event()
        self.watching = set()
        self.calls = {}

    async def start(self, host):
        """Listens on a free port of host."""
        self.server = await asyncio.start_server(self.serve, host, 0, limit=1 << 22)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        self.ticker = asyncio.ensure_future(self.tick())

    async def tick(self):
        """Ends leases, and forgets old changes."""
        while True:
            await asyncio.sleep(0.05)
            for lease in [lease for lease, (end, _) in self.leases.items() if end < time.monotonic()]:
                self.end_lease(lease)
            while self.history and time.monotonic() - self.history[0][0] > self.history_s:
                self.dropped = self.history.pop(0)[1]["Revision"]

    def end_lease(self, lease):
        """Ends a lease and removes its keys."""
        del self.leases[lease]
        for key in [key for key, item in self.items.items() if item["Lease"] == lease]:
            self.put(key, None)

    def put(self, key, value, lease=0, revision=None):
        """Writes an item, or removes it if value is None. Returns the revision."""
        if revision is None:
            self.revision += 1
        if value is None:
            self.items.pop(key, None)
            event = {"Key": key, "Revision": self.revision, "Removed": True}
        else:
            created = self.items.get(key, {}).get("CreatedAt", self.revision)
            event = {"Key": key, "Value": base64.b64encode(value.encode()).decode(), "Revision": self.revision,
                     "CreatedAt": created, "Lease": lease}
            self.items[key] = event
        self.history.append((time.monotonic(), event))
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    def value(self, key):
        """Returns the value of an item as text; None if there is none."""
        return base64.b64decode(self.items[key]["Value"]).decode() if key in self.items else None

    def cut_watches(self):
        """Cuts the watches that are waiting."""
        for writer in list(self.watching):
            writer.close()
        return len(self.watching)

    async def serve(self, reader, writer):
        """Answers the calls of one connection, one after another."""
        try:
            while message := await read_message(reader):
                method, target, _ = message[0].split(" ")
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query))
                name = url.path.removeprefix("/cyclamencross/")
                self.calls[name.split("/")[0]] = self.calls.get(name.split("/")[0], 0) + 1
                status, content = await self.answer(method, name, query, message[2], writer)
                await asyncio.sleep(self.delay)
                body = json.dumps(content).encode()
                writer.write(encode(f"HTTP/1.1 {status} X", {"Content-Type": "application/json"}, body))
                await writer.drain()
        except (Broken, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, method, name, query, raw, writer):
        """Carries out one call. Returns its status and content."""
        if name == "kv-key":
            item = self.items.get(query["Key"])
            return (200, {**item, "At": self.revision}) if item else (404, {})
        if name == "kv-range":
            return 200, self.page(query.get("PathPrefix", ""), query.get("after", ""))
        if name == "kv-watch":
            return await self.watch(query.get("PathPrefix", ""), int(query["after"]), int(query["WaitMs"]), writer)
        body = json.loads(raw or b"{}")
        if name == "kv-lease":
            lease = random.getrandbits(40) + 1
            self.leases[lease] = (time.monotonic() + body["TtlMs"] / 1000, body["TtlMs"])
            return 200, {"Lease": lease, "TtlMs": body["TtlMs"]}
        if name.startswith("kv-keep/") or name.startswith("kv-lease-end/"):
            lease = int(name.split("/")[1])
            if lease not in self.leases:
                return 404, {}
            if name.startswith("kv-lease-end/"):
                self.end_lease(lease)
                return 200, {}
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"TtlMs": ttl}
        if name == "kv-txn":
            return self.transact(body)
        return 404, {}

    def page(self, prefix, after):
        """Returns one page of a list: what fits of the items after the given key, at least one."""
        keys = [key for key in sorted(self.items) if key.startswith(prefix) and key > after]
        items, size = [], 0
        for key in keys:
            size += len(json.dumps(self.items[key]))
            if items and (len(items) >= PAGE_ITEMS or size > PAGE_BYTES):
                break
            items.append(self.items[key])
        return {"items": items, "HasMore": len(items) < len(keys), "At": self.revision}

    async def watch(self, prefix, after, wait_ms, writer):
        """Returns the changes after a revision, as soon as there is one."""
        end = time.monotonic() + min(wait_ms, 30000) / 1000
        self.watching.add(writer)
        try:
            while True:
                if after < self.dropped and after < self.revision:
                    return 410, {}
                events = [event for _, event in self.history
                          if event["Revision"] > after and event["Key"].startswith(prefix)]
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "At": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        finally:
            self.watching.discard(writer)

    def transact(self, body):
        """Carries out a transaction: all of it or nothing."""
        rows = body.get("Expected", [])
        if any(self.items.get(row["Key"], {}).get("Revision", 0) != row["Revision"] for row in rows):
            return 412, {"items": [self.items[row["Key"]] for row in rows if row["Key"] in self.items]}
        if any(write.get("Lease", 0) and write["Lease"] not in self.leases for write in body.get("Writes", [])):
            return 404, {}
        if any(write["Key"].startswith(("op/", "servers/")) for write in body.get("Writes", [])):
            return 403, {}
        self.revision += 1
        for write in body.get("Writes", []):
            self.put(write["Key"], base64.b64decode(write["Value"]).decode(), write.get("Lease", 0), self.revision)
        for key in body.get("Deletes", []):
            self.put(key, None, 0, self.revision)
        return 200, {"Revision": self.revision}


class Link:
    """The link of one machine to the store: passes bytes on at a limited rate in the direction of the machine."""

    def __init__(self, address, mbit_s):
        self.target, self.bytes_s = address.split(":"), mbit_s * 125_000
        self.free_at = 0.0

    async def start(self, host):
        """Listens on a free port of host."""
        self.server = await asyncio.start_server(self.serve, host, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    async def serve(self, reader, writer):
        """Passes one connection on."""
        try:
            far_reader, far_writer = await asyncio.open_connection(self.target[0], int(self.target[1]))
        except OSError:
            writer.close()
            return
        await asyncio.gather(self.copy(reader, far_writer, False), self.copy(far_reader, writer, True))

    async def copy(self, reader, writer, is_limited):
        """Copies one direction until it ends, and then closes the other side."""
        try:
            while part := await reader.read(8192):
                if is_limited:
                    self.free_at = max(self.free_at, time.monotonic()) + len(part) / self.bytes_s
                    await asyncio.sleep(self.free_at - time.monotonic())
                writer.write(part)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Server:
    """A backend server of a plain service. Writes its registration as an engine of the platform does."""

    def __init__(self, store, service, name, slots=6, zone="zone-a", work_s=0.06):
        self.store, self.service, self.id, self.slots, self.zone = store, service, name, slots, zone
        self.work_s = work_s
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.extra = {}  # headers that it adds to its answers
        self.runs = []  # (time, request id, sender, status)
        self.running = 0
        self.stamp = 0

    async def start(self, host):
        """Listens on a free port of host."""
        self.server = await asyncio.start_server(self.serve, host, 0, limit=1 << 22)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    def register(self, state=None):
        """Writes the registration."""
        self.state = state or self.state
        entry = {"Service": self.service, "Address": self.address, "Zone": self.zone, "Version": "1",
                 "Slots": self.slots, "State": self.state, "ColdLeftMs": 0, "Sequence": 1, "born": self.born}
        self.store.put(f"servers/{self.id}", json.dumps(entry))

    def unregister(self):
        """Removes the registration, as the store does after three heartbeats of silence."""
        self.store.put(f"servers/{self.id}", None)

    async def serve(self, reader, writer):
        """Answers the requests of one connection, one after another."""
        sender = writer.get_extra_info("peername")[0]
        try:
            while message := await read_message(reader):
                status, headers, body = await self.run(message, sender)
                writer.write(encode(f"HTTP/1.1 {status} X", headers, body))
                await writer.drain()
        except (Broken, OSError):
            pass
        finally:
            writer.close()

    async def run(self, message, sender):
        """Runs one request, or turns it away. Returns the status, the headers and the body of its answer."""
        first, headers, _ = message
        request = headers.get("request-id", "")
        answer = {"Request-Id": request, "Keep-Alive": "timeout=5", **self.extra}
        if headers.get("expect-instance", self.id) != self.id:
            return 421, answer, b""
        if first.startswith("GET /health "):
            return 200, {"Instance-Id": self.id}, b""
        if not request:
            return 400, {"Not-Executed": "1"}, b""
        if self.running >= 2 * self.slots:
            self.runs.append((now(), request, sender, 503))
            return 503, {**answer, "Not-Executed": "1", "Server-Load": f"{self.running},0,{self.slots}"}, b""
        self.running += 1
        self.runs.append((now(), request, sender, 200))
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        self.stamp += 1
        answer["Server-Stamp"] = f"{self.id}.{self.stamp}"
        answer["Server-Load"] = f"{self.running},0,{self.slots}"
        return 200, answer, f"{self.id} {request}".encode()


BOUNDS = {"GraceS": 8, "RetryBudgetRatio": 0.2, "BudgetSlack": 306, "BudgetWindowS": 10, "LeaseMs": 3000,
          "ttl_max_s": 5, "RevokeMs": "", "StrictRevoke": "", "QuotaSlack": ""}


class Router:
    """A router process of the project."""

    def __init__(self, folder, number, store_address, zone="zone-a", bootstrap=True, memory=96):
        self.name = f"front-{zone}-{number}"
        self.ip = f"127.{random.randrange(20, 120)}.{random.randrange(1, 250)}.{number + 10}"
        self.settings = {"NodeName": self.name, "Zone": zone, "Bootstrap": str(bootstrap).lower(),
                         "Ip": self.ip, "Listen.Front": f"{self.ip}:8149", "Listen.ReadyAddress": f"{self.ip}:8141",
                         "Listen.Directory": f"{self.ip}:8143", "PortRange.0": "7380",
                         "Platform.Address": store_address, "Platform.TtlMinMs": 1000, "Limits.MemoryMb": memory,
                         "Limits.MaxFds": 2870, "HeartbeatMs": 1200,
                         **{f"Bounds.{name}": value for name, value in BOUNDS.items()}}
        self.path = os.path.join(folder, self.name + ".ini")
        self.log_path = os.path.join(folder, self.name + ".log")
        self.child = None

    async def start(self):
        """Writes the settings file and starts the process."""
        with open(os.path.join(ROOT, "deploy/router.ini"), encoding="utf8") as file:
            text = re.sub(r"\{\{([^}]+)\}\}", lambda match: str(self.settings[match[1]]), file.read())
        with open(self.path, "w", encoding="utf8") as file:
            file.write(text)
        with open(self.log_path, "ab") as log:
            self.child = await asyncio.create_subprocess_exec(
                "target/src/cyclamencross", "router", cwd=ROOT, stdin=asyncio.subprocess.DEVNULL, stdout=log,
                stderr=log, env={**os.environ, "CYCLAMENCROSS_SETTINGS": self.path})

    def events(self, name):
        """Returns the lines of the log with one event."""
        result = []
        with open(self.log_path, encoding="utf8", errors="replace") as file:
            for line in file:
                try:
                    entry = json.loads(line)
                except ValueError:
                    continue
                if entry.get("event") == name:
                    result.append(entry)
        return result

    async def wait_ready(self, timeout=15):
        """Waits until the router says that it is ready."""
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            try:
                if (await call(f"{self.ip}:8141", "GET", "/cyclamencross/ready", {}, timeout=1))[0] == 200:
                    return
            except Broken:
                pass
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.name} is not ready")

    async def end(self):
        """Kills the process."""
        if self.child and self.child.returncode is None:
            self.child.send_signal(signal.SIGKILL)
            await self.child.wait()


class CannotRun(Exception):
    """The case can't be run here."""


async def call(address, method, target, headers, body=b"", timeout=2.0):
    """Makes one call on a new connection. Returns status, headers and body."""
    host, port = address.split(":")
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 22)
            writer.write(encode(f"{method} {target} HTTP/1.1", {"Host": address, **headers}, body))
            message = await read_message(reader)
            if message is None:
                raise Broken("no answer")
            return int(message[0].split(" ")[1]), message[1], message[2]
    except (OSError, asyncio.TimeoutError) as error:
        raise Broken(str(error)) from error
    finally:
        if writer:
            writer.close()


def request_id():
    """Returns a new id of a request."""
    return "%016x" % random.getrandbits(64)


class Record:
    """The file in which a script writes what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf8")

    def write(self, text):
        """Writes a line with the time."""
        self.file.write(f"{now():8.3f} {text}\n")
        self.file.flush()


def run_case(script, case):
    """Runs the coroutine function case(folder, record, trouble) and ends with the status that it returns."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(os.path.dirname(os.path.abspath(script)), "record.txt"))
    record.write("with the disruption" if trouble else "without the disruption")
    if not os.path.exists(os.path.join(ROOT, "target/src/cyclamencross")):
        record.write("cannot run: the program is not built")
        sys.exit(2)
    with tempfile.TemporaryDirectory() as folder:
        try:
            status = asyncio.run(case(folder, record, trouble))
        except CannotRun as error:
            record.write(f"cannot run: {error}")
            status = 2
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            os.makedirs(keep, exist_ok=True)
            for name in os.listdir(folder):
                os.replace(os.path.join(folder, name), os.path.join(keep, name))
    record.write({0: "the rule held", 1: "THE RULE WAS BROKEN", 2: "could not run"}[status])
    sys.exit(status)
