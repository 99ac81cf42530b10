"""Emulates one backend server.

Usage: backend.py ID SERVICE STAGE PORT PUBLIC_ADDRESS STORE_ADDRESS SEED CAPACITY SLOTS TELLS_LOAD

CAPACITY is the memory in tokens. A plain service with one slot takes longer for a request and runs one at a time.
With TELLS_LOAD 1, answers carry Server-Load with a time of work in percent of the usual one that changes at random.

STAGE is prefill, decode or none. Prints a JSON line for each request that begins or ends here. On SIGTERM it registers
as draining, serves requests for another DRAIN_SECONDS, removes its registration and ends. It repeats its registration
until then, since the store may lose it; a heartbeat that failed is sent again after RETRY_SECONDS. From SIGUSR1 to
SIGUSR2 its answers name a limit of LIMIT requests per second. A decode engine crashes when it begins to answer a
request with a prompt part whose id begins with BAD_PART.
"""
import asyncio
import json
import os
import random
import signal
import sys
import time

from requestkinds import EVENT_SECONDS, event_count, plain_answer
import wirehttp

DRAIN_SECONDS = 2.6  # slightly longer than the time after which routers must not send new requests
SILENT_SHARE, SILENT_SECONDS = 0.1, (1.0, 5.0)  # streams of varied length with a pause, and its length
RETRY_SECONDS = (0.1, 1.2)  # time after a heartbeat that failed until the next
LIMIT = 2.0
BAD_PART = "bad"
ID, SERVICE, STAGE, PORT, ADDRESS, STORE, SEED = sys.argv[1:8]
CAPACITY, SLOTS, TELLS_LOAD = (int(text) for text in sys.argv[8:11])
WORK_SECONDS = (0.005, 0.06) if SLOTS > 1 else (0.1, 0.5)


class Backend:
    """The state of the backend server and its request handlers."""

    def __init__(self):
        self.random = random.Random(SEED)
        self.draining = self.left = False
        self.drain_acknowledged = asyncio.Event()
        self.heartbeats = None
        self.used_tokens = self.running = 0
        self.load_random = random.Random(SEED + ID)  # apart, so that the figures do not change the work of a seed
        self.percent, self.percent_until = 100, 0.0
        self.handles = {}
        self.holds = {}
        self.limit_headers = {}
        self.plain_turn = asyncio.Semaphore(SLOTS if SLOTS == 1 else 1000)

    @staticmethod
    def log_event(event, request="", **more):
        """Prints an event as a JSON line."""
        print(json.dumps({"event": event, "backend": ID, "request": request, "t": time.time(), **more}), flush=True)

    def reserved_tokens(self):
        """Returns the number of tokens in reservations that have not expired."""
        now = time.monotonic()
        self.holds = {key: hold for key, hold in self.holds.items() if hold[1] > now}
        return sum(tokens for tokens, _ in self.holds.values())

    async def send_heartbeats(self):
        """Renews the registration periodically."""
        while True:
            entry = {"Service": SERVICE, "Address": ADDRESS, "Zone": "z1", "Version": "v1", "Slots": SLOTS,
                     "State": "draining" if self.draining else "ready", "ColdLeftMs": 0, "Sequence": 1}
            if STAGE != "none":
                entry["Stage"] = STAGE
            try:
                body = json.dumps({"key": f"servers/{ID}", "value": json.dumps(entry)}).encode()
                await wirehttp.exchange(STORE, "POST", "/standin/beat", body=body, timeout=1)
                if entry["State"] == "draining" and not self.drain_acknowledged.is_set():
                    self.drain_acknowledged.set()
                    self.log_event("drain-acknowledged")
                await asyncio.sleep(0.6)
            except wirehttp.ConnectionBroken:
                await asyncio.sleep(random.uniform(*RETRY_SECONDS))

    async def leave(self):
        """Drains, removes the registration and ends the process."""
        self.draining = True
        self.heartbeats.cancel()
        self.heartbeats = asyncio.ensure_future(self.send_heartbeats())
        await self.drain_acknowledged.wait()
        await asyncio.sleep(DRAIN_SECONDS)
        self.heartbeats.cancel()
        try:
            body = json.dumps({"key": f"servers/{ID}", "value": None}).encode()
            await wirehttp.exchange(STORE, "POST", "/standin/beat", body=body, timeout=1)
        except wirehttp.ConnectionBroken:
            pass
        self.left = True
        asyncio.get_running_loop().stop()

    def set_limit(self, limit):
        """Starts naming a limit, or stops if it is None."""
        self.limit_headers = {} if limit is None else {"Server-Limit": f"{limit:.1f}"}
        self.log_event("limit", limit=limit)

    def load_headers(self):
        """Returns the header with the load and the time that work takes, which changes about every 0.6 s."""
        if not TELLS_LOAD:
            return {}
        if time.monotonic() > self.percent_until:
            self.percent = self.load_random.choice((100, 100, 100, 100, 60, 250, 400))
            self.percent_until = time.monotonic() + self.load_random.uniform(0.1, 1.1)
        running = min(self.running, SLOTS)
        return {"Server-Load": f"{running},{self.running - running},{SLOTS},{self.percent}"}

    async def run_request(self, reader, writer, head, body):
        """Answers one request of a caller. Returns whether the connection can be reused."""
        method, target, _ = head[0].split()
        headers = head[1]
        request = headers.get("request-id", "")
        answer_headers = {"Request-Id": request, "Server-Stamp": f"{ID}.{request}", **self.limit_headers,
                          **self.load_headers()}
        refusal_headers = {"Request-Id": request, "Not-Executed": "1", **self.limit_headers}
        if headers.get("expect-instance") not in (None, ID):
            writer.write(wirehttp.message("HTTP/1.1 421 X", {**refusal_headers, "Instance-Id": ID}))
            return True
        if STAGE == "prefill":
            if headers.get("stage") != "prefill":
                writer.write(wirehttp.message("HTTP/1.1 421 X", refusal_headers))
                return True
            await asyncio.sleep(0.02)
            handle = f"{self.random.getrandbits(40):x}"
            self.handles[handle] = request
            answer = json.dumps({"Handle": handle, "Tokens": 100, "Version": 1}).encode()
            writer.write(wirehttp.message("HTTP/1.1 200 OK", {**answer_headers, "Content-Type": "application/json"},
                                          answer))
            return True
        tokens = int(headers.get("token-count", "0,0").split(",")[0])
        hold = self.holds.pop(headers.get("kv-hold"), None)
        if hold is None and self.used_tokens + self.reserved_tokens() + tokens > CAPACITY:
            writer.write(wirehttp.message("HTTP/1.1 503 X", refusal_headers))
            return True
        self.used_tokens += tokens
        self.running += 1
        left = int(headers.get("deadline-ms", "-1"))
        self.log_event("run", request, method=method, target=target, body=body.decode("latin1"), left=left,
                       forged=headers.get("kv-backup", ""))
        bad_parts = [part for part in headers.get("prompt-prefix", "").split(",")[:-1] if part.startswith(BAD_PART)]
        if STAGE == "decode" and bad_parts:
            self.log_event("crash", request, part=bad_parts[0])
            os._exit(1)
        disconnect = asyncio.ensure_future(reader.read(1))
        missing = 1.0  # seconds of work that are left
        try:
            if STAGE == "decode":
                missing = await self.stream(writer, answer_headers, headers, disconnect, target)
            else:
                turn = asyncio.ensure_future(self.plain_turn.acquire())
                await asyncio.wait([turn, disconnect], return_when=asyncio.FIRST_COMPLETED)
                await asyncio.wait([disconnect], timeout=self.random.uniform(*WORK_SECONDS))
                if not turn.cancel():
                    self.plain_turn.release()
                if not disconnect.done():
                    body = plain_answer(target, request).encode()
                    writer.write(wirehttp.message("HTTP/1.1 200 OK", answer_headers, body))
                    await writer.drain()
                    missing = 0
        finally:
            self.used_tokens -= tokens
            self.running -= 1
            self.log_event("end", request, complete=not missing, missing=missing, broke_off=self.left)
            disconnect.cancel()
        return False

    async def stream(self, writer, answer_headers, headers, disconnect, target):
        """Sends the events of a stream. Returns the seconds of work that were left when the router disconnected."""
        start, count = int(headers.get("last-event-id", "0")), event_count(target)
        silent_at, silence = 0, 0.0
        if target.startswith("/varied") and self.random.random() < SILENT_SHARE:
            silent_at, silence = self.random.randrange(start + 1, count + 2), self.random.uniform(*SILENT_SECONDS)
        lines = [f"{name}: {value}" for name, value in answer_headers.items()]
        writer.write(("HTTP/1.1 200 OK\r\n" + "\r\n".join(lines) + "\r\nTransfer-Encoding: chunked\r\n\r\n").encode())
        for number in range(start + 1, count + 1):
            pause = EVENT_SECONDS + (silence if number == silent_at else 0)
            begin = time.monotonic()
            await asyncio.wait([disconnect], timeout=pause)
            if disconnect.done():
                later = silence if number < silent_at else 0
                return max(EVENT_SECONDS, begin + pause - time.monotonic()) + (count - number) * EVENT_SECONDS + later
            event = f"id: {number}\ndata: {answer_headers['Request-Id']}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return 0

    async def serve(self, reader, writer):
        """Handles the requests of one connection."""
        try:
            while head := await wirehttp.read_head(reader):
                method, target, _ = head[0].split()
                body = await wirehttp.read_body(reader, head[1])
                if "x-api-key" in head[1] or not target.startswith("/cyclamencross/"):
                    self.log_event("seen", head[1].get("request-id", ""), tenant=head[1].get("tenant"),
                                   key="x-api-key" in head[1])
                if target == "/cyclamencross/hold-take":
                    reservation = json.loads(body)
                    if self.used_tokens + self.reserved_tokens() + reservation["Tokens"] > CAPACITY:
                        writer.write(wirehttp.message("HTTP/1.1 503 X", {}))
                    else:
                        hold = f"{self.random.getrandbits(40):x}"
                        self.holds[hold] = (reservation["Tokens"], time.monotonic() + reservation["TtlMs"] / 1000)
                        writer.write(wirehttp.message("HTTP/1.1 200 OK", {}, json.dumps({"Hold": hold}).encode()))
                elif target.startswith("/cyclamencross/"):
                    writer.write(wirehttp.message("HTTP/1.1 200 OK", {}))
                elif not await self.run_request(reader, writer, head, body):
                    break
                await writer.drain()
        except (wirehttp.ConnectionBroken, ConnectionError, OSError):
            pass
        finally:
            writer.close()


def main():
    """Serves requests until the process ends."""
    loop = asyncio.new_event_loop()
    backend = Backend()
    loop.run_until_complete(asyncio.start_server(backend.serve, "127.0.0.1", int(PORT)))
    loop.add_signal_handler(signal.SIGTERM, lambda: loop.create_task(backend.leave()))
    loop.add_signal_handler(signal.SIGUSR1, lambda: backend.set_limit(LIMIT))
    loop.add_signal_handler(signal.SIGUSR2, lambda: backend.set_limit(None))
    backend.heartbeats = loop.create_task(backend.send_heartbeats())
    Backend.log_event("listening")
    loop.run_forever()


main()
