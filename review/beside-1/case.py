"""Routers forget the limit that a server has named once its registration has lapsed and returned."""
import asyncio
import os
import sys

sys.path.append(os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "standins-3"))
from standins import now, run_case  # noqa: E402
from limits import Clients, is_broken, start  # noqa: E402

HEARTBEAT, SILENT_HEARTBEATS = 1.2, 3  # HeartbeatMs; "after three heartbeat intervals of silence"
CUT_SECONDS = 5.0  # srv_cut, for_s (5)
LIMIT = 1.0  # Server-Limit
WORK_IN_NEED = 0.24  # seconds: four times the usual
CYCLES = 4


async def play(folder, routers, record, trouble):
    """Plays the case. Returns whether the rule was broken."""
    _, servers = await start(folder, routers)
    needy = servers[0]
    clients = Clients(routers)
    task = asyncio.ensure_future(clients.run())
    await asyncio.sleep(3)
    needy.extra, needy.work_s = {"Server-Limit": str(LIMIT)}, WORK_IN_NEED
    named_at = now()
    record.write(f"{needy.id} needs {WORK_IN_NEED * 1000:.0f} ms and names a limit of {LIMIT} a second in its answers")
    await asyncio.sleep(14)
    record.write(f"{len(clients.told.get(str(LIMIT), {}))} of {len(routers)} routers have passed on such an answer")
    is_broken(clients, needy, LIMIT, named_at, record)
    for _ in range(CYCLES):
        if trouble:
            record.write(f"{needy.id} is cut off from the store for {CUT_SECONDS} s")
            await asyncio.sleep(HEARTBEAT * SILENT_HEARTBEATS)
            needy.unregister()
            record.write(f"its registration lapses after {SILENT_HEARTBEATS} heartbeats of silence")
            await asyncio.sleep(CUT_SECONDS - HEARTBEAT * SILENT_HEARTBEATS + HEARTBEAT / 2)
            needy.register()
            record.write("its next heartbeat reaches the store: it is registered again, under its id and with its born")
        else:
            await asyncio.sleep(CUT_SECONDS + HEARTBEAT / 2)
        await asyncio.sleep(8)
    task.cancel()
    await asyncio.sleep(2)
    record.write("runs at " + needy.id + ": " + " ".join(f"{at:.2f}" for at, _, _, _ in needy.runs if at > named_at))
    record.write(f"answers by status (0: none): {dict(sorted(clients.statuses.items()))}")
    return is_broken(clients, needy, LIMIT, named_at, record)


async def case(folder, record, trouble):
    """Starts the routers, plays the case and ends the routers."""
    routers = []
    try:
        return 1 if await play(folder, routers, record, trouble) else 0
    finally:
        for router in routers:
            await router.end()


run_case(__file__, case)
