#!/usr/bin/env python3
"""A backend server that leaves after the store has returned from an older copy gets no new requests.

Guards against routers that take its new entry for an old one: the store gives out again the revisions of changes that
are gone with its return, and such routers send requests to the leaving server for good.
"""

import asyncio
import pathlib
import sys
import time

SUITE = pathlib.Path(__file__).resolve().parent.parent
sys.path.append(str(SUITE))
from storesession import StoreSession, play  # noqa: E402

ROUTERS = 8
BACKENDS = 4
PERIOD_SECONDS = 1 / 60  # of the requests
CONFIG_SECONDS = 0.1
BOUND_SECONDS, END_SECONDS = 2.0, 6.0  # after the put of the draining state
LEAVING = "app0"


class Session(StoreSession):
    """Counts the requests at the leaving backend server and the refused ones."""

    def __init__(self, fleet, mixed_binary):
        super().__init__(fleet, mixed_binary)
        self.sent = 0
        self.statuses, self.calls = [], []
        self.arrivals = []  # times of requests at the leaving backend server, with their numbers
        self.writing, self.ended = True, False

    def answer(self, name, head, _):
        """Answers a request and records it if the leaving backend server got it."""
        if name == LEAVING and " /x " in head[0]:
            self.arrivals.append((time.monotonic(), int(head[1]["request-id"].split(".")[0], 16)))
        return 200, name.encode()

    async def write_configs(self):
        """Writes a new configuration in each period, except while the store is away."""
        while not self.ended:
            if self.writing:
                await self.put_config()
            await asyncio.sleep(CONFIG_SECONDS)

    async def send_requests(self):
        """Sends requests to all routers in turn."""
        async def send(number):
            router = routers[number % len(routers)]
            self.statuses.append(await self.call(router, number))
        routers = list(self.fleet.routers.values())
        while not self.ended:
            self.sent += 1
            self.calls.append(asyncio.ensure_future(send(self.sent)))
            await asyncio.sleep(PERIOD_SECONDS)

    async def run(self):
        """Plays the return of the store and returns the lines."""
        await self.start_store()
        for number in range(BACKENDS):
            await self.add_backend(f"app{number}", f"z{number % 3 + 1}", self.answer)
        await self.put_config()
        await self.start_routers([f"z{number % 3 + 1}" for number in range(ROUTERS)])
        await self.wait_until_served()
        tasks = [asyncio.ensure_future(self.write_configs()), asyncio.ensure_future(self.send_requests())]
        await asyncio.sleep(2)
        await self.take_copy()
        for _ in range(4):
            await asyncio.sleep(1)
            await self.put_entries()
        self.writing = False
        await asyncio.sleep(CONFIG_SECONDS)
        await self.return_store()
        await asyncio.sleep(0.2)
        await self.put_config()
        await self.put_entries()
        self.writing = True
        await asyncio.sleep(0.3)
        self.entries[LEAVING]["State"] = "draining"
        await self.put(f"servers/{LEAVING}", self.entries[LEAVING])
        acknowledged = time.monotonic()
        await asyncio.sleep(END_SECONDS)
        self.ended = True
        await asyncio.gather(*tasks, *self.calls)
        late = [number for when, number in self.arrivals
                if BOUND_SECONDS < when - acknowledged <= END_SECONDS]
        if late:
            print(f"late requests came by routers {sorted({number % ROUTERS for number in late})}", file=sys.stderr)
        before = sum(when <= acknowledged for when, _ in self.arrivals)
        return [f"requests at the leaving backend server before it left: {'some' if before else 'none'}",
                f"requests at the leaving backend server later than 2 s: {len(late)}",
                f"refused: {sum(status != 200 for status in self.statuses)}"]


if __name__ == "__main__":
    play([Session])
