#!/usr/bin/env python3
"""An accepted configuration is in force at all entries within seconds and is never reverted.

Guards against entries that miss a change because their watch was cancelled, they were suspended, or they started during
an outage of the key-value service, and against a restored older state of that service replacing a newer revision.
"""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from harness import Fleet, build_argument, wait_until  # noqa: E402

BOUND_S = 10


def in_force(fleet, revision, entries):
    """Returns "yes" if the revision is in force at all entries within BOUND_S, otherwise their revisions."""
    end = time.monotonic() + BOUND_S
    while time.monotonic() < end:
        if all(fleet.revision(entry) >= revision for entry in entries):
            return "yes"
        time.sleep(0.05)
    return f"NO: {[fleet.revision(entry) for entry in entries]}"


def change(fleet, tokens, entry=None):
    """Applies a change of max_tokens and returns the exit code and the revision that it creates."""
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
        print(f"one entry suspended: exit code {code}, "
              f"in force at the others: {in_force(fleet, revision, entries[:3])}")
        entries[3].resume()
        print(f"after it resumed: {in_force(fleet, revision, entries)}")

        fleet.platform.fault("error", path="/v3/")
        code, _ = change(fleet, 1005)
        print(f"key-value service down: change refused with exit code {code}")
        fleet.kill_and_restart_entry(entries[2])
        print(f"entry started during the outage has the revision: {in_force(fleet, revision, fleet.entries)}")
        fleet.platform.clear_faults()

        fleet.platform.fault("save-state")
        code, revision = change(fleet, 1006)
        print(f"change after the state was saved: exit code {code}, "
              f"in force everywhere: {in_force(fleet, revision, fleet.entries)}")
        fleet.platform.fault("restore-state")
        newest = wait_until(lambda: fleet.stored_revision() >= revision and fleet.stored_revision(),
                            "the newer revision is written back")
        print("key-value service restored to an older state: "
              f"stored revision is {'kept' if newest == revision else 'WRONG'}")
        print(f"no entry reverted: {min(fleet.revision(entry) for entry in fleet.entries) >= revision}")
        code, revision = change(fleet, 1007)
        print(f"next change: exit code {code}, in force everywhere: {in_force(fleet, revision, fleet.entries)}")


main()
