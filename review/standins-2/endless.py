"""Load on one service of which an engine gives answers that never end, and the check of its requests (cases 8 and 9)."""
import asyncio
import json
import random

import runner
import store as platform

FAULTY_SHARE = 0.05  # of the answers of one engine of three
SECONDS = 20
BREAKING = 8  # requests that the rule needs


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
        return self.held >= BREAKING and self.held > self.late / 4

    def text(self):
        """Returns what was seen."""
        return (f"{'/'.join(self.kinds)}: {self.sent} requests; {self.late} lasted longer than TimeoutMs "
                f"({self.timeout:.1f} s); {self.held} had no final answer 0.5 s after it; {self.unanswered} had none when "
                f"their callers left after {self.patience:.1f} s; the longest lasted {self.longest:.2f} s")



async def run(case, routes, service, load, fault, **engine_options):
    """Starts a small deployment with one service, sends the load and judges it. `load` takes the routers."""
    store = platform.Store()
    address = await store.start(case.ip(1))
    store.put("op/config", json.dumps({
        "Version": 3, "Routes": routes,
        "Services": [{"Name": service, "HealthPath": "/health", "MaxConnections": 214}],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}}))
    zones = ["zilina-a", "martin-b", "trencin-c"]
    engines = []
    for number, zone in enumerate(zones):
        faulty = case.trouble and number == 0
        engine = case.add(runner.Engine(case, store, f"i-{number}", service, case.ip(20 + number), zone,
                                        fault=fault if faulty else "none", share=FAULTY_SHARE, **engine_options))
        await engine.start()
        engines.append(engine)
    routers = [case.add(runner.Router(case, f"front-{number}", case.ip(40 + number), zones[number], address))
               for number in range(3)]
    for router in routers:
        await router.start()
    if not await case.wait_ready(routers):
        return await case.finish(2, "the routers are not ready")
    await asyncio.sleep(4.0)  # longer than ContactMs
    requests = load(routers)
    await requests.run()
    return await case.finish(1 if requests.is_broken() else 0,
                             f"{requests.text()}. {len(engines[0].faulty)} requests met the faulty engine")


def route(name, kind, service, timeout_ms, aim_ms, attempts):
    """Returns a route of the configuration."""
    return {"Name": name, "Host": "visits.example", "PathPrefix": f"/{name}/", "Kind": kind, "Priority": 2,
            "TimeoutMs": timeout_ms, "TargetLatencyMs": aim_ms, "Service": service, "MaxAttempts": attempts,
            "StickySessions": False, "AllowResume": False, "GapAimMs": 300}
