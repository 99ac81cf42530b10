"""Case 8: an engine sends the heads of interim answers without end; the request is never answered."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import endless  # noqa: E402
import runner  # noqa: E402

TIMEOUT_MS, DEADLINE_MS, RATE = 800, 6000, 100  # of the routes, of the callers, requests a second


async def main(case):
    """Runs the case."""
    routes = [endless.route("history", "idempotent", "dispatch-app", TIMEOUT_MS, 300, 2),
              endless.route("book", "non_idempotent", "dispatch-app", TIMEOUT_MS, 300, 1)]
    return await endless.run(case, routes, "dispatch-app", lambda routers: endless.Load(
        case, routers, ["history", "book"], TIMEOUT_MS, DEADLINE_MS, DEADLINE_MS, RATE), "endless-head")


runner.play(main)
