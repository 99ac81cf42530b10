"""What the scripts of the cases share: settings filled in from the deploy file, router processes, a caller, records."""
import asyncio
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
import tomllib

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
BOUNDS = {"SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 3000, "AckMs": 4000, "CatchUpS": 4, "DrainMs": 2000,
          "GraceS": 8, "LossSlackMs": 200, "ConfigApplyMs": 2000, "RollbackSlackMs": 250, "OuterMs": 5000,
          "RetryBudgetRatio": 0.2, "BudgetWindowS": 10, "BudgetSlack": 116, "RecoverS": 12, "TransitMs": 120,
          "ReuseWindowS": 7.9, "RequireFence": False, "LeaseMs": 3000, "ThawMs": 300, "ttl_max_s": 5}


def free_ports(ip, count):
    """Returns TCP ports of an address that nobody listens on."""
    sockets = [socket.create_server((ip, 0)) for _ in range(count)]
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


def render(template, fields):
    """Fills in the placeholders of a template."""
    def value(match):
        found = fields
        for name in match.group(1).split("."):
            found = found[int(name)] if isinstance(found, list) else (found or {}).get(name)
        if found is None:
            return ""
        return str(found).lower() if isinstance(found, bool) else str(found)
    return re.sub(r"\{\{([A-Za-z0-9_.]+)\}\}", value, template)


class Router:
    """One router process with its settings file."""

    def __init__(self, case, name, ip, zone, store):
        self.case, self.name, self.child, self.exits = case, name, None, []
        front, ready, directory, peers = free_ports(ip, 4)
        self.front, self.ready, self.directory = f"{ip}:{front}", f"{ip}:{ready}", f"{ip}:{directory}"
        self.ip, self.lines = ip, []
        self.path = os.path.join(case.folder, f"{name}.ini")
        self.fields = {"NodeName": name, "Role": "router", "MachineClass": "front", "Ip": ip, "Zone": zone,
                       "Bootstrap": True, "HeartbeatMs": 1200,
                       "Listen": {"Front": self.front, "ReadyAddress": self.ready, "Directory": self.directory},
                       "PortRange": [peers, peers + 15], "Bounds": dict(BOUNDS),
                       "Limits": {"CpuShare": 0.17, "Cores": 1, "MemoryMb": 96, "MaxFds": 2870, "LinkMbps": 700.0},
                       "Platform": {"Address": store, "WritesPerS": 400, "ReadsPerS": 2000, "HistoryS": 20,
                                    "ValueBytes": 1048576, "TtlMinMs": 1000}}

    def write_settings(self):
        """Fills in the settings file, as the platform does at every start and whenever the settings change."""
        with open(os.path.join(ROOT, "deploy", "router.ini"), encoding="utf8") as file:
            text = render(file.read(), self.fields)
        with open(self.path, "w", encoding="utf8") as file:
            file.write(text)

    async def start(self):
        """Starts the process with the command of the deploy file."""
        self.write_settings()
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            words = tomllib.load(file)["roles"]["router"]["run"].split()
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["CYCLAMENCROSS_SETTINGS"] = self.path
        self.child = await asyncio.create_subprocess_exec(*words, cwd=ROOT, env=environment, limit=1 << 22,
                                                          stdin=asyncio.subprocess.DEVNULL,
                                                          stdout=asyncio.subprocess.PIPE,
                                                          stderr=asyncio.subprocess.STDOUT)
        asyncio.ensure_future(self.read(self.child))

    async def read(self, child):
        """Keeps what the process writes, and its exit code."""
        async for line in child.stdout:
            self.lines.append(line)
            self.lines = self.lines[-20000:]
        self.exits.append((time.time(), await child.wait()))

    def running(self):
        """Returns whether the process runs."""
        return self.child is not None and self.child.returncode is None

    def last(self, event):
        """Returns the last log line of an event, for the choice of a machine; nothing is judged by it."""
        for line in reversed(self.lines):
            if b'"event":"' + event.encode() + b'"' in line:
                return json.loads(line)
        return {}

    async def end(self):
        """Kills the process."""
        if self.running():
            self.child.send_signal(signal.SIGKILL)
            await self.child.wait()


class Engine:
    """One process of engine.py and its registration."""

    def __init__(self, case, store, server_id, service, ip, zone, slots=6, work_ms=60, fault="none", share=0.0, seed=1,
                 streams=False, answer_bytes=0):
        self.case, self.store, self.id, self.faulty, self.respawn = case, store, server_id, [], None
        self.command = [sys.executable, os.path.join(HERE, "engine.py"), server_id, ip, str(slots), str(work_ms), fault,
                        str(share), str(seed), service, str(int(streams)),
                        str(answer_bytes)]
        self.entry = {"Service": service, "Zone": zone, "Version": "v1", "Slots": slots, "State": "ready",
                      "ColdLeftMs": 0, "Sequence": 0, "born": int(time.time() * 1000)}

    async def start(self):
        """Starts the process and registers it."""
        self.child = await asyncio.create_subprocess_exec(*self.command, stdout=asyncio.subprocess.PIPE, limit=1 << 20)
        self.entry["Address"] = (await self.child.stdout.readline()).decode().strip()
        asyncio.ensure_future(self.read())
        self.beats = asyncio.ensure_future(self.beat())

    async def beat(self):
        """Writes to the store about every HeartbeatMs."""
        while True:
            self.entry["Sequence"] += 1
            self.store.put_server(self.id, self.entry)
            await asyncio.sleep(1.2)

    async def read(self):
        """Records what the engine ran."""
        async for line in self.child.stdout:
            event = json.loads(line)
            self.case.record(f"engine {self.id}: {event['event']} {event.get('request', '')}", event["t"])
            if event["event"] == "run":
                self.case.runs.setdefault(event["request"], []).append((event["t"], self.id, event["service"]))
            if event["event"] == "end":
                self.case.ends.setdefault(event["request"], []).append((event["t"], self.id, ""))
            if event["event"] == "faulty":
                self.faulty.append(event["request"])
            if event["event"] == "crash":
                self.case.crashes.append((event["t"], self.id, event["request"]))
        if self.respawn:
            asyncio.ensure_future(self.replace())

    async def replace(self):
        """After a crash: the entry goes after three heartbeats of silence; the engine is back after some seconds."""
        self.beats.cancel()
        await asyncio.sleep(3.0)
        engine = self.case.add(self.respawn())
        await engine.start()
        await asyncio.sleep(0.6)
        self.store.delete(f"servers/{self.id}")

    async def end(self):
        """Ends the process."""
        self.respawn = None
        self.beats.cancel()
        if self.child.returncode is None:
            self.child.kill()
            await self.child.wait()


class Case:
    """The processes, the record and the result of one run."""

    def __init__(self, folder):
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.begin = time.time()
        self.record_file = open(os.path.join(folder, "record.txt"), "w", encoding="utf8")
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.runs, self.ends, self.crashes, self.processes, self.count = {}, {}, [], [], 0
        self.base = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        self.record(f"trouble: {'yes' if self.trouble else 'no'}")

    def ip(self, number):
        """Returns a loopback address for a machine."""
        return f"{self.base}.{number}"

    def record(self, text, at=None):
        """Writes a line with its time in seconds since the begin."""
        self.record_file.write(f"{(at or time.time()) - self.begin:8.3f} {text}\n")

    def add(self, process):
        """Notes a process that is ended at the end of the case."""
        self.processes.append(process)
        return process

    async def request(self, address, method, path, headers, body=b"", limit=10.0, quiet=False):
        """Sends one request over a new connection.

        Returns (status, headers, body, seconds); the status is 0 if the connection ended without a whole answer, and
        -1 if there was none within the limit."""
        self.count += 1
        name = headers.get("Request-Id", "")
        start = time.time()
        if not quiet:
            self.record(f"sent {name}: {method} {path} to {address}")
        writer, status, head, content = None, 0, {}, b""
        try:
            host, port = address.split(":")
            reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1.0)
            lines = [f"{method} {path} HTTP/1.1", *(f"{key}: {value}" for key, value in headers.items())]
            if body or method != "GET":
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            status, head, content = await asyncio.wait_for(self.read_answer(reader), limit)
        except asyncio.TimeoutError:
            status = -1
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            status = 0
        finally:
            if writer is not None:
                writer.transport.abort()
        seconds = time.time() - start
        if not quiet:
            self.record(f"answer {name}: {status} {content[:60]!r} after {seconds:.3f} s")
        return status, head, content, seconds

    @staticmethod
    async def read_answer(reader):
        """Reads a whole answer."""
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
        head = {line.split(":", 1)[0].lower(): line.split(":", 1)[1].strip() for line in text[1:] if ":" in line}
        status = int(text[0].split(" ")[1])
        content = b""
        if head.get("transfer-encoding") == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                part = (await reader.readexactly(size + 2))[:-2]
                if size == 0:
                    return status, head, content
                content += part
        content = await reader.readexactly(int(head.get("content-length", "0")))
        return status, head, content

    async def is_ready(self, router):
        """Asks the readiness address, as the platform does."""
        status, _, _, _ = await self.request(router.ready, "GET", "/cyclamencross/ready", {"Host": router.ready},
                                             limit=1.0, quiet=True)
        return status == 200

    async def wait_ready(self, routers, seconds=15.0):
        """Waits until all routers are ready."""
        end = time.time() + seconds
        while time.time() < end:
            if all(await asyncio.gather(*(self.is_ready(router) for router in routers))):
                return True
            await asyncio.sleep(0.2)
        return False

    async def finish(self, code, text):
        """Ends all processes and returns the exit code."""
        for process in self.processes:
            await process.end()
        self.record(f"result {code}: {text}")
        self.record_file.close()
        shutil.rmtree(self.folder, ignore_errors=True)
        print(text)
        return code


def play(main):
    """Runs the coroutine function of a case for at most 115 s and exits with its code."""
    folder = os.path.abspath(sys.argv[1])
    case = Case(folder)

    async def bounded():
        try:
            return await asyncio.wait_for(main(case), 110)
        except Exception as error:  # pylint: disable=broad-except
            return await case.finish(2, f"the case could not run: {error!r}")
    sys.exit(asyncio.run(bounded()))
