"""Planned stops of routers."""
import asyncio
import signal
import time

FAULT_FREE_SECONDS = 3.0  # time without faults before a stop for its duration to be checked
GRACE_SECONDS = 8.0  # time from SIGTERM to SIGKILL
REFUSE_SECONDS = 2.5  # time from SIGTERM until routers close idle connections


class PlannedStops:
    """Stops routers gracefully and starts them again. Without other faults this must not break any request."""

    def __init__(self, faults):
        self.faults, self.fleet, self.guarantees = faults, faults.fleet, faults.guarantees
        self.random = faults.random

    async def stop_router(self, _seconds):
        """Stops a router gracefully and restarts it. Without other faults this must not break any request."""
        await self.stop_and_restart(self.random.choice(list(self.fleet.routers.values())))

    async def stop_young(self, seconds):
        """Stops a router and stops it again within seconds of its start."""
        router = self.random.choice(list(self.fleet.routers.values()))
        await self.stop_and_restart(router)
        while router.running() and not router.started:
            await asyncio.sleep(0.02)
        await asyncio.sleep(self.random.choice((0, 0.05, seconds / 2)))
        await self.stop_and_restart(router)

    async def stop_with_signals(self, seconds):
        """Stops a router that gets a SIGHUP just before, or another SIGTERM or a SIGHUP in its grace time."""
        router = self.random.choice(list(self.fleet.routers.values()))
        number = self.random.choice((signal.SIGTERM, signal.SIGHUP, None))
        if number is None and router.started and not router.paused:
            router.send(signal.SIGHUP)
            await asyncio.sleep(self.random.uniform(0, 0.05))
        await self.stop_and_restart(router, number, 1.8 * seconds)

    async def roll_repeatedly(self, _seconds):
        """Stops all routers 0 to 2 s apart, again and again."""
        stops = []
        for _ in range(3):
            for router in list(self.fleet.routers.values()):
                stops.append(asyncio.ensure_future(self.stop_and_restart(router)))
                await asyncio.sleep(self.random.uniform(0, 2))
        await asyncio.gather(*stops)

    async def roll(self, seconds):
        """Stops all routers in turn, without waiting for one to be back before the next."""
        stops = []
        for router in list(self.fleet.routers.values()):
            stops.append(asyncio.ensure_future(self.stop_and_restart(router)))
            await asyncio.sleep(seconds / 4)
        await asyncio.gather(*stops)

    async def stop_and_restart(self, router, second_signal=None, delay=0.0):
        """Stops a router gracefully, maybe with a second signal after a delay, and starts the router again."""
        if not router.started or not router.running() or router.paused or router.stopping:
            return
        begin = time.time()
        router.stopping = True
        self.fleet.log.write(f"{begin:.3f} soak stop {router.name}\n".encode())
        child = router.child
        self.wake_callers(router)
        router.send(signal.SIGTERM)
        loop = asyncio.get_running_loop()
        timers = [loop.call_later(REFUSE_SECONDS, self.wake_callers, router)]
        if second_signal:
            timers.append(loop.call_later(delay, self.send_again, child, second_signal))
        try:
            await asyncio.wait_for(child.wait(), GRACE_SECONDS)
        except TimeoutError:
            await router.end()
        for timer in timers:
            timer.cancel()
        end = time.time()
        self.fleet.log.write(f"{end:.3f} soak end {router.name} code {child.returncode}\n".encode())
        router.stopping = False
        self.guarantees.stops.append((router.name, router.front, begin, end))
        if child.returncode == -signal.SIGKILL and not router.paused \
                and self.faults.is_fault_free(begin - FAULT_FREE_SECONDS, end):
            self.guarantees.fail("planned stop", f"{router.name} did not end within its grace time")
        await router.start()

    @staticmethod
    def send_again(child, number):
        """Sends a signal to the process of a router if it still runs."""
        if child.returncode is None:
            child.send_signal(number)

    def wake_callers(self, router):
        """Has callers with an idle connection to a router send their next request at once."""
        for caller in self.faults.callers:
            if caller.link_delay is not None and caller.writer and caller.router.endswith(f":{router.front}"):
                caller.wake.set()
