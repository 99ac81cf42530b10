#!/usr/bin/env python3
"""A request that crashes the backend servers that run it is refused by every entry after two crashes.

Guards against one request that crashes the whole pool, and against refusing requests that were running when a host
failed for another reason.
"""

import json
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


def contained(fleet, entry):
    """Returns whether an entry refuses a request because of crashes."""
    return bool(json.loads(fleet.cli("crashes", "--json", entry=entry).stdout)["contained"])


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
            entry = fleet.entries[attempt % 3]
            reply = fleet.complete(POISON, entry=entry)
            outcomes.append(reply.outcome)
            if contained(fleet, entry):
                # The crash records reach the other entries by gossip. A request that is sent earlier may run there.
                wait_until(lambda: all(contained(fleet, other) for other in fleet.entries),
                           "every entry knows of the crashes")
                for other in fleet.entries:
                    if b"crash-contained" not in fleet.complete(POISON, entry=other).body:
                        raise RuntimeError(f"{other.name} does not refuse the request")
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
            victim = wait_until(lambda: next((one for one in survivors if one.counts()["held"] > 0), None),
                                "requests run on an engine")
            victim.kill()
            for job in jobs:
                job.result()
        for engine in survivors:
            if engine is not victim:
                engine.clear_faults()
        for number in range(6):
            send_until_served(fleet, f"bystander {number}", one)
        print("other requests hit by a host failure are served when sent again")

        listed = fleet.cli("crashes", "--json", entry=one)
        print(f"crash records listed: {POISON not in listed.stdout and 'fingerprint' in listed.stdout}")


main()
