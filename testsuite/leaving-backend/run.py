#!/usr/bin/env python3
"""A leaving backend server receives no new requests after a few seconds, and its running requests are completed.

Guards against queued requests, retries and pooled connections that still reach it, and against an entry that was
suspended while the host list changed.
"""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from concurrent.futures import ThreadPoolExecutor  # noqa: E402

from harness import Fleet, build_argument, send, wait_until  # noqa: E402

BOUND_S = 5


def main():
    with Fleet(build_argument()) as fleet:
        fleet.start_platform()
        prefill, decode = fleet.start_engines(prefill=2, decode=2)
        services = [fleet.start_service("bookings", f"service{n}") for n in range(2)]
        one, two = fleet.start_entries(2)

        def work(entry, count):
            with ThreadPoolExecutor(4) as pool:
                jobs = [pool.submit(fleet.complete, f"prompt {n}", 4, entry=entry) for n in range(count)]
                jobs += [pool.submit(send, entry.caller, "GET", "/services/bookings/visit", None, {"Workspace": "acme"})
                         for _ in range(count)]
                return sorted({job.result().status for job in jobs})

        def counts():
            return (prefill[0].counts()["prefills"], decode[0].counts()["streams"], services[0].counts()["total"])

        print(f"before: {work(one, 20)} {work(two, 20)}, all three used: {all(count > 0 for count in counts())}")
        with ThreadPoolExecutor(1) as pool:
            # Starts a long stream on the decode engine that will leave; it must be completed.
            fleet.set_host_state(decode[1].address, "leaving")
            time.sleep(BOUND_S)
            long_stream = pool.submit(fleet.complete, "long", 400, entry=one, streamed=True)
            wait_until(lambda: decode[0].counts()["held"] > 0, "the stream runs")
            fleet.set_host_state(decode[1].address, "live")
            for process in (prefill[0], decode[0], services[0]):
                fleet.set_host_state(process.address, "leaving")
            time.sleep(BOUND_S)
            before = counts()
            print(f"after the bound: {work(one, 20)} {work(two, 20)}")
            print(f"new work at leaving backend servers: {[now - then for now, then in zip(counts(), before)]}")
            print(f"stream that ran there: {'whole' if long_stream.result().ended else 'cut'}")

        for process in (prefill[0], decode[0], services[0]):
            fleet.set_host_state(process.address, "live")
        time.sleep(BOUND_S)
        two.freeze()
        for process in (prefill[0], decode[0], services[0]):
            fleet.set_host_state(process.address, "leaving")
        time.sleep(BOUND_S)
        before = counts()
        with ThreadPoolExecutor(8) as pool:
            jobs = [pool.submit(fleet.complete, f"queued {n}", 4, entry=two) for n in range(8)]
            time.sleep(0.5)
            two.resume()
            statuses = sorted({job.result().status for job in jobs})
        late = [now - then for now, then in zip(counts(), before)]
        print(f"entry suspended while the list changed, new work at leaving backend servers: {late}")
        if statuses != [200]:
            print(f"its answers: {statuses}", file=sys.stderr)


main()
