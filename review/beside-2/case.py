"""Routers go on with the permits of an earlier, higher limit after a server has lowered it."""
import asyncio
import os
import sys

sys.path.append(os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "standins-3"))
from standins import now, run_case  # noqa: E402
from limits import Clients, is_broken, start  # noqa: E402

HIGH, LOW = 100.0, 1.0  # requests a second
CYCLES = 3


async def play(folder, routers, record, trouble):
    """Plays the case. Returns whether the rule was broken."""
    _, servers = await start(folder, routers)
    needy, broken = servers[0], False
    clients = Clients(routers)
    task = asyncio.ensure_future(clients.run())
    await asyncio.sleep(2)
    first_named_at = now()
    for _ in range(CYCLES):
        needy.extra = {"Server-Limit": str(HIGH if trouble else LOW)}
        record.write(f"{needy.id} names a limit of {needy.extra['Server-Limit']} a second in its answers")
        await asyncio.sleep(10)
        needy.extra = {"Server-Limit": str(LOW)}
        clients.told.clear()  # Only answers from now on count.
        lowered = now()
        record.write(f"{needy.id} names a limit of {LOW} a second in its answers")
        await asyncio.sleep(12)
        record.write("runs at " + needy.id + ": "
                     + " ".join(f"{at:.2f}" for at, _, _, _ in needy.runs if at > lowered - 1))
        broken = is_broken(clients, needy, LOW, first_named_at, record) or broken
    task.cancel()
    await asyncio.sleep(2)
    record.write(f"answers by status (0: none): {dict(sorted(clients.statuses.items()))}")
    return broken


async def case(folder, record, trouble):
    """Starts the routers, plays the case and ends the routers."""
    routers = []
    try:
        return 1 if await play(folder, routers, record, trouble) else 0
    finally:
        for router in routers:
            await router.end()


run_case(__file__, case)
