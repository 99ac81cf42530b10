"""The processes of a test fleet, and waiting for conditions with a timeout."""

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
    """A condition did not become true within its time limit."""


def wait_until(condition, what, limit=WAIT_LIMIT_S, period=0.02):
    """Polls until condition() returns a true value, and returns that value. Raises Timeout after limit seconds."""
    end = time.monotonic() + limit
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() >= end:
            raise Timeout(f"{what}: not true within {limit} s")
        time.sleep(period)


class Process:
    """A process started by the harness. Its output goes to a log file in the folder of the fleet."""

    def __init__(self, name, command, folder, address):
        self.name = name
        self.command = [str(part) for part in command]
        self.address = address
        self.log = pathlib.Path(folder) / f"{name}.log"
        with open(self.log, "ab") as log:
            # Started without a shell and a process group, so that each process can be ended by its own id.
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
        """Suspends the process with SIGSTOP until resume()."""
        os.kill(self.pid, signal.SIGSTOP)

    def resume(self):
        os.kill(self.pid, signal.SIGCONT)

    def terminate(self):
        """Sends SIGTERM without waiting."""
        if self.running():
            self.child.terminate()

    def wait_end(self, limit=WAIT_LIMIT_S):
        """Waits until the process ends and returns its exit code. Raises Timeout after limit seconds."""
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
        """Returns the counters of an emulator."""
        return send(self.address, "GET", "/counts").json()

    def fault(self, kind, **parameters):
        """Injects a fault into an emulator; docs/emulator.md lists the kinds."""
        return send(self.address, "POST", "/fault", {"kind": kind, **parameters})

    def clear_faults(self):
        return send(self.address, "DELETE", "/fault")


class Entry(Process):
    """An entry process with its caller, admin and gossip addresses."""

    def __init__(self, name, command, folder, caller, admin, gossip, zone):
        super().__init__(name, command, folder, caller)
        self.caller = caller
        self.admin = admin
        self.gossip = gossip
        self.zone = zone

    def ready(self):
        return self.running() and send(self.caller, "GET", "/readyz", timeout=5).status == 200
