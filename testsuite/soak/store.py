"""Emulates the key-value store of the platform. Usage: store.py PORT

Items are kept in memory. Backend servers register with POST /standin/beat. The soak test injects faults with
POST /standin/mode: responses are delayed, lost after the call took effect, or replaced by a refusal.

POST /standin/copy takes a copy of the store. POST /standin/return {"away_ms": N} cuts all calls for N ms and then
brings the store back from the copy: what was written since is gone, and revisions and lease numbers are given out
again. The header Store-Era of each answer rises by one then. Callers of /standin/put repeat their writes themselves.
"""
import asyncio
import base64
import json
import random
import sys
import time
import urllib.parse

import wirehttp

HISTORY = 2000  # number of changes kept for watches
REGISTRATION_TTL_SECONDS = 3.6  # time without a heartbeat after which a registration is removed


class Store:
    """The items, leases and recent changes of the store."""

    def __init__(self):
        self.revision = 1
        self.items = {}
        self.history = []
        self.leases = {}
        self.heartbeats = {}
        self.changed = asyncio.Event()
        self.mode = {}
        self.last_lease = 0
        self.era = 1
        self.away = False
        self.callers = set()  # open connections
        self.copy = None

    def take_copy(self):
        """Copies what the store holds, the leases with the time that is left of them."""
        now = time.monotonic()
        self.copy = {"revision": self.revision, "items": dict(self.items), "history": list(self.history),
                     "last_lease": self.last_lease, "heartbeats": list(self.heartbeats),
                     "leases": {lease: (end - now, ttl) for lease, (end, ttl) in self.leases.items()}}

    async def return_from_copy(self, away_seconds):
        """Cuts all calls for a while, then goes on from the copy in a new era."""
        self.away = True
        for writer in list(self.callers):
            writer.transport.abort()
        await asyncio.sleep(away_seconds)
        now = time.monotonic()
        self.revision, self.last_lease = self.copy["revision"], self.copy["last_lease"]
        self.items, self.history = dict(self.copy["items"]), list(self.copy["history"])
        self.leases = {lease: (now + left, ttl) for lease, (left, ttl) in self.copy["leases"].items()}
        # A backend server that has left since the copy sends no heartbeat, so its registration ends again.
        self.heartbeats = {key: now for key in self.copy["heartbeats"]}
        self.era += 1
        self.away = False

    def change(self, key, value, lease=0):
        """Writes an item, or removes it if the value is None."""
        self.revision += 1
        if value is None:
            self.items.pop(key, None)
            event = {"Key": key, "Revision": self.revision, "Removed": True}
        else:
            created = self.items.get(key, {}).get("CreatedAt", self.revision)
            event = {"Key": key, "Value": base64.b64encode(value).decode(), "Revision": self.revision,
                     "CreatedAt": created, "Lease": lease}
            self.items[key] = event
        self.history = (self.history + [event])[-HISTORY:]
        self.changed.set()
        self.changed = asyncio.Event()

    def expire(self):
        """Removes expired leases and registrations, and the items that belong to them."""
        now = time.monotonic()
        for lease in [lease for lease, (end, _) in self.leases.items() if end < now]:
            del self.leases[lease]
            for key in [key for key, item in self.items.items() if item["Lease"] == lease]:
                self.change(key, None)
        for key in [key for key, last_heartbeat in self.heartbeats.items()
                    if now - last_heartbeat > REGISTRATION_TTL_SECONDS]:
            del self.heartbeats[key]
            self.change(key, None)

    async def watch(self, prefix, after, wait):
        """Returns the changes after a revision. If there are none, waits for the first one for up to wait seconds."""
        end = time.monotonic() + wait
        while True:
            if after > self.revision or after + 1 < (self.history[0]["Revision"] if self.history else 0):
                return 410, {}
            events = [event for event in self.history if event["Revision"] > after and event["Key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "At": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                pass

    def write(self, body):
        """Performs a conditional write; writes nothing if an expected revision or a lease does not match."""
        for expected in body.get("Expected", []):
            if self.items.get(expected["Key"], {}).get("Revision", 0) != expected["Revision"]:
                return 412, {"items": [self.items[r["Key"]] for r in body["Expected"] if r["Key"] in self.items]}
        if any(write.get("Lease", 0) and write["Lease"] not in self.leases for write in body.get("Writes", [])):
            return 404, {}
        for write in body.get("Writes", []):
            self.change(write["Key"], base64.b64decode(write["Value"]), write.get("Lease", 0))
        for key in body.get("Deletes", []):
            self.change(key, None)
        return 200, {"Revision": self.revision}

    async def answer(self, method, path, query, body):
        """Performs one call and returns its status and content."""
        name = path.removeprefix("/cyclamencross/")
        if path == "/standin/mode":
            self.mode = body
            return 200, {}
        if path == "/standin/copy":
            self.take_copy()
            return 200, {"Revision": self.revision}
        if path == "/standin/return":
            await self.return_from_copy(body["away_ms"] / 1000)
            return 200, {"Revision": self.revision}
        if path == "/standin/beat":
            key, value = body["key"], body["value"]
            old = self.items.get(key)
            if value is None:
                self.heartbeats.pop(key, None)
                if old:
                    self.change(key, None)
            else:
                self.heartbeats[key] = time.monotonic()
                if not old or base64.b64decode(old["Value"]) != value.encode():
                    self.change(key, value.encode())
            return 200, {"Revision": self.revision}
        if path == "/standin/put":
            self.change(body["key"], body["value"].encode())
            return 200, {"Revision": self.revision}
        if name == "kv-range":
            items = [item for key, item in sorted(self.items.items()) if key.startswith(query.get("PathPrefix", ""))]
            return 200, {"items": items, "HasMore": False, "At": self.revision}
        if name == "kv-watch":
            return await self.watch(query.get("PathPrefix", ""), int(query["after"]), int(query["WaitMs"]) / 1000)
        if name == "kv-lease":
            self.last_lease += 1
            lease = self.last_lease
            self.leases[lease] = (time.monotonic() + body["TtlMs"] / 1000, body["TtlMs"])
            return 200, {"Lease": lease, "TtlMs": body["TtlMs"]}
        if name.startswith("kv-keep/") or name.startswith("kv-lease-end/"):
            lease = int(name.split("/")[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + (ttl / 1000 if "keep" in name else -1), ttl)
            self.expire()
            return 200, {"TtlMs": ttl}
        if name == "kv-txn":
            return self.write(body)
        return 404, {}


async def serve(store, reader, writer):
    """Handles the calls of one connection."""
    era = store.era
    try:
        while head := await wirehttp.read_head(reader):
            method, target, _ = head[0].split()
            raw = await wirehttp.read_body(reader, head[1])
            url = urllib.parse.urlsplit(target)
            query = dict(urllib.parse.parse_qsl(url.query))
            standin = url.path.startswith("/standin/")
            if url.path not in ("/standin/mode", "/standin/copy", "/standin/return"):
                if store.away or store.era != era:
                    break
                store.callers.add(writer)
            mode = {} if standin else store.mode
            if random.random() < mode.get("refuse", 0):
                status, content = 503, {}
            else:
                status, content = await store.answer(method, url.path, query, json.loads(raw or b"{}"))
            await asyncio.sleep(mode.get("delay", 0))
            if random.random() < mode.get("lose", 0):
                await asyncio.sleep(3)
                break
            text = json.dumps(content).encode()
            headers = {"Content-Type": "application/json", "Store-Era": store.era}
            writer.write(wirehttp.message(f"HTTP/1.1 {status} X", headers, text))
            await writer.drain()
    except (wirehttp.ConnectionBroken, ConnectionError, OSError):
        pass
    finally:
        store.callers.discard(writer)
        writer.close()


async def main():
    """Serves calls until the process ends."""
    store = Store()
    server = await asyncio.start_server(lambda r, w: serve(store, r, w), "127.0.0.1", int(sys.argv[1]))
    print(json.dumps({"event": "listening"}), flush=True)
    async with server:
        while True:
            await asyncio.sleep(0.05)
            if not store.away:
                store.expire()


if __name__ == "__main__":
    asyncio.run(main())
