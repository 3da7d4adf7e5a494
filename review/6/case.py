"""Case 6: a hopeless job of many tasks stops the service for all jobs, for good."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "world-2"))
from world import *  # noqa: E402,F403

EXECUTORS = 12
ACK_S = 4.0


async def states(client, ids):
    client.close()  # The instance may have closed it while it was idle.
    return [(await client.call("GET", f"/q/{i}"))[1].get("state") for i in ids]


def small_jobs(world, first, count, cpu):
    step = {"count": 1, "cpu": cpu, "memMb": 100, "estimateMs": 300}
    return [world.job(first + n, [step], "run 300", 300) for n in range(count)]


async def submit(world, jobs):
    names = list(world.entries)
    for n, (job, body) in enumerate(jobs):
        status, _ = await world.client(names[n % len(names)]).call("POST", f"/q/{job}", body)
        world.record(f"POST {job}: {status}")
        if status != 200:
            raise CannotRun("a job is not accepted")


async def play(world):
    record = world.record
    executors = [(f"i-{n}", "s") for n in range(1, EXECUTORS + 1)]
    entries = ["edge-1", "edge-2", "edge-3"]
    await world.start(config(3, [route("q", attempts=4)]), executors, entries)
    await asyncio.sleep(3)
    client = world.client("edge-2")

    # Traffic of 3 s: 24 sound jobs and one of 5,200 tasks, which can never be done (poison).
    step = {"count": 5_200, "cpu": 70, "memMb": 10, "estimateMs": 2_500}
    large = world.job(0xA0, [step], "fail 2500" if TROUBLE else "run 2500", 2_500)
    before = small_jobs(world, 0x100, 12, 500)
    beside = small_jobs(world, 0x200, 12, 500)
    await submit(world, before)
    world.quiet = True
    record(f"the large job is {large[0]}; its starts and ends are only counted")
    await submit(world, [large])
    await submit(world, beside)

    # It ends at the latest after four attempts of 2.5 s and the time to start its tasks.
    for _ in range(5):
        await asyncio.sleep(5)
        how = [run.how for run in world.runs]
        record.say(
            f"large job {(await states(client, [large[0]]))[0]}; starts {len(how)}, "
            f"done {how.count('done')}, failed {how.count('failed')}; "
            f"running now {sum(len(e.running) for e in world.executors)}; "
            f"ends not acknowledged {sum(len(e.ends) for e in world.executors)}; "
            f"calls that the store refused for their size {world.store.refused}")

    # Calm from here on: jobs of one task, each of which fits on any executor twice over.
    world.quiet = False
    after = small_jobs(world, 0x300, 6, 12_000)
    await submit(world, after)
    ended_before = sum(e.position for e in world.executors)
    await asyncio.sleep(24)
    ids = [job for job, _ in before + beside + after]
    shown = dict(zip(ids, await states(client, ids)))
    for job in ids:
        runs = [run for run in world.runs if run.task.startswith(job)]
        record(f"job {job}: runs {len(runs)}, done {sum(r.how == 'done' for r in runs)}, "
               f"shown as {shown[job]}")
    running = sum(len(e.running) for e in world.executors)
    stuck = [job for job, _ in after if not any(r.task.startswith(job) for r in world.runs)]
    unfinished = [job for job in ids if shown[job] != "completed"]
    unseen = sum(1 for e in world.executors for end in e.ends if end[0] <= ended_before)
    ended = sum(e.position for e in world.executors)
    record.say(f"24 s after the last job was accepted the executors run {running} tasks; "
               f"jobs of which nothing was started: {len(stuck)} of {len(after)}; "
               f"sound jobs not shown as completed: {len(unfinished)} of {len(ids)}; "
               f"ends never taken note of: {unseen} of {ended}")
    # LOST: nothing running for 3 s while the task's turn has come and there is room twice over.
    return running == 0 and bool(stuck)


main(__file__, play)
