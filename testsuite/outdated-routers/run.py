#!/usr/bin/env python3
"""Routers that did not run for longer than a change may take decide no request by what they knew before.

Guards against requests that wait in the queues of a suspended router and are then refused with 404, sent to the former
service of their route, or sent to a backend server that leaves, since nothing has told the router of the change yet.
"""

import asyncio
import json
import pathlib
import signal
import sys
import tempfile
import types

SUITE = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(SUITE), str(SUITE / "soak")]
from backendserver import start_backend  # noqa: E402
from fleet import Fleet  # noqa: E402
from harness import build_argument  # noqa: E402
import wirehttp  # noqa: E402

ROUTERS = 5  # three watchers and two others
BOUND_SECONDS = 2.0
SUSPENDED_SECONDS = BOUND_SECONDS + 0.4
REQUESTS = 4  # to each router and path


def config(version, moved_to):
    """Returns a configuration in which /moved/ belongs to a service and each version has a route of its own."""
    def route(path, service):
        return {"Name": path, "Host": "h.example", "PathPrefix": path, "Kind": "idempotent", "TimeoutMs": 5000,
                "TargetLatencyMs": 900, "Priority": 1, "Service": service, "MaxAttempts": 2, "AllowResume": False,
                "GapAimMs": 300}
    return {"Version": version,
            "Routes": [route("/kept/", "app"), route("/moved/", moved_to), route(f"/added{version}/", "app")],
            "Services": [{"Name": name, "HealthPath": "/health", "MaxConnections": 200} for name in ("app", "other")],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 1000000, "HeaderTimeoutMs": 3000,
                       "IdleTimeoutMs": 15000}}


class Session:
    """Routers, their store, and backend servers that answer with their name."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.version, self.moved_to = 0, "app"
        self.servers = []
        self.sent = 0

    async def put(self, key, content):
        """Writes an item to the store."""
        await self.fleet.call_store("/standin/put", {"key": key, "value": json.dumps(content)}, tries=20)

    async def write_config(self, moved_to):
        """Writes the next version of the configuration."""
        self.version, self.moved_to = self.version + 1, moved_to
        await self.put("op/config", config(self.version, moved_to))

    async def add_backend(self, name, service):
        """Starts and registers a backend server that answers each request with its name."""
        server, entry = await start_backend(name, service, "z1", lambda name, *_: (200, name.encode()))
        self.servers.append(server)
        await self.put(f"servers/{name}", entry)
        return entry

    async def call(self, router, path):
        """Sends a request to a router. Returns the status and the name of the backend server that has answered."""
        self.sent += 1
        headers = {"Host": "h.example", "Request-Id": f"{self.sent:016x}", "Deadline-Ms": "5000"}
        status, _, body = await wirehttp.exchange(f"127.0.0.1:{router.front}", "GET", f"{path}x", headers, timeout=8)
        return status, body.decode()

    async def wait_until_served(self):
        """Waits until all routers have the newest configuration."""
        for router in self.fleet.routers.values():
            for _ in range(200):
                try:
                    if await self.call(router, f"/added{self.version}/") != (404, ""):
                        break
                except wirehttp.ConnectionBroken:
                    pass
                await asyncio.sleep(0.05)

    async def change_while_suspended(self, routers, leaving, entry):
        """Suspends routers during a change, and counts the answers to later requests that the change rules out."""
        before = "app" if self.moved_to == "other" else "other"
        for router in routers:
            router.send(signal.SIGSTOP)
        await self.write_config(before)
        await self.put(f"servers/{leaving}", {**entry, "State": "draining"})
        await asyncio.sleep(SUSPENDED_SECONDS)
        paths = ["/moved/", f"/added{self.version}/", "/kept/"]
        asked = [(router, path) for router in routers for path in paths for _ in range(REQUESTS)]
        calls = [asyncio.ensure_future(self.call(router, path)) for router, path in asked]
        await asyncio.sleep(0.1)
        for router in routers:
            router.send(signal.SIGCONT)
        answers = await asyncio.gather(*calls)
        moved = sum(path == "/moved/" and body.startswith("other" if before == "app" else "app")
                    for (_, path), (_, body) in zip(asked, answers))
        refused = sum(status == 404 for status, _ in answers)
        reached = sum(body == leaving for _, body in answers)
        served = sum(status == 200 for status, _ in answers)
        await self.put(f"servers/{leaving}", entry)
        return (f"404 for an added route: {refused}, sent to the former service: {moved}, sent to a leaving backend "
                f"server: {reached}, served: {served} of {len(answers)}")

    async def run(self):
        """Plays the changes and prints what callers got."""
        await self.fleet.store.start()
        await self.fleet.call_store("/standin/mode", {}, tries=50)
        leaving = await self.add_backend("app1", "app")
        await self.add_backend("app2", "app")
        await self.add_backend("other1", "other")
        await self.write_config("app")
        for number in range(ROUTERS):
            await self.fleet.add_router(f"r{number}")
        await self.wait_until_served()
        routers = list(self.fleet.routers.values())
        print("all routers suspended:", await self.change_while_suspended(routers, "app1", leaving))
        for router in routers:
            await asyncio.sleep(1.0)
            print(f"{router.name} suspended:", await self.change_while_suspended([router], "app1", leaving))


def main():
    build = pathlib.Path(build_argument())
    options = types.SimpleNamespace(binary=str(build / "src" / "cyclamencross"), cpu_share=0, seed=1)

    async def play():
        with tempfile.TemporaryDirectory(prefix="outdated-routers-") as folder:
            fleet = Fleet(folder, options)
            try:
                await Session(fleet).run()
            finally:
                await fleet.stop()
    asyncio.run(play())


if __name__ == "__main__":
    main()
