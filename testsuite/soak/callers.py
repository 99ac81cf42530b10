"""Callers of the soak test. As the platform specifies, they resolve a name to router addresses, cache these and connect
to them directly."""
import asyncio
import json
import random
import time

from link import Link
from requestkinds import KINDS, STREAM_PATHS, VARIED_EVENTS
from workspaces import headers_of
import wirehttp

BAD_PART_SHARE = 0.2  # share of the streams that contain the part, while there is one
LINK_DELAYS = (0, 0.005, 0.03, 0.15)  # seconds in each direction
READ_PAUSES = (0, 0, 0, 0.05, 0.12)  # seconds between two pieces that a caller reads
IDLE_RATES = (8, 8, 0.7)  # requests per second of time between requests
PIECES_SHARE = 0.4  # share of the bodies that are sent in pieces
SLOW_CALLERS, SLOW_PAUSE = 2, 0.12  # in runs with workspaces: callers that read slowly, and their pause
LARGE_MAXIMUM = (300, 1500, 4000)  # maximum output in tokens of streams of varied length


class Caller:
    """One caller with at most one open connection, which it reuses until the router closes it."""

    def __init__(self, fleet, guarantees, seed):
        self.fleet, self.guarantees = fleet, guarantees
        self.random = random.Random(seed)
        self.key_random = random.Random(seed)  # apart, so that keys do not change the requests of a seed
        self.addresses, self.addresses_expire = [], 0.0
        self.reader = self.writer = None
        self.request_count, self.seed = 0, seed
        self.router = ""
        self.stopping = False
        self.wake = asyncio.Event()  # ends the pause before the next request
        self.kinds = {"once": 4, "read": 4, "stream": 2, "stream-once": 2, "stream-long": 0.5}
        if fleet.options.varied_streams:
            self.kinds |= {"stream-varied": 1, "stream-varied-once": 1}
        if fleet.options.full_engines:
            self.kinds |= {"read-patient": 2}
        self.link_delay, self.read_pause, self.idle_rate = None, 0, IDLE_RATES[0]
        if fleet.options.links:
            self.link_delay, self.read_pause = self.random.choice(LINK_DELAYS), self.random.choice(READ_PAUSES)
            self.idle_rate = self.random.choice(IDLE_RATES)
            self.kinds |= {"read-large": 1}
        elif guarantees.workspaces and seed % 1000 < SLOW_CALLERS:
            self.link_delay, self.read_pause = 0, SLOW_PAUSE
            self.kinds |= {"read-large": 1}

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
        if isinstance(self.writer, Link) and (self.reader.at_eof() or self.reader.exception()):
            self.disconnect()
        if self.writer is not None:
            return
        await self.resolve()
        address = self.random.choice(self.addresses or ["127.0.0.1:1"])
        self.router = address
        host, port = address.split(":")
        async with asyncio.timeout(1.0):
            if self.link_delay is not None:
                link = Link(self.link_delay, self.read_pause)
                await link.open(host, int(port))
                self.reader, self.writer = link.reader, link
                return
            self.reader, self.writer = await asyncio.open_connection(host, int(port))

    def disconnect(self):
        """Closes the connection."""
        if self.writer is not None:
            (self.writer if isinstance(self.writer, Link) else self.writer.transport).abort()
        self.reader = self.writer = None

    async def run(self):
        """Sends requests until `stopping` is set."""
        while not self.stopping:
            kind = self.random.choices(list(self.kinds), list(self.kinds.values()))[0]
            if kind.startswith("stream") and self.fleet.bad_part and self.random.random() < BAD_PART_SHARE:
                kind = "bad-part"
            leave = self.random.random() < 0.08
            await self.request(kind, leave)
            self.wake.clear()
            try:
                await asyncio.wait_for(self.wake.wait(), self.random.expovariate(self.idle_rate))
            except TimeoutError:
                pass

    async def send(self, data, sent):
        """Sends a request, maybe in pieces, and records when its last byte was sent."""
        pieces = 1
        if self.link_delay is not None and sent["body"] and self.random.random() < PIECES_SHARE:
            pieces = self.random.randrange(2, 5)
        for _ in range(pieces - 1):
            cut = self.random.randrange(1, max(2, len(data)))
            self.writer.write(data[:cut])
            data = data[cut:]
            await asyncio.sleep(self.random.uniform(0.01, 0.3))
        sent["sent_at"] = time.time()
        self.writer.write(data)
        sent["whole_sent"] = True
        sent["link"] = self.writer if isinstance(self.writer, Link) else None

    async def request(self, kind, leave):
        """Sends one request and records its result. With leave, the caller disconnects after a short random time."""
        self.request_count += 1
        request = f"{self.seed:x}x{self.request_count:x}"
        method, path, deadline_ms, _ = KINDS[kind]
        body = "x" * self.random.randrange(0, 3000) if method == "POST" else ""
        target = f"{path}{self.request_count}"
        if path.startswith("/varied"):
            target += f"/{self.random.randrange(*VARIED_EVENTS)}"
        begun = time.time()
        sent = {"kind": kind, "method": method, "target": target, "body": body, "deadline_ms": deadline_ms,
                "begun_at": begun, "sent_at": begun, "whole_sent": False}
        headers = {"Host": "h.example", "Request-Id": request, "Deadline-Ms": str(deadline_ms),
                   "Kv-Backup": "127.0.0.1:9"}
        if self.guarantees.workspaces:
            sent["key"] = self.guarantees.workspaces.choose(self.key_random)
            headers |= headers_of(sent["key"])
        if path in STREAM_PATHS:
            maximum = 200 if kind == "stream-long" else 100
            maximum = self.random.choice(LARGE_MAXIMUM) if path.startswith("/varied") else maximum
            headers["Token-Count"] = f"{self.random.randrange(50, 4000)},{maximum}"
            bad_part = f"{self.fleet.bad_part}:3," if kind == "bad-part" else ""
            headers["Prompt-Prefix"] = f"shared{self.random.randrange(3)}:5,{bad_part}{request}:40"
        status, answer, whole = 0, b"", False
        try:
            connection = self.writer
            await self.connect()
            sent.update(router=self.router, kept=self.writer is connection)
            self.guarantees.sent[request] = sent
            async with asyncio.timeout(self.random.uniform(0.01, 0.3) if leave else deadline_ms / 1000):
                encode = wirehttp.chunked_message if body and self.random.random() < 0.3 else wirehttp.message
                await self.send(encode(f"{method} {target} HTTP/1.1", headers, body.encode()), sent)
                head = await wirehttp.read_head(self.reader)
                if head is None:
                    raise wirehttp.ConnectionBroken("closed")
                status = int(head[0].split()[1])
                sent["retry_after"] = head[1].get("retry-after")
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
            if sent.get("link"):
                sent.update(sent_at=max(sent["sent_at"], sent["link"].last_sent),
                            whole_sent=not sent["link"].unsent)
            self.disconnect()
        sent.pop("link", None)
        if request in self.guarantees.sent:
            self.guarantees.on_answer(request, status, answer.decode("latin1"), whole)
