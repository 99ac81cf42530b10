#!/usr/bin/env python3
"""Of two concurrent configuration changes, one is applied and the other fails with a conflict that shows both.

Guards against a change that silently overwrites another, and against a change that is applied twice because the answer
to its write was lost.
"""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from concurrent.futures import ThreadPoolExecutor  # noqa: E402

from harness import Fleet, build_argument, wait_until  # noqa: E402


def main():
    with Fleet(build_argument()) as fleet:
        fleet.start_platform()
        fleet.start_entries(3, {"timeouts.key_value": "500ms"})
        fleet.apply_config({"max_tokens": 1000})
        for race in range(5):
            base = fleet.revision(fleet.entries[0])
            first = fleet.config_file({"max_tokens": 2000 + race}, "first.ini", base)
            second = fleet.config_file({"retry_budget": "0.1"}, "second.ini", base)
            with ThreadPoolExecutor(2) as pool:
                jobs = [pool.submit(fleet.cli, "config", "apply", path, "--author", author, entry=entry)
                        for path, author, entry in ((first, "anna", fleet.entries[0]),
                                                    (second, "beata", fleet.entries[1]))]
                results = [job.result() for job in jobs]
            wait_until(lambda: all(fleet.revision(entry) == base + 1 for entry in fleet.entries), "one change in force")
            loser = max(results, key=lambda result: result.returncode)
            shown = loser.stdout + loser.stderr
            print(f"race {race}: exit codes {sorted(result.returncode for result in results)}, revisions added: 1, "
                  f"both changes shown: {'max_tokens' in shown and 'retry_budget' in shown}")

        base = fleet.revision(fleet.entries[0])
        fleet.platform.fault("answer-lost", path="/v3/kv/txn", times=1)
        done = fleet.cli("config", "apply", fleet.config_file({"max_tokens": 3000}, revision=base), "--author", "anna")
        print(f"answer of the write lost: exit code {done.returncode}")
        wait_until(lambda: all(fleet.revision(entry) == base + 1 for entry in fleet.entries), "the change in force")
        print("it is in force once")

        exception = "[exception long-drafts]\nscope = workspace\nsubject = acme\nkey = max_tokens\nvalue = 9\n"
        path = fleet.config_file({"max_tokens": 3000}, exceptions=exception)
        print("exception without a reason: "
              f"exit code {fleet.cli('config', 'apply', path, '--author', 'anna').returncode}")
        path = fleet.config_file({"max_tokens": 3000},
                                 exceptions=exception + "reason = short drafts suffice\nauthor = anna\n")
        done = fleet.cli("config", "apply", path, "--author", "anna")
        print(f"exception with a reason: exit code {done.returncode}")
        explained = fleet.cli("config", "explain", "--workspace", "acme")
        line = next((line for line in explained.stdout.splitlines() if "max_tokens" in line), explained.stderr)
        print(" ".join(line.split()))


main()
