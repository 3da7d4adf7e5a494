"""A scheduled job is cancelled while an occurrence runs, just before the next one is due."""
import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin"))
import world  # noqa: E402

JOB = "5c0e7a21d94b36f8"
INTERVAL_MS = 1000
TASK_S = 1.8


async def case(bed):
    starts = []
    ends = {}
    await bed.start(workers=4, duration=lambda task, run: (TASK_S, "done"), stop_s=0.7)
    for worker in bed.workers:
        worker.on_start = lambda w, task, run: starts.append((bed.record.now(), task, run, w.id))
    first = int(time.time() * 1000) + 1500
    body = {"spec": "text", "runCount": 30, "startTimeMs": first, "intervalMs": INTERVAL_MS,
            "steps": [{"count": 2, "cpu": 500, "memMb": 256, "estimateMs": int(TASK_S * 1000)}]}
    entry = bed.entries[0]
    status, _ = await bed.request(entry, "POST", JOB, body)
    if status != 200:
        raise RuntimeError(f"the job was not accepted: {status}")
    # The cancel is sent 250 ms before the occurrence 4 is due: tasks of the occurrences 2 and 3 run.
    due = first + 4 * INTERVAL_MS - 250
    await asyncio.sleep(due / 1000 - time.time())
    if not world.TROUBLE:
        await asyncio.sleep(12)
        again = [s for i, s in enumerate(starts) if any(s[1] == o[1] for o in starts[:i])]
        return not again, f"{len(starts)} starts, {len(again)} of them of a task that had run"
    status, _ = await bed.request(entry, "DELETE", JOB)
    acked = bed.record.now()
    if status not in (200, 204):
        raise RuntimeError(f"the cancel was not acknowledged: {status}")
    await asyncio.sleep(1.5)
    await bed.state(bed.entries[1], JOB)
    await asyncio.sleep(18)
    await bed.state(bed.entries[1], JOB)
    late = [s for s in starts if s[0] > acked + world.CANCEL_MS / 1000]
    tasks = {s[1] for s in late}
    text = (f"cancel acknowledged at {acked:.3f} s; {len(late)} starts later than "
            f"{world.CANCEL_MS} ms after that, of {len(tasks)} tasks")
    return not late, text


world.run(FOLDER, case)
