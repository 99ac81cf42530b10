#!/usr/bin/env python3
"""A call with a key chosen by the caller runs at most once; its record in the key-value service ensures this.

Guards against a second execution when entries race, are killed or are suspended, and when the key-value service is down
or loses answers.
"""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from concurrent.futures import ThreadPoolExecutor  # noqa: E402

from harness import Fleet, build_argument, send, wait_until  # noqa: E402


def book(entry, key, body=None):
    return send(entry.caller, "POST", "/services/bookings/visit", body or {"visit": 7},
                {"Workspace": "acme", "Idempotency-Key": key})


def describe(reply):
    replay = ", replay" if reply.headers.get("idempotent-replay") else ""
    if reply.status == 200:
        return f"200{replay}"
    return f"{reply.status or 'no answer'} {reply.outcome or '-'}{replay}"


def main():
    with Fleet(build_argument()) as fleet:
        fleet.start_platform()
        service = fleet.start_service("bookings", "service0")
        one, two, three = fleet.start_entries(3, {"timeouts.backend": "3000ms", "timeouts.key_value": "500ms"})

        def executions(key):
            return service.counts()["keys"].get(key, 0)

        print(f"first send: {describe(book(one, 'visit-1'))}")
        print(f"resend to the same entry: {describe(book(one, 'visit-1'))}")
        print(f"resend through another entry: {describe(book(two, 'visit-1'))}")
        print(f"same key, another body: {describe(book(three, 'visit-1', {'visit': 8}))}")
        print(f"executions: {executions('visit-1')}")

        service.fault("slow", ms=700, times=1)
        with ThreadPoolExecutor(12) as pool:
            replies = list(pool.map(lambda n: book(fleet.entries[n % 3], "visit-2"), range(12)))
        print(f"twelve sends at once through three entries: {sorted({reply.status for reply in replies})}")
        print(f"executions: {executions('visit-2')}")

        book(one, "visit-0")
        fleet.platform.fault("error", path="/v3/")
        reply = book(two, "visit-0")
        print(f"key-value service down, resend of a call that ran elsewhere: {describe(reply)}, "
              f"executions: {executions('visit-0')}")
        print(f"key-value service down: {describe(book(one, 'visit-3'))}, executions: {executions('visit-3')}")
        fleet.platform.clear_faults()
        again = wait_until(lambda: (reply := book(two, "visit-3")).status == 200 and reply, "the service is back")
        print(f"key-value service back, resend: {again.status}, executions: {executions('visit-3')}")

        fleet.platform.fault("answer-lost", path="/v3/kv/txn", times=1)
        print(f"answer of the write lost: {describe(book(one, 'visit-4'))}, executions: {executions('visit-4')}")
        print(f"resend through another entry: {describe(book(two, 'visit-4'))}, executions: {executions('visit-4')}")

        # The record is written, but its answer is lost and all reads fail: the call must not run until it is resent.
        fleet.platform.fault("answer-lost", path="/v3/kv/txn")
        fleet.platform.fault("error", path="/v3/kv/range")
        reply = book(one, "visit-5")
        print(f"write answers and reads lost: {describe(reply)}, executions: {executions('visit-5')}")
        fleet.platform.clear_faults()
        reply = book(two, "visit-5")
        print(f"resend after that: {describe(reply)}, executions: {executions('visit-5')}")

        service.fault("answer-lost", times=1)
        print(f"answer of the backend server lost: {describe(book(one, 'visit-6'))}")
        print(f"resend: {describe(book(two, 'visit-6'))}, executions: {executions('visit-6')}")

        # With a second server, a repeated attempt would count as a second execution.
        other = fleet.start_service("bookings", "service1")
        wait_until(lambda: any(backend["address"] == other.address for backend in fleet.status(one)["backends"]),
                   "the second server is known")
        for server in (service, other):
            server.fault("answer-lost", times=1)
        reply = book(one, "visit-10")
        ran = sum(server.counts()["keys"].get("visit-10", 0) for server in (service, other))
        print(f"answer lost, two servers: {describe(reply)}, executions: {ran}")
        fleet.remove_host(other.address)
        wait_until(lambda: all(backend["address"] != other.address for entry in fleet.entries
                               for backend in fleet.status(entry)["backends"]), "the second server is gone")
        for server in (service, other):
            server.clear_faults()

        service.fault("slow", ms=2000, times=1)
        with ThreadPoolExecutor(1) as pool:
            first = pool.submit(book, three, "visit-7")
            wait_until(lambda: fleet.read_key("/cyclamencross/calls/acme/visit-7"), "the call is recorded")
            three.kill()
            print(f"entry killed during the call: {describe(first.result())}")
        print(f"resend through another entry: {describe(book(one, 'visit-7'))}")
        print(f"executions: at most 1: {executions('visit-7') <= 1}")

        service.fault("slow", ms=1000, times=1)
        with ThreadPoolExecutor(1) as pool:
            first = pool.submit(book, two, "visit-8")
            wait_until(lambda: fleet.read_key("/cyclamencross/calls/acme/visit-8"), "the call is recorded")
            two.freeze()
            print(f"owner suspended during the call, resend: {describe(book(one, 'visit-8'))}")
            two.resume()
            print(f"owner resumed: {describe(first.result())}, executions: {executions('visit-8')}")


main()
