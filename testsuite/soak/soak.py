#!/usr/bin/env python3
"""Randomized soak test: runs real routers under injected faults. Usage: soak.py --binary PATH --seed N [--minutes M]

Prints a summary and exits with 1 if a guarantee was violated; in that case the log folder is kept. The summary counts
the requests that planned stops have cut: LOST ones, excused ones, and others, which a stop does not answer for.

Further options: --routers N, --callers N, --faults NAMES (besides those of a run without the option: stop_young,
stop_with_signals, roll_repeatedly, move_route, store_return), --cpu-share S, --links, --varied-streams,
--full-engines, --workspaces on|off|odd, --keep-logs. Odd seeds run with workspaces, slow readers and backend servers
that tell their load; the faults of earlier odd seeds come with --workspaces off.
"""
import argparse
import asyncio
import os
import shutil
import signal
import sys
import tempfile
import time

from callers import Caller
from faults import Faults
from fleet import Fleet
from guarantees import GuaranteeChecker
from workspaces import Workspaces

RECOVERY_SECONDS = 6.0  # time without faults at the end, before recovery is checked
RECOVERED_SHARE = 0.9
STALL_SECONDS = 0.1


class Soak:
    """One run with a seed."""

    def __init__(self, options, folder):
        self.options = options
        self.fleet = Fleet(folder, options)
        self.guarantees = GuaranteeChecker()
        if options.workspaces == "on" or options.workspaces == "odd" and options.seed % 2:
            self.guarantees.workspaces = Workspaces(self.guarantees)
            self.fleet.tells_load = True
        self.faults = Faults(self.fleet, self.guarantees, options)
        self.longest_stall = 0.0

    async def watch_stalls(self):
        """Measures for how long this process, which runs the callers and the proxies, gets no processor time."""
        while True:
            begin = time.time()
            await asyncio.sleep(STALL_SECONDS)
            stall = time.time() - begin - STALL_SECONDS
            self.longest_stall = max(self.longest_stall, stall)
            if stall > STALL_SECONDS:
                self.fleet.log.write(f"{begin:.3f} soak stalled for {stall:.3f} s\n".encode())

    async def check_recovery(self):
        """Checks that at least RECOVERED_SHARE of the requests are served once the faults are over."""
        await asyncio.sleep(RECOVERY_SECONDS)
        begin = time.time()
        await asyncio.sleep(3.0)
        # While backend servers are full, requests are refused or end at the time limit of an attempt.
        good = (200, 502, 503, 504) if self.options.full_engines else (200,)
        requests = [sent for sent in self.guarantees.sent.values() if sent["sent_at"] > begin and "left_at" not in sent
                    and "status" in sent and sent["kind"] != "bad-part"
                    and (not self.guarantees.workspaces or self.guarantees.workspaces.is_served(sent))]
        served = sum(sent["status"] in good and sent["whole"] for sent in requests)
        if not requests or served < RECOVERED_SHARE * len(requests):
            self.guarantees.fail("recovery", f"{served} of {len(requests)} requests were served after the faults")

    async def run(self):
        """Runs the fleet, the callers and the faults, and checks all guarantees."""
        await self.fleet.start()
        stalls = asyncio.ensure_future(self.watch_stalls())
        await self.faults.write_config()
        await asyncio.sleep(1.5)
        end = time.time() + self.options.minutes * 60
        callers = [Caller(self.fleet, self.guarantees, self.options.seed * 1000 + number)
                   for number in range(self.options.callers)]
        self.faults.callers = callers
        work = [asyncio.ensure_future(caller.run()) for caller in callers]
        await asyncio.sleep(3.0)
        running = set()
        while time.time() < end:
            running.add(asyncio.ensure_future(self.faults.inject_fault()))
            await asyncio.sleep(self.faults.random.choice((0.2, 1.0, 2.0, 6.0)))
        await asyncio.gather(*running)
        await self.check_recovery()
        for caller in callers:
            caller.stopping = True
        await asyncio.gather(*work)
        for caller in callers:
            caller.disconnect()
        for process in [*self.fleet.routers.values()]:
            for code in process.exits:
                if code not in (0, -signal.SIGKILL):
                    self.guarantees.fail("exit", f"{process.name} ended with code {code}")
        self.guarantees.check_all(self.faults.is_fault_free)
        judged = self.guarantees.check_stops(self.faults.is_fault_free)
        self.guarantees.check_broken_streams(self.faults.is_fault_free, judged)
        if self.guarantees.workspaces:
            self.guarantees.workspaces.check_all(self.faults.faults, self.faults.is_fault_free,
                                                 self.options.full_engines)
        self.guarantees.check_crashes(self.faults.is_fault_free_but_crashes)
        for request, sent in self.guarantees.sent.items():
            if "cut_at" in sent:
                text = sent.get("judgement") or "without a stop: " \
                    f"{request} ({sent['kind']}) by {sent['router']}, sent {sent['sent_at']:.2f}, status " \
                    f"{sent['status']}, {self.guarantees.describe_runs(request, sent['sent_at'])}"
                self.fleet.log.write(f"{sent['cut_at']:.3f} soak cut {text}\n".encode())
        for backend in self.faults.drained_backends:
            await backend.end()
        stalls.cancel()
        await self.fleet.stop()


def main():
    """Parses the options, runs the soak test and prints the result. Returns the exit code."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--binary", required=True)
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--minutes", type=float, default=0.3)
    parser.add_argument("--routers", type=int, default=4)
    parser.add_argument("--callers", type=int, default=12)
    parser.add_argument("--faults", default="",
                        help="names of the faults to inject, separated by commas; default: those of older versions")
    parser.add_argument("--cpu-share", type=float, default=0, help="share of the time that each router runs")
    parser.add_argument("--links", action="store_true",
                        help="callers have link delays, read slowly, send bodies in pieces and requests at a stop")
    parser.add_argument("--varied-streams", action="store_true", help="streams of 1 to 9 s of unknown length")
    parser.add_argument("--full-engines", action="store_true", help="little memory and few slots: requests wait")
    parser.add_argument("--workspaces", choices=("on", "off", "odd"), default="odd",
                        help="whether the configuration has workspaces with API keys; odd: for odd seeds")
    parser.add_argument("--keep-logs", action="store_true")
    options = parser.parse_args()
    options.binary = os.path.abspath(options.binary)
    options.second_service = "move_route" in options.faults.split(",")
    folder = tempfile.mkdtemp(prefix=f"soak-{options.seed}-")
    soak = Soak(options, folder)
    asyncio.run(soak.run())
    counts = {f"{kind} {status}": count for (kind, status), count in sorted(soak.guarantees.counts.items(), key=str)}
    violations = soak.guarantees.violations
    if soak.guarantees.workspaces:
        counts["most limited requests in a window"] = soak.guarantees.workspaces.most_limited
    print(f"seed {options.seed}: {len(soak.guarantees.sent)} requests, {len(soak.faults.faults)} faults, "
          f"{len(violations)} guarantees violated; {soak.guarantees.summary_of_stops()}; "
          f"the test stalled for up to {soak.longest_stall:.2f} s")
    for line in violations[:10]:
        print(f"  {line}")
    print(f"  {counts}")
    if violations:
        for begin, end, what in soak.faults.faults:
            print(f"  fault {begin:.2f} to {end:.2f} {what}")
    if violations or options.keep_logs:
        print(f"  logs: {os.path.basename(folder)} in the temporary folder")
    else:
        shutil.rmtree(folder)
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
