"""Case 10: after its queue is removed and a new leader begins, a failing task is retried for ever."""
from world import *  # noqa: E402,F403

ATTEMPTS = 4


async def play(world):
    record = world.record
    executors = [(f"i-{n}", "s") for n in range(1, 10)]
    entries = ["edge-1", "edge-2", "edge-3"]
    both = [route("q", attempts=ATTEMPTS), route("other", attempts=ATTEMPTS)]
    await world.start(config(3, both), executors, entries)
    await asyncio.sleep(3)
    # The first step takes 12 s; the tasks of the second can never be done.
    steps = [{"count": 4, "cpu": 500, "memMb": 100, "estimateMs": 12_000},
             {"count": 2, "cpu": 500, "memMb": 100, "estimateMs": 500, "after": [0]}]
    job, body = world.job(0x5C0E7A21D94B36F8, steps, "run 12000", 12_000)
    status, _ = await world.client("edge-1").call("POST", f"/q/{job}", body)
    record(f"POST {job}: {status}")
    if status != 200:
        raise CannotRun("the job is not accepted")
    world.fails_ms = 500
    world.hopeless = lambda task: task.split(".")[2] == "1"
    await asyncio.sleep(3)
    world.store.write("op", "config", config(5, both[1:]))
    record("config 5 without the queue is acknowledged")
    await asyncio.sleep(3)
    if TROUBLE:
        leader = world.leader()
        world.kill_entry(leader)
        await asyncio.sleep(0.5)
        world.start_entry(leader)
    await asyncio.sleep(26)

    broken = 0
    for task in sorted({run.task for run in world.runs}):
        runs = [run for run in world.runs if run.task == task]
        failed = sorted(run.ended for run in runs if run.how == "failed")
        noted = sum(1 for run in runs if run.how == "failed" and run.noted)
        beyond = [run for run in runs if len([at for at in failed if at < run.begun]) >= ATTEMPTS]
        if failed:
            record.say(f"task {task}: {len(runs)} runs, {len(failed)} of them failed ({noted} taken "
                       f"note of); starts after {ATTEMPTS} runs had failed: {len(beyond)}")
        broken += noted >= ATTEMPTS and bool(beyond)
    stored = world.store.read("progress", job) or {}
    record.say(f"state of the job in the store: {stored.get('state')}")
    return broken > 0


main(__file__, play)
