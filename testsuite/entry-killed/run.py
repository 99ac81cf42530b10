#!/usr/bin/env python3
"""An entry killed in mid-request leaves no engine memory held: the engines' owners cancel its requests.

Guards against orphans that the engines keep because their streams could be resumed.
"""

import json
import pathlib
import socket
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from harness import Fleet, build_argument, wait_until  # noqa: E402

FREED_WITHIN_S = 15  # Suspicion of 1 s, one sweep a second, and what a busy machine adds.


def open_request(entry, prompt):
    host, port = entry.caller.rsplit(":", 1)
    body = json.dumps({"model": "model", "prompt": prompt, "max_tokens": 4000, "stream": True}).encode()
    connection = socket.create_connection((host, int(port)))
    connection.sendall(b"POST /v1/completions HTTP/1.1\r\nHost: entry\r\nWorkspace: acme\r\n"
                       b"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
    return connection


def main():
    with Fleet(build_argument()) as fleet:
        fleet.start_platform()
        # The engines would keep a broken stream or an unused prefill for an hour.
        prefill, decode = fleet.start_engines(prefill=2, decode=2, decode_flags={"resume_keep": 3600000, "slots": 4},
                                              prefill_flags={"result_ttl": 3600000})
        engines = prefill + decode
        changes = {"timeouts.suspicion": "1000ms", "timeouts.orphan_sweep_period": "500ms"}
        fleet.start_entries(3, changes)

        for stage in ("decode", "transfer", "prefill"):
            victim = fleet.entries[0]
            if stage == "transfer":
                for engine in prefill:
                    engine.fault("slow", path="/v1/kv/", ms=20000)
            if stage == "prefill":
                for engine in prefill:
                    engine.fault("late", path="/v1/prefill", ms=20000)
            connections = [open_request(victim, f"{stage} {number}") for number in range(4)]
            pool = prefill if stage == "prefill" else decode
            wait_until(lambda: fleet.held(pool) == 4, f"four requests in {stage}")
            victim.kill()
            for engine in engines:
                engine.clear_faults()
            wait_until(lambda: fleet.held(engines) == 0, f"engine memory freed, {stage}", limit=FREED_WITHIN_S)
            print(f"entry killed with four requests in {stage}: engine memory freed")
            for connection in connections:
                connection.close()
            fleet.restart_entry(victim)
            fleet.wait_members(fleet.entries)
        print(f"a new request is served: {fleet.complete('afterwards', entry=fleet.entries[1]).status}")

        # All entries but one at once; the last one becomes the owner of every engine.
        connections = [open_request(entry, f"half {number}") for number, entry in enumerate(fleet.entries[:2])]
        wait_until(lambda: fleet.held(decode) == 2, "two requests in decode")
        for entry in fleet.entries[:2]:
            entry.kill()
        wait_until(lambda: fleet.held(engines) == 0, "engine memory freed", limit=FREED_WITHIN_S)
        print("two of three entries killed at once: engine memory freed")
        print(f"the last entry serves: {fleet.complete('afterwards', entry=fleet.entries[2]).status}")

        frozen = fleet.restart_entry(fleet.entries[0])
        fleet.wait_members([frozen, fleet.entries[2]])
        stream = open_request(frozen, "frozen")
        wait_until(lambda: fleet.held(decode) == 1, "stream runs")
        frozen.freeze()
        wait_until(lambda: fleet.held(engines) == 0, "engine memory freed", limit=FREED_WITHIN_S)
        print("entry frozen: engine memory freed")
        frozen.resume()
        stream.settimeout(30)
        received = b""
        while part := stream.recv(65536):
            received += part
        print(f"its caller gets an end marker: {b'[DONE]' in received}")
        fleet.wait_members([frozen, fleet.entries[2]])
        print(f"the woken entry serves: {fleet.complete('afterwards', entry=frozen).status}")


main()
