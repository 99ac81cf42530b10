#!/usr/bin/env python3
"""A stray, forged or replayed message changes nothing.

Guards against datagrams and admin requests without a valid keyed hash, and against valid ones sent a second time.
"""

import pathlib
import random
import socket
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from harness import Fleet, build_argument, send, wait_until  # noqa: E402


def members(fleet, entry):
    return sorted((member["name"], member["state"]) for member in fleet.status(entry)["members"])


def dropped(entry):
    """Returns the number of datagrams that the entry has dropped."""
    text = send(entry.admin, "GET", "/metrics").body.decode()
    return sum(float(line.rsplit(" ", 1)[1]) for line in text.splitlines()
               if line.startswith("cyclamencross_datagrams_dropped_total"))


def main():
    with Fleet(build_argument()) as fleet:
        fleet.start_platform()
        one, two, three = fleet.start_entries(3)
        before = members(fleet, one)
        print(f"members: {before}")
        seeded = random.Random(7)
        host, port = one.gossip.rsplit(":", 1)
        sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        start = dropped(one)
        for number in range(200):
            sender.sendto(seeded.randbytes(seeded.randrange(1, 1400)), (host, int(port)))
        wait_until(lambda: dropped(one) >= start + 200, "stray datagrams counted")
        print(f"after 200 stray datagrams: unchanged {members(fleet, one) == before}")
        for method, path in (("POST", "/admin/drain"), ("POST", "/admin/config"), ("POST", "/peer/call"),
                             ("POST", "/admin/crashes/lift"), ("GET", "/peer/config")):
            unsigned = send(one.admin, method, path, "{}" if method == "POST" else None)
            forged = send(one.admin, method, path, "{}" if method == "POST" else None, {"Peer-Signature": "0" * 32})
            print(f"{method} {path}: unsigned {unsigned.status}, forged {forged.status}")
        callers = send(one.caller, "POST", "/admin/drain", "{}")
        print(f"admin path on the callers' port: {callers.status}")
        print(f"entry still serves: {send(one.caller, 'GET', '/readyz').status}")


main()
