"""Emulates one backend server. Usage: backend.py ID SERVICE STAGE PORT PUBLIC_ADDRESS STORE_ADDRESS SEED

STAGE is prefill, decode or none. Prints a JSON line for each request that begins or ends here. On SIGTERM it registers
as draining, serves requests for another DRAIN_SECONDS, removes its registration and ends. From SIGUSR1 to SIGUSR2 its
answers name a limit of LIMIT requests per second. A decode engine crashes when it begins to answer a request with a
prompt part whose id begins with BAD_PART.
"""
import asyncio
import json
import os
import random
import signal
import sys
import time

import wirehttp

DRAIN_SECONDS = 2.6  # slightly longer than the time after which routers must not send new requests
EVENTS = 12
LONG_EVENTS = 150  # events of a stream of the route /long/: 4.5 s
CAPACITY = 60000  # tokens
LIMIT = 2.0
BAD_PART = "bad"
ID, SERVICE, STAGE, PORT, ADDRESS, STORE, SEED = sys.argv[1:8]


class Backend:
    """The state of the backend server and its request handlers."""

    def __init__(self):
        self.random = random.Random(SEED)
        self.draining = False
        self.used_tokens = 0
        self.handles = {}
        self.holds = {}
        self.limit_headers = {}

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
        """Renews the registration periodically until it has been registered as draining."""
        while True:
            entry = {"Service": SERVICE, "Address": ADDRESS, "Zone": "z1", "Version": "v1", "Slots": 8,
                     "State": "draining" if self.draining else "ready", "ColdLeftMs": 0, "Sequence": 1}
            if STAGE != "none":
                entry["Stage"] = STAGE
            try:
                body = json.dumps({"key": f"servers/{ID}", "value": json.dumps(entry)}).encode()
                await wirehttp.exchange(STORE, "POST", "/standin/beat", body=body, timeout=1)
                if self.draining:
                    self.log_event("drain-acknowledged")
                    return
            except wirehttp.ConnectionBroken:
                pass
            await asyncio.sleep(0.6)

    async def leave(self):
        """Drains, removes the registration and ends the process."""
        self.draining = True
        await self.send_heartbeats()
        await asyncio.sleep(DRAIN_SECONDS)
        try:
            body = json.dumps({"key": f"servers/{ID}", "value": None}).encode()
            await wirehttp.exchange(STORE, "POST", "/standin/beat", body=body, timeout=1)
        except wirehttp.ConnectionBroken:
            pass
        asyncio.get_running_loop().stop()

    def set_limit(self, limit):
        """Starts naming a limit, or stops if it is None."""
        self.limit_headers = {} if limit is None else {"Server-Limit": f"{limit:.1f}"}
        self.log_event("limit", limit=limit)

    async def run_request(self, reader, writer, head, body):
        """Answers one request of a caller. Returns whether the connection can be reused."""
        method, target, _ = head[0].split()
        headers = head[1]
        request = headers.get("request-id", "")
        answer_headers = {"Request-Id": request, "Server-Stamp": f"{ID}.{request}", **self.limit_headers}
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
        left = int(headers.get("deadline-ms", "-1"))
        self.log_event("run", request, method=method, target=target, body=body.decode("latin1"), left=left,
                       forged=headers.get("kv-backup", ""))
        bad_parts = [part for part in headers.get("prompt-prefix", "").split(",")[:-1] if part.startswith(BAD_PART)]
        if STAGE == "decode" and bad_parts:
            self.log_event("crash", request, part=bad_parts[0])
            os._exit(1)
        disconnect = asyncio.ensure_future(reader.read(1))
        complete = False
        try:
            if STAGE == "decode":
                count = LONG_EVENTS if target.startswith("/long/") else EVENTS
                complete = await self.stream(writer, answer_headers, headers, disconnect, count)
            else:
                await asyncio.wait([disconnect], timeout=self.random.uniform(0.005, 0.06))
                if not disconnect.done():
                    writer.write(wirehttp.message("HTTP/1.1 200 OK", answer_headers, f"answer to {request}".encode()))
                    await writer.drain()
                    complete = True
        finally:
            self.used_tokens -= tokens
            self.log_event("end", request, complete=complete)
            disconnect.cancel()
        return False

    async def stream(self, writer, answer_headers, headers, disconnect, count):
        """Sends the events of a stream. Returns whether all of them were sent."""
        start = int(headers.get("last-event-id", "0"))
        lines = [f"{name}: {value}" for name, value in answer_headers.items()]
        writer.write(("HTTP/1.1 200 OK\r\n" + "\r\n".join(lines) + "\r\nTransfer-Encoding: chunked\r\n\r\n").encode())
        for number in range(start + 1, count + 1):
            await asyncio.wait([disconnect], timeout=0.03)
            if disconnect.done():
                return False
            event = f"id: {number}\ndata: {answer_headers['Request-Id']}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    async def serve(self, reader, writer):
        """Handles the requests of one connection."""
        try:
            while head := await wirehttp.read_head(reader):
                method, target, _ = head[0].split()
                body = await wirehttp.read_body(reader, head[1])
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
    heartbeats = loop.create_task(backend.send_heartbeats())
    Backend.log_event("listening")
    loop.run_forever()
    del heartbeats


main()
