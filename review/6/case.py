"""Case 6: after two renewals without an answer two instances lead, and tasks run twice."""
from world import *  # noqa: E402,F403

WINDOWS = 16
WINDOW_S = 6.0
LOST_FOR_S = 3.0
JOBS_PER_S = 90


class Losses:
    """Loses the answers to two writes of the leader, one after the other; the next is answered.

    The first is the one that follows the arrival of a new executor."""

    def __init__(self, world):
        self.world, self.until, self.left, self.holder = world, 0, 0, ""
        self.writes = self.lost = 0

    def begin(self):
        self.until, self.left = now() + LOST_FOR_S, 2
        self.holder = self.world.leader()

    def __call__(self, call):
        row = next((e for e in call["puts"] if e["table"] == "leaders" and e["key"] == "owner"), None)
        if now() < self.until:
            self.writes += 1
        if row is None:
            return None
        leader = json.loads(base64.b64decode(row["value"]))
        stores_member = any(e["table"] == "members" for e in call["puts"])
        known = {(e["table"], e["key"]): e["ver"] for e in call["expectedRev"]}
        current = self.world.store.rows.get(("leaders", "", "owner"), ("", 0))[1]
        applies = known.get(("leaders", "owner")) == current
        text = (f"{leader['holder']} token {leader['token']} writes renewal {leader['renewal']}"
                f"{' with a new member' if stores_member else ''}")
        if not applies:
            self.world.record(f"store: {text}: 412")
            return None
        in_window = now() < self.until and leader["holder"] == self.holder
        if in_window and (self.left == 1 or (self.left == 2 and stores_member)):
            self.left -= 1
            self.lost += 1
            self.world.record(f"store: {text}: done, answer lost")
            return "lose"
        if now() < self.until + 1:
            self.world.record(f"store: {text}: done, answered")
        return None


async def clients(world, until):
    """Hands in a job of six tasks every 1 / JOBS_PER_S seconds, at any of the instances."""
    names = list(world.entries)
    ids = random.Random(7)
    idle = {name: [] for name in names}
    accepted = 0

    async def submit(number):
        nonlocal accepted
        step = {"count": 6, "cpu": 500, "memMb": 100, "estimateMs": 400}
        job, body = world.job(ids.getrandbits(64), [step], "run 400", 400)
        name = names[number % len(names)]
        client = idle[name].pop() if idle[name] else world.client(name)
        status, _ = await client.call("POST", f"/q/{job}", body)
        idle[name].append(client)
        world.record(f"POST {job} at {name}: {status}")
        accepted += status == 200

    tasks, number = [], 0
    while now() < until:
        tasks.append(asyncio.create_task(submit(number)))
        number += 1
        await asyncio.sleep(1 / JOBS_PER_S)
    await asyncio.gather(*tasks)
    return accepted


async def play(world):
    record = world.record
    executors = [(f"i-{n}", "s") for n in range(1, 10)]
    entries = [f"edge-{n}" for n in range(1, 6)]
    await world.start(config(3, [route("q")]), executors, entries)
    losses = Losses(world)
    world.store.trouble = losses
    await asyncio.sleep(3)
    traffic = asyncio.create_task(clients(world, now() + WINDOWS * WINDOW_S))
    leaders = {world.leader()}
    for number in range(WINDOWS):
        record(f"window {number}: an executor joins; the leader is {world.leader()}")
        if TROUBLE:
            losses.begin()
        await Executor(world, f"i-{10 + number}", "s").start()
        begun = now()
        while now() < begun + WINDOW_S:
            await asyncio.sleep(0.05)
            leaders.add(world.leader())
    accepted = await traffic
    await asyncio.sleep(4)
    pairs = world.overlaps()
    for a, b in pairs:
        record.say(f"task {a.task}: run {a.number} on {a.executor.name} (token {a.token}, "
                   f"{a.begun - record.begun:.3f} to {(a.ended or now()) - record.begun:.3f}) beside "
                   f"run {b.number} on {b.executor.name} (token {b.token}, "
                   f"{b.begun - record.begun:.3f} to {(b.ended or now()) - record.begun:.3f})")
    record.say(f"{accepted} jobs accepted, {len(world.runs)} runs, {len(leaders)} leaders; "
               f"{losses.lost} of {losses.writes} writes in the windows had no answer; "
               f"tasks with two runs at the same time: {len({a.task for a, _ in pairs})}")
    return bool(pairs)


main(__file__, play)
