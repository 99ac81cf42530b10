"""Stand-in for one backend server. Usage: backend.py ID SERVICE STAGE PORT PUBLIC_ADDRESS STORE_ADDRESS SEED

STAGE is prefill, decode or none. It prints a JSON line for each request that begins or ends here. SIGTERM makes it report
that it drains; it then serves on for two seconds and leaves.
"""
import asyncio
import json
import random
import signal
import sys
import time

import wirehttp

DRAIN_SECONDS = 2.6  # a little longer than the time after which routers must send nothing more
EVENTS = 12
CAPACITY = 60000  # tokens
ID, SERVICE, STAGE, PORT, ADDRESS, STORE, SEED = sys.argv[1:8]


class Backend:
    """State of the backend server."""

    def __init__(self):
        self.random = random.Random(SEED)
        self.draining = False
        self.taken = 0
        self.handles = {}
        self.holds = {}

    @staticmethod
    def say(event, request="", **more):
        """Prints what happened."""
        print(json.dumps({"event": event, "backend": ID, "request": request, "t": time.time(), **more}), flush=True)

    def held(self):
        """Returns the tokens of reservations in force."""
        now = time.monotonic()
        self.holds = {key: hold for key, hold in self.holds.items() if hold[1] > now}
        return sum(tokens for tokens, _ in self.holds.values())

    async def beat(self):
        """Registers again and again."""
        while True:
            entry = {"Service": SERVICE, "Address": ADDRESS, "Zone": "z1", "Version": "v1", "Slots": 8,
                     "State": "draining" if self.draining else "ready", "ColdLeftMs": 0, "Sequence": 1}
            if STAGE != "none":
                entry["Stage"] = STAGE
            try:
                body = json.dumps({"key": f"servers/{ID}", "value": json.dumps(entry)}).encode()
                await wirehttp.exchange(STORE, "POST", "/standin/beat", body=body, timeout=1)
                if self.draining:
                    self.say("drain-acknowledged")
                    return
            except wirehttp.Broken:
                pass
            await asyncio.sleep(0.6)

    async def leave(self):
        """Drains and ends the process."""
        self.draining = True
        await self.beat()
        await asyncio.sleep(DRAIN_SECONDS)
        try:
            body = json.dumps({"key": f"servers/{ID}", "value": None}).encode()
            await wirehttp.exchange(STORE, "POST", "/standin/beat", body=body, timeout=1)
        except wirehttp.Broken:
            pass
        asyncio.get_running_loop().stop()

    async def run_request(self, reader, writer, head, body):
        """Answers one request of a caller; returns whether the connection may be kept."""
        method, target, _ = head[0].split()
        headers = head[1]
        request = headers.get("request-id", "")
        own = {"Request-Id": request, "Server-Stamp": f"{ID}.{request}"}
        refusal = {"Request-Id": request, "Not-Executed": "1"}
        if headers.get("expect-instance") not in (None, ID):
            writer.write(wirehttp.message("HTTP/1.1 421 X", {**refusal, "Instance-Id": ID}))
            return True
        if STAGE == "prefill":
            if headers.get("stage") != "prefill":
                writer.write(wirehttp.message("HTTP/1.1 421 X", refusal))
                return True
            await asyncio.sleep(0.02)
            handle = f"{self.random.getrandbits(40):x}"
            self.handles[handle] = request
            answer = json.dumps({"Handle": handle, "Tokens": 100, "Version": 1}).encode()
            writer.write(wirehttp.message("HTTP/1.1 200 OK", {**own, "Content-Type": "application/json"}, answer))
            return True
        tokens = int(headers.get("token-count", "0,0").split(",")[0])
        hold = self.holds.pop(headers.get("kv-hold"), None)
        if hold is None and self.taken + self.held() + tokens > CAPACITY:
            writer.write(wirehttp.message("HTTP/1.1 503 X", refusal))
            return True
        self.taken += tokens
        left = int(headers.get("deadline-ms", "-1"))
        self.say("run", request, method=method, target=target, body=body.decode("latin1"), left=left,
                 forged=headers.get("kv-backup", ""))
        gone = asyncio.ensure_future(reader.read(1))
        complete = False
        try:
            if STAGE == "decode":
                complete = await self.stream(writer, own, headers, gone)
            else:
                await asyncio.wait([gone], timeout=self.random.uniform(0.005, 0.06))
                if not gone.done():
                    writer.write(wirehttp.message("HTTP/1.1 200 OK", own, f"answer to {request}".encode()))
                    await writer.drain()
                    complete = True
        finally:
            self.taken -= tokens
            self.say("end", request, complete=complete)
            gone.cancel()
        return False

    async def stream(self, writer, own, headers, gone):
        """Sends events; returns whether all were sent."""
        start = int(headers.get("last-event-id", "0"))
        lines = [f"{name}: {value}" for name, value in own.items()]
        writer.write(("HTTP/1.1 200 OK\r\n" + "\r\n".join(lines) + "\r\nTransfer-Encoding: chunked\r\n\r\n").encode())
        for number in range(start + 1, EVENTS + 1):
            await asyncio.wait([gone], timeout=0.03)
            if gone.done():
                return False
            event = f"id: {number}\ndata: {own['Request-Id']}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    async def serve(self, reader, writer):
        """Answers the requests of one connection."""
        try:
            while head := await wirehttp.read_head(reader):
                method, target, _ = head[0].split()
                body = await wirehttp.read_body(reader, head[1])
                if target == "/cyclamencross/hold-take":
                    wanted = json.loads(body)
                    if self.taken + self.held() + wanted["Tokens"] > CAPACITY:
                        writer.write(wirehttp.message("HTTP/1.1 503 X", {}))
                    else:
                        hold = f"{self.random.getrandbits(40):x}"
                        self.holds[hold] = (wanted["Tokens"], time.monotonic() + wanted["TtlMs"] / 1000)
                        writer.write(wirehttp.message("HTTP/1.1 200 OK", {}, json.dumps({"Hold": hold}).encode()))
                elif target.startswith("/cyclamencross/"):
                    writer.write(wirehttp.message("HTTP/1.1 200 OK", {}))
                elif not await self.run_request(reader, writer, head, body):
                    break
                await writer.drain()
        except (wirehttp.Broken, ConnectionError, OSError):
            pass
        finally:
            writer.close()


def main():
    """Runs until the process is ended."""
    loop = asyncio.new_event_loop()
    backend = Backend()
    loop.run_until_complete(asyncio.start_server(backend.serve, "127.0.0.1", int(PORT)))
    loop.add_signal_handler(signal.SIGTERM, lambda: loop.create_task(backend.leave()))
    beats = loop.create_task(backend.beat())
    Backend.say("listening")
    loop.run_forever()
    del beats


main()
