"""Returns of the store from an older copy of itself."""
import asyncio
import time

REWRITE_SECONDS = (0.1, 1.2)  # time after a return at which the operator writes the configuration again


class StoreReturns:
    """Lets the store come back from copies some seconds old. Backend servers repeat their heartbeats themselves."""

    def __init__(self, faults):
        self.faults, self.fleet, self.random = faults, faults.fleet, faults.random
        self.series = asyncio.Lock()  # the store holds one copy

    async def store_return(self, seconds):
        """Takes a copy of the store and lets it return from that, once or several times."""
        if self.series.locked():
            return
        async with self.series:
            await self.fleet.call_store("/standin/copy", {}, tries=20)
            for _ in range(self.random.choice((1, 1, 2, 3))):
                await asyncio.sleep(seconds)
                await self.return_once(self.random.uniform(0, 0.9), self.random.uniform(*REWRITE_SECONDS))
                seconds = self.random.uniform(0, 3)
                if self.random.random() < 0.5:
                    await self.fleet.call_store("/standin/copy", {}, tries=20)

    async def return_once(self, away, rewrite):
        """Lets the store return after a time away, and writes the newest configuration again later."""
        faults, begin = self.faults, time.time()
        faults.record_fault(begin, begin + away + REWRITE_SECONDS[1], f"store away for {away:.3f} s")
        await self.fleet.call_store("/standin/return", {"away_ms": away * 1000}, tries=20, timeout=10)
        end = time.time() + REWRITE_SECONDS[1]
        faults.record_fault(time.time(), end, f"store returned, configuration written {rewrite:.3f} s later")
        await asyncio.sleep(rewrite)
        await faults.write_config()
        if time.time() > end:
            faults.record_fault(end, time.time(), "store without the newest configuration")
