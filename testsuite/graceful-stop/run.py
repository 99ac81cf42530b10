#!/usr/bin/env python3
"""A planned stop cuts no request: every entry is replaced in turn under load, and no request fails.

Guards against an entry that stops while callers still hold its address, and against streams and bookings that it cuts.
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
    """Callers that ask for an entry address, keep it as long as they are told, and count what fails."""

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
        """Returns (address, ticket, end of the time that the address may be kept)."""
        for entry in self.fleet.entries:
            asked = time.monotonic()
            answer = send(entry.caller, "GET", f"/v1/entry?workspace=acme&session={number}", timeout=5).json()
            if "address" in answer:
                return answer["address"], answer["ticket"], asked + answer["keep_seconds"]
        return None

    def run(self, number):
        held = None
        turn = 0
        while not self.stop.is_set():
            if held is None or time.monotonic() >= held[2]:
                held = self.ask(number)
                continue
            turn += 1
            if turn % 3 == 0:
                _, ticket, _ = self.ask(number) or held
                reply = send(held[0], "POST", "/services/bookings/visit", {"n": turn},
                             {"Workspace": "acme", "Idempotency-Key": ticket})
                good = reply.status == 200
            else:
                reply = stream(held[0], "/v1/completions", {"model": "model", "prompt": f"caller {number} {turn}",
                                                            "max_tokens": 40, "stream": True}, {"Workspace": "acme"})
                good = reply.status == 200 and reply.ended
            with self.lock:
                self.done += 1
                if not good:
                    self.failures.append(f"{held[0]} {reply.status} {reply.outcome} {reply.error} {reply.body[:200]} {getattr(reply, 'events', [])[-1:]}")

    def end(self):
        self.stop.set()
        for thread in self.threads:
            thread.join()


def drains(entry):
    """Returns how many drains the entry has logged."""
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

        # These outlast the wait for the kept answers (3 s), so the entry itself has to wait for them.
        leaving = fleet.entries[1]
        with ThreadPoolExecutor(2) as pool:
            long_stream = pool.submit(fleet.complete, "long stream", 400, entry=leaving, streamed=True)
            long_answer = pool.submit(fleet.complete, "long answer", 400, entry=leaving)
            wait_until(lambda: fleet.held(decode) == 2, "both run")
            leaving.terminate()
            print(f"planned stop during long requests: exit code {leaving.wait_end()}")
            print(f"long stream: {'whole' if long_stream.result().ended else 'CUT'}, "
                  f"long answer: {long_answer.result().status}")

        held = fleet.entries[0]
        slow = threading.Thread(target=fleet.complete, args=("slow", 4000), kwargs={"entry": held})
        slow.start()
        wait_until(lambda: fleet.held(decode) > 0, "stream runs")
        # The log also holds the drain of the entry's earlier run, and two signals at once would count as one.
        earlier = drains(held)
        held.terminate()
        wait_until(lambda: drains(held) > earlier, "drain begins")
        held.terminate()
        print(f"second SIGTERM ends the entry with exit code {held.wait_end(20)}")
        slow.join()
        wait_until(lambda: fleet.held(decode) == 0,
                   "engine memory freed")
        print("engine memory freed")


main()
