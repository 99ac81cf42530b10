#!/usr/bin/env python3
"""Replaces routers of one build by those of another one by one, and back, under requests and a storm of configurations.

Guards against what one build tells that makes routers of the other break a rule. By hand: CI builds one revision only.
"""
import asyncio
import collections
import json
import pathlib
import signal
import sys
import time

sys.path.append(str(pathlib.Path(__file__).resolve().parent.parent))
from storesession import StoreSession, play  # noqa: E402

ROUTERS, BACKENDS = 8, 5
PERIOD_SECONDS, CONFIG_SECONDS = 1 / 60, 0.1
BOUND_SECONDS, CALLERS_LEAVE_SECONDS = 2.0, 1.0  # after an acknowledgement; after the signal to stop
BUILDS, LEAVING = ("first", "second"), ("app0", "app1")  # --build and --mixed-build; in each direction
DIRECTIONS = ("first to second", "second to first")


class Session(StoreSession):
    """Counts late requests at leaving backend servers, late configurations and failed requests."""

    def __init__(self, fleet, mixed_binary):
        super().__init__(fleet, mixed_binary)
        self.binaries = dict(zip(BUILDS, (fleet.options.binary, mixed_binary)))
        self.direction, self.sent, self.ended = DIRECTIONS[0], 0, False
        self.used, self.tasks = [], []  # routers that callers use
        self.builds, self.applied, self.requests, self.leaving = {}, {}, {}, {}  # by router, number, backend server
        self.counts = collections.Counter()

    def answer(self, name, head, _):
        """Answers a request and counts it if it came to a server that leaves."""
        if " /x " in head[0] and name in LEAVING:
            build = self.requests.get(int(head[1]["request-id"].split(".")[0], 16))
            late = time.monotonic() - self.leaving.get(name, time.monotonic()) > BOUND_SECONDS
            self.counts[self.direction, build, "requests", late] += 1
        return 200, name.encode()

    def record_line(self, name, line):
        """Records which configuration a router has applied."""
        if b'"event":"config-applied"' in line:
            self.applied[name] = json.loads(line)["version"]

    async def check(self, version):
        """Counts the routers that have not applied a configuration in time."""
        direction, known = self.direction, {name: self.builds[name] for name in self.used}
        await asyncio.sleep(BOUND_SECONDS)
        for name, build in known.items():
            if name in self.used and self.builds[name] == build:
                self.counts[direction, build, "configurations", self.applied[name] < version] += 1

    async def write_configs(self):
        """Writes a new configuration in each period."""
        while not self.ended:
            await self.put_config()
            self.tasks.append(asyncio.ensure_future(self.check(self.version)))
            await asyncio.sleep(CONFIG_SECONDS)

    async def send_requests(self):
        """Sends requests to all routers that callers use, in turn."""
        async def send(number, name, direction):
            self.counts[direction, await self.call(self.fleet.routers[name], number) == 200] += 1
        while not self.ended:
            self.sent, name = self.sent + 1, self.used[self.sent % len(self.used)]
            self.requests[self.sent] = self.builds[name]
            self.tasks.append(asyncio.ensure_future(send(self.sent, name, self.direction)))
            await asyncio.sleep(PERIOD_SECONDS)

    async def replace(self, name, build):
        """Stops a router and starts it from another build."""
        (router := self.fleet.routers[name]).send(signal.SIGTERM)
        await asyncio.sleep(CALLERS_LEAVE_SECONDS)
        self.used.remove(name)
        await router.child.wait()
        self.builds[name], router.command[0] = build, self.binaries[build]
        await router.start()
        await self.wait_until_served()
        self.used.append(name)

    async def run(self):
        """Plays both directions and returns the lines."""
        await self.start_store()
        for number in range(BACKENDS):
            await self.add_backend(f"app{number}", f"z{number % 3 + 1}", self.answer)
        await self.put_config()
        for number in range(ROUTERS):
            await self.fleet.add_router(name := f"r{number}", f"z{number % 3 + 1}")
            self.fleet.routers[name].on_line = lambda line, name=name: self.record_line(name, line)
            self.builds[name] = BUILDS[0]
        await self.wait_until_served()
        self.used = list(self.fleet.routers)
        tasks = [asyncio.ensure_future(self.write_configs()), asyncio.ensure_future(self.send_requests())]
        for turn, self.direction in enumerate(DIRECTIONS):
            for number, name in enumerate(self.fleet.routers):
                if number == ROUTERS // 2:
                    self.entries[LEAVING[turn]]["State"] = "draining"
                    await self.put(f"servers/{LEAVING[turn]}", self.entries[LEAVING[turn]])
                    self.leaving[LEAVING[turn]] = time.monotonic()
                await self.replace(name, BUILDS[1 - turn])
            await asyncio.sleep(BOUND_SECONDS)
        self.ended = True
        await asyncio.gather(*tasks, *self.tasks)
        return [line for direction in DIRECTIONS for line in self.judge(direction)]

    def judge(self, direction):
        """Returns the lines of a direction."""
        yield f"{direction}: {self.counts[direction, True]} requests served, {self.counts[direction, False]} failed"
        for build in BUILDS:
            yield f"  {build}: " + "; ".join(
                f"{what} {self.counts[direction, build, what, False]}, late {self.counts[direction, build, what, True]}"
                for what in ("requests", "configurations"))


if __name__ == "__main__":
    play([Session])
