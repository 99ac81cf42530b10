#!/usr/bin/env python3
"""A request that is refused as not-run was not executed, according to the counters of the backend server.

Guards against the outcome not-run after bytes of the request have been sent, and against unknown if none were sent.
"""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from harness import Fleet, build_argument, send, wait_until  # noqa: E402


def executions(service):
    return service.counts().get("total", 0) if service.running() else 0


def call(fleet, title, service, headers=None, path="/services/bookings/visit", method="POST"):
    """Sends one call and prints its outcome and how often the service executed it."""
    before = executions(service)
    reply = send(fleet.entries[0].caller, method, path, {"visit": 1}, {"Workspace": "acme", **(headers or {})})
    ran = executions(service) - before
    outcome = reply.outcome or ("done" if reply.status == 200 else "MISSING")
    if outcome == "not-run" and ran:
        print(f"{title}: UNTRUE not-run")
    print(f"{title}: {outcome}, executed {ran} times")


def complete(fleet, title, prefill, decode, **options):
    """Sends one completion request and prints its outcome and whether the engine ran a prefill."""
    before = prefill.counts()["prefills"]
    reply = fleet.complete(title, **options)
    ran = prefill.counts()["prefills"] - before
    outcome = reply.outcome or ("done" if reply.status == 200 else "MISSING")
    if outcome == "not-run" and ran:
        print(f"{title}: UNTRUE not-run")
    print(f"{title}: {outcome}, {'prefilled' if ran else 'no prefill'}")


def main():
    with Fleet(build_argument()) as fleet:
        fleet.start_platform()
        (prefill,), (decode,) = fleet.start_engines(prefill=1, decode=1)
        service = fleet.start_service("bookings", "service0")
        fleet.start_entries(1, {"timeouts.backend": "1500ms"})
        key = iter(f"key-{number}" for number in range(100))

        call(fleet, "service answers", service)
        service.fault("close", times=1)
        call(fleet, "service closes the connection before doing the work", service, {"Idempotency-Key": next(key)})
        service.fault("answer-lost", times=1)
        call(fleet, "service loses the answer after the work", service, {"Idempotency-Key": next(key)})
        service.fault("answer-lost", times=1)
        call(fleet, "POST without a key, answer lost", service)
        service.fault("late", times=1, ms=4000)
        call(fleet, "service answers after the timeout", service, {"Idempotency-Key": next(key)})
        service.fault("full", times=1)
        call(fleet, "service itself says not-run", service, {"Idempotency-Key": next(key)})
        call(fleet, "unknown service", service, path="/services/nothing/visit")
        service.fault("refuse", ms=600000)
        wait_until(lambda: send(service.address, "GET", "/counts").status == 0, "connections are refused")
        call(fleet, "service refuses connections", service, {"Idempotency-Key": next(key)})
        service.kill()
        call(fleet, "service is dead", service, {"Idempotency-Key": next(key)})

        complete(fleet, "engines answer", prefill, decode)
        complete(fleet, "unknown model", prefill, decode, model="no-such-model")
        prefill.fault("full", path="/v1/prefill")
        complete(fleet, "prefill engine is full", prefill, decode)
        prefill.clear_faults()
        decode.fault("full", path="/v1/decode")
        complete(fleet, "decode engine is full after the prefill", prefill, decode)
        decode.clear_faults()
        prefill.fault("close", path="/v1/prefill")
        complete(fleet, "prefill engine closes the connection", prefill, decode)
        prefill.clear_faults()
        prefill.fault("answer-lost", path="/v1/prefill")
        complete(fleet, "prefill engine loses the answer", prefill, decode)
        prefill.clear_faults()
        complete(fleet, "deadline has passed", prefill, decode, headers={"Request-Deadline-Ms": "0"})
        fleet.remove_host(decode.address)
        fleet.start_entries(1)
        before = prefill.counts()["prefills"]
        reply = fleet.complete("no decode engine", entry=fleet.entries[1])
        print(f"no decode engine: {reply.outcome}, {prefill.counts()['prefills'] - before} prefills")


main()
