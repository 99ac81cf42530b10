"""Starts the emulators and the entries of a test fleet, sends requests to them, and ends every process it started.

    with Fleet(build) as fleet:
        fleet.start_platform()
        fleet.start_engines(prefill=2, decode=2)
        fleet.start_entries(3)
        reply = fleet.complete("a prompt", max_tokens=8)

Every wait polls for an observable condition with a generous limit, so that a busy machine makes a test slow but does
not make it fail.
"""

import argparse
import base64
import itertools
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile

from client import Reply, Stream, event_text, expected_text, prompt_tag, send, stream  # noqa: F401
from process import WAIT_LIMIT_S, Entry, Process, Timeout, wait_until  # noqa: F401

FIRST_PORT = 10000
PORT_COUNT = 20000
PORTS_PER_PROCESS = 977  # test programs that run at the same time begin at different ports
port_numbers = itertools.count(os.getpid() % PORT_COUNT * PORTS_PER_PROCESS)
SHARED_KEY = "loopback-test-key-0123456789abcdef"


def free_ports(count, kind=socket.SOCK_STREAM):
    """Returns distinct loopback ports that are currently free and that this process has not returned before.

    They lie below the range from which the kernel takes the ports of outgoing connections. Otherwise a connection of
    another process could take a port before the process that is meant to listen on it starts or restarts.
    """
    sockets = []
    try:
        while len(sockets) < count:
            one = socket.socket(socket.AF_INET, kind)
            try:
                one.bind(("127.0.0.1", FIRST_PORT + next(port_numbers) % PORT_COUNT))
                sockets.append(one)
            except OSError:
                one.close()
        return [one.getsockname()[1] for one in sockets]
    finally:
        for one in sockets:
            one.close()


class Fleet:
    """A platform, engines, services and entries on loopback addresses. Use it as a context manager: on leaving, all
    processes are ended, and after an exception the ends of their logs are printed."""

    def __init__(self, build, zones=("a", "b", "c")):
        self.build = pathlib.Path(build).resolve()
        self.zones = zones
        self.processes = []
        self.entries = []
        self.hosts = []
        self.platform = None
        self.folder = None

    def __enter__(self):
        # Without a handler, SIGTERM would end the session but not the processes that it started.
        signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(128 + number))
        self.folder = tempfile.mkdtemp(prefix="cyclamencross-test-")
        return self

    def __exit__(self, kind, fault, trace):
        if kind is not None:
            self.show_logs()
        self.stop()
        shutil.rmtree(self.folder, ignore_errors=True)

    def stop(self):
        """Ends every process that this fleet started."""
        for process in self.processes:
            process.kill()

    def show_logs(self, lines=15):
        for process in self.processes:
            tail = process.log.read_text(errors="replace").splitlines()[-lines:]
            print(f"--- {process.name} (exit code {process.child.poll()})", *tail, sep="\n", file=sys.stderr)

    # Emulators

    def start_emulator(self, command, label, address=None, **flags):
        """Starts an emulator and waits until it answers. A flag slots=5 is passed as --slots=5; without an address, a
        free port is used."""
        address = address or f"127.0.0.1:{free_ports(1)[0]}"
        arguments = [f"--{key.replace('_', '-')}={value}" for key, value in flags.items()]
        process = self.start_process(label, command, [f"--listen={address}", *arguments], address)
        self.wait_until_answering(process)
        return process

    def start_process(self, label, command, arguments, address=""):
        """Starts a subcommand of cyclamencross-emu without waiting until it answers."""
        process = Process(label, [self.build / "src" / "cyclamencross-emu", command, *arguments], self.folder, address)
        self.processes.append(process)
        return process

    def wait_until_answering(self, process):
        def answers():
            if not process.running():
                raise RuntimeError(f"{process.name} ended with code {process.child.returncode}")
            return send(process.address, "GET", "/counts", timeout=5).status == 200
        wait_until(answers, f"{process.name} answers")

    def start_platform(self, **flags):
        self.platform = self.start_emulator("platform", "platform", **flags)
        return self.platform

    def start_engine(self, role, name, model="model", pool="engines", zone=None, **flags):
        """Starts an engine and adds it to the host list, which set_hosts() publishes."""
        process = self.start_emulator("engine", name, role=role, model=model, **flags)
        self.hosts.append({"address": process.address, "kind": "engine", "pool": pool, "model": model, "role": role,
                           "zone": zone or self.next_zone(), "state": "live",
                           "checks_orders": flags.get("fencing", "check") == "check"})
        return process

    def start_engines(self, prefill, decode, prefill_flags=None, decode_flags=None, **common):
        """Starts engines, publishes the host list and returns them as (prefill engines, decode engines)."""
        first = [self.start_engine("prefill", f"prefill{n}", **common, **(prefill_flags or {})) for n in range(prefill)]
        second = [self.start_engine("decode", f"decode{n}", **common, **(decode_flags or {})) for n in range(decode)]
        self.set_hosts()
        return first, second

    def start_service(self, pool, name, zone=None, **flags):
        """Starts a service, adds it to the host list and publishes the list."""
        process = self.start_emulator("service", name, name=name, **flags)
        self.hosts.append({"address": process.address, "kind": "service", "pool": pool, "model": "", "role": "",
                           "zone": zone or self.next_zone(), "state": "live", "checks_orders": True})
        self.set_hosts()
        return process

    def restart(self, process):
        """Restarts an emulator that has ended, with the same flags and address."""
        again = Process(process.name, process.command, self.folder, process.address)
        self.processes.append(again)
        self.wait_until_answering(again)
        return again

    def next_zone(self):
        return self.zones[len(self.hosts) % len(self.zones)]

    def set_hosts(self):
        """Publishes the host list on the platform."""
        if self.platform:
            send(self.platform.address, "PUT", "/v1/hosts", {"hosts": self.hosts})

    def set_host_state(self, address, state):
        for host in self.hosts:
            if host["address"] == address:
                host["state"] = state
        self.set_hosts()

    def remove_host(self, address):
        self.hosts = [host for host in self.hosts if host["address"] != address]
        self.set_hosts()

    # Entries

    def write_settings(self, name, zone, caller, admin, gossip, join, changes=None):
        """Writes the settings file of an entry and returns its path. changes maps "section.key" to a value."""
        values = {
            "entry": {"name": name, "region": "test-region", "zone": zone},
            "listen": {"caller": caller, "admin": admin, "gossip": gossip},
            "platform": {"key_value": self.platform.address, "hosts": self.platform.address},
            "peers": {"join": ", ".join(join), "shared_key": SHARED_KEY},
        }
        for key, value in (changes or {}).items():
            section, member = key.split(".", 1)
            values.setdefault(section, {})[member] = value
        path = pathlib.Path(self.folder) / f"{name}.ini"
        lines = []
        for section, members in values.items():
            lines += [f"[{section}]", *(f"{key} = {value}" for key, value in members.items()), ""]
        path.write_text("\n".join(lines))
        return path

    def start_entries(self, count, changes=None, wait=True):
        """Starts entries that join each other by gossip. With wait, waits until all are ready and know each other."""
        ports = free_ports(count * 2)
        gossip = [f"127.0.0.1:{port}" for port in free_ports(count, socket.SOCK_DGRAM)]
        started = []
        for number in range(count):
            started.append(self.start_entry(f"entry{len(self.entries)}", self.zones[number % len(self.zones)],
                                            f"127.0.0.1:{ports[2 * number]}", f"127.0.0.1:{ports[2 * number + 1]}",
                                            gossip[number], [one for one in gossip if one != gossip[number]], changes))
        if wait:
            for entry in started:
                self.wait_ready(entry)
            self.wait_members(started)
        return started

    def start_entry(self, name, zone, caller, admin, gossip, join, changes=None):
        settings = self.write_settings(name, zone, caller, admin, gossip, join, changes)
        entry = Entry(name, [self.build / "src" / "cyclamencross", "entry", settings], self.folder, caller, admin,
                      gossip, zone)
        self.processes.append(entry)
        self.entries.append(entry)
        return entry

    def restart_entry(self, entry):
        """Restarts an entry that has ended and waits until it is ready. The entry has a new incarnation."""
        again = Entry(entry.name, entry.command, self.folder, entry.caller, entry.admin, entry.gossip, entry.zone)
        self.processes.append(again)
        self.entries[self.entries.index(entry)] = again
        self.wait_ready(again)
        return again

    def kill_and_restart_entry(self, entry):
        """Kills an entry and restarts it."""
        entry.kill()
        return self.restart_entry(entry)

    def stored_revision(self):
        """Returns the configuration revision in the key-value service; 0 if there is none."""
        text = self.read_key("/cyclamencross/config/current") or b""
        found = re.search(rb"^revision *= *(\d+)", text, re.MULTILINE)
        return int(found[1]) if found else 0

    def wait_ready(self, entry):
        def ready():
            if not entry.running():
                raise RuntimeError(f"{entry.name} ended with code {entry.child.returncode}")
            return entry.ready()
        wait_until(ready, f"{entry.name} is ready")

    def wait_members(self, entries):
        """Waits until each of the entries hands out the addresses of all of them."""
        wanted = {entry.caller for entry in entries}

        def knows_all(entry):
            seen = set()
            for session in range(40 * len(wanted)):
                reply = send(entry.caller, "GET", f"/v1/entry?workspace=probe&session={session}", timeout=5)
                seen.add(reply.json().get("address"))
                if wanted <= seen:
                    return True
            return False
        for entry in entries:
            wait_until(lambda entry=entry: knows_all(entry), f"{entry.name} knows all entries", period=0.2)

    # Requests

    def complete(self, prompt, max_tokens=8, entry=None, streamed=False, headers=None, model="model", **options):
        """Sends POST /v1/completions to an entry (by default the first one)."""
        entry = entry or self.entries[0]
        body = {"model": model, "prompt": prompt, "max_tokens": max_tokens, "stream": streamed}
        headers = {"Workspace": "acme", **(headers or {})}
        if streamed:
            return stream(entry.caller, "/v1/completions", body, headers, **options)
        return send(entry.caller, "POST", "/v1/completions", body, headers, **options)

    # Operators

    def cli(self, *arguments, entry=None):
        """Runs a subcommand of cyclamencross against an entry and returns the finished process."""
        entry = entry or self.entries[0]
        command = [str(self.build / "src" / "cyclamencross"), *map(str, arguments), "--settings",
                   str(pathlib.Path(self.folder) / f"{entry.name}.ini")]
        return subprocess.run(command, capture_output=True, text=True, timeout=WAIT_LIMIT_S, check=False)

    def status(self, entry=None):
        """Returns the output of `cyclamencross status --json` for an entry."""
        return json.loads(self.cli("status", "--json", entry=entry).stdout)

    def revision(self, entry):
        """Returns the configuration revision in force at an entry."""
        return self.status(entry)["config_revision"]

    def config_file(self, defaults, name="change.ini", revision=None, exceptions=""):
        """Writes a fleet configuration, by default one based on the revision in force, and returns its path."""
        revision = self.revision(self.entries[0]) if revision is None else revision
        lines = ["[change]", f"revision = {revision}", "id = base", "author = test", "", "[defaults]"]
        lines += [f"{key} = {value}" for key, value in defaults.items()]
        path = pathlib.Path(self.folder) / name
        path.write_text("\n".join(lines) + "\n\n" + exceptions)
        return path

    def apply_config(self, defaults, entry=None):
        """Applies fleet defaults and waits until they are in force at every entry."""
        done = self.cli("config", "apply", self.config_file(defaults), "--author", "test", entry=entry)
        if done.returncode != 0:
            raise RuntimeError(f"config apply: exit code {done.returncode}: {done.stdout} {done.stderr}")
        revision = self.revision(entry or self.entries[0])
        for one in self.entries:
            wait_until(lambda one=one: self.revision(one) >= revision, f"{one.name} has revision {revision}")
        return revision

    def held(self, engines):
        """Returns the number of requests that the running engines hold in memory."""
        return sum(engine.counts().get("held", 0) for engine in engines if engine.running())

    def read_key(self, key):
        """Returns the value of a key in the key-value service, or None."""
        body = {"key": base64.b64encode(key.encode()).decode()}
        found = send(self.platform.address, "POST", "/v3/kv/range", body).json().get("kvs")
        return base64.b64decode(found[0].get("value", "")) if found else None


class Normaliser:
    """Replaces ids, addresses and times in a transcript with fixed texts, so that all runs print the same text."""

    PATTERNS = [
        (re.compile(r"127\.0\.0\.1:\d+"), "ADDRESS"),
        (re.compile(r"\bcxt1\.[\w.:-]+"), "TICKET"),
        (re.compile(r"\b[\w-]+\.[0-9a-f]{16}\.\d+\b"), "REQUEST"),
        (re.compile(r"\b[0-9a-f]{32}\b"), "HASH"),
        (re.compile(r"\b[0-9a-f]{16}\b"), "NUMBER"),
        (re.compile(r"\b\d+(\.\d+)? ?ms\b"), "N ms"),
    ]

    def __init__(self, names=None):
        self.names = dict(names or {})

    def __call__(self, text):
        for value, name in self.names.items():
            text = text.replace(value, name)
        for pattern, replacement in self.PATTERNS:
            text = pattern.sub(replacement, text)
        return text


def show(what, *values):
    """Prints one normalised line of a session's transcript: a label and values as JSON."""
    line = f"{what}: " + " ".join(json.dumps(value, default=repr) for value in values)
    print(Normaliser()(line), flush=True)


def build_argument():
    """Parses the command line of a session and returns its build folder."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", required=True)
    return parser.parse_args().build
