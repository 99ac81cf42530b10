#!/usr/bin/env python3
"""Stray, forged and replayed messages are dropped and have no effect.

Guards against accepting datagrams and admin requests without a valid keyed hash, and datagrams that are sent again.
"""

import pathlib
import random
import socket
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from harness import Fleet, build_argument, free_ports, send, wait_until  # noqa: E402


def members(fleet, entry):
    return sorted((member["name"], member["state"]) for member in fleet.status(entry)["members"])


def dropped(entry, reason=""):
    """Returns the number of datagrams that the entry has dropped, in total or for one reason."""
    text = send(entry.admin, "GET", "/metrics").body.decode()
    return sum(float(line.rsplit(" ", 1)[1]) for line in text.splitlines()
               if line.startswith("cyclamencross_datagrams_dropped_total") and reason in line)


def recorded_datagram(fleet):
    """Starts an entry that joins through a socket of this session. Returns a datagram that it signed, and the entry."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    listener.bind(("127.0.0.1", free_ports(1, socket.SOCK_DGRAM)[0]))
    listener.settimeout(60)
    caller, admin = (f"127.0.0.1:{port}" for port in free_ports(2))
    gossip = f"127.0.0.1:{free_ports(1, socket.SOCK_DGRAM)[0]}"
    entry = fleet.start_entry("recorded", "a", caller, admin, gossip, [f"127.0.0.1:{listener.getsockname()[1]}"])
    return listener.recvfrom(2048)[0], entry


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
        datagram, recorded = recorded_datagram(fleet)
        recorded.kill()
        address = (host, int(port))
        start = dropped(one, "replay")
        for _ in range(3):
            sender.sendto(datagram, address)
        wait_until(lambda: dropped(one, "replay") >= start + 2, "copies counted as replays")
        print(f"a recorded datagram sent three times: replays dropped {dropped(one, 'replay') - start:.0f}")
        start = dropped(one)
        for position in range(0, len(datagram), 7):
            changed = bytearray(datagram)
            changed[position] ^= 1
            sender.sendto(bytes(changed), address)
        sent = len(range(0, len(datagram), 7))
        wait_until(lambda: dropped(one) >= start + sent, "changed datagrams counted")
        print("datagrams with one changed bit: all dropped")
        for method, path in (("POST", "/admin/drain"), ("POST", "/admin/config"), ("POST", "/peer/call"),
                             ("POST", "/admin/crashes/lift"), ("GET", "/peer/config")):
            unsigned = send(one.admin, method, path, "{}" if method == "POST" else None)
            forged = send(one.admin, method, path, "{}" if method == "POST" else None, {"Peer-Signature": "0" * 32})
            print(f"{method} {path}: unsigned {unsigned.status}, forged {forged.status}")
        callers = send(one.caller, "POST", "/admin/drain", "{}")
        print(f"admin path on the callers' port: {callers.status}")
        print(f"entry still serves: {send(one.caller, 'GET', '/readyz').status}")


main()
