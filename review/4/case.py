"""The zone of the leader is cut off from the others while its order for a machine is on its way."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, ".."))
import world  # noqa: E402

CUT_S = 4.0
ENTRIES = 3


async def case(bed):
    machines = world.Machines(bed.record, bed.workers)
    await machines.server.start()
    await bed.store.start()
    to_store = [world.Gate(bed.store.server.port) for _ in range(ENTRIES)]
    to_machines = [world.Gate(machines.server.port) for _ in range(ENTRIES)]
    for gate in to_store + to_machines:
        await gate.start()
    was_cut = []

    def watch(number):
        def on_bytes(data):
            if world.TROUBLE and not was_cut and data.startswith(b"POST /api/machine-upkeep"):
                was_cut.append(number)
                to_store[number].cut(CUT_S)
                to_machines[number].cut(CUT_S)
                bed.record.add(f"entry-{number}", f"zone cut off for {CUT_S} s, with "
                                                  "its order for a machine on the way")
        return on_bytes

    for number, gate in enumerate(to_machines):
        gate.on_bytes = watch(number)
    await bed.start(workers=4, duration=lambda task, run: (0.5, "done"), entries=ENTRIES,
                    settings=lambda n: {"zone": f"z{n + 1}", "store": to_store[n].address,
                                        "machines": to_machines[n].address})
    for worker in bed.workers:  # They are in another zone than the leader.
        worker.is_cut_from = lambda fence: fence == 1 and any(g.is_cut() for g in to_store)
    # A new leader gives no orders for machines within 4.2 s of the renewals before its term.
    await asyncio.sleep(6)
    bed.store.put("op", "wave/1", {"wave": 1, "machines": ["m-i-0"], "completeByS": 20, "maximum": 1})
    await asyncio.sleep(16)
    for gate in to_store + to_machines:
        await gate.stop()
    await machines.server.stop()
    if not machines.orders or (world.TROUBLE and not was_cut):
        raise RuntimeError("no order for a machine was seen")
    highest, stale = 0, []
    for at, machine, holder, fence in machines.orders:
        if fence < highest:
            stale.append(f"fence {fence} of {holder} at {at:.3f} s after fence {highest}")
        highest = max(highest, fence)
    return not stale, f"{len(machines.orders)} orders for one machine; {stale}"


world.run(FOLDER, case)
