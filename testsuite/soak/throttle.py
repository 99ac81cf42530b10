"""Lets processes run only for a share of the time. Usage: throttle.py SHARE

Reads commands from the standard input: "add PID", "hold PID" (stays suspended) and "free PID". Processes are signalled
through descriptors, since an id could belong to another process after the end of the first.
"""
import heapq
import itertools
import os
import random
import select
import signal
import sys
import time

PERIOD_SECONDS = 0.1


class Throttle:
    """The processes, and when each is resumed or suspended next."""

    def __init__(self, share):
        self.run_seconds = share * PERIOD_SECONDS
        self.descriptors, self.held = {}, set()
        self.order = itertools.count()
        self.due = []  # heap of (time, order, pid, whether it resumes)

    def signal(self, pid, number):
        """Sends a signal. Returns whether the process still runs."""
        try:
            signal.pidfd_send_signal(self.descriptors[pid], number)
            return True
        except (KeyError, ProcessLookupError):
            return False

    def obey(self, command, pid):
        """Executes a command."""
        if command == "add":
            try:
                self.descriptors[pid] = os.pidfd_open(pid)
            except ProcessLookupError:
                return
            start = time.monotonic() + random.random() * PERIOD_SECONDS
            heapq.heappush(self.due, (start, next(self.order), pid, False))
        elif command == "hold":
            self.held.add(pid)
            self.signal(pid, signal.SIGSTOP)
        else:
            self.held.discard(pid)
            self.signal(pid, signal.SIGCONT)

    def step(self):
        """Resumes or suspends the process that is due."""
        at, _, pid, resume = heapq.heappop(self.due)
        if pid not in self.held and not self.signal(pid, signal.SIGCONT if resume else signal.SIGSTOP):
            if pid in self.descriptors:
                os.close(self.descriptors.pop(pid))
            return
        pause = self.run_seconds if resume else PERIOD_SECONDS - self.run_seconds
        heapq.heappush(self.due, (max(at, time.monotonic() - PERIOD_SECONDS) + pause, next(self.order), pid,
                                  not resume))

    def run(self):
        """Works until the standard input ends."""
        while True:
            wait = max(0, self.due[0][0] - time.monotonic()) if self.due else 1
            if select.select([0], [], [], wait)[0]:
                text = os.read(0, 65536).decode()
                while text and not text.endswith("\n"):
                    text += os.read(0, 65536).decode()
                if not text:
                    break
                for line in text.splitlines():
                    command, pid = line.split()
                    self.obey(command, int(pid))
            elif self.due:
                self.step()
        for pid in list(self.descriptors):
            self.signal(pid, signal.SIGCONT)


Throttle(float(sys.argv[1])).run()
