"""Guards against model requests that are refused as not-run although an engine has run them, when engines are full, the
prompt is too long or all prefill engines are leaving."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from harness import Fleet, build_argument, show, wait_until  # noqa: E402


def prefills(engines):
    return sum(engine.counts()["prefills"] for engine in engines)


def check_full_engines(fleet, prefill, decode):
    for engine in decode:
        engine.fault("full", path="/v1/decode")
    before = prefills(prefill)
    reply = fleet.complete("A prompt that finds no memory.", 4)
    ran = prefills(prefill) - before
    show("decode engines refuse", reply.status >= 400, reply.outcome in ("not-run", "failed"))
    show("truthful", reply.outcome != "not-run" or ran == 0)
    for engine in decode:
        engine.clear_faults()
    for engine in prefill:
        engine.fault("full", path="/v1/prefill")
    before = prefills(prefill)
    reply = fleet.complete("A prompt that no engine takes.", 4)
    show("prefill engines refuse", reply.status, reply.outcome, prefills(prefill) - before)
    for engine in prefill:
        engine.clear_faults()


def check_too_long_prompt(fleet, prefill):
    before = prefills(prefill)
    reply = fleet.complete("x" * 4 * 50000, 4)
    show("prompt that can't meet the target", reply.status, reply.outcome, prefills(prefill) - before)


def check_leaving_engines(fleet, prefill, decode):
    for engine in prefill:
        fleet.set_host_state(engine.address, "leaving")
    wait_until(lambda: fleet.complete("x", 2).outcome == "not-run", "leaving engines get no work", 30)
    before = prefills(prefill)
    outcomes = {fleet.complete(f"prompt {number}", 2).outcome for number in range(5)}
    show("all prefill engines are leaving", sorted(outcomes), prefills(prefill) - before)
    for engine in prefill:
        fleet.set_host_state(engine.address, "live")
    wait_until(lambda: fleet.complete("x", 2).status == 200, "the engines get work again", 30)
    wait_until(lambda: fleet.held(prefill + decode) == 0, "engine memory is freed")
    show("held", fleet.held(prefill + decode))


def main():
    with Fleet(build_argument()) as fleet:
        fleet.start_platform()
        prefill, decode = fleet.start_engines(2, 2)
        fleet.start_entries(1)
        check_full_engines(fleet, prefill, decode)
        check_too_long_prompt(fleet, prefill)
        check_leaving_engines(fleet, prefill, decode)


if __name__ == "__main__":
    main()
