#!/usr/bin/env python3
"""One router at a time gives orders to engines, also after the store has returned from an older copy.

Guards against a dead leader whose record the copy brings back: the router that has followed it goes on giving orders
while the next one claims the leadership, with a lower fencing token or, if the revisions of their records meet, with
the same one. Plays both, since the revision of a record depends on what else is written.
"""

import asyncio
import base64
import functools
import json
import pathlib
import signal
import sys
import time

SUITE = pathlib.Path(__file__).resolve().parent.parent
sys.path.append(str(SUITE))
from storesession import StoreSession, play  # noqa: E402
import wirehttp  # noqa: E402

ROUTERS = 3
ENGINES = 24  # enough for a plan to name an engine again only after the time in which its orders are not repeated
PLAN_SECONDS = 1.2
FILLERS = 60  # writes before the second leader's claim, so that the revision of its record is ahead of the copy
LEASE_SECONDS = 3.0
WAIT_SECONDS = 12.0
STEP_SECONDS = 0.02
END_SECONDS = 8.0  # time for the orders of the last leader: it waits 3.5 s before the first one
LEADER = "cyclamencross/leader"


class Session(StoreSession):
    """Records the orders that engines get and the log lines of leaders."""

    def __init__(self, meet, fleet, mixed_binary):
        super().__init__(fleet, mixed_binary)
        self.meet = meet  # whether the revisions of the records are made to meet
        self.starts = {}  # of each router
        self.orders = []  # time, holder and fencing token
        self.logged = []  # holder and fencing token of log lines
        self.registered = set()  # holders
        self.planning, self.ended = True, False

    def holder(self, router):
        """Returns the name of a router with the number of its process, since a restarted router is another holder."""
        return f"{router}/{self.starts.get(router, 1)}"

    def answer(self, name, head, body):
        """Records an order and accepts it. The engine never changes its stage."""
        if " /cyclamencross/order " not in head[0]:
            return 200, b""
        order = json.loads(body)
        if order["Operation"] != "Stage" or head[1].get("expect-instance") != name:
            return 400, b""
        self.orders.append((time.monotonic(), self.holder(order["Holder"]), order["FencingToken"]))
        return 202, b""

    def record_line(self, router, line):
        """Records the fencing token of a log line, and registrations."""
        if b'"event":"registered"' in line:
            self.registered.add(self.holder(router))
        if b'"event":"leader"' in line or b'"event":"engine-order"' in line:
            self.logged.append((self.holder(router), json.loads(line)["fencing_token"]))

    async def write_plans(self):
        """Writes plans that order two engines each to the other stage."""
        names = list(self.entries)
        turn = 0
        while not self.ended:
            if self.planning:
                chosen = [names[(2 * turn + i) % len(names)] for i in range(2)]
                stages = {name: "decode" if self.entries[name]["Stage"] == "prefill" else "prefill" for name in chosen}
                await self.put("cyclamencross/stages", {"engines": stages})
                turn += 1
            await asyncio.sleep(PLAN_SECONDS)

    async def read(self, key):
        """Returns the revision of the store and the item, or None if there is none."""
        target = f"/cyclamencross/kv-range?PathPrefix={key}"
        _, _, body = await wirehttp.exchange(f"127.0.0.1:{self.fleet.store_port}", "GET", target)
        answer = json.loads(body)
        return answer["At"], (answer["items"] or [None])[0]

    async def wait_for(self, condition):
        """Waits until a condition holds, for a while at most. Returns its value."""
        end = time.monotonic() + WAIT_SECONDS
        while not (value := await condition()) and time.monotonic() < end:
            await asyncio.sleep(STEP_SECONDS)
        return value

    async def leader(self):
        """Returns the record of the leader with its revision, or None."""
        _, item = await self.read(LEADER)
        if item is None:
            return None
        return {**json.loads(base64.b64decode(item["Value"])), "revision": item["Revision"]}

    async def has_ended(self, record):
        """Returns whether the record of a leader is no longer in the store."""
        return await self.leader() != record

    async def is_registered(self, holder):
        """Returns whether a router process has registered."""
        return holder in self.registered

    async def has_orders(self, known=0):
        """Returns whether an engine got an order after the known ones."""
        return len(self.orders) > known

    async def fill(self, count):
        """Writes items that only raise the revision."""
        for _ in range(count):
            await self.put("filler", {})

    async def restart(self, name, revision):
        """Starts the killed router again. If the records are to meet, the next write gets the revision."""
        router = self.fleet.routers[name]
        self.starts[name] = 2
        self.planning = not self.meet
        await router.start()
        if self.meet:
            await self.wait_for(lambda: self.is_registered(self.holder(name)))
            at, _ = await self.read(LEADER)
            await self.fill(max(0, revision - 1 - at))
        claimed = await self.wait_for(self.leader)
        self.planning = True
        return claimed

    async def run(self):
        """Plays the return of the store and returns the lines."""
        await self.start_store()
        for number in range(ENGINES):
            await self.add_backend(f"e{number}", "z1", self.answer, Service="llm",
                                   Stage="decode" if number % 2 else "prefill")
        await self.put_config()
        # Only the primary watcher claims a vacant leadership. That is r0, also after its restart; it has to lead first.
        await self.start_routers(["z1"])
        await self.wait_for(self.leader)
        await self.start_routers(["z1"] * (ROUTERS - 1))
        for name, router in self.fleet.routers.items():
            router.on_line = functools.partial(self.record_line, name)
        plans = asyncio.ensure_future(self.write_plans())
        await self.wait_for(self.has_orders)
        first = await self.leader()
        await self.take_copy()
        self.fleet.routers[first["router"]].send(signal.SIGKILL)
        await self.fill(FILLERS)
        await self.wait_for(lambda: self.has_ended(first))
        second = await self.wait_for(self.leader)
        known = len(self.orders)
        await self.wait_for(lambda: self.has_orders(known))
        await asyncio.sleep(PLAN_SECONDS)
        await self.return_store()
        await asyncio.sleep(0.2)
        await self.put_config()
        await self.put_entries()
        await self.wait_for(lambda: self.has_ended(first))
        known = len(self.orders)
        third = await self.restart(first["router"], second["revision"])
        print("leaders:", *((one["router"], one["revision"]) if one else None for one in (first, second, third)),
              file=sys.stderr)
        await asyncio.sleep(END_SECONDS)
        self.ended = True
        await plans
        return self.judge(known, third is not None)

    def judge(self, known, claimed):
        """Returns the lines. The orders after the known ones came after the dead leader's second end."""
        print("orders:", *(f"{when - self.orders[0][0]:.2f} {holder} {token}" for when, holder, token in self.orders),
              sep="\n  ", file=sys.stderr)
        holders = {}  # of each token
        for holder, token in [order[1:] for order in self.orders] + self.logged:
            holders.setdefault(token, set()).add(holder)
        newest, lower, former, early = 0, 0, 0, 0
        succession, last = [], None
        for when, holder, token in self.orders:
            lower += token < newest
            newest = max(newest, token)
            if holder not in succession:
                early += bool(succession) and when - last < LEASE_SECONDS
                succession.append(holder)
            former += holder != succession[-1]
            last = when
        return ["with the records made to meet:" if self.meet else "plain:",
                f"  orders of two leaders before the restart: {'yes' if self.two_before(known) else 'no'}",
                f"  record of a leader after the restart: {'yes' if claimed else 'no'}",
                f"  orders after the restart: {'yes' if len(self.orders) > known else 'no'}",
                f"  fencing tokens of two holders: {sum(len(names) > 1 for names in holders.values())}",
                f"  orders with a lower token after a higher one: {lower}",
                f"  orders of a former holder: {former}, first orders within 3 s of another holder: {early}"]

    def two_before(self, known):
        """Returns whether two holders have given orders before the restart."""
        return len({holder for _, holder, _ in self.orders[:known]}) == 2


if __name__ == "__main__":
    play([functools.partial(Session, False), functools.partial(Session, True)])
