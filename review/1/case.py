"""One of four scheduled jobs is cancelled while an occurrence runs, just before the next one is due."""
import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, ".."))
import world  # noqa: E402

JOB = "5c0e7a21d94b36f8"
INTERVAL_MS = 1000
TASK_S = 1.8
OTHERS = [f"{0xa000000000000000 + number:016x}" for number in range(3)]
WAIT_S = 19.5


async def case(bed):
    starts = []
    await bed.start(workers=4, duration=lambda task, run: (TASK_S, "done"), stop_s=0.7)
    for worker in bed.workers:
        worker.on_start = lambda w, task, run: starts.append((bed.record.now(), task, run, w.id))
    first = int(time.time() * 1000) + 1500
    body = {"spec": "text", "runCount": 30, "startTimeMs": first, "intervalMs": INTERVAL_MS,
            "steps": [{"count": 2, "cpu": 500, "memMb": 256, "estimateMs": int(TASK_S * 1000)}]}
    entry = bed.entries[0]
    for job in [JOB] + OTHERS:
        status, _ = await bed.request(entry, "POST", job, body)
        if status != 200:
            raise RuntimeError(f"a job was not accepted: {status}")
    # The cancel is sent 250 ms before the occurrence 4 is due: tasks of the occurrences 2 and 3 run.
    due = first + 4 * INTERVAL_MS - 250
    await asyncio.sleep(due / 1000 - time.time())
    acked = None
    if world.TROUBLE:
        status, _ = await bed.request(entry, "DELETE", JOB)
        acked = bed.record.now()
        if status not in (200, 204):
            raise RuntimeError(f"the cancel was not acknowledged: {status}")
    await asyncio.sleep(WAIT_S)
    await bed.state(bed.entries[1], JOB)
    late = [s for s in starts if acked is not None and s[1].startswith(JOB)
            and s[0] > acked + world.CANCEL_MS / 1000]
    tasks = {s[1] for s in late}
    repeated = len(starts) - len({s[1] for s in starts})
    text = (f"{len(late)} starts of {len(tasks)} tasks of the cancelled job later than "
            f"{world.CANCEL_MS} ms after the acknowledgement; {repeated} of {len(starts)} starts "
            f"of all jobs are of a task that had been started before")
    return not late, text


world.run(FOLDER, case)
