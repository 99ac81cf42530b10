#!/usr/bin/env python3
"""Runs every golden session in testsuite/NAME/run.py and compares its output with ref/out.txt."""

import argparse
import difflib
import pathlib
import subprocess
import sys

SESSION_TIMEOUT_S = 120


def run_session(folder, build):
    """Returns the problem that the session in folder showed, or an empty text."""
    try:
        done = subprocess.run([sys.executable, str(folder / "run.py"), "--build", str(build)], capture_output=True,
                              text=True, timeout=SESSION_TIMEOUT_S, check=False)
    except subprocess.TimeoutExpired:
        return f"no end within {SESSION_TIMEOUT_S} s"
    reference = folder / "ref" / "out.txt"
    if not reference.exists():
        return f"{reference.relative_to(folder)} is missing; the session printed:\n{done.stdout[-3000:]}"
    wanted = reference.read_text()
    if done.returncode != 0:
        return f"exit code {done.returncode}\n{done.stdout[-3000:]}\n{done.stderr[-3000:]}"
    if done.stdout == wanted:
        return ""
    return "".join(difflib.unified_diff(wanted.splitlines(True), done.stdout.splitlines(True), "ref", "out"))


def known_red(root):
    """Returns the names of the sessions that KNOWN-RED.txt lists (its lines start with `session NAME`)."""
    path = root / "KNOWN-RED.txt"
    lines = path.read_text().splitlines() if path.exists() else []
    return {line.split()[1].rstrip(",:") for line in lines if line.startswith("session ")}


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", required=True)
    parser.add_argument("names", nargs="*")
    arguments = parser.parse_args()
    suite = pathlib.Path(__file__).resolve().parent
    build = pathlib.Path(arguments.build).resolve()
    red = known_red(suite.parent)
    folders = sorted(path.parent for path in suite.glob("*/run.py"))
    if arguments.names:
        folders = [folder for folder in folders if folder.name in arguments.names]
    passed = failed = 0
    for folder in folders:
        problem = run_session(folder, build)
        if not problem:
            passed += 1
            print(f"ok        {folder.name}", flush=True)
        elif folder.name in red:
            print(f"known red {folder.name}\n{problem}", flush=True)
        else:
            failed += 1
            print(f"FAILED    {folder.name}\n{problem}", flush=True)
    print(f"{passed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
