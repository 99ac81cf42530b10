"""Guards against engine memory that stays in use after many callers have disconnected, during output or prefill."""

import pathlib
import socket
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from concurrent.futures import ThreadPoolExecutor  # noqa: E402

from client import expected_text  # noqa: E402
from harness import Fleet, build_argument, show, wait_until  # noqa: E402

CALLERS = 20
# The limit for the entry is 2 s; the rest is tolerance for a busy machine.
FREE_LIMIT_S = 5


def open_request(fleet, prompt):
    """Sends a request and returns its open connection, for the caller to close without reading the response."""
    host, port = fleet.entries[0].caller.rsplit(":", 1)
    body = f'{{"model":"model","prompt":"{prompt}","max_tokens":2000,"stream":true}}'
    connection = socket.create_connection((host, int(port)), timeout=30)
    connection.sendall(f"POST /v1/completions HTTP/1.1\r\nHost: {host}\r\nWorkspace: acme\r\n"
                       f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())
    return connection


def check_during_output(fleet, engines, decode):
    prompts = [f"prompt {number}" for number in range(CALLERS)]
    with ThreadPoolExecutor(CALLERS) as pool:
        answers = list(pool.map(lambda prompt: fleet.complete(prompt, 2000, streamed=True, stop_after=3), prompts))
    show("callers that left after 3 outputs", sum(len(answer.events) == 3 for answer in answers))
    wait_until(lambda: fleet.held(engines) == 0, "engine memory is freed", FREE_LIMIT_S)
    show("held", fleet.held(engines), "freed by expiry", sum(engine.counts()["expired"] for engine in decode))


def check_during_prefill(fleet, prefill, engines):
    long_prompt = "x" * 4 * 8000
    connections = [open_request(fleet, long_prompt) for _ in range(2)]
    wait_until(lambda: fleet.held(prefill) > 0, "a prefill runs")
    for connection in connections:
        connection.close()
    wait_until(lambda: fleet.held(engines) == 0, "engine memory is freed", FREE_LIMIT_S)
    show("held after callers left during prefill", fleet.held(engines))


def main():
    with Fleet(build_argument()) as fleet:
        fleet.start_platform()
        prefill, decode = fleet.start_engines(2, 2, decode_flags={"resume_keep": 60000},
                                              prefill_flags={"micros_per_token": 40})
        fleet.start_entries(1)
        check_during_output(fleet, prefill + decode, decode)
        check_during_prefill(fleet, prefill, prefill + decode)
        prompt = "the next caller"
        answer = fleet.complete(prompt, 8, streamed=True)
        show("the next caller is served", answer.text() == expected_text(prompt, 8), answer.ended)


if __name__ == "__main__":
    main()
