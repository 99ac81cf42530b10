#!/usr/bin/env python3
"""Shows which requests lower the worth of a simulated day, from a report written by the users' own test bench.

The test bench is not part of this repository. Its program is called fleetbench too, but it is not the one built from
src/fleet/fleetbench.cpp. Write a report with `fleetbench run SITE DAY --report FILE` of the test bench.

usage: credit.py REPORT [--svg FILE] [--window SECONDS]
"""

import argparse
import json
import sys

OUTCOMES = [("in_aim", "in time", "#4a9d5b"), ("late", "late", "#e0b040"),
            ("refused", "refused", "#c76b3a"), ("failed", "failed", "#a83232")]


def merged(windows, seconds):
    """Combines the windows of the report into windows of the given length. Returns a dict from begin to sums."""
    result = {}
    for window in windows:
        begin = int(float(window["name"]) // seconds * seconds)
        sums = result.setdefault(begin, {key: 0 for key, _, _ in OUTCOMES} | {"n": 0, "lost": 0.0})
        for key in [key for key, _, _ in OUTCOMES] + ["n"]:
            sums[key] += window[key]
        sums["lost"] += window["n"] * (1 - window["worth"])
    return dict(sorted(result.items()))


def print_rows(title, rows):
    """Prints a table of named rows with the number of requests by outcome and the worth lost."""
    print(f"{title:<16}{'requests':>9}" + "".join(f"{name:>9}" for _, name, _ in OUTCOMES) + f"{'lost':>9}")
    for name, row in rows:
        lost = row.get("lost", row["n"] * (1 - row.get("worth", 0)))
        print(f"{name!s:<16}{row['n']:>9}" + "".join(f"{row[key]:>9}" for key, _, _ in OUTCOMES) + f"{lost:>9.0f}")
    print()


def svg(windows, prices):
    """Returns an SVG image: a bar chart of the outcomes over time, and one of the prices below it."""
    width, height, bar = 720, 240, 18
    most = max((row["n"] for row in windows.values()), default=1) or 1
    step = width / max(1, len(windows))
    parts = []
    for place, (begin, row) in enumerate(windows.items()):
        top = height
        for key, name, colour in OUTCOMES:
            size = row[key] / most * height
            top -= size
            parts.append(f'<rect x="{place * step:.1f}" y="{top:.1f}" width="{step * 0.9:.1f}" height="{size:.1f}" '
                         f'fill="{colour}"><title>{begin} s: {row[key]} {name}</title></rect>')
        parts.append(f'<text x="{place * step:.1f}" y="{height + 14}">{begin}</text>')
    for place, (_, name, colour) in enumerate(OUTCOMES):
        parts.append(f'<text x="{place * 110}" y="{height + 36}" fill="{colour}">{name}</text>')
    largest = max((price for _, price in prices), default=1) or 1
    for place, (name, price) in enumerate(prices):
        y = height + 50 + place * bar
        parts.append(f'<rect x="300" y="{y}" width="{price / largest * 380:.1f}" height="{bar - 4}" fill="#6b7fa8"/>')
        parts.append(f'<text x="0" y="{y + 11}">{name}: {price:.4f}</text>')
    total = height + 60 + len(prices) * bar
    return (f'<svg xmlns="http://www.w3.org/2000/svg" width="{width}" height="{total}" font-family="sans-serif" '
            f'font-size="11">' + "".join(parts) + "</svg>\n")


def main(arguments):
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("report")
    parser.add_argument("--svg", help="file for an SVG image")
    parser.add_argument("--window", type=int, default=10, help="length of a window in seconds (default: 10)")
    options = parser.parse_args(arguments)
    if options.window <= 0:
        parser.error("--window must be above 0")
    try:
        with open(options.report, encoding="utf-8") as file:
            report = json.load(file)
        windows = merged(report["windows"], options.window)
        prices = sorted(([name, price] for name, _, price in report["prices"] if price > 0.0005),
                        key=lambda item: -item[1])
        print(f"worth {report['G']:.3f}: " + ", ".join(f"{name} {value:.3f} x {weight}"
                                                       for name, weight, value in report["parts"])
              + f", prices {sum(price for _, price in prices):.3f}\n")
        print_rows("kind of request", [(row["name"], row) for row in report["classes"]])
        print_rows("zone", [(row["name"], row) for row in report["zones"]])
        print_rows("from second", windows.items())
        for name, price in prices:
            print(f"{price:8.4f}  {name}")
    except (OSError, ValueError, KeyError) as fault:
        print(f"credit.py: {options.report}: not a valid report: {fault!r}", file=sys.stderr)
        return 1
    if options.svg:
        with open(options.svg, "w", encoding="utf-8") as file:
            file.write(svg(windows, prices))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
