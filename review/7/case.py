"""Case 7: after a queue has moved to another service, a new leader starts its running tasks again."""
from world import *  # noqa: E402,F403

ROUNDS = 5
# Time that an executor takes for an answer, in seconds.
ANSWER_S = (0.001, 0.03)


async def play(world):
    record = world.record
    executors = [(f"i-{n}", "one") for n in range(1, 13)] + [(f"i-{n}", "two") for n in range(21, 25)]
    other = route("other", "two")
    version = 3
    await world.start(config(version, [route("q", "one"), other]), executors,
                      ["edge-1", "edge-2", "edge-3"])
    for executor in world.executors:
        executor.answer_s = ANSWER_S
    await asyncio.sleep(3)
    for number in range(ROUNDS):
        jobs = []
        for n in range(6):
            step = {"count": 6, "cpu": 1_000, "memMb": 100, "estimateMs": 25_000}
            job, body = world.job((number + 1) << 32 | n, [step], "run 25000", 25_000)
            status, _ = await world.client(world.leader()).call("POST", f"/q/{job}", body)
            record(f"POST {job}: {status}")
            if status != 200:
                raise CannotRun("a job is not accepted")
            jobs.append(job)
        await asyncio.sleep(1.5)
        version += 2
        world.store.write("op", "config", config(version, [route("q", "two"), other]))
        record(f"config {version} sends the queue to the service two")
        await asyncio.sleep(4)
        leader = world.leader()
        if TROUBLE:
            world.kill_entry(leader)
            await asyncio.sleep(3.5)
            world.start_entry(leader)
            await world.wait_ready(leader)
        await asyncio.sleep(3)
        for job in jobs:
            status, _ = await world.client(world.leader()).call("DELETE", f"/q/{job}")
            record(f"DELETE {job}: {status}")
        version += 2
        world.store.write("op", "config", config(version, [route("q", "one"), other]))
        record(f"config {version} sends the queue to the service one")
        await asyncio.sleep(4)

    pairs = world.overlaps()
    for a, b in pairs:
        record.say(
            f"task {a.task}: run {a.number} on {a.executor.name} of {a.executor.service} (token "
            f"{a.token}, {a.begun - record.begun:.3f} to {(a.ended or now()) - record.begun:.3f}, "
            f"{a.how}) beside run {b.number} on {b.executor.name} of {b.executor.service} (token "
            f"{b.token}, {b.begun - record.begun:.3f} to {(b.ended or now()) - record.begun:.3f})")
    record.say(f"tasks with two runs at the same time: {len({a.task for a, _ in pairs})}")
    return bool(pairs)


main(__file__, play)
