#!/usr/bin/env python3
"""Runs the fuzzers. Usage: fuzz.py --build DIR [--seed N] [--seconds N | --inputs N] [NAME...]

Each fuzzer starts from the inputs in corpus/NAME and must not crash, hang or violate a property. Prints the number of
inputs of each one. Exits with 1 if one fails, after printing its report and the input. New inputs are not kept.
"""
import argparse
import os
import re
import subprocess
import sys
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(__file__))
MAX_INPUT_BYTES = 4096
INPUT_TIMEOUT_S = 10
MEMORY_MB = 2048
REPORT_LINES = 60


def run(options, name, folder):
    """Runs one fuzzer and prints the result. Returns whether it passed."""
    new_inputs = os.path.join(folder, name)
    os.mkdir(new_inputs)
    amount = [f"-runs={options.inputs}"] if options.inputs else [f"-max_total_time={options.seconds}"]
    command = [os.path.join(options.build, "testsuite/fuzz", f"{name}_fuzzer"), f"-seed={options.seed}",
               f"-max_len={MAX_INPUT_BYTES}", f"-timeout={INPUT_TIMEOUT_S}", f"-rss_limit_mb={MEMORY_MB}",
               f"-artifact_prefix={folder}/{name}-", *amount, new_inputs, os.path.join(HERE, "corpus", name)]
    begin = time.monotonic()
    done = subprocess.run(command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, errors="replace", check=False)
    seconds = time.monotonic() - begin
    inputs = re.findall(r"^#(\d+)", done.stdout, re.MULTILINE)
    covered = re.findall(r"cov: (\d+)", done.stdout)
    print(f"{name}: {inputs[-1] if inputs else 0} inputs, {seconds:.0f} s, {covered[-1] if covered else 0} edges,",
          "passed" if done.returncode == 0 else f"FAILED with exit code {done.returncode}", flush=True)
    if done.returncode != 0:
        print("\n".join(done.stdout.splitlines()[-REPORT_LINES:]))
        print(f"the input is in {folder}")
    return done.returncode == 0


def main():
    """Runs the fuzzers named on the command line, or all. Returns the exit code."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", required=True)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=int, default=3)
    parser.add_argument("--inputs", type=int, default=0)
    parser.add_argument("names", nargs="*")
    options = parser.parse_args()
    names = options.names or sorted(os.listdir(os.path.join(HERE, "corpus")))
    folder = tempfile.mkdtemp(prefix="fuzz-")
    passed = [run(options, name, folder) for name in names]
    return 0 if all(passed) else 1


if __name__ == "__main__":
    sys.exit(main())
