"""Case 8: a job whose cancelling was answered 410 is run in full afterwards."""
from world import *  # noqa: E402,F403

LOST_FOR_S = 4.5
LOST_SHARE = 0.35
LATE_S = 6.0
CANCEL_S = 3.0
STOP_S = 0.9
JOBS = 12


class LateWrites:
    """Answers of the store are lost for 4.5 s: the writes that store one job in four get none, and
    are done 6 s later if their condition still holds (platform_lost, late)."""

    def __init__(self, world):
        self.world, self.until = world, 0
        self.writes = self.late = 0
        self.chosen = set()

    def begin(self):
        self.until = now() + LOST_FOR_S

    def __call__(self, call):
        if now() >= self.until:
            return None
        self.writes += 1
        jobs = [e["key"] for e in call["puts"] if e["table"] == "jobs"]
        if not self.chosen.intersection(jobs):
            return None
        self.late += 1
        self.world.record(f"store: write of {jobs}: no answer, done {LATE_S} s later")
        return LATE_S


async def one_client(world, late, number, cancelled):
    """Hands in a job, and cancels it if it gets no answer or once it is accepted."""
    record, names = world.record, list(world.entries)
    step = {"count": 2, "cpu": 500, "memMb": 100, "estimateMs": 20_000}
    job, body = world.job(0x5C0E7A21 * (number + 1), [step], "run 20000", 20_000)
    if number % 4 == 1:
        late.chosen.add(job)
    first, second = (world.client(names[(number + n) % len(names)]) for n in range(2))
    status, _ = await first.call("POST", f"/q/{job}", body)
    record(f"POST {job}: {status or 'no answer'}")
    for _ in range(20):
        status, _ = await second.call("DELETE", f"/q/{job}")
        record(f"DELETE {job}: {status or 'no answer'}")
        if status in (200, 410):
            cancelled[job] = (now(), status)
            return
        await asyncio.sleep(0.3)


async def play(world):
    record = world.record
    executors = [(f"i-{n}", "s") for n in range(1, 10)]
    await world.start(config(3, [route("q")]), executors, ["edge-1", "edge-2", "edge-3"])
    late = LateWrites(world)
    world.store.trouble = late
    await asyncio.sleep(3)
    if TROUBLE:
        late.begin()
    cancelled, clients = {}, []
    for number in range(JOBS):
        clients.append(asyncio.create_task(one_client(world, late, number, cancelled)))
        await asyncio.sleep(0.12)
    await asyncio.gather(*clients)
    await asyncio.sleep(15)
    if late.late > late.writes * LOST_SHARE:
        raise CannotRun(f"{late.late} of {late.writes} writes had no answer")
    broken = 0
    for job, (at, status) in cancelled.items():
        runs = [run for run in world.runs if run.task.startswith(job)]
        late_starts = sum(1 for run in runs if run.begun > at + CANCEL_S)
        until = at + CANCEL_S + STOP_S
        longest = max([(run.ended or now()) - until for run in runs], default=0)
        _, shown = await world.client("edge-3").call("GET", f"/q/{job}")
        record.say(f"job {job}: cancelling answered {status}; tasks started later than cancel_ms "
                   f"after that: {late_starts}; a task ran on for {max(longest, 0):.1f} s after cancel_ms and "
                   f"stopMs; shown as {shown.get('state', 'none')}")
        broken += late_starts > 0 or longest > 0
    record.say(f"{late.late} of {late.writes} writes in 4.5 s had no answer; {len(cancelled)} jobs "
               f"cancelled; run in spite of that: {broken}")
    return broken > 0


main(__file__, play)
