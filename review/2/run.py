"""All machines of a small deployment are stopped and started in turn while clients ask for drafts that take some
seconds. Rule LOST is checked on the requests that a machine took later than three seconds after its SIGTERM."""
import asyncio
import json
import os
import random
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.append(os.path.join(os.path.dirname(HERE), "standins"))
import standplatform as stand  # noqa: E402
import wirehttp  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GRACE_S = 8.0  # GraceS
GAP_S = 1.0  # smallest gap_s of roll_term in the site files in force
EXCUSED_S = 3.0  # of a request sent no later than that after the SIGTERM, the rule excuses more
DEADLINE_S = 14.0  # deadline and TimeoutMs of a draft
TOKENS = (2000, 170)  # prompt and output; the largest output of the site file
STEP_MS = 28.0  # an engine that runs many requests; the sheet allows pauses of 300 ms


class Client:
    """A client that asks a node of `directory` for addresses and keeps the answer for TtlS."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.addresses, self.until = [], 0.0

    async def address(self):
        """Returns the address for a new connection, or None if there is none."""
        record = self.deployment.record
        if record.now() >= self.until:
            nodes = list(self.deployment.routers.values())
            random.shuffle(nodes)
            for node in nodes[:3]:
                try:
                    answer = await wirehttp.exchange(
                        node.directory, "GET", f"/cyclamencross/resolve?Name={stand.HOST}&Region=sk-north&Zone=z1",
                        timeout=1)
                    content = json.loads(answer[2])
                except (wirehttp.ConnectionBroken, ValueError):
                    continue
                if content.get("Addresses"):
                    self.addresses = content["Addresses"]
                    self.until = record.now() + min(content["TtlS"], 5)
                    break
        return random.choice(self.addresses) if self.addresses else None


async def traffic(deployment, attempts, until):
    """Sends drafts from several clients."""
    clients = [Client(deployment) for _ in range(8)]
    by_address = {router.front: name for name, router in deployment.routers.items()}
    tasks = []

    async def one(client, request):
        address = await client.address()
        if address is None:
            return
        attempt = stand.Attempt(request)
        attempts.append(attempt)
        headers = {"Model": "m", "Token-Count": f"{TOKENS[0]},{TOKENS[1]}", "Length-Hint": str(TOKENS[1]),
                   "Prompt-Prefix": f"{random.getrandbits(32):08x}:{TOKENS[0]}"}
        await stand.send(deployment.record, by_address[address], address, attempt, "POST", "/note/1", headers, b"{}",
                         DEADLINE_S)

    while deployment.record.now() < until:
        tasks.append(asyncio.ensure_future(one(random.choice(clients), f"note-{len(tasks) + 1:05d}")))
        await asyncio.sleep(random.expovariate(6.0))
    await asyncio.gather(*tasks)


async def roll(deployment, stops):
    """Stops the machines in turn, each GAP_S, and starts each again when it has ended."""
    async def one(router):
        stops[router.name] = deployment.record.now()
        router.send(signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE_S):
                await router.process.wait()
        except TimeoutError:
            router.send(signal.SIGKILL)
            await router.process.wait()
        after = round(deployment.record.now() - stops[router.name], 3)
        deployment.record.add("ended", router=router.name, after=after, code=router.process.returncode)
        await asyncio.sleep(0.5)
        await router.start()

    tasks = []
    for router in list(deployment.routers.values()):
        tasks.append(asyncio.ensure_future(one(router)))
        await asyncio.sleep(GAP_S)
    await asyncio.gather(*tasks)


async def case():
    """Runs the case. Returns whether the rule held."""
    deployment = stand.Deployment(HERE)
    record = deployment.record
    attempts, stops = [], {}
    ran = {}
    try:
        await deployment.begin(stand.configuration(7, [
            stand.route("note", "/note/", "streaming", "llm", int(DEADLINE_S * 1000), 900, 1, AllowResume=False,
                        StickySessions=True, GapAimMs=300)]))
        for name, stage in (("i-p1", "prefill"), ("i-p2", "prefill"), ("i-d1", "decode"), ("i-d2", "decode"),
                            ("i-d3", "decode"), ("i-d4", "decode")):
            await deployment.add_engine(name, "llm", stage, "zilina-a", step_ms=STEP_MS)
        for name in ("front-zilina-a-1", "front-martin-b-1", "front-trencin-c-1"):
            await deployment.add_router(name)
        for router in deployment.routers.values():
            await router.wait_ready()
        await asyncio.sleep(1)
        start = record.now()
        load = asyncio.ensure_future(traffic(deployment, attempts, start + 22))
        await asyncio.sleep(5)
        if TROUBLE:
            await roll(deployment, stops)
        await load
    finally:
        await deployment.end()
    lost, excused, complete = [], 0, 0
    for attempt in attempts:
        complete += attempt.complete
        if attempt.sent_at is None or attempt.complete or attempt.status != 200:
            continue
        stop = stops.get(attempt.router)
        took = attempt.ended_at - attempt.sent_at
        in_stop = stop is not None and stop <= attempt.ended_at <= stop + GRACE_S + 1
        if not in_stop or took >= DEADLINE_S - 0.1:
            continue
        if attempt.sent_at - stop <= EXCUSED_S:
            excused += 1
        else:
            after = attempt.sent_at - stop
            lost.append(f"{attempt.request}: sent to {attempt.router} {after:.2f} s after its SIGTERM, "
                        f"cut after {took:.2f} s and {attempt.events} of {TOKENS[1]} events")
    print(f"{len(attempts)} sent, {complete} whole, {excused} cut and excused, {len(lost)} lost")
    for line in lost:
        record.add("BROKEN", detail=line.replace(" ", "_"))
        print("LOST broken:", line)
    return not lost


stand.main(case)
