#!/usr/bin/env python3
"""Measures what callers that do not read cost a router, and the callers that do.

Usage: slowcallers.py --binary PATH [--slow N] [--seconds S] [--memory-mib N] [--event-bytes N] [--answer-kib N]

One router, one decode engine, one plain service. The slow callers request streams, or large plain answers with
--answer-kib, and never read; each connects again when it is cut. Meanwhile others send plain requests and short streams
at a steady rate. Prints the statuses and latencies of the others, the router's peak resident memory (VmHWM), the largest
sum of unread bytes in the kernel's buffers of its caller connections, and its metrics about slow callers.
"""
import argparse
import asyncio
import collections
import json
import os
import socket
import sys
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.append(os.path.join(HERE, "soak"))
from fleet import ROUTER_SETTINGS, Process, free_ports  # noqa: E402
import wirehttp  # noqa: E402
from bodymemory import Measurement  # noqa: E402

EVENTS = 50  # of a stream for a slow caller
EVENT_PAUSE_S = 0.2
SHORT_EVENTS = 5
OTHERS_PERIOD_S = 0.05  # between two requests of the others of each kind
RECONNECT_S = 1.0


def config():
    """Returns a configuration with a plain and a streaming route."""
    def route(name, kind, service):
        return {"Name": name, "Host": "h.example", "PathPrefix": f"/{name}/", "Kind": kind, "TimeoutMs": 20000,
                "TargetLatencyMs": 400, "Priority": 1, "Service": service, "MaxAttempts": 1, "AllowResume": False,
                "GapAimMs": 100}
    engine = {"Slots": 2000, "KvCapacityTokens": 10000000, "HoldMs": 0, "HandleTtlS": 0.5}
    return {"Version": 1, "Routes": [route("plain", "non_idempotent", "app"), route("stream", "streaming", "llm")],
            "Services": [{"Name": "app", "HealthPath": "/health", "MaxConnections": 5000},
                         {"Name": "llm", "HealthPath": "/health", "MaxConnections": 5000, "Engine": engine}],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 1 << 20, "HeaderTimeoutMs": 5000,
                       "IdleTimeoutMs": 15000}}


class SlowCallers:
    """The processes of one run and its callers."""

    def __init__(self, options):
        self.options = options
        self.front = 0
        self.latencies = collections.defaultdict(list)
        self.statuses = collections.defaultdict(collections.Counter)
        self.longest_write = 0.0
        self.running_slow = self.most_running_slow = 0
        self.connects = 0
        self.began = 0.0
        self.broken_at = []  # seconds since the begin

    async def serve_backend(self, reader, writer):
        """Answers plain requests and streams; long ones to slow callers."""
        try:
            while (head := await wirehttp.read_head(reader)) is not None:
                await wirehttp.read_body(reader, head[1])
                request = head[1].get("request-id", "")
                headers = {"Request-Id": request, "Server-Stamp": "s"}
                slow = request.startswith("slow")
                if "/stream/" in head[0]:
                    await self.stream(writer, headers, slow)
                else:
                    size = self.options.answer_kib << 10 if slow else 100
                    writer.write(wirehttp.message("HTTP/1.1 200 OK", headers, b"x" * size))
                    await writer.drain()
        except (wirehttp.ConnectionBroken, ConnectionError):
            pass
        finally:
            writer.close()

    async def stream(self, writer, headers, slow):
        """Sends the events of one stream."""
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        writer.write(f"HTTP/1.1 200 OK\r\n{lines}Transfer-Encoding: chunked\r\n\r\n".encode())
        self.running_slow += slow
        self.most_running_slow = max(self.most_running_slow, self.running_slow)
        try:
            for number in range(1, (EVENTS if slow else SHORT_EVENTS) + 1):
                event = f"id: {number}\ndata: {'x' * (self.options.event_bytes if slow else 10)}\n\n".encode()
                begin = time.monotonic()
                writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                await writer.drain()
                self.longest_write = max(self.longest_write, time.monotonic() - begin)
                await asyncio.sleep(EVENT_PAUSE_S if slow else 0.002)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            self.running_slow -= slow

    async def be_slow(self, number, end):
        """Requests a stream or a large answer and never reads; begins again when the connection is reset."""
        await asyncio.sleep(number * 2.0 / max(1, self.options.slow))
        path = "/plain/x" if self.options.answer_kib else "/stream/x"
        loop = asyncio.get_running_loop()
        while time.monotonic() < end:
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.setblocking(False)
            try:
                await loop.sock_connect(sock, ("127.0.0.1", self.front))
                self.connects += 1
                headers = {"Host": "h.example", "Request-Id": f"slow{number}", "Token-Count": "100,250"}
                await loop.sock_sendall(sock, wirehttp.message(f"POST {path} HTTP/1.1", headers))
                while time.monotonic() < end and sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0:
                    if open_state(sock) != 1:
                        break
                    await asyncio.sleep(1.0)
            except OSError:
                pass
            sock.close()
            await asyncio.sleep(RECONNECT_S)

    async def be_prompt(self, kind, end):
        """Sends short requests one after another at a steady rate, each on a new connection."""
        number = 0
        work = []
        while time.monotonic() < end:
            number += 1
            work.append(asyncio.ensure_future(self.send_prompt(kind, number)))
            await asyncio.sleep(OTHERS_PERIOD_S)
        await asyncio.gather(*work)

    async def send_prompt(self, kind, number):
        """Sends one short request and records its status and latency."""
        begin = time.monotonic()
        try:
            status, _, _ = await wirehttp.exchange(f"127.0.0.1:{self.front}", "POST", f"/{kind}/x",
                                                   {"Host": "h.example", "Request-Id": f"o{kind}{number}",
                                                    "Token-Count": "10,5"}, timeout=10.0)
        except wirehttp.ConnectionBroken:
            status = "broken"
            self.broken_at.append(begin - self.began)
        self.statuses[kind][status] += 1
        self.latencies[kind].append((time.monotonic() - begin) * 1000)

    def kernel_bytes(self):
        """Returns the bytes in the send queues of the router's caller connections."""
        total = 0
        with open("/proc/net/tcp", encoding="ascii") as file:
            for line in list(file)[1:]:
                fields = line.split()
                if int(fields[1].split(":")[1], 16) == self.front and fields[3] != "0A":
                    total += int(fields[4].split(":")[0], 16)
        return total

    async def run(self):
        """Runs the measurement and prints the result."""
        folder = tempfile.mkdtemp(prefix="slowcallers-")
        with open(os.path.join(folder, "log.txt"), "wb") as log:
            store_port, self.front, ready, directory, peers, metrics, backend = free_ports(7)
            store_address = f"127.0.0.1:{store_port}"
            store = Process("store", [sys.executable, f"{HERE}/soak/store.py", str(store_port)], log)
            settings = ROUTER_SETTINGS.format(name="r0", front=self.front, ready=ready, directory=directory,
                                              peers=peers, store=store_port)
            settings = settings.replace("memory_mib = 96", f"memory_mib = {self.options.memory_mib}")
            settings = settings.replace("descriptors = 1000", "descriptors = 6000")
            settings = settings.replace("[store]", f"metrics = 127.0.0.1:{metrics}\n[store]")
            path = os.path.join(folder, "router.ini")
            with open(path, "w", encoding="utf8") as file:
                file.write(settings)
            router = Process("r0", [os.path.abspath(self.options.binary), "router", "--settings", path], log)
            server = await asyncio.start_server(self.serve_backend, "127.0.0.1", backend, limit=1 << 20, backlog=2000)
            try:
                await store.start()
                await Measurement.retry(lambda: wirehttp.exchange(store_address, "POST", "/standin/mode", body=b"{}"))
                entry = {"Address": f"127.0.0.1:{backend}", "Zone": "z1", "Version": "v1", "Slots": 2000,
                         "State": "ready", "ColdLeftMs": 0, "Sequence": 1}
                items = {"op/config": config(), "servers/a1": {"Service": "app", **entry},
                         "servers/d1": {"Service": "llm", "Stage": "decode", **entry}}
                for key, value in items.items():
                    body = json.dumps({"key": key, "value": json.dumps(value)}).encode()
                    await wirehttp.exchange(store_address, "POST", "/standin/put", body=body)
                await router.start()
                await Measurement.retry(lambda: Measurement.expect_ready(ready))
                before = Measurement.memory(None, router)
                self.began = time.monotonic()
                end = time.monotonic() + self.options.seconds
                work = [asyncio.ensure_future(self.be_slow(number, end)) for number in range(self.options.slow)]
                work += [asyncio.ensure_future(self.be_prompt(kind, end)) for kind in ("plain", "stream")]
                kernel = 0
                while time.monotonic() < end:
                    kernel = max(kernel, self.kernel_bytes())
                    await asyncio.sleep(0.25)
                text = ""
                try:
                    _, _, body = await wirehttp.exchange(f"127.0.0.1:{metrics}", "GET", "/metrics", {"Host": "h"})
                    text = body.decode()
                except wirehttp.ConnectionBroken:
                    print("no metrics")
                await asyncio.gather(*work)
                self.report(before, Measurement.memory(None, router), kernel, text)
            finally:
                server.close()
                await router.end()
                await store.end()

    def report(self, before, after, kernel, metrics):
        """Prints the result."""
        for kind, latencies in self.latencies.items():
            ordered = sorted(latencies)
            print(f"{kind}: {dict(self.statuses[kind])}, median {ordered[len(ordered) // 2]:.1f} ms, "
                  f"99 in 100 {ordered[len(ordered) * 99 // 100]:.1f} ms, longest {ordered[-1]:.1f} ms")
        if self.broken_at:
            print(f"broken from {min(self.broken_at):.1f} to {max(self.broken_at):.1f} s after the begin")
        print(f"slow: {self.options.slow} callers, {self.connects} connections, at most {self.most_running_slow} streams "
              f"at once, longest write at the engine {self.longest_write * 1000:.0f} ms")
        print(f"VmHWM: {before:.1f} MB before, {after:.1f} MB after; send queues of the kernel at most "
              f"{kernel / 1e6:.1f} MB")
        for line in metrics.splitlines():
            if line.startswith(("cyclamencross_slow_callers", "cyclamencross_connections_refused",
                                "cyclamencross_unsent")):
                print(line)


def open_state(sock):
    """Returns the state of a TCP connection; 1 if it is established."""
    return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]


def main():
    """Parses the options and runs the measurement."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--binary", required=True)
    parser.add_argument("--slow", type=int, default=1000)
    parser.add_argument("--seconds", type=float, default=15)
    parser.add_argument("--memory-mib", type=int, default=96)
    parser.add_argument("--event-bytes", type=int, default=5000)
    parser.add_argument("--answer-kib", type=int, default=0, help="large plain answers instead of streams")
    asyncio.run(SlowCallers(parser.parse_args()).run())


if __name__ == "__main__":
    main()
