#!/usr/bin/env python3
"""Measures the resource use of an entry process and prints the table for docs/CAPACITY.md.

Idle fleets of several sizes give the cost per member and per engine; a fixed fleet at several request rates gives the
cost per request and per output token. Processor time is read from /proc, bytes and calls from the entries' metrics.
"""

import os
import pathlib
import subprocess
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
from harness import Fleet, build_argument, send  # noqa: E402

SETTLE_S = 4
WINDOW_S = 8
TICKS = os.sysconf("SC_CLK_TCK")
PAGE = os.sysconf("SC_PAGE_SIZE")


def cpu_seconds(process):
    fields = pathlib.Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident_mb(process):
    return int(pathlib.Path(f"/proc/{process.pid}/statm").read_text().split()[1]) * PAGE / 1e6


def metric(entry, *parts):
    """Returns the sum of the entry's metrics whose line contains all parts."""
    text = send(entry.admin, "GET", "/metrics").body.decode()
    return sum(float(line.rsplit(" ", 1)[1]) for line in text.splitlines()
               if not line.startswith("#") and all(part in line for part in parts))


def sample(entries):
    """Returns the processor seconds, sent datagram bytes and key-value calls of each entry so far."""
    return [(cpu_seconds(entry), metric(entry, "cyclamencross_datagram_bytes_total", "sent"),
             metric(entry, "cyclamencross_keyvalue_calls_total"))
            for entry in entries]


def rates(before, after, seconds):
    """Returns the means per entry and second of the processor seconds, datagram bytes and key-value calls."""
    count = len(before) * seconds
    return [sum(now[i] - then[i] for then, now in zip(before, after)) / count for i in range(3)]


def idle(build, entries, engines):
    """Prints the table row of a fleet without requests."""
    with Fleet(build) as fleet:
        fleet.start_platform()
        fleet.start_engines(prefill=engines // 2, decode=engines // 2)
        started = fleet.start_entries(entries)
        time.sleep(SETTLE_S)
        before = sample(started)
        time.sleep(WINDOW_S)
        cpu, sent, calls = rates(before, sample(started), WINDOW_S)
        memory = sum(resident_mb(entry) for entry in started) / entries
        print(f"| idle | {entries} | {engines} | 0 | {cpu * 1e6:.0f} | {sent:.0f} | {calls:.2f} | {memory:.1f} |",
              flush=True)


def loaded(build, rate, tokens):
    """Prints the table row of a fleet under load."""
    entries, engines = 8, 12
    with Fleet(build) as fleet:
        fleet.start_platform()
        fleet.start_engines(prefill=6, decode=6)
        started = fleet.start_entries(entries)
        time.sleep(SETTLE_S)
        before = sample(started)
        command = [str(fleet.build / "src" / "cyclamencross-emu"), "load", f"--rate={rate}", f"--duration={WINDOW_S}",
                   "--entries=" + ",".join(entry.caller for entry in started), f"--output-min={tokens}",
                   f"--output-max={tokens}", "--prompt-min=200", "--prompt-max=2000"]
        subprocess.run(command, capture_output=True, timeout=120, check=True)
        # The load generator ends after the last request. All work counts for the window in which the requests arrived.
        cpu, sent, calls = rates(before, sample(started), WINDOW_S)
        memory = sum(resident_mb(entry) for entry in started) / entries
        print(f"| {tokens} tokens a request | {entries} | {engines} | {rate} | {cpu * 1e6:.0f} | {sent:.0f} | "
              f"{calls:.2f} | {memory:.1f} |",
              flush=True)


def main():
    build = build_argument()
    print("| fleet | entries | engines | total requests/s | processor, us per entry and s | datagram bytes sent per "
          "entry and s | key-value calls per entry and s | resident MB per entry |")
    print("|---|---|---|---|---|---|---|---|")
    for entries, engines in ((4, 12), (16, 12), (48, 12), (16, 24), (16, 48)):
        idle(build, entries, engines)
    for rate, tokens in ((10, 24), (40, 24), (80, 24), (40, 48), (40, 96)):
        loaded(build, rate, tokens)


main()
