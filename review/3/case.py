"""One worker of six is cut off from all entry instances, with resets, and runs on."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, ".."))
import world  # noqa: E402

JOB = "5c0e7a21d94b36f8"
TASKS = 12
CUT_S = 5.5


async def case(bed):
    twice = []

    def on_start(worker, task, run):
        for other in bed.workers:
            if other is not worker and task in other.runs:
                twice.append(f"{task} on {other.id} and {worker.id}")
                bed.record.add("check", "two runs at the same time: " + twice[-1])

    # The tasks last until the job is cancelled.
    await bed.start(workers=6, duration=lambda task, run: (None, ""))
    for worker in bed.workers:
        worker.on_start = on_start
    body = {"spec": "text", "steps": [{"count": TASKS, "cpu": 2000, "memMb": 256,
                                       "estimateMs": 1000, "longRunning": True, "maxPerServer": 4}]}
    status, _ = await bed.request(bed.entries[0], "POST", JOB, body)
    if status != 200:
        raise RuntimeError(f"the job was not accepted: {status}")
    await asyncio.sleep(4)
    cut = bed.workers[0]
    if not cut.runs:
        raise RuntimeError("no task runs on the worker that is to be cut off")
    if world.TROUBLE:
        # The port refuses connections and open ones are reset, as at a link cut with resets. The
        # worker itself, its tasks and its leases go on.
        bed.record.add(cut.id, f"cut off with resets for {CUT_S} s; runs {sorted(cut.runs)}")
        await cut.server.stop()
    await asyncio.sleep(CUT_S)
    if world.TROUBLE:
        await cut.server.start()
        bed.record.add(cut.id, "reachable again")
    await asyncio.sleep(8)
    return not twice, f"{len(twice)} starts of a task that was running on another worker"


world.run(FOLDER, case)
