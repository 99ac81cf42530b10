#!/usr/bin/env python3
"""No engine memory stays held by a request whose caller is gone, whatever stage the request is in.

Guards against requests that go on at the engines after their callers closed the connection.
"""

import json
import pathlib
import socket
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from harness import Fleet, build_argument, wait_until  # noqa: E402

LONG_ANSWER = 4000  # At 20 ms a token it outlasts the session unless it is cancelled.


def open_request(entry, prompt, streamed):
    """Sends a request and returns its open connection without reading the answer."""
    host, port = entry.caller.rsplit(":", 1)
    body = json.dumps({"model": "model", "prompt": prompt, "max_tokens": LONG_ANSWER, "stream": streamed}).encode()
    connection = socket.create_connection((host, int(port)))
    connection.sendall(b"POST /v1/completions HTTP/1.1\r\nHost: entry\r\nWorkspace: acme\r\n"
                       b"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
    return connection


def leave(fleet, title, engines, seen, streamed):
    """Opens a request, waits until the engines show its stage, closes it and waits until nothing is held."""
    connection = open_request(fleet.entries[0], title, streamed)
    wait_until(seen, f"{title}: stage reached")
    connection.close()
    wait_until(lambda: fleet.held(engines) == 0, f"{title}: engine memory freed", limit=10)
    print(f"caller leaves {title}, {'streamed' if streamed else 'in one piece'}: engine memory freed")


def main():
    with Fleet(build_argument()) as fleet:
        fleet.start_platform()
        prefill, decode = fleet.start_engines(prefill=1, decode=1, decode_flags={"resume_keep": 60000, "slots": 1},
                                              prefill_flags={"result_ttl": 60000})
        fleet.start_entries(1)
        engines = prefill + decode
        for streamed in (True, False):
            leave(fleet, "in decode", engines, lambda: fleet.held(decode) == 1, streamed)
            prefill[0].fault("slow", path="/v1/kv/", ms=30000)
            leave(fleet, "in transfer", engines, lambda: fleet.held(decode) == 1 and fleet.held(prefill) == 1, streamed)
            prefill[0].clear_faults()
            prefill[0].fault("late", path="/v1/prefill", ms=30000)
            leave(fleet, "in prefill", engines, lambda: fleet.held(prefill) == 1, streamed)
            prefill[0].clear_faults()
            decode[0].fault("slow-output", ms=1500)
            leave(fleet, "with an idle stream", engines, lambda: fleet.held(decode) == 1, streamed)
            decode[0].clear_faults()
        first = open_request(fleet.entries[0], "holds the only slot", True)
        wait_until(lambda: fleet.held(decode) == 1, "slot taken")
        prefills = prefill[0].counts()["prefills"]
        second = open_request(fleet.entries[0], "queued", True)
        second.close()
        first.close()
        wait_until(lambda: fleet.held(engines) == 0, "engine memory freed", limit=10)
        print(f"caller leaves while queued: {prefill[0].counts()['prefills'] - prefills} further prefills")
        print(f"a new request is served: {fleet.complete('afterwards').status}")


main()
