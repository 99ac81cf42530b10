#!/usr/bin/env python3
"""A caller gets the complete answer to its own request or a failure when engines swap, break off or shorten answers.

Guards against relaying the events of another request, events with a gap, and streams without an end marker as success.
"""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from concurrent.futures import ThreadPoolExecutor  # noqa: E402

from harness import Fleet, build_argument, event_text, expected_text  # noqa: E402

TOKENS = 8


def verdict(reply, prompt, streamed):
    """Describes what the caller received. Text that is not a prefix of its own answer is always an error."""
    wanted = expected_text(prompt, TOKENS)
    if streamed and reply.events:
        text = "".join(event_text(event) for event in reply.events)
        own = "own text" if wanted.startswith(text) else "FOREIGN TEXT"
        success = reply.ended and text == wanted
        return f"{own}, {'whole with end marker' if success else 'end marker MISSING TEXT' if reply.ended else 'no end marker'}"
    if reply.status == 200:
        return "whole" if reply.json()["choices"][0]["text"] == wanted else "WRONG TEXT AS SUCCESS"
    return f"refused with Run-Outcome: {reply.outcome}"


def show(fleet, title, prompts):
    """Sends all prompts at once, first without and then with streaming, and prints the verdicts."""
    for streamed in (False, True):
        with ThreadPoolExecutor(len(prompts)) as pool:
            replies = list(pool.map(lambda prompt: fleet.complete(prompt, TOKENS, streamed=streamed), prompts))
        for prompt, reply in zip(prompts, replies):
            print(f"{title}, {'streamed' if streamed else 'not streamed'}: {verdict(reply, prompt, streamed)}")


def main():
    with Fleet(build_argument()) as fleet:
        fleet.start_platform()
        prefill, decode = fleet.start_engines(prefill=1, decode=1)
        fleet.start_entries(1)
        show(fleet, "no fault", ["first prompt"])
        # The decode engine answers each of two concurrent requests with the id and the text of the other one.
        decode[0].fault("crossed", path="/v1/decode")
        show(fleet, "crossed streams", ["one of two prompts", "two of two prompts"])
        decode[0].clear_faults()
        prefill[0].fault("crossed", path="/v1/prefill")
        show(fleet, "prefill answer with another id", ["prefill one"])
        prefill[0].clear_faults()
        decode[0].fault("cut", path="/v1/decode", after=3)
        show(fleet, "stream cut after three events, resumable", ["cut prompt"])
        decode[0].fault("cut", path="/v1/resume", after=1)
        decode[0].fault("error", path="/v1/resume", status=404)
        show(fleet, "stream cut after three events, not resumable", ["cut for good"])
        decode[0].clear_faults()
        decode[0].fault("gap", path="/v1/decode", after=4)
        show(fleet, "event missing", ["gap prompt"])
        decode[0].clear_faults()
        decode[0].fault("no-end", path="/v1/decode")
        show(fleet, "end marker missing", ["open end"])
        decode[0].clear_faults()
        decode[0].fault("late", path="/v1/decode", ms=300)
        show(fleet, "late answer", ["late prompt"])


main()
