#!/usr/bin/env python3
"""A call with a ticket runs at most once through any entry, even if the issuer of the ticket is suspended or dead.

Guards against a second execution of a call by an entry that did not issue the ticket.
"""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from concurrent.futures import ThreadPoolExecutor  # noqa: E402

from harness import Fleet, build_argument, send, wait_until  # noqa: E402

PATH = "/services/bookings/visit"


def issue_ticket(entry):
    """Returns a ticket whose call may run only at this entry: a ticket contains the incarnation of its issuer."""
    return send(entry.caller, "GET", "/v1/entry?workspace=acme&session=1").json()["ticket"]


def book(entry, key, body=None):
    return send(entry.caller, "POST", PATH, body or {"visit": 7}, {"Workspace": "acme", "Idempotency-Key": key})


def describe(reply):
    replay = ", replay" if reply.headers.get("idempotent-replay") else ""
    if reply.status == 200:
        return f"200{replay}"
    return f"{reply.status or 'no answer'} {reply.outcome or '-'}{replay}"


def executions(service, key):
    return service.counts()["keys"].get(key, 0)


def main():
    with Fleet(build_argument()) as fleet:
        fleet.start_platform()
        service = fleet.start_service("bookings", "service0")
        one, two, three = fleet.start_entries(3, {"timeouts.backend": "3000ms"})

        key = issue_ticket(one)
        print(f"first send to the issuer: {describe(book(one, key))}")
        print(f"resend to the issuer: {describe(book(one, key))}")
        print(f"resend through another entry: {describe(book(two, key))}")
        print(f"same ticket, another body: {describe(book(two, key, {'visit': 8}))}")
        print(f"executions: {executions(service, key)}")

        key = issue_ticket(two)
        print(f"first send through another entry: {describe(book(three, key))}")
        print(f"executions: {executions(service, key)}")

        key = issue_ticket(one)
        service.fault("slow", ms=700, times=1)
        with ThreadPoolExecutor(12) as pool:
            replies = list(pool.map(lambda n: book(fleet.entries[n % 3], key), range(12)))
        print(f"twelve sends at once through three entries: {sorted({reply.status for reply in replies})}")
        print(f"executions: {executions(service, key)}")

        forged = key[:-4] + ("0000" if key[-4:] != "0000" else "1111")
        print(f"forged ticket: {describe(book(one, forged))}, executions: {executions(service, forged)}")

        key = issue_ticket(two)
        service.fault("answer-lost", times=1)
        print(f"answer of the service lost: {describe(book(two, key))}")
        print(f"resend after that: {describe(book(one, key))}")
        print(f"executions: {executions(service, key)}")

        key = issue_ticket(one)
        fleet.platform.fault("error", path="/v3/")
        print(f"key-value service down, first send: {describe(book(two, key))}")
        print(f"key-value service down, resend: {describe(book(three, key))}")
        print(f"executions: {executions(service, key)}")

        key = issue_ticket(two)
        two.freeze()
        print(f"issuer suspended, sent through another entry: {describe(book(one, key))}")
        two.resume()
        final = wait_until(lambda: (reply := book(two, key)).status == 200 and reply, "the issuer answers again")
        print(f"issuer resumed, resend: {final.status}")
        print(f"executions: {executions(service, key)}")

        key = issue_ticket(three)
        print(f"first send to an issuer that is then killed: {describe(book(three, key))}")
        unused = issue_ticket(three)
        three.kill()
        print(f"issuer dead, resend: {describe(book(one, key))}")
        print(f"issuer dead, unused ticket: {describe(book(one, unused))}")
        fleet.platform.clear_faults()
        fleet.restart_entry(three)
        print(f"issuer restarted, resend: {describe(book(fleet.entries[2], key))}")
        print(f"executions: {executions(service, key)}")


main()
