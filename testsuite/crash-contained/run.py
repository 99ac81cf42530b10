#!/usr/bin/env python3
"""A request that crashes the backend servers that run it is refused by every entry after two crashes.

Guards against one request that crashes the whole pool, and against refusing requests that were running when a host
failed for another reason.
"""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from concurrent.futures import ThreadPoolExecutor  # noqa: E402

from harness import Fleet, build_argument, wait_until  # noqa: E402

POISON = "poisonous prompt"


def send_until_served(fleet, prompt, entry):
    """Sends a request until it is served. Refusals for lack of capacity are allowed until the dead engines are
    detected, but not refusals because of a crash."""
    def done():
        reply = fleet.complete(prompt, entry=entry)
        if b"crash-contained" in reply.body:
            raise RuntimeError(f"{prompt} is refused because of a crash")
        return reply.status == 200
    wait_until(done, f"{prompt} is served", limit=10)


def main():
    with Fleet(build_argument()) as fleet:
        fleet.start_platform()
        prefill, _ = fleet.start_engines(prefill=5, decode=1)
        one, two, three = fleet.start_entries(3)
        for engine in prefill:
            engine.fault("crash", path="/v1/prefill", text=POISON)

        def crashed():
            return sum(not engine.running() for engine in prefill)

        outcomes = []
        for attempt in range(8):
            reply = fleet.complete(POISON, entry=fleet.entries[attempt % 3])
            outcomes.append(reply.outcome)
            if crashed() == 2:
                # The crash records reach the other entries by gossip.
                wait_until(lambda: all("crash-contained" in str(fleet.complete(POISON, entry=entry).body)
                                       for entry in fleet.entries), "every entry refuses the request")
        print(f"first answer: {outcomes[0]}, last answer: {outcomes[-1]}")
        print(f"engines crashed by eight sends through three entries: {crashed()}")
        send_until_served(fleet, "harmless prompt", two)
        print("another request is served")

        # A host failure records one crash for each of the different requests that were running there.
        survivors = [engine for engine in prefill if engine.running()]
        for engine in survivors:
            engine.fault("late", path="/v1/prefill", ms=300)
        with ThreadPoolExecutor(6) as pool:
            jobs = [pool.submit(fleet.complete, f"bystander {n}", entry=three) for n in range(6)]
            wait_until(lambda: survivors[0].counts()["held"] > 0, "requests run on the engine")
            survivors[0].kill()
            for job in jobs:
                job.result()
        for engine in survivors[1:]:
            engine.clear_faults()
        for number in range(6):
            send_until_served(fleet, f"bystander {number}", one)
        print("other requests hit by a host failure are served when sent again")

        listed = fleet.cli("crashes", "--json", entry=one)
        print(f"crash records listed: {POISON not in listed.stdout and 'fingerprint' in listed.stdout}")


main()
