#!/usr/bin/env python3
"""Runs every golden session in testsuite/NAME/run.py and compares its output with ref/out.txt."""

import argparse
import concurrent.futures
import difflib
import pathlib
import subprocess
import sys

SESSION_TIMEOUT_S = 300
PARALLEL_SESSIONS = 3  # Sessions mostly wait, so running a few at once does not overload the machine.
STOP_TIMEOUT_S = 20


def stop_session(process):
    """Ends a session that has timed out and returns a description. On SIGTERM, the harness ends its processes."""
    process.terminate()
    try:
        output, errors = process.communicate(timeout=STOP_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        output, errors = process.communicate()
    return f"timed out after {SESSION_TIMEOUT_S} s\n{output[-3000:]}\n{errors[-3000:]}"


def run_session(folder, build):
    """Runs the session in folder. Returns a description of its failure, or an empty string if it passed."""
    process = subprocess.Popen([sys.executable, str(folder / "run.py"), "--build", str(build)], stdout=subprocess.PIPE,
                               stderr=subprocess.PIPE, text=True)
    try:
        output, errors = process.communicate(timeout=SESSION_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        return stop_session(process)
    reference = folder / "ref" / "out.txt"
    if not reference.exists():
        return f"{reference.relative_to(folder)} is missing; the session printed:\n{output[-3000:]}"
    expected = reference.read_text()
    if process.returncode != 0:
        return f"exit code {process.returncode}\n{output[-3000:]}\n{errors[-3000:]}"
    if output == expected:
        return ""
    return "".join(difflib.unified_diff(expected.splitlines(True), output.splitlines(True), "ref", "out"))


def known_failures(root):
    """Returns the names of the sessions that KNOWN-RED.txt lists as known failures, in lines `session NAME`."""
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
    known = known_failures(suite.parent)
    folders = sorted(path.parent for path in suite.glob("*/run.py"))
    if arguments.names:
        folders = [folder for folder in folders if folder.name in arguments.names]
    passed = failed = 0
    with concurrent.futures.ThreadPoolExecutor(PARALLEL_SESSIONS) as pool:
        problems = pool.map(lambda folder: run_session(folder, build), folders)
        for folder, problem in zip(folders, problems):
            if not problem:
                passed += 1
                print(f"ok        {folder.name}", flush=True)
            elif folder.name in known:
                print(f"known red {folder.name}\n{problem}", flush=True)
            else:
                failed += 1
                print(f"FAILED    {folder.name}\n{problem}", flush=True)
    print(f"{passed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
