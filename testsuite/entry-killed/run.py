#!/usr/bin/env python3
"""When an entry is killed while it serves requests, the entries that own the engines cancel these requests.

Guards against orphaned requests that occupy engine memory because the engines keep their streams for a resume.
"""

import json
import pathlib
import socket
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from harness import Fleet, build_argument, wait_until  # noqa: E402

FREED_WITHIN_S = 15  # 1 s of suspicion, an orphan sweep every 0.5 s, and tolerance for a busy machine.


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
        # Without a cancellation, the engines keep a broken stream or an unused prefill result for an hour.
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

        # All entries but one are killed at once; the remaining one becomes the owner of every engine.
        connections = [open_request(entry, f"half {number}") for number, entry in enumerate(fleet.entries[:2])]
        wait_until(lambda: fleet.held(decode) == 2, "two requests in decode")
        for entry in fleet.entries[:2]:
            entry.kill()
        wait_until(lambda: fleet.held(engines) == 0, "engine memory freed", limit=FREED_WITHIN_S)
        print("two of three entries killed at once: engine memory freed")
        print(f"the last entry serves: {fleet.complete('afterwards', entry=fleet.entries[2]).status}")

        suspended = fleet.restart_entry(fleet.entries[0])
        fleet.wait_members([suspended, fleet.entries[2]])
        stream = open_request(suspended, "frozen")
        wait_until(lambda: fleet.held(decode) == 1, "the stream runs")
        suspended.freeze()
        wait_until(lambda: fleet.held(engines) == 0, "engine memory freed", limit=FREED_WITHIN_S)
        print("entry suspended: engine memory freed")
        suspended.resume()
        stream.settimeout(30)
        received = b""
        while part := stream.recv(65536):
            received += part
        print(f"its caller gets an end marker: {b'[DONE]' in received}")
        fleet.wait_members([suspended, fleet.entries[2]])
        print(f"the resumed entry serves: {fleet.complete('afterwards', entry=suspended).status}")


main()
