"""Callers of the soak test. As the platform specifies, they resolve a name to router addresses, cache these and connect
to them directly."""
import asyncio
import json
import random
import time

import wirehttp

DEADLINE_MS = {"once": 1500, "read": 1500, "stream": 6000, "stream-once": 6000, "stream-long": 14000, "bad-part": 6000}
PATHS = {"once": ("POST", "/plain/"), "read": ("GET", "/read/"), "stream": ("POST", "/stream/"),
         "stream-once": ("POST", "/once/"), "stream-long": ("POST", "/long/"), "bad-part": ("POST", "/stream/")}
BAD_PART_SHARE = 0.2  # share of the streams that contain the part, while there is one


class Caller:
    """One caller with at most one open connection, which it reuses until the router closes it."""

    def __init__(self, fleet, guarantees, seed):
        self.fleet, self.guarantees = fleet, guarantees
        self.random = random.Random(seed)
        self.addresses, self.addresses_expire = [], 0.0
        self.reader = self.writer = None
        self.request_count, self.seed = 0, seed
        self.router = ""
        self.stopping = False

    async def resolve(self):
        """Updates the cached addresses if they have expired. Asks up to three routers."""
        if time.monotonic() < self.addresses_expire and self.addresses:
            return
        routers = list(self.fleet.routers.values())
        for router in self.random.sample(routers, min(3, len(routers))):
            try:
                target = "/cyclamencross/resolve?Name=h.example&Zone=z1"
                _, _, body = await wirehttp.exchange(f"127.0.0.1:{router.directory}", "GET", target, timeout=1.0)
                answer = json.loads(body)
                self.addresses = answer["Addresses"]
                self.addresses_expire = time.monotonic() + answer["TtlS"] * self.random.choice((1, 1, 3))
                return
            except (wirehttp.ConnectionBroken, ValueError, KeyError):
                continue

    async def connect(self):
        """Opens a connection if there is none."""
        if self.writer is not None:
            return
        await self.resolve()
        address = self.random.choice(self.addresses or ["127.0.0.1:1"])
        self.router = address
        host, port = address.split(":")
        async with asyncio.timeout(1.0):
            self.reader, self.writer = await asyncio.open_connection(host, int(port))

    def disconnect(self):
        """Closes the connection."""
        if self.writer is not None:
            self.writer.transport.abort()
        self.reader = self.writer = None

    async def run(self):
        """Sends requests until `stopping` is set."""
        while not self.stopping:
            kind = self.random.choices(("once", "read", "stream", "stream-once", "stream-long"), (4, 4, 2, 2, 0.5))[0]
            if kind.startswith("stream") and self.fleet.bad_part and self.random.random() < BAD_PART_SHARE:
                kind = "bad-part"
            leave = self.random.random() < 0.08
            await self.request(kind, leave)
            await asyncio.sleep(self.random.expovariate(8))

    async def request(self, kind, leave):
        """Sends one request and records its result. With leave, the caller disconnects after a short random time."""
        self.request_count += 1
        request = f"{self.seed:x}x{self.request_count:x}"
        method, path = PATHS[kind]
        body = "x" * self.random.randrange(0, 3000) if method == "POST" else ""
        sent = {"kind": kind, "method": method, "target": f"{path}{self.request_count}", "body": body,
                "deadline_ms": DEADLINE_MS[kind], "sent_at": time.time()}
        headers = {"Host": "h.example", "Request-Id": request, "Deadline-Ms": str(DEADLINE_MS[kind]),
                   "Kv-Backup": "127.0.0.1:9"}
        if path in ("/stream/", "/once/", "/long/"):
            headers["Token-Count"] = f"{self.random.randrange(50, 4000)},{200 if kind == 'stream-long' else 100}"
            bad_part = f"{self.fleet.bad_part}:3," if kind == "bad-part" else ""
            headers["Prompt-Prefix"] = f"shared{self.random.randrange(3)}:5,{bad_part}{request}:40"
        status, answer, whole = 0, b"", False
        try:
            await self.connect()
            sent["router"] = self.router
            self.guarantees.sent[request] = sent
            async with asyncio.timeout(self.random.uniform(0.01, 0.3) if leave else DEADLINE_MS[kind] / 1000):
                encode = wirehttp.chunked_message if body and self.random.random() < 0.3 else wirehttp.message
                self.writer.write(encode(f"{method} {sent['target']} HTTP/1.1", headers, body.encode()))
                head = await wirehttp.read_head(self.reader)
                if head is None:
                    raise wirehttp.ConnectionBroken("closed")
                status = int(head[0].split()[1])
                if head[1].get("transfer-encoding") == "chunked":
                    while part := await wirehttp.read_chunk(self.reader):
                        answer += part
                else:
                    answer = await wirehttp.read_body(self.reader, head[1])
                whole = True
                if head[1].get("connection") == "close":
                    self.disconnect()
        except TimeoutError:
            sent["left_at"] = time.time()
            self.disconnect()
        except (wirehttp.ConnectionBroken, OSError):
            sent["cut_at"] = time.time()
            self.disconnect()
        if request in self.guarantees.sent:
            self.guarantees.on_answer(request, status, answer.decode("latin1"), whole)
