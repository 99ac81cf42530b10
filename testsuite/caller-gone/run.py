#!/usr/bin/env python3
"""Engine memory is freed when the caller closes the connection, in every stage of a request.

Guards against requests that keep running on the engines, or start there, after their callers have disconnected.
"""

import json
import pathlib
import socket
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from harness import Fleet, build_argument, wait_until  # noqa: E402

LONG_ANSWER = 4000  # Takes 80 s at 20 ms per token, which is longer than the session unless the request is cancelled.


def open_request(entry, prompt, streamed):
    """Sends a request and returns its open connection without reading the response."""
    host, port = entry.caller.rsplit(":", 1)
    body = json.dumps({"model": "model", "prompt": prompt, "max_tokens": LONG_ANSWER, "stream": streamed}).encode()
    connection = socket.create_connection((host, int(port)))
    connection.sendall(b"POST /v1/completions HTTP/1.1\r\nHost: entry\r\nWorkspace: acme\r\n"
                       b"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
    return connection


def check_disconnect(fleet, title, engines, stage_reached, streamed):
    """Sends a request, waits until stage_reached(), closes the connection and waits until engine memory is freed."""
    connection = open_request(fleet.entries[0], title, streamed)
    wait_until(stage_reached, f"{title}: stage reached")
    connection.close()
    wait_until(lambda: fleet.held(engines) == 0, f"{title}: engine memory freed", limit=10)
    print(f"caller leaves {title}, {'streamed' if streamed else 'not streamed'}: engine memory freed")


def main():
    with Fleet(build_argument()) as fleet:
        fleet.start_platform()
        prefill, decode = fleet.start_engines(prefill=1, decode=1, decode_flags={"resume_keep": 60000, "slots": 1},
                                              prefill_flags={"result_ttl": 60000})
        fleet.start_entries(1)
        engines = prefill + decode
        for streamed in (True, False):
            check_disconnect(fleet, "in decode", engines, lambda: fleet.held(decode) == 1, streamed)
            prefill[0].fault("slow", path="/v1/kv/", ms=30000)
            check_disconnect(fleet, "in transfer", engines,
                             lambda: fleet.held(decode) == 1 and fleet.held(prefill) == 1, streamed)
            prefill[0].clear_faults()
            prefill[0].fault("late", path="/v1/prefill", ms=30000)
            check_disconnect(fleet, "in prefill", engines, lambda: fleet.held(prefill) == 1, streamed)
            prefill[0].clear_faults()
            decode[0].fault("slow-output", ms=1500)
            check_disconnect(fleet, "with an idle stream", engines, lambda: fleet.held(decode) == 1, streamed)
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
