"""Guards against answers that are incomplete or belong to another request but look successful, when engines break off
their streams, swap them or omit events. The caller must get the complete answer to its own request or a failure."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from concurrent.futures import ThreadPoolExecutor  # noqa: E402

from client import expected_text, send, stream  # noqa: E402
from harness import Fleet, build_argument, show, wait_until  # noqa: E402

TOKENS = 12


def verdict(answer, prompt, tokens=TOKENS):
    """Returns how a caller would classify a streamed answer."""
    text = answer.text()
    if not expected_text(prompt, tokens).startswith(text):
        return "WRONG TEXT"
    if answer.ended and text == expected_text(prompt, tokens):
        return "whole"
    if answer.ended:
        return "SHORT BUT ENDED"
    outcomes = [event["error"]["outcome"] for event in answer.events if "error" in event]
    return " ".join(outcomes) or answer.outcome or "NO OUTCOME"


def without_fault(fleet):
    prompt = "Summarise the visit."
    reply = fleet.complete(prompt, TOKENS)
    show("whole", reply.status, reply.json()["choices"][0]["text"] == expected_text(prompt, TOKENS))
    show("streamed", verdict(fleet.complete(prompt, TOKENS, streamed=True), prompt))
    long_prompt = "log line; " * 8000
    show("20000 tokens", verdict(fleet.complete(long_prompt, TOKENS, streamed=True), long_prompt))
    body = {"model": "model", "messages": [{"role": "user", "content": "Hello"}], "max_tokens": TOKENS, "stream": True}
    answer = stream(fleet.entries[0].caller, "/v1/chat/completions", body, {"Workspace": "acme"})
    show("chat", answer.status, answer.ended, answer.text().count("."))


def with_fault(fleet, decode, kind, tokens=TOKENS, **parameters):
    for engine in decode:
        engine.fault(kind, path="/v1/decode", **parameters)
    prompt = f"A prompt whose stream shows {kind}."
    show(kind, verdict(fleet.complete(prompt, tokens, streamed=True), prompt, tokens))
    for engine in decode:
        engine.clear_faults()
    wait_until(lambda: fleet.held(decode) == 0, "engine memory is freed")


def crossed(fleet, decode):
    for engine in decode:
        engine.fault("crossed", times=2)
    prompts = [f"Prompt {number} of a crossed pair." for number in range(4)]
    with ThreadPoolExecutor(len(prompts)) as pool:
        answers = list(pool.map(lambda prompt: fleet.complete(prompt, TOKENS, streamed=True), prompts))
    verdicts = {verdict(answer, prompt) for answer, prompt in zip(answers, prompts)}
    show("crossed: no wrong text and no short answer", verdicts <= {"whole", "failed"})
    for engine in decode:
        engine.clear_faults()


def bad_requests(fleet):
    caller = fleet.entries[0].caller
    for name, path, body in (("not JSON", "/v1/completions", "{"), ("no prompt", "/v1/completions", {"model": "model"}),
                             ("unknown model", "/v1/completions", {"model": "none", "prompt": "x"})):
        reply = send(caller, "POST", path, body, {"Workspace": "acme"})
        show(name, reply.status, reply.outcome)


def main():
    with Fleet(build_argument()) as fleet:
        fleet.start_platform()
        _, decode = fleet.start_engines(2, 2, micros_per_token=5)
        fleet.start_entries(1)
        without_fault(fleet)
        with_fault(fleet, decode, "cut", times=1, after=3)
        with_fault(fleet, decode, "no-end", times=1)
        with_fault(fleet, decode, "gap", times=1, after=4)
        crossed(fleet, decode)
        bad_requests(fleet)


if __name__ == "__main__":
    main()
