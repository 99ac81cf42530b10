#!/usr/bin/env python3
"""An accepted configuration is in force everywhere within seconds and never reverts.

Guards against entries that miss a change because their watch ended, they were frozen, or they started in an outage of
the key-value service, and against an older state of that service replacing a newer revision.
"""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from harness import Fleet, build_argument, wait_until  # noqa: E402

BOUND_S = 10


def in_force(fleet, revision, entries):
    """Says whether the entries have the revision within the bound."""
    end = time.monotonic() + BOUND_S
    while time.monotonic() < end:
        if all(fleet.revision(entry) >= revision for entry in entries):
            return "yes"
        time.sleep(0.05)
    return f"NO: {[fleet.revision(entry) for entry in entries]}"


def change(fleet, tokens, entry=None):
    """Applies a change of max_tokens and returns (exit code, revision asked for)."""
    entry = entry or fleet.entries[0]
    base = fleet.revision(entry)
    path = fleet.config_file({"max_tokens": tokens}, revision=base)
    done = fleet.cli("config", "apply", path, "--author", "test", entry=entry)
    return done.returncode, base + 1


def main():
    with Fleet(build_argument()) as fleet:
        fleet.start_platform()
        fleet.start_entries(4, {"timeouts.key_value": "500ms"})
        entries = fleet.entries

        code, revision = change(fleet, 1001)
        print(f"first change: exit code {code}, in force everywhere: {in_force(fleet, revision, entries)}")

        fleet.platform.fault("compact", times=1)
        code, revision = change(fleet, 1002)
        print(f"watches compacted: exit code {code}, in force everywhere: {in_force(fleet, revision, entries)}")

        fleet.platform.fault("error", path="/v3/watch")
        fleet.platform.fault("compact", times=1)
        code, revision = change(fleet, 1003)
        print(f"no watch can be opened: exit code {code}, in force everywhere: {in_force(fleet, revision, entries)}")
        fleet.platform.clear_faults()

        entries[3].freeze()
        code, revision = change(fleet, 1004)
        print(f"one entry frozen: exit code {code}, in force at the others: {in_force(fleet, revision, entries[:3])}")
        entries[3].resume()
        print(f"after it woke: {in_force(fleet, revision, entries)}")

        fleet.platform.fault("error", path="/v3/")
        code, _ = change(fleet, 1005)
        print(f"key-value service down: change refused with exit code {code}")
        fleet.restart_entry_killed(entries[2])
        print(f"entry started in the outage has the revision: {in_force(fleet, revision, fleet.entries)}")
        fleet.platform.clear_faults()

        fleet.platform.fault("save-state")
        code, revision = change(fleet, 1006)
        print(f"change after the copy: exit code {code}, in force everywhere: {in_force(fleet, revision, fleet.entries)}")
        fleet.platform.fault("restore-state")
        newest = wait_until(lambda: fleet.stored_revision() >= revision and fleet.stored_revision(),
                            "the newer revision is written back")
        print(f"key-value service went back to an older state: stored revision is {'kept' if newest == revision else 'WRONG'}")
        print(f"no entry reverted: {min(fleet.revision(entry) for entry in fleet.entries) >= revision}")
        code, revision = change(fleet, 1007)
        print(f"next change: exit code {code}, in force everywhere: {in_force(fleet, revision, fleet.entries)}")


main()
