"""The leader is stopped with SIGTERM while the store is slow, again and again: what it takes as stored on
leaving isn't all stored, and its successor starts tasks that are done."""
import os, sys, random
FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from world3 import *

EXECUTORS, SLOW, SLOW_S, ROUND_S = 24, 35, 3.2, 5.0
ROUNDS, TASKS, JOBS_PER_S = 20, 2, 16


async def case(world):
    # The entry instances are in the first of three zones, which are 1.4 ms from each other.
    await world.start([("s", EXECUTORS)], config([route("plain", "/p/", "s")], ["s"]),
                      round_trips_s=(0.0002, 0.0028, 0.0028))
    world.start_entries(4)
    if not await world.ready():
        return 2
    answer_s, tx_s = world.store.answer_s, world.store.tx_s
    draw = random.Random(1)
    accepted, requests, stopping = [], set(), False

    async def submit(number):
        step = {"count": TASKS, "cpu": 1000, "memMb": 512, "estimateMs": 300}
        status, _ = await world.client("POST", f"/p/{number:016x}", job(draw.randrange(200, 300), [step]),
                                       entry=number)
        if status == 200:
            accepted.append(number)

    async def traffic():
        number = 0
        while not stopping:
            request = asyncio.create_task(submit(number))
            requests.add(request)
            request.add_done_callback(requests.discard)
            number += 1
            await asyncio.sleep(draw.expovariate(JOBS_PER_S))

    async def stop(index):
        process = world.entries[index][1]
        process.send_signal(signal.SIGTERM)
        end = now() + 6.0  # graceS
        while process.poll() is None and now() < end:
            await asyncio.sleep(0.05)
        process.kill()
        process.wait()
        world.restart_entry(index)

    sender = asyncio.create_task(traffic())
    await asyncio.sleep(2)
    for _ in range(ROUNDS):
        begun = now()
        if TROUBLE:
            world.record(f"the store is {SLOW} times slower")
            world.store.answer_s, world.store.tx_s = answer_s * SLOW, tx_s * SLOW
        await asyncio.sleep(draw.uniform(0.8, 1.5))
        leader = (world.leader() or {}).get("holder")
        index = next(i for i, e in enumerate(world.entries) if e[0] == leader)
        if TROUBLE and world.entries[index][1].poll() is None:
            world.record(f"SIGTERM to the leader, {leader}")
            asyncio.create_task(stop(index))
        await asyncio.sleep(begun + SLOW_S - now())
        world.store.answer_s, world.store.tx_s = answer_s, tx_s
        await asyncio.sleep(begun + ROUND_S - now())
    stopping = True
    await sender
    await asyncio.sleep(5)
    if len(accepted) < 100:
        return 2
    doubled = world.doubled()
    for task, (ended, first, run), (started, second, again) in doubled:
        text = (f"{task}: run {run} ended done on {first} at {ended:.3f} and was taken note of; "
                f"run {again} started on {second} at {started:.3f}")
        world.record(text)
        print(text)
    print(f"{len(accepted)} jobs, {len(world.starts)} starts;", "TWICE is broken" if doubled else "TWICE held")
    return 1 if doubled else 0


main(case, FOLDER)
