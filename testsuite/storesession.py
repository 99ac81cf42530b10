"""What the sessions about a store that returns from an older copy share."""

import argparse
import asyncio
import json
import pathlib
import sys
import tempfile
import types

SUITE = pathlib.Path(__file__).resolve().parent
sys.path[:0] = [str(SUITE), str(SUITE / "soak")]
from backendserver import start_backend  # noqa: E402
from fleet import Fleet  # noqa: E402
import wirehttp  # noqa: E402

AWAY_MS = 800


def config(version):
    """Returns a version of a configuration with one route."""
    route = {"Name": "app", "Host": "h.example", "PathPrefix": "/", "Kind": "idempotent", "TimeoutMs": 5000,
             "TargetLatencyMs": 900, "Priority": 1, "Service": "app", "MaxAttempts": 2, "AllowResume": False,
             "GapAimMs": 300}
    return {"Version": version, "Routes": [route],
            "Services": [{"Name": name, "HealthPath": "/health", "MaxConnections": 200} for name in ("app", "llm")],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 1000000, "HeaderTimeoutMs": 3000,
                       "IdleTimeoutMs": 15000}}


class StoreSession:
    """Routers and the store as processes, and backend servers of this process with their entries in the store."""

    def __init__(self, fleet, mixed_binary):
        self.fleet, self.mixed_binary = fleet, mixed_binary
        self.version = 0
        self.entries, self.servers = {}, []

    async def put(self, key, content):
        """Writes an item to the store and returns its revision."""
        answer = await self.fleet.call_store("/standin/put", {"key": key, "value": json.dumps(content)}, tries=20)
        return json.loads(answer[2])["Revision"]

    async def put_config(self):
        """Writes the next version of the configuration."""
        self.version += 1
        await self.put("op/config", config(self.version))

    async def add_backend(self, name, zone, answer, **more):
        """Starts and registers a backend server. answer(name, head, body) returns the status and body of an answer."""
        server, entry = await start_backend(name, "app", zone, answer)
        self.servers.append(server)
        self.entries[name] = {**entry, **more}
        await self.put(f"servers/{name}", self.entries[name])

    async def put_entries(self):
        """Writes the entries of all backend servers."""
        for name, entry in self.entries.items():
            await self.put(f"servers/{name}", entry)

    async def start_store(self):
        """Starts the store."""
        await self.fleet.store.start()
        await self.fleet.call_store("/standin/mode", {}, tries=50)

    async def start_routers(self, zones):
        """Starts a router for each of the zones, every second one from the other build if there is one."""
        for number, zone in enumerate(zones, len(self.fleet.routers)):
            await self.fleet.add_router(f"r{number}", zone, self.mixed_binary if number % 2 else None)

    async def call(self, router, number):
        """Sends a request to a router and returns the status; 0 if there was no answer."""
        headers = {"Host": "h.example", "Request-Id": f"{number:016x}", "Deadline-Ms": "5000"}
        try:
            address = f"127.0.0.1:{router.front}"
            return (await wirehttp.exchange(address, "GET", "/x", headers, timeout=8))[0]
        except wirehttp.ConnectionBroken:
            return 0

    async def wait_until_served(self):
        """Waits until every router serves requests."""
        for router in self.fleet.routers.values():
            for attempt in range(200):
                if await self.call(router, attempt) == 200:
                    break
                await asyncio.sleep(0.05)

    async def take_copy(self):
        """Lets the store take a copy."""
        await self.fleet.call_store("/standin/copy", {}, tries=20)

    async def return_store(self):
        """Lets the store be away and return from the copy."""
        address = f"127.0.0.1:{self.fleet.store_port}"
        body = json.dumps({"away_ms": AWAY_MS}).encode()
        await wirehttp.exchange(address, "POST", "/standin/return", body=body, timeout=AWAY_MS / 1000 + 5)


def play(make_sessions):
    """Runs sessions side by side, each with a fleet of its own, and prints their lines in order.

    make_sessions is a list of functions that take a fleet and the binary of the other build. They return an object
    whose run() returns lines.
    """
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", required=True)
    parser.add_argument("--mixed-build", help="build of every second router")
    parser.add_argument("--keep-logs", help="folder for the logs of the processes")
    arguments = parser.parse_args()
    binary, mixed = (build and str(pathlib.Path(build).resolve() / "src" / "cyclamencross")
                     for build in (arguments.build, arguments.mixed_build))
    options = types.SimpleNamespace(binary=binary, cpu_share=0, seed=1)

    async def run_one(make, folder):
        pathlib.Path(folder).mkdir(parents=True, exist_ok=True)
        fleet = Fleet(folder, options)
        try:
            return await make(fleet, mixed).run()
        finally:
            await fleet.stop()

    async def run_all():
        with tempfile.TemporaryDirectory(prefix="store-return-") as folder:
            base = arguments.keep_logs or folder
            return await asyncio.gather(*(run_one(make, f"{base}/{number}")
                                          for number, make in enumerate(make_sessions)))
    for lines in asyncio.run(run_all()):
        print(*lines, sep="\n", flush=True)
