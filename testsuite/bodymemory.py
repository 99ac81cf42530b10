#!/usr/bin/env python3
"""Measures the peak memory of a router while callers send large bodies at once.

Usage: bodymemory.py --binary PATH [--bodies N] [--mib N] [--chunked] [--answers] [--memory-mib N]

Each caller sends its body except for the last bytes. When all have done so or were refused, small requests are sent,
then the rest of the bodies. With --answers, the callers send small requests, whose answers have the size of the bodies.
Prints the statuses and the peak resident memory (VmHWM) of the router before and after.
"""
import argparse
import asyncio
import collections
import json
import os
import sys
import tempfile

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.append(os.path.join(HERE, "soak"))
from fleet import ROUTER_SETTINGS, Process, free_ports  # noqa: E402
import wirehttp  # noqa: E402

HELD_BACK = 5  # bytes at the end of a message that are sent later: the end of a chunked body
PIECE = 1 << 16
SMALL_REQUESTS = 50
SMALL_BYTES = 4096
ANSWER_DELAY_S = 0.3  # time that the backend server takes, so that its answers are held at the same time


def config(max_body):
    """Returns a configuration with one plain route."""
    route = {"Name": "plain", "Host": "h.example", "PathPrefix": "/", "Kind": "non_idempotent", "TimeoutMs": 20000,
             "TargetLatencyMs": 20000, "Priority": 1, "Service": "app", "MaxAttempts": 1, "AllowResume": False,
             "GapAimMs": 300}
    return {"Version": 1, "Routes": [route],
            "Services": [{"Name": "app", "HealthPath": "/health", "MaxConnections": 1000}],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": max_body, "HeaderTimeoutMs": 5000,
                       "IdleTimeoutMs": 15000}}


async def serve_backend(reader, writer):
    """Answers requests with as many bytes as their header Answer-Bytes names."""
    try:
        while (head := await wirehttp.read_head(reader)) is not None:
            await wirehttp.read_body(reader, head[1])
            size = int(head[1].get("answer-bytes", "2"))
            await asyncio.sleep(ANSWER_DELAY_S if size > SMALL_BYTES else 0)
            request = head[1].get("request-id", "")
            writer.write(wirehttp.message("HTTP/1.1 200 OK", {"Request-Id": request, "Server-Stamp": "s"}, b"x" * size))
            await writer.drain()
    except (wirehttp.ConnectionBroken, ConnectionError):
        pass
    finally:
        writer.close()


class Measurement:
    """One router, one backend server and the callers."""

    def __init__(self, options):
        self.options = options
        self.front = 0
        self.sent = asyncio.Event()
        self.waiting = 0  # callers that have not sent their body yet and were not refused

    def memory(self, router):
        """Returns the peak resident memory of the router in MB."""
        with open(f"/proc/{router.child.pid}/status", encoding="utf8") as file:
            return next(int(line.split()[1]) * 1024 / 1e6 for line in file if line.startswith("VmHWM"))

    def message(self, number, body):
        """Returns the bytes of a request."""
        headers = {"Host": "h.example", "Request-Id": f"r{number}", "Deadline-Ms": "20000"}
        if self.options.answers:
            headers["Answer-Bytes"] = str(self.options.mib << 20)
        build = wirehttp.chunked_message if self.options.chunked else wirehttp.message
        return build(f"POST /{number} HTTP/1.1", headers, body)

    async def read_status(self, reader):
        """Returns the status of an answer, and whether it names a time to return and closes the connection."""
        try:
            head = await wirehttp.read_head(reader)
            if head is None:
                return "closed"
            await wirehttp.read_body(reader, head[1])
            marks = [name for name in ("retry-after", "connection") if name in head[1]]
            return " ".join([head[0].split()[1], *marks])
        except wirehttp.ConnectionBroken:
            return "broken"

    async def send_large(self, number):
        """Sends one large body, the last bytes of it only when all callers have sent theirs. Returns the status."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.front)
        size = SMALL_BYTES if self.options.answers else self.options.mib << 20
        message = self.message(number, b"x" * size)
        answer = asyncio.ensure_future(self.read_status(reader))
        try:
            for begin in range(0, len(message) - HELD_BACK, PIECE):
                if answer.done():
                    break
                writer.write(message[begin:min(begin + PIECE, len(message) - HELD_BACK)])
                await writer.drain()
        except ConnectionError:
            pass
        self.waiting -= 1
        if self.waiting == 0:
            self.sent.set()
        if not answer.done():
            await self.sent.wait()
            await asyncio.sleep(1.0)
            try:
                writer.write(message[-HELD_BACK:])
                await writer.drain()
            except ConnectionError:
                pass
        status = await answer
        writer.close()
        return status

    async def send_small(self, number):
        """Sends one small request while the large bodies are held. Returns its status."""
        await self.sent.wait()
        try:
            status, _, _ = await wirehttp.exchange(f"127.0.0.1:{self.front}", "POST", f"/small{number}",
                                                   {"Host": "h.example", "Request-Id": f"s{number}"},
                                                   b"x" * SMALL_BYTES)
            return str(status)
        except wirehttp.ConnectionBroken as error:
            return f"broken {error}"

    async def run(self):
        """Runs the measurement and prints the result."""
        folder = tempfile.mkdtemp(prefix="bodymemory-")
        with open(os.path.join(folder, "log.txt"), "wb") as log:
            store_port, self.front, ready, directory, peers, backend_port = free_ports(6)
            store_address = f"127.0.0.1:{store_port}"
            store = Process("store", [sys.executable, f"{HERE}/soak/store.py", str(store_port)], log)
            path = os.path.join(folder, "router.ini")
            settings = ROUTER_SETTINGS.format(name="r0", front=self.front, ready=ready, directory=directory,
                                              peers=peers, store=store_port)
            with open(path, "w", encoding="utf8") as file:
                file.write(settings.replace("memory_mib = 96", f"memory_mib = {self.options.memory_mib}"))
            router = Process("r0", [os.path.abspath(self.options.binary), "router", "--settings", path], log)
            server = await asyncio.start_server(serve_backend, "127.0.0.1", backend_port, limit=1 << 20)
            try:
                await store.start()
                await self.retry(lambda: wirehttp.exchange(store_address, "POST", "/standin/mode", body=b"{}"))
                entry = {"Service": "app", "Address": f"127.0.0.1:{backend_port}", "Zone": "z1", "Version": "v1",
                         "Slots": 500, "State": "ready", "ColdLeftMs": 0, "Sequence": 1}
                items = {"op/config": config(max(1, self.options.mib) << 20), "servers/a1": entry}
                for key, value in items.items():
                    body = json.dumps({"key": key, "value": json.dumps(value)}).encode()
                    await wirehttp.exchange(store_address, "POST", "/standin/put", body=body)
                await router.start()
                await self.retry(lambda: self.expect_ready(ready))
                before = self.memory(router)
                self.waiting = self.options.bodies
                work = [self.send_large(number) for number in range(self.options.bodies)]
                small = [self.send_small(number) for number in range(SMALL_REQUESTS)]
                statuses = await asyncio.gather(*work, *small)
                print("large:", dict(collections.Counter(statuses[:len(work)])),
                      "small:", dict(collections.Counter(statuses[len(work):])),
                      f"VmHWM: {before:.1f} MB before, {self.memory(router):.1f} MB after")
            finally:
                server.close()
                await router.end()
                await store.end()

    @staticmethod
    async def expect_ready(port):
        """Raises ConnectionBroken unless the router is ready."""
        status, _, _ = await wirehttp.exchange(f"127.0.0.1:{port}", "GET", "/cyclamencross/ready", {"Host": "h"})
        if status != 200:
            raise wirehttp.ConnectionBroken(f"status {status}")

    @staticmethod
    async def retry(action, tries=100):
        """Repeats an action until it succeeds."""
        for attempt in range(tries):
            try:
                return await action()
            except wirehttp.ConnectionBroken:
                if attempt + 1 == tries:
                    raise
                await asyncio.sleep(0.1)


def main():
    """Parses the options and runs the measurement."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--binary", required=True)
    parser.add_argument("--bodies", type=int, default=40)
    parser.add_argument("--mib", type=int, default=4)
    parser.add_argument("--memory-mib", type=int, default=96)
    parser.add_argument("--chunked", action="store_true")
    parser.add_argument("--answers", action="store_true", help="large answers instead of large requests")
    asyncio.run(Measurement(parser.parse_args()).run())


if __name__ == "__main__":
    main()
