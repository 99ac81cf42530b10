#!/usr/bin/env python3
"""A request is answered only once, and a resent call does not run in addition to the original.

Guards against a slow first attempt whose answer arrives after a second attempt has started, and against a resend
through another entry while the original call is still running.
"""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from concurrent.futures import ThreadPoolExecutor  # noqa: E402

from harness import Fleet, build_argument, expected_text, send, wait_until  # noqa: E402


def main():
    with Fleet(build_argument()) as fleet:
        fleet.start_platform()
        prefill, decode = fleet.start_engines(prefill=2, decode=2)
        services = [fleet.start_service("bookings", f"service{n}") for n in range(2)]
        one, two = fleet.start_entries(2, {"timeouts.backend": "1500ms"})

        # The first prefill answers long after the entry has timed out.
        for engine in prefill:
            engine.fault("late", path="/v1/prefill", ms=2500, times=1)
        reply = fleet.complete("slow first attempt", 6, streamed=True)
        text = "".join(event["choices"][0].get("text", "") for event in reply.events if event.get("choices"))
        wanted = expected_text("slow first attempt", 6)
        print(f"slow first prefill: no text twice: {text in ('', wanted) and len(reply.events) <= 7}")
        for engine in prefill:
            engine.clear_faults()
        wait_until(lambda: fleet.held(prefill + decode) == 0, "engine memory freed")

        # A read is retried at another service; the late answer of the first attempt must be dropped.
        for service in services:
            service.fault("late", ms=2500, times=1)
        reply = send(one.caller, "GET", "/services/bookings/status", None, {"Workspace": "acme"})
        body = reply.json()
        print(f"slow first read: one answer: {reply.status in (200, 502, 504)} {isinstance(body, dict)}")
        for service in services:
            service.clear_faults()

        # A resend through the other entry, while the original call runs, gets the result of the original.
        for service in services:
            service.fault("slow", ms=800, times=1)
        with ThreadPoolExecutor(2) as pool:
            jobs = [pool.submit(send, entry.caller, "POST", "/services/bookings/visit", {"visit": 3},
                                {"Workspace": "acme", "Idempotency-Key": "visit-3"}) for entry in (one, two)]
            replies = [job.result() for job in jobs]
        print(f"resend while the first runs: {sorted(reply.status for reply in replies)}")
        print(f"executions: {sum(service.counts()['keys'].get('visit-3', 0) for service in services)}")
        print(f"same body: {len({reply.body for reply in replies}) == 1}")


main()
