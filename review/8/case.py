"""Case 8: an engine sends bytes that never become an answer; the request is never answered."""
import asyncio
import json
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import runner  # noqa: E402
import store as platform  # noqa: E402

FAULTY_SHARE = 0.05  # of the answers of one engine of three, in each service
SECONDS = 20
# Plain requests: time limit of the route, deadline of the callers, requests a second.
PLAIN_TIMEOUT_MS, PLAIN_DEADLINE_MS, PLAIN_RATE = 800, 6000, 100
# Streams: the same, and the objective. Callers abandon a stream after a gap of four times the objective.
STREAM_TIMEOUT_MS, STREAM_DEADLINE_MS, STREAM_RATE, STREAM_AIM_MS = 6000, 14000, 60, 2000


def configuration():
    """Returns the operator's configuration."""
    def route(name, kind, service, timeout, aim, attempts):
        return {"Name": name, "Host": "visits.example", "PathPrefix": f"/{name}/", "Kind": kind, "Priority": 2,
                "TimeoutMs": timeout, "TargetLatencyMs": aim, "Service": service, "MaxAttempts": attempts,
                "StickySessions": False, "AllowResume": False, "GapAimMs": 300}
    return {"Version": 3,
            "Routes": [route("history", "idempotent", "dispatch-app", PLAIN_TIMEOUT_MS, 300, 2),
                       route("book", "non_idempotent", "dispatch-app", PLAIN_TIMEOUT_MS, 300, 1),
                       route("summary", "streaming", "draft", STREAM_TIMEOUT_MS, STREAM_AIM_MS, 1)],
            "Services": [{"Name": name, "HealthPath": "/health", "MaxConnections": 214}
                         for name in ("dispatch-app", "draft")],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000,
                       "IdleTimeoutMs": 15000}}


class Load:
    """Requests of one service, and how long they lasted."""

    def __init__(self, case, routers, kinds, timeout_ms, deadline_ms, patience_ms, rate):
        self.case, self.routers, self.kinds, self.rate = case, routers, kinds, rate
        self.timeout, self.deadline_ms, self.patience = timeout_ms / 1000, deadline_ms, patience_ms / 1000
        self.draws, self.sent, self.late, self.held, self.unanswered, self.longest = random.Random(7), 0, 0, 0, 0, 0.0

    async def one(self, number):
        """Sends one request."""
        kind = self.draws.choice(self.kinds)
        method = "GET" if kind == "history" else "POST"
        headers = {"Host": "visits.example", "Request-Id": f"{kind}{number:04x}", "Deadline-Ms": str(self.deadline_ms)}
        if kind == "summary":
            headers |= {"Model": "m", "Token-Count": "1460,80", "Prompt-Prefix": f"5c1e07a2:800,{number:x}:660"}
        status, _, _, seconds = await self.case.request(self.draws.choice(self.routers).front, method,
                                                        f"/{kind}/{number}", headers,
                                                        b"x" * 600 if method == "POST" else b"", limit=self.patience)
        self.sent += 1
        self.longest = max(self.longest, seconds)
        self.late += seconds > self.timeout
        self.held += seconds > self.timeout + 0.5
        self.unanswered += status == -1

    async def run(self):
        """Sends all requests."""
        tasks = []
        for number in range(self.rate * SECONDS):
            tasks.append(asyncio.ensure_future(self.one(number)))
            await asyncio.sleep(1 / self.rate)
        await asyncio.gather(*tasks)

    def is_broken(self):
        """Returns whether the rule is broken."""
        return self.held >= 8 and self.held > self.late / 4

    def text(self):
        """Returns what was seen."""
        return (f"{'/'.join(self.kinds)}: {self.sent} requests; {self.late} lasted longer than TimeoutMs "
                f"({self.timeout:.1f} s); {self.held} had no final answer 0.5 s after it; {self.unanswered} had none when "
                f"their callers left after {self.patience:.1f} s; the longest lasted {self.longest:.2f} s")


async def main(case):
    """Runs the case."""
    store = platform.Store()
    address = await store.start(case.ip(1))
    store.put("op/config", json.dumps(configuration()))
    zones = ["zilina-a", "martin-b", "trencin-c"]
    faulty = []
    for number, zone in enumerate(zones):
        for service, fault, streams, work, slots in (("dispatch-app", "endless-head", False, 60, 6),
                                                     ("draft", "endless-body", True, 200, 64)):
            fault = fault if case.trouble and number == 0 else "none"
            engine = case.add(runner.Engine(case, store, f"i-{service}-{number}", service,
                                            case.ip(20 + number + 10 * streams), zone, slots=slots, work_ms=work,
                                            fault=fault, share=FAULTY_SHARE, streams=streams))
            await engine.start()
            faulty += [engine] if number == 0 else []
    routers = [case.add(runner.Router(case, f"front-{number}", case.ip(40 + number), zones[number], address))
               for number in range(3)]
    for router in routers:
        await router.start()
    if not await case.wait_ready(routers):
        return await case.finish(2, "the routers are not ready")
    await asyncio.sleep(4.0)  # longer than ContactMs
    plain = Load(case, routers, ["history", "book"], PLAIN_TIMEOUT_MS, PLAIN_DEADLINE_MS, PLAIN_DEADLINE_MS, PLAIN_RATE)
    streams = Load(case, routers, ["summary"], STREAM_TIMEOUT_MS, STREAM_DEADLINE_MS, 4 * STREAM_AIM_MS, STREAM_RATE)
    await asyncio.gather(plain.run(), streams.run())
    met = ", ".join(f"{len(engine.faulty)} at {engine.id}" for engine in faulty)
    return await case.finish(1 if plain.is_broken() or streams.is_broken() else 0,
                             f"{plain.text()}. {streams.text()}. Requests that met a faulty engine: {met}")


runner.play(main)
