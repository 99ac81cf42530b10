"""The processes of a test fleet, and waiting for what they do."""

import contextlib
import json
import os
import pathlib
import signal
import subprocess
import time

from client import send

WAIT_LIMIT_S = 60


class Timeout(Exception):
    """An awaited event did not come within its limit."""


def wait_until(condition, what, limit=WAIT_LIMIT_S, period=0.02):
    """Polls until condition() returns a true value, and returns it."""
    end = time.monotonic() + limit
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() >= end:
            raise Timeout(f"{what}: not seen within {limit} s")
        time.sleep(period)


class Process:
    """A process that the harness started. Its output goes to a file in the fleet's folder."""

    def __init__(self, name, command, folder, address):
        self.name = name
        self.command = [str(part) for part in command]
        self.address = address
        self.log = pathlib.Path(folder) / f"{name}.log"
        with open(self.log, "ab") as log:
            # No shell and no group: each process is ended by its own id.
            self.child = subprocess.Popen(self.command, stdin=subprocess.DEVNULL, stdout=log, stderr=log, cwd=folder)

    @property
    def pid(self):
        return self.child.pid

    def running(self):
        return self.child.poll() is None

    def kill(self):
        """Ends the process at once with SIGKILL."""
        if self.running():
            self.child.kill()
        self.child.wait(WAIT_LIMIT_S)

    def freeze(self):
        os.kill(self.pid, signal.SIGSTOP)

    def resume(self):
        os.kill(self.pid, signal.SIGCONT)

    def terminate(self):
        """Sends SIGTERM without waiting."""
        if self.running():
            self.child.terminate()

    def wait_end(self, limit=WAIT_LIMIT_S):
        """Waits for the end of the process and returns its exit code."""
        try:
            return self.child.wait(limit)
        except subprocess.TimeoutExpired:
            raise Timeout(f"{self.name} did not end within {limit} s") from None

    def log_lines(self):
        """Returns the JSON lines that the process has logged."""
        lines = []
        for line in self.log.read_text(errors="replace").splitlines():
            with contextlib.suppress(ValueError):
                lines.append(json.loads(line))
        return [line for line in lines if isinstance(line, dict)]

    def counts(self):
        return send(self.address, "GET", "/counts").json()

    def fault(self, kind, **parameters):
        """Gives a stand-in a fault; docs/emulator.md lists the kinds."""
        return send(self.address, "POST", "/fault", {"kind": kind, **parameters})

    def clear_faults(self):
        return send(self.address, "DELETE", "/fault")


class Entry(Process):
    """An entry process with its three addresses."""

    def __init__(self, name, command, folder, caller, admin, gossip, zone):
        super().__init__(name, command, folder, caller)
        self.caller = caller
        self.admin = admin
        self.gossip = gossip
        self.zone = zone

    def ready(self):
        return self.running() and send(self.caller, "GET", "/readyz", timeout=5).status == 200
