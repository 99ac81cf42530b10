#!/usr/bin/env python3
"""A planned stop breaks no request: every entry is restarted in turn under load, and no request fails.

Guards against an entry that stops while callers still use its address, and against one that ends before its streams and
calls do.
"""

import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from concurrent.futures import ThreadPoolExecutor  # noqa: E402

from harness import Fleet, build_argument, send, stream, wait_until  # noqa: E402

ANSWER_TTL = "2000ms"


class Callers:
    """Callers that ask for an entry address, use it for as long as the answer allows, and record failed requests."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.stop = threading.Event()
        self.failures = []
        self.done = 0
        self.lock = threading.Lock()
        self.threads = [threading.Thread(target=self.run, args=(number,)) for number in range(8)]
        for thread in self.threads:
            thread.start()

    def ask(self, number):
        """Returns an entry address, a ticket and the time until which the address may be used, or None."""
        for entry in self.fleet.entries:
            asked = time.monotonic()
            answer = send(entry.caller, "GET", f"/v1/entry?workspace=acme&session={number}", timeout=5).json()
            if "address" in answer:
                return answer["address"], answer["ticket"], asked + answer["keep_seconds"]
        return None

    def run(self, number):
        assignment = None
        turn = 0
        while not self.stop.is_set():
            if assignment is None or time.monotonic() >= assignment[2]:
                assignment = self.ask(number)
                continue
            turn += 1
            if turn % 3 == 0:
                _, ticket, _ = self.ask(number) or assignment
                reply = send(assignment[0], "POST", "/services/bookings/visit", {"n": turn},
                             {"Workspace": "acme", "Idempotency-Key": ticket})
                good = reply.status == 200
            else:
                reply = stream(assignment[0], "/v1/completions", {"model": "model", "prompt": f"caller {number} {turn}",
                                                            "max_tokens": 40, "stream": True}, {"Workspace": "acme"})
                good = reply.status == 200 and reply.ended
            with self.lock:
                self.done += 1
                if not good:
                    self.failures.append(f"{assignment[0]} {reply.status} {reply.outcome} {reply.error} "
                                         f"{reply.body[:200]} {getattr(reply, 'events', [])[-1:]}")

    def end(self):
        self.stop.set()
        for thread in self.threads:
            thread.join()


def drains(entry):
    """Returns the number of drains that the entry has logged."""
    return sum(line.get("event") == "drain-begin" for line in entry.log_lines())


def main():
    with Fleet(build_argument()) as fleet:
        fleet.start_platform()
        _, decode = fleet.start_engines(prefill=2, decode=2)
        fleet.start_service("bookings", "service0", delay=100)
        fleet.start_entries(3, {"timeouts.drain_margin": "1000ms"})
        fleet.apply_config({"answer_ttl": ANSWER_TTL})
        callers = Callers(fleet)
        for number in range(3):
            wait_until(lambda: callers.done > 20 * (number + 1), "load runs")
            entry = fleet.entries[number]
            entry.terminate()
            print(f"entry {number} ends with exit code {entry.wait_end()}")
            fleet.restart_entry(entry)
        finished = callers.done
        wait_until(lambda: callers.done > finished + 20, "load goes on")
        callers.end()
        for failure in callers.failures:
            print(failure, file=sys.stderr)
        print(f"failed requests: {len(callers.failures)}")

        # These requests outlast the wait for addresses in use by callers (3 s), so the entry must also wait for them.
        leaving = fleet.entries[1]
        with ThreadPoolExecutor(2) as pool:
            long_stream = pool.submit(fleet.complete, "long stream", 400, entry=leaving, streamed=True)
            long_answer = pool.submit(fleet.complete, "long answer", 400, entry=leaving)
            wait_until(lambda: fleet.held(decode) == 2, "both run")
            leaving.terminate()
            print(f"planned stop during long requests: exit code {leaving.wait_end()}")
            print(f"long stream: {'whole' if long_stream.result().ended else 'CUT'}, "
                  f"long answer: {long_answer.result().status}")

        stopping = fleet.entries[0]
        slow = threading.Thread(target=fleet.complete, args=("slow", 4000), kwargs={"entry": stopping})
        slow.start()
        wait_until(lambda: fleet.held(decode) > 0, "stream runs")
        # The log also contains the drain of the entry's previous run. Two signals sent at once could merge into one.
        earlier = drains(stopping)
        stopping.terminate()
        wait_until(lambda: drains(stopping) > earlier, "drain begins")
        stopping.terminate()
        print(f"second SIGTERM ends the entry with exit code {stopping.wait_end(20)}")
        slow.join()
        wait_until(lambda: fleet.held(decode) == 0,
                   "engine memory freed")
        print("engine memory freed")


main()
