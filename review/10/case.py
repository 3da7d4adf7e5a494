"""Case 10: after a change of the leader the runs of cancelled jobs aren't counted while they stop."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "world-2"))
from world import *  # noqa: E402,F403

MAXIMUM = 32_000
OVERAGE = 0.1
SIZE = 2_000


async def play(world):
    record = world.record
    executors = [(f"i-{n}", "s") for n in range(1, 10)]
    tenants = [{"name": "t", "apiKeys": ["key-1"], "weight": 1_000,
                "maximum": {"cpu": MAXIMUM, "memMb": 0, "gpu": 0}}]
    await world.start(config(3, [route("q")], tenants), executors, ["edge-1", "edge-2", "edge-3"])
    for executor in world.executors:
        executor.stop_s = 0.8  # A stop takes at most stopMs, 0.9 s.
    await asyncio.sleep(3)
    leader = world.leader()
    other = next(name for name in world.entries if name != leader)
    client = world.client(other)
    step = {"count": MAXIMUM // SIZE, "cpu": SIZE, "memMb": 100, "estimateMs": 30_000}
    first = world.job(0x111, [step], "run 30000", 30_000)
    second = world.job(0x222, [step], "run 30000", 30_000)
    for job, body in (first, second):
        status, _ = await client.call("POST", f"/q/{job}", body)
        record(f"POST {job}: {status}")
        await asyncio.sleep(1)
    if TROUBLE:
        world.kill_entry(leader)
    await asyncio.sleep(0.5)
    status, _ = await client.call("DELETE", f"/q/{first[0]}")
    record(f"DELETE {first[0]}: {status}")
    if TROUBLE:
        await asyncio.sleep(0.5)
        world.start_entry(leader)
    await asyncio.sleep(10)

    most = 0
    for run in world.runs:
        at_work = [r for r in world.runs if r.begun <= run.begun and (r.ended or now()) > run.begun]
        most = max(most, sum(r.size[0] for r in at_work))
    limit = MAXIMUM * (1 + OVERAGE) + SIZE
    record.say(f"the tenant's maximum is {MAXIMUM} (cpu); at a start it had up to {most} running; "
               f"allowed are {limit:.0f}")
    return most > limit


main(__file__, play)
