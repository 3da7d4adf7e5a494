"""A queue has advice. A worker is lost for good, and a job comes that only it could run."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, ".."))
import world  # noqa: E402

FIRST = "5c0e7a21d94b36f8"
WORKERS = 10
DECIDE_MS, EACH_MS, VALID_MS = 200, 40, 5000
WAIT_S = 40


async def case(bed):
    others = [f"{0xa000000000000000 + number:016x}" for number in range(6)]

    def allows(step, worker):
        return worker == "i-0" if step.startswith(FIRST) else worker != "i-0"

    adviser = world.Adviser(bed.record, allows, DECIDE_MS, EACH_MS, VALID_MS)
    await adviser.server.start()
    advice = {"decideMs": DECIDE_MS, "eachMs": EACH_MS, "validMs": VALID_MS}
    await bed.start(workers=WORKERS, duration=lambda task, run: (0.5, "done"),
                    route={"advice": advice}, settings={"advice": adviser.server.address})
    started = {}
    for worker in bed.workers:
        worker.is_valid = adviser.is_valid
        worker.on_start = lambda w, task, run: started.setdefault(task[:16], bed.record.now())
    await asyncio.sleep(1)
    if world.TROUBLE:
        await bed.workers[0].lose()
    await asyncio.sleep(8)
    entry = bed.entries[0]
    body = {"spec": "text", "steps": [{"count": 1, "cpu": 500, "memMb": 256, "estimateMs": 500}]}
    for job in [FIRST] + others:
        status, _ = await bed.request(entry, "POST", job, body)
        if status != 200:
            raise RuntimeError(f"a job was not accepted: {status}")
    await asyncio.sleep(WAIT_S)
    for job in [FIRST] + others:
        await bed.state(bed.entries[1], job)
    idle = [job for job in others if job not in started]
    text = (f"{len(idle)} of {len(others)} jobs that the policy allows on {WORKERS - 1} idle workers "
            f"were not started in {WAIT_S} s")
    await adviser.server.stop()
    return not idle, text


world.run(FOLDER, case)
