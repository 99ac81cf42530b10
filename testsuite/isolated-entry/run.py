#!/usr/bin/env python3
"""An entry that can reach neither its peers nor the platform refuses new requests as not-run until it can again.

Guards against an entry that keeps working with an outdated configuration and host list.
"""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from harness import Fleet, build_argument, send, wait_until  # noqa: E402


def main():
    with Fleet(build_argument()) as fleet:
        fleet.start_platform()
        prefill, _ = fleet.start_engines(prefill=1, decode=1)
        one, two = fleet.start_entries(2, {"timeouts.isolated_after": "3000ms", "timeouts.suspicion": "1000ms"})
        print(f"before: {fleet.complete('before', entry=one).status}")
        two.kill()
        print(f"peer dead, platform reachable: {fleet.complete('peer dead', entry=one).status}")
        fleet.platform.kill()
        wait_until(lambda: fleet.status(one)["isolated"], "the entry is isolated")
        prefills = prefill[0].counts()["prefills"]
        reply = fleet.complete("isolated", entry=one)
        print(f"isolated: {reply.status} {reply.outcome} {reply.json()['error']['type']}, "
              f"prefills: {prefill[0].counts()['prefills'] - prefills}")
        print(f"readyz: {send(one.caller, 'GET', '/readyz').status}")
        fleet.platform = fleet.restart(fleet.platform)
        fleet.set_hosts()
        wait_until(lambda: fleet.complete("back", entry=one).status == 200, "the entry serves again")
        print("platform back: the entry serves again")


main()
