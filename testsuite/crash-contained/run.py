#!/usr/bin/env python3
"""A request that crashes each backend server that runs it is refused after two crashes, through every entry.

Guards against one request that takes down the whole pool, and against blaming requests that a host failure hit.
"""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from harness import Fleet, build_argument, send, wait_until  # noqa: E402

POISON = "poisonous prompt"


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
                # The records reach the other entries by gossip.
                wait_until(lambda: all("crash-contained" in str(fleet.complete(POISON, entry=entry).body)
                                       for entry in fleet.entries), "every entry refuses the request")
        print(f"first answer: {outcomes[0]}, last answer: {outcomes[-1]}")
        print(f"engines crashed by eight sends through three entries: {crashed()}")
        print(f"another request is served: {fleet.complete('harmless prompt', entry=two).status}")

        # A host failure in the middle of many different requests leaves one crash on each of them.
        survivors = [engine for engine in prefill if engine.running()]
        for engine in survivors:
            engine.fault("late", path="/v1/prefill", ms=300)
        from concurrent.futures import ThreadPoolExecutor
        with ThreadPoolExecutor(6) as pool:
            replies = [pool.submit(fleet.complete, f"bystander {n}", entry=three) for n in range(6)]
            wait_until(lambda: survivors[0].counts().get("prefills", 0) > 0 or survivors[1].counts()["prefills"] > 0,
                       "requests run")
            survivors[0].kill()
            replies = [reply.result() for reply in replies]
        for engine in survivors[1:]:
            engine.clear_faults()
        again = [fleet.complete(f"bystander {n}", entry=one) for n in range(6)]
        print(f"bystanders of a host failure, sent again: {sorted({reply.status for reply in again})}")

        listed = fleet.cli("crashes", "--json", entry=one)
        print(f"crash records listed: {POISON not in listed.stdout and 'fingerprint' in listed.stdout}")


main()
