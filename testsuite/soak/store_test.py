"""Tests of the return of the store from a copy. Run: python3 -m unittest discover testsuite/soak '*_test.py'"""
import asyncio
import json
import unittest

from store import Store, serve
import wirehttp


class StoreReturnTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a store that keeps something written since the copy, or serves calls of before the return."""

    async def asyncSetUp(self):
        self.store = Store()
        server = await asyncio.start_server(lambda r, w: serve(self.store, r, w), "127.0.0.1", 0)
        self.addAsyncCleanup(server.wait_closed)
        self.addCleanup(server.close)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def call(self, target, content=None):
        """Performs a call and returns the status, the content and the generation of the answer."""
        body = json.dumps(content or {}).encode()
        status, headers, answer = await wirehttp.exchange(self.address, "POST", target, body=body)
        return status, json.loads(answer), headers["store-era"]

    async def put(self, key, value):
        """Writes an item and returns its revision."""
        return (await self.call("/standin/put", {"key": key, "value": value}))[1]["Revision"]

    async def lease(self):
        """Returns the number of a new lease."""
        return (await self.call("/cyclamencross/kv-lease", {"TtlMs": 60000}))[1]["Lease"]

    async def test_what_was_written_since_the_copy_is_gone(self):
        await self.put("op/config", "old")
        await self.call("/standin/beat", {"key": "servers/a", "value": "ready"})
        kept = await self.lease()
        await self.call("/standin/copy")
        revision, lost = await self.put("op/config", "new"), await self.lease()
        newest = await self.put("other", "new")
        await self.call("/standin/beat", {"key": "servers/a", "value": None})
        await self.call("/standin/return", {"away_ms": 0})
        items, status = (await self.call("/cyclamencross/kv-range"))[1]["items"], {}
        self.assertEqual([item["Key"] for item in items], ["op/config", "servers/a"])
        self.assertEqual(items[0]["Revision"], revision - 2)
        self.assertIn("servers/a", self.store.heartbeats)
        for lease in (kept, lost):
            status[lease] = (await self.call(f"/cyclamencross/kv-keep/{lease}"))[0]
        self.assertEqual(status, {kept: 200, lost: 404})
        self.assertEqual((await self.call(f"/cyclamencross/kv-watch?after={newest}&WaitMs=0"))[0], 410)
        self.assertEqual((await self.lease(), await self.put("op/config", "new")), (lost, revision))

    async def test_the_copy_stays_as_it_was(self):
        await self.call("/standin/copy")
        for era in (2, 3):
            await self.put("other", "new")
            await self.call("/standin/return", {"away_ms": 0})
            self.assertEqual((self.store.items, self.store.revision, self.store.era), ({}, 1, era))

    async def test_calls_are_cut_until_the_return_and_answers_name_the_generation(self):
        self.assertEqual((await self.call("/standin/put", {"key": "a", "value": ""}))[2], "1")
        await self.call("/standin/copy")
        waiting = asyncio.ensure_future(self.call("/cyclamencross/kv-watch?after=2&WaitMs=600"))
        while not self.store.callers:
            await asyncio.sleep(0.01)
        back = asyncio.ensure_future(self.call("/standin/return", {"away_ms": 300}))
        with self.assertRaises(wirehttp.ConnectionBroken):
            await waiting
        self.assertFalse(back.done())
        with self.assertRaises(wirehttp.ConnectionBroken):
            await self.put("b", "lost")
        self.assertFalse(back.done())
        await back
        self.assertEqual((await self.call("/cyclamencross/kv-range"))[2], "2")
        self.assertNotIn("b", self.store.items)
        while self.store.callers:
            await asyncio.sleep(0.01)


if __name__ == "__main__":
    unittest.main()
