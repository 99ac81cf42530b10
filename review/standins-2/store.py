"""The platform's store as PROTOCOL.md describes it, in memory, served with asyncio inside the runner of a case."""
import asyncio
import base64
import json
import time
import urllib.parse

PAGE_ITEMS, PAGE_BYTES = 500, 1 << 20
HISTORY_SECONDS = 20.0


class Store:
    """The items, leases and recent changes."""

    def __init__(self):
        self.revision, self.items, self.history, self.leases = 1, {}, [], {}
        self.dropped_until = 0  # revision up to which the history is gone
        self.changed = asyncio.Event()
        self.next_lease = 1
        self.ticker = None
        self.refused = set()  # names of the machines that the store turns away with 503

    def put(self, key, value, lease=0):
        """Writes an item; returns its revision."""
        self.revision += 1
        created = self.items.get(key, {}).get("CreatedAt", self.revision)
        event = {"Key": key, "Value": base64.b64encode(value.encode()).decode(), "Revision": self.revision,
                 "CreatedAt": created, "Lease": lease}
        self.items[key] = event
        self.note(event)
        return self.revision

    def put_server(self, server_id, entry):
        """Writes what an engine says of itself; the entry changes when more than Sequence changes."""
        key = f"servers/{server_id}"
        old = self.items.get(key)
        if old:
            before = json.loads(base64.b64decode(old["Value"]))
            if {**before, "Sequence": 0} == {**entry, "Sequence": 0}:
                return old["Revision"]
        return self.put(key, json.dumps(entry))

    def delete(self, key):
        """Removes an item if there is one."""
        if self.items.pop(key, None):
            self.revision += 1
            self.note({"Key": key, "Revision": self.revision, "Removed": True})

    def note(self, event):
        """Adds an event to the history and wakes the watches."""
        self.history.append((time.monotonic(), event))
        self.changed.set()
        self.changed = asyncio.Event()

    def expire(self):
        """Ends leases that have run out, and drops old history."""
        now = time.monotonic()
        for lease in [name for name, (end, _) in self.leases.items() if end < now]:
            self.end_lease(lease)
        while self.history and now - self.history[0][0] > HISTORY_SECONDS:
            self.dropped_until = self.history.pop(0)[1]["Revision"]

    def end_lease(self, lease):
        """Ends a lease and removes its keys."""
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["Lease"] == lease]:
            self.delete(key)

    def range(self, prefix, after):
        """Returns one page of items."""
        items, size, more = [], 0, False
        for key in sorted(self.items):
            if not key.startswith(prefix) or key <= after:
                continue
            size += len(self.items[key]["Value"]) * 3 // 4
            if items and (len(items) >= PAGE_ITEMS or size > PAGE_BYTES):
                more = True
                break
            items.append(self.items[key])
        return 200, {"items": items, "HasMore": more, "At": self.revision}

    async def watch(self, prefix, after, wait):
        """Returns the events after a revision, as soon as there is one."""
        end = time.monotonic() + wait
        while True:
            if after < self.dropped_until:
                return 410, {}
            events = [event for _, event in self.history
                      if event["Revision"] > after and event["Key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "At": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, body):
        """Performs a transaction."""
        rows = body.get("Expected", [])
        if any(self.items.get(row["Key"], {}).get("Revision", 0) != row["Revision"] for row in rows):
            return 412, {"items": [self.items[row["Key"]] for row in rows if row["Key"] in self.items]}
        writes, deletes = body.get("Writes", []), body.get("Deletes", [])
        if any(key.startswith(("op/", "servers/")) for key in [write["Key"] for write in writes] + deletes):
            return 403, {}
        if any(write.get("Lease", 0) and write["Lease"] not in self.leases for write in writes):
            return 404, {}
        for write in writes:
            self.put(write["Key"], base64.b64decode(write["Value"]).decode(), write.get("Lease", 0))
        for key in deletes:
            self.delete(key)
        return 200, {"Revision": self.revision}

    async def answer(self, method, target, body):
        """Performs one call."""
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        name = url.path.removeprefix("/cyclamencross/")
        if name == "kv-key":
            item = self.items.get(query.get("Key", ""))
            return (200, item) if item else (404, {})
        if name == "kv-range":
            return self.range(query.get("PathPrefix", ""), query.get("after", ""))
        if name == "kv-watch":
            return await self.watch(query.get("PathPrefix", ""), int(query["after"]), int(query["WaitMs"]) / 1000)
        if name == "kv-lease":
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[lease] = (time.monotonic() + body["TtlMs"] / 1000, body["TtlMs"])
            return 200, {"Lease": lease, "TtlMs": body["TtlMs"]}
        if name.startswith(("kv-keep/", "kv-lease-end/")):
            lease = int(name.split("/")[1])
            if lease not in self.leases:
                return 404, {}
            if method == "DELETE":
                self.end_lease(lease)
                return 200, {}
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"TtlMs": ttl}
        if name == "kv-txn":
            return self.transact(body)
        return 404, {}

    async def serve(self, reader, writer, machine):
        """Serves one connection of a machine."""
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
                lines = head.split("\r\n")
                method, target, _ = lines[0].split(" ")
                length = next((int(line.split(":")[1]) for line in lines if line.lower().startswith("content-length:")),
                              0)
                raw = await reader.readexactly(length) if length else b""
                status, content = 503, {}
                if machine not in self.refused:
                    status, content = await self.answer(method, target, json.loads(raw or b"{}"))
                if machine in self.refused:
                    status, content = 503, {}  # nothing was done, or a watch that waited is cut short
                text = json.dumps(content).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            writer.close()

    async def start(self, ip, machine=""):
        """Opens a port for a machine; returns the address."""
        server = await asyncio.start_server(lambda reader, writer: self.serve(reader, writer, machine), ip, 0)
        self.ticker = self.ticker or asyncio.ensure_future(self.tick())
        return f"{ip}:{server.sockets[0].getsockname()[1]}"

    async def tick(self):
        """Expires leases and history."""
        while True:
            await asyncio.sleep(0.05)
            self.expire()
