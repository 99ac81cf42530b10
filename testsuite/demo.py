#!/usr/bin/env python3
"""Demonstrates a fleet of three entries with emulated engines and services: sends a mix of requests and prints the
result of each."""

import json
import sys

from harness import Fleet, build_argument, expected_text, send, stream, wait_until

MODEL = "draft-llm"
LONG_PROMPT_TOKENS = 30000


class Demo:
    """Sends requests, prints one line for each and counts those with an unexpected result."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.unexpected = 0
        self.number = 0

    def show(self, what, reply, expected, good, detail=""):
        self.unexpected += 0 if good else 1
        first = f"{reply.times[0] * 1000:7.0f}" if getattr(reply, "times", None) else "      -"
        outcome = reply.outcome or ("done" if reply.status == 200 else reply.error or "-")
        mark = "" if good else f"   UNEXPECTED, expected: {expected}"
        print(f"{what:<44} {reply.status:>3} {outcome:<9} {first} {reply.seconds * 1000:7.0f}  {detail}{mark}",
              flush=True)

    def next_entry(self):
        self.number += 1
        return self.fleet.entries[self.number % len(self.fleet.entries)]

    def streamed(self, what, prompt, tokens, **options):
        answer = self.fleet.complete(prompt, tokens, self.next_entry(), streamed=True, model=MODEL, **options)
        good = answer.status == 200 and answer.ended and answer.text() == expected_text(prompt, tokens)
        self.show(what, answer, "the whole answer", good, f"{len(answer.events)} events")

    def whole(self, what, prompt, tokens):
        reply = self.fleet.complete(prompt, tokens, self.next_entry(), model=MODEL)
        text = (reply.json().get("choices") or [{}])[0].get("text", "")
        self.show(what, reply, "the whole answer", text == expected_text(prompt, tokens), f"{len(text)} bytes")

    def chat(self, what, content, tokens):
        body = {"model": MODEL, "messages": [{"role": "user", "content": content}], "max_tokens": tokens,
                "stream": True}
        answer = stream(self.next_entry().caller, "/v1/chat/completions", body, {"Workspace": "zilina"})
        good = answer.status == 200 and answer.ended and answer.text().count(".") == tokens
        self.show(what, answer, "the whole answer", good, f"{len(answer.events)} events")

    def cancelled(self, what, prompt, decode):
        answer = self.fleet.complete(prompt, 400, self.next_entry(), streamed=True, model=MODEL, stop_after=3)
        wait_until(lambda: self.fleet.held(decode) == 0, "engine memory is freed")
        self.show(what, answer, "3 events", len(answer.events) == 3, "engine memory freed")

    def call(self, what, method, path, key="", status=200, replay=False):
        headers = {"Workspace": "zilina", **({"Idempotency-Key": key} if key else {})}
        reply = send(self.next_entry().caller, method, path, {"visit": 7} if method == "POST" else None, headers)
        is_replay = reply.headers.get("idempotent-replay") == "true"
        good = reply.status == status and is_replay == replay
        self.show(what, reply, f"{status}, replay {replay}", good, f"execution {reply.json().get('execution', '-')}"
                  + (", replayed" if is_replay else ""))


def decision_line(fleet):
    """Returns the first log line about the choice of an engine, or None."""
    for entry in fleet.entries:
        for line in entry.log_lines():
            if "candidates" in line and "choice" in line:
                return line
    return None


def run(fleet):
    fleet.start_platform()
    prefill, decode = fleet.start_engines(2, 2, model=MODEL, micros_per_token=8)
    fleet.start_service("dispatch-app", "dispatch0")
    desk = fleet.start_service("dispatch-app", "dispatch1", delay=20)
    fleet.start_entries(3)
    demo = Demo(fleet)
    print(f"{'request':<44} status outcome first/ms total/ms", flush=True)
    demo.streamed("visit summary, short, streamed", "Summarise the visit: flue swept, draught 12 Pa.", 24)
    demo.whole("compliance note, short, whole", "Write the compliance note for boiler 4411.", 16)
    demo.chat("complaint reply, chat, streamed", "The turner came two hours late.", 20)
    log = "inspection log line; "
    long_prompt = log * (LONG_PROMPT_TOKENS * 4 // len(log))
    demo.streamed(f"inspection advice, {LONG_PROMPT_TOKENS} tokens, streamed", long_prompt, 12)
    demo.streamed("the same again, from the prefix cache", long_prompt, 12)
    demo.whole("history of 8000 tokens, whole", "history of the site. " * 1524, 12)
    for engine in decode:
        engine.fault("cut", path="/v1/decode", times=1, after=4)
    demo.streamed("stream cut by the engine, resumed", "A stream that its engine cuts.", 16)
    for engine in decode:
        engine.clear_faults()
    demo.cancelled("caller disconnects after 3 outputs", "A long answer that nobody waits for.", decode)
    demo.call("status read", "GET", "/services/dispatch-app/status")
    demo.call("booking with a key", "POST", "/services/dispatch-app/bookings", key="booking-7")
    demo.call("the same booking sent again", "POST", "/services/dispatch-app/bookings", key="booking-7", replay=True)
    ticket = send(fleet.entries[0].caller, "GET", "/v1/entry?workspace=zilina&session=1").json().get("ticket", "")
    fleet.platform.fault("error", path="/v3/")
    demo.call("key-value service down: booking, ticket", "POST", "/services/dispatch-app/bookings", key=ticket)
    demo.call("key-value service down: booking, other key", "POST", "/services/dispatch-app/bookings", key="booking-8",
              status=503)
    fleet.platform.clear_faults()
    executed = sum(one.counts()["total"] for one in fleet.processes if one.name.startswith("dispatch"))
    print(f"\nexecutions at the plain service: {executed} (expected 3); at {desk.name}: {desk.counts()['total']}")
    counts = [engine.counts() for engine in prefill]
    print(f"prefills: {sum(one['prefills'] for one in counts)}, results used: {sum(one['used'] for one in counts)}")
    line = decision_line(fleet)
    print("\none decision:\n" + (json.dumps(line) if line else "no decision line found"))
    return demo.unexpected + (executed != 3) + (line is None)


def main():
    with Fleet(build_argument()) as fleet:
        unexpected = run(fleet)
    print(f"\n{'all results as expected' if unexpected == 0 else f'{unexpected} unexpected results'}")
    return 1 if unexpected else 0


if __name__ == "__main__":
    sys.exit(main())
