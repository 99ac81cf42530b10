#!/usr/bin/env python3
"""Measures goodput and wasted prefills at 0.7, 1.0 and 1.5 times the computed capacity and in a retry storm.

The capacity is computed from the flags of the emulated engines: a prefill engine processes one token at a time, a
decode engine holds a limited number of requests and slows down as its batch grows. Prints a table in Markdown.
"""

import argparse
import dataclasses
import json
import math
import os
import pathlib
import sys
import time

from harness import Fleet, Timeout, wait_until

MODEL = "model"
BETWEEN_TARGET_S = 0.074
FIRST_TARGET_S = 0.42
STORM_BASE = 0.7
STORM_EXTRA = 1.3
WARM_UP_S = 2
RECOVERED_SHARE = 0.9


@dataclasses.dataclass(frozen=True)
class Shape:
    """The size of the fleet and the parameters of its engines and requests. Lengths are in tokens."""

    prefill: int = 4
    decode: int = 8
    entries: int = 4
    slots: int = 20
    micros_per_token: float = 25
    pace_us: int = 20000
    pace_slope_us: int = 1000
    prompt_min: int = 100
    prompt_max: int = 4000
    output_min: int = 16
    output_max: int = 64
    seconds: int = 20
    before_storm_seconds: int = 10
    storm_seconds: int = 10
    after_storm_seconds: int = 20


SHORT = Shape(prefill=2, decode=3, entries=3, seconds=8, before_storm_seconds=6, storm_seconds=4,
              after_storm_seconds=12)


def log_uniform_mean(low, high):
    """Returns the mean of a log-uniform distribution between low and high."""
    return (high - low) / math.log(high / low)


def capacity(shape):
    """Returns the rates in requests per second that the prefill and the decode engines can sustain."""
    prefill_s = log_uniform_mean(shape.prompt_min, shape.prompt_max) * shape.micros_per_token / 1e6
    step_s = (shape.pace_us + (shape.slots - 1) * shape.pace_slope_us) / 1e6
    # A slot is held from the start of the prefill until the last output.
    held_s = prefill_s + log_uniform_mean(shape.output_min, shape.output_max) * step_s
    return shape.prefill / prefill_s, shape.decode * shape.slots / held_s


@dataclasses.dataclass
class Result:
    """The measurements of one run. Rates are per second, after the warm-up; in a storm, during the storm."""

    case: str
    seed: int
    offered: float
    goodput: float  # By arrival of the requests; the time to first output includes their retries.
    attempt_goodput: float  # By end of the requests; the time to first output is that of the last attempt.
    waste: float  # The share of finished prefills whose result was never used.
    prefills: int
    reports: list  # The "model" member of the report of each load generator.
    recovery_s: float = -1  # Time until goodput has recovered after a storm; -1 if it has not.

    def total(self, member):
        return sum(report[member] for report in self.reports)

    def outcomes(self):
        names = sorted({name for report in self.reports for name in report["outcomes"]})
        return {name: sum(report["outcomes"].get(name, 0) for report in self.reports) for name in names}


def rate(series, begin, end):
    """Returns the mean of a list of counts per second from second begin to second end."""
    return sum(series[begin:end]) / (end - begin)


class Bench:
    def __init__(self, build, shape):
        self.build = build
        self.shape = shape
        self.capacity = min(capacity(shape))

    def fleet(self):
        return Fleet(self.build)

    def start(self, fleet):
        shape = self.shape
        fleet.start_platform()
        engines = fleet.start_engines(
            shape.prefill, shape.decode, model=MODEL, slots=shape.slots,
            prefill_flags={"micros_per_token": shape.micros_per_token},
            decode_flags={"pace": shape.pace_us, "pace_slope": shape.pace_slope_us})
        fleet.start_entries(shape.entries)
        return engines

    def start_load(self, fleet, name, per_second, seconds, seed, **flags):
        """Starts a load generator; finish_load() returns its report."""
        shape = self.shape
        values = {"entries": ",".join(entry.caller for entry in fleet.entries), "model": MODEL, "rate": per_second,
                  "duration": seconds, "seed": seed, "prompt-min": shape.prompt_min, "prompt-max": shape.prompt_max,
                  "output-min": shape.output_min, "output-max": shape.output_max,
                  "first-target": round(FIRST_TARGET_S * 1000), "between-target": round(BETWEEN_TARGET_S * 1000),
                  "report": pathlib.Path(fleet.folder) / f"{name}.json", **flags}
        return fleet.start_process(name, "load", [f"--{key}={value}" for key, value in values.items()])

    def finish_load(self, fleet, process, seconds):
        code = process.wait_end(seconds + 120)
        if code != 0:
            raise RuntimeError(f"{process.name} ended with code {code}")
        return json.loads((pathlib.Path(fleet.folder) / f"{process.name}.json").read_text())

    def waste(self, fleet, engines):
        """Waits until no engine holds a request. Returns the share of finished prefills whose result was never used,
        and the number of finished prefills."""
        prefill, decode = engines
        wait_until(lambda: fleet.held(prefill + decode) == 0, "engine memory is free")
        counts = [engine.counts() for engine in prefill]
        done = sum(one["prefills"] for one in counts)
        return (done - sum(one["used"] for one in counts)) / max(1, done), done

    def steady(self, share, seed):
        """Runs at a constant share of the capacity. Callers retry once."""
        seconds = self.shape.seconds
        with self.fleet() as fleet:
            engines = self.start(fleet)
            load = self.start_load(fleet, "load", share * self.capacity, seconds, seed, retries=1)
            report = self.finish_load(fleet, load, seconds)["model"]
            waste, prefills = self.waste(fleet, engines)
        return Result(f"{share:.1f}", seed, rate(report["arrivals_by_second"], WARM_UP_S, seconds),
                      rate(report["good_by_arrival"], WARM_UP_S, seconds),
                      rate(report["good_from_last_attempt_by_end"], WARM_UP_S, seconds), waste, prefills, [report])

    def storm(self, seed):
        """Runs at STORM_BASE of the capacity and adds STORM_EXTRA for the middle part. All callers have a short timeout
        and retry often."""
        shape = self.shape
        begin = shape.before_storm_seconds
        end = begin + shape.storm_seconds
        seconds = end + shape.after_storm_seconds
        caller_flags = {"retries": 8, "patience": 600, "retry-delay": 50}
        with self.fleet() as fleet:
            engines = self.start(fleet)
            load = self.start_load(fleet, "base", STORM_BASE * self.capacity, seconds, seed, **caller_flags)
            time.sleep(begin)
            extra = self.start_load(fleet, "storm", STORM_EXTRA * self.capacity, shape.storm_seconds, seed + 1000,
                                    **caller_flags)
            storm = self.finish_load(fleet, extra, shape.storm_seconds)["model"]
            base = self.finish_load(fleet, load, seconds)["model"]
            waste, prefills = self.waste(fleet, engines)

        def during(member):
            return rate(base[member], begin, end) + rate(storm[member], 0, shape.storm_seconds)
        result = Result("storm", seed, during("arrivals_by_second"), during("good_by_arrival"),
                        during("good_from_last_attempt_by_end"), waste, prefills, [base, storm])
        result.recovery_s = recovery(base["good_by_end"], begin, end)
        return result


def recovery(series, before, end):
    """Returns the seconds from the end of the storm until the mean goodput over 3 s has recovered to RECOVERED_SHARE of
    that before the storm; -1 if it has not."""
    usual = rate(series, WARM_UP_S, before)
    for second in range(end, len(series) - 2):
        if rate(series, second, second + 3) >= RECOVERED_SHARE * usual:
            return second - end
    return -1


def row(result, bound):
    outcomes = ", ".join(f"{name} {count}" for name, count in result.outcomes().items())
    first, between = result.reports[-1]["first_output_s"], result.reports[-1]["between_outputs_s"]
    recovered = "-"
    if result.case == "storm":
        recovered = f"{result.recovery_s} s" if result.recovery_s >= 0 else "not seen"
    return (f"| {result.case} | {result.seed} | {result.offered:.1f} | {result.goodput:.1f} | "
            f"{100 * result.goodput / bound:.0f}% | {result.attempt_goodput:.1f} | "
            f"{100 * result.waste:.1f}% of {result.prefills} | {first.get('p50', 0):.3f} / {first.get('p95', 0):.3f} | "
            f"{1000 * between.get('p95', 0):.0f} | {result.total('requests')} + {result.total('retries')} | "
            f"{recovered} | {outcomes} |")


def table(results, rates, load_average):
    best = min(rates)
    lines = [f"Computed capacity: prefill engines {rates[0]:.1f}/s, decode engines {rates[1]:.1f}/s; the bound is the "
             f"smaller of {best:.1f}/s and the offered rate. Goodput is of the requests that arrived per second and "
             "measures the time to first output from the arrival, retries included. Attempt goodput is of the requests "
             "that ended per second and measures it from the start of the last attempt. Load average of the machine "
             f"when the runs began: {load_average:.1f} on {os.cpu_count()} processors.", "",
             "| load | seed | offered/s | goodput/s | of bound | attempt goodput/s | wasted prefill | "
             "first output p50 / p95, s | between outputs p95, ms | requests + retries | recovery | outcomes |",
             "|" + "---|" * 12]
    lines += [row(result, min(best, result.offered)) for result in results]
    return "\n".join(lines) + "\n"


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", required=True)
    parser.add_argument("--short", action="store_true", help="one seed, a small fleet and short runs")
    parser.add_argument("--cases", default="0.7,1.0,1.5,storm")
    parser.add_argument("--seeds", default="")
    parser.add_argument("--out", default="", help="file for the table, besides standard output")
    arguments = parser.parse_args()
    shape = SHORT if arguments.short else Shape()
    seeds = [int(one) for one in (arguments.seeds or ("1" if arguments.short else "1,2,3")).split(",")]
    bench = Bench(arguments.build, shape)
    load_average = os.getloadavg()[0]
    results = []
    failed = 0
    for case in arguments.cases.split(","):
        for seed in seeds:
            try:
                result = bench.storm(seed) if case == "storm" else bench.steady(float(case), seed)
            except (Timeout, RuntimeError) as fault:
                print(f"{case}, seed {seed}: {fault}", file=sys.stderr, flush=True)
                failed += 1
                continue
            results.append(result)
            print(f"{case}, seed {seed}: goodput {result.goodput:.1f}/s, wasted prefill {100 * result.waste:.1f}%",
                  file=sys.stderr, flush=True)
    text = table(results, capacity(shape), load_average)
    print(text)
    if arguments.out:
        pathlib.Path(arguments.out).write_text(text)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
