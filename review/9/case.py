"""Case 9: an engine's stream is a body without end that holds no event; the caller gets no final answer."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import endless  # noqa: E402
import runner  # noqa: E402

TIMEOUT_MS, DEADLINE_MS, AIM_MS, RATE = 6000, 14000, 2000, 60
PATIENCE_MS = 4 * AIM_MS  # callers abandon a stream after a gap of four times the objective


async def main(case):
    """Runs the case."""
    routes = [endless.route("summary", "streaming", "draft", TIMEOUT_MS, AIM_MS, 1)]
    return await endless.run(case, routes, "draft", lambda routers: endless.Load(
        case, routers, ["summary"], TIMEOUT_MS, DEADLINE_MS, PATIENCE_MS, RATE), "endless-body", slots=64, work_ms=200,
        streams=True)


runner.play(main)
