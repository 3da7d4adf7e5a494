"""A small platform on loopback for the cases 11 to 15: store, executors and advice service, written
from PROTOCOL.md. Everything behaves as a sound one does; a case switches its disruption on."""
import asyncio, base64, json, os, signal, socket, subprocess, sys, tempfile, time
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
PROGRAM = os.path.join(ROOT, "target", "release", "coriandernotch")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
T0 = time.monotonic()
HOST = "127.0.0.1"


def now():
    return time.monotonic() - T0


class Record:
    """What was sent, answered and run, in record.txt of the folder of the case."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def __call__(self, text, at=None):
        self.file.write(f"{now() if at is None else at:9.3f}  {text}\n")
        self.file.flush()


async def serve(handler, round_trip_s=0.0):
    """Serves HTTP/1.1 on a free port. handler(method, path, query, headers, body) returns status and
    object, or None to leave the request without an answer. A connection and each request take a round
    trip between the zones."""

    async def connection(reader, writer):
        try:
            await asyncio.sleep(round_trip_s)
            while True:
                line = await reader.readline()
                if not line:
                    return
                method, target, _ = line.decode().split(" ", 2)
                headers = {}
                while (line := await reader.readline()) not in (b"\r\n", b""):
                    name, _, value = line.decode().partition(":")
                    headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                await asyncio.sleep(round_trip_s)
                url = urlsplit(target)
                query = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
                answer = await handler(method, url.path, query, headers, body)
                if answer is None:
                    await asyncio.sleep(3600)
                status, content = answer
                text = json.dumps(content).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(text)}\r\n\r\n"
                writer.write(head.encode() + text)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(connection, HOST, 0, backlog=512)
    return server.sockets[0].getsockname()[1]


async def call(port, method, path, body=None, headers=None, timeout=5.0):
    """One request on a new connection. Returns status and object; status 0 without an answer."""

    async def exchange():
        reader, writer = await asyncio.open_connection(HOST, port)
        try:
            data = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(data)}", "Connection: close"]
            lines += [f"{k}: {v}" for k, v in (headers or {}).items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
            await writer.drain()
            answer = await reader.read(-1)
        finally:
            writer.close()
        head, _, content = answer.partition(b"\r\n\r\n")
        status = int(head.split()[1])
        try:
            return status, json.loads(content) if content.strip() else None
        except ValueError:
            return status, None

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, ValueError, IndexError):
        return 0, None


class Store:
    """The platform's metadata store: rows with versions of one counter, transactions and a feed."""

    def __init__(self, answer_ms=4.0, tx_ms=8.0):
        self.rows, self.log, self.ver = {}, [], 0
        self.answer_s, self.tx_s = answer_ms / 1000, tx_ms / 1000
        self.changed = asyncio.Event()

    async def start(self):
        self.port = await serve(self.handle)

    def put(self, table, part, key, value):
        """value: bytes, or None to delete the row."""
        self.ver += 1
        self.apply(table, part, key, value)

    def apply(self, table, part, key, value):
        if value is None:
            self.rows.setdefault((table, part), {}).pop(key, None)
        else:
            self.rows.setdefault((table, part), {})[key] = (value, self.ver)
        row = {"table": table, "part": part, "key": key, "ver": self.ver}
        row.update({"tombstone": True} if value is None else {"value": value})
        self.log.append(row)
        self.changed.set()
        self.changed = asyncio.Event()

    def write(self, table, key, content):
        self.put(table, "", key, base64.b64encode(json.dumps(content).encode()).decode())

    def envelope(self, **fields):
        return {**fields, "ver": self.ver, "nowMs": int(now() * 1000) + 1_000_000}

    async def handle(self, method, path, query, headers, body):
        if path == "/api/rows-tx":
            await asyncio.sleep(self.tx_s)
            return self.transact(json.loads(body))
        await asyncio.sleep(self.answer_s)
        if path == "/api/rows-get":
            rows = self.rows.get((query["table"], query.get("part", "")), {})
            first, last = query.get("from", ""), query.get("target", "")
            keys = sorted(k for k in rows if k >= first and (not last or k < last))
            limit = min(int(query.get("limit", 500)), 500)
            found = [{"table": query["table"], "part": query.get("part", ""), "key": k,
                      "value": rows[k][0], "ver": rows[k][1]} for k in keys[:limit]]
            return 200, self.envelope(rows=found, hasMore=len(keys) > limit)
        if path == "/api/rows-feed":
            after, end = int(query["after"]), now() + int(query.get("waitMs", 0)) / 1000
            while True:
                rows = self.changes(query["table"], after)
                left = end - now()
                if rows or left <= 0:
                    break
                changed = self.changed
                try:
                    await asyncio.wait_for(changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
            answer = self.envelope(rows=rows[:500])
            if len(rows) > 500:
                answer["ver"] = rows[499]["ver"]
            return 200, answer
        return 404, {}

    def changes(self, table, after):
        found = []
        for row in reversed(self.log):
            if row["ver"] <= after:
                break
            if row["table"] == table:
                found.append(row)
        return found[::-1]

    def transact(self, call):
        current = lambda e: self.rows.get((e["table"], e.get("part", "")), {}).get(e["key"])
        expected = call.get("expectedRev", [])
        if any((current(e) or (None, 0))[1] != e["ver"] for e in expected):
            rows = []
            for e in expected:
                value, ver = current(e) or (None, 0)
                row = {"table": e["table"], "part": e.get("part", ""), "key": e["key"], "ver": ver}
                rows.append({**row, "value": value} if value is not None else row)
            return 412, self.envelope(rows=rows)
        changes = call.get("puts", []) + call.get("deletes", [])
        if any(c["table"] in ("op", "servers") for c in changes):
            return 403, {}
        self.ver += 1
        for c in call.get("puts", []):
            self.apply(c["table"], c.get("part", ""), c["key"], c["value"])
        for c in call.get("deletes", []):
            if current(c):
                self.apply(c["table"], c.get("part", ""), c["key"], None)
        return 200, self.envelope()


class Executor:
    """One executor. The text of a job's spec is a JSON object; `ms` is the work of one task."""

    def __init__(self, world, name, service, rack, cpu=32000, mem=131072, zone="lima-a"):
        self.world, self.name, self.service, self.rack, self.zone = world, name, service, rack, zone
        self.capacity = {"cpu": cpu, "memMb": mem, "gpu": 0}
        self.machine = "m-" + name
        self.speed, self.seq, self.dark, self.round_trip_s = 1.0, 0, False, 0.0
        self.begin()

    def begin(self):
        self.born, self.clock_at = int(time.time() * 1000), now() - 1.0
        self.fence, self.deadline, self.position = 0, 0, 0
        self.running, self.ended, self.highest = {}, [], {}
        self.unnoted = {}  # position of each `done` end that is not acknowledged, with its task and time
        self.changed = asyncio.Event()

    async def start(self):
        self.port = await serve(self.handle, self.round_trip_s)
        asyncio.create_task(self.beat())
        asyncio.create_task(self.work())

    def clock(self):
        return int((now() - self.clock_at) * 1000)

    async def beat(self):
        while not self.dark:
            self.seq += 1
            self.world.store.write("servers", self.name, {
                "service": self.service, "address": f"{HOST}:{self.port}", "zone": self.zone,
                "version": "v1", "slots": 8, "state": "ready", "coldMs": 0, "seq": self.seq,
                "capacity": self.capacity, "labels": ["a", self.rack], "clockMs": self.clock(),
                "machine": self.machine, "born": self.born})
            await asyncio.sleep(1.5)
        # The store removes an entry after three heartbeat intervals of silence.
        await asyncio.sleep(3.0)
        self.world.store.put("servers", "", self.name, None)

    def crash(self):
        """Ends the process; its address stays silent."""
        self.dark = True
        for task in list(self.running):
            run = self.running.pop(task)
            self.world.ran(self, task, run["run"], "lost with its executor")

    async def work(self):
        last = now()
        while not self.dark:
            await asyncio.sleep(0.005)
            at = now()
            passed, last = at - last, at
            if self.clock() > self.deadline:
                self.unnoted.clear()  # these ends will not count as taken note of
                for task in list(self.running):
                    self.end(task, "lapsed")
            for task, run in list(self.running.items()):
                if run["stop_at"] is not None:
                    if at >= run["stop_at"]:
                        self.end(task, "stopped")
                    continue
                if run["gang"] and not self.world.is_whole(task, run):
                    if at > run["since"] + 3.0:
                        self.end(task, "alone")
                    continue
                run["done_ms"] += passed * 1000 * self.speed
                if run["ms"] is not None and run["done_ms"] >= run["ms"]:
                    self.end(task, "done")

    def end(self, task, how):
        run = self.running.pop(task)
        self.position += 1
        self.highest[task] = max(self.highest.get(task, 0), run["run"])
        self.ended.append([self.position, task, run["run"], how, ""])
        if how == "done":
            self.unnoted[self.position] = (task, run["run"], now())
        self.world.ran(self, task, run["run"], how)
        self.changed.set()
        self.changed = asyncio.Event()

    def used(self, what):
        return sum(run["size"].get(what, 0) for run in self.running.values())

    async def handle(self, method, path, query, headers, body):
        if self.dark:
            return None
        if headers.get("x-expect-instance", self.name) != self.name:
            return 421, {}
        call = json.loads(body) if body else {}
        answer = lambda status=200, **fields: (status, {"clockMs": self.clock(), "born": self.born, **fields})
        if call.get("fenceToken", 0) < self.fence:
            return answer(409, reason="fence")
        self.fence = max(self.fence, call.get("fenceToken", 0))
        if "deadlineMs" in call:
            self.deadline = max(self.deadline, min(call["deadlineMs"], self.clock() + 6000))
        if path == "/api/hold":
            position = call.get("ackPosition", 0)
            for end in [p for p in self.unnoted if p <= position]:
                task, run, at = self.unnoted.pop(end)
                self.world.noted.append((now(), self.name, task, run, at))
            self.ended = [e for e in self.ended if e[0] > position]
            end = now() + call.get("waitMs", 0) / 1000
            while not self.ended and now() < end:
                try:
                    await asyncio.wait_for(self.changed.wait(), end - now())
                except asyncio.TimeoutError:
                    pass
            rows = [[task, run["run"], "", self.percent(run), 0.0] for task, run in self.running.items()]
            return answer(running=rows, ended=self.ended[:500])
        if path == "/api/run-start":
            return self.start_run(call, answer)
        if path == "/api/run-stop":
            task, number = call["task"], call["run"]
            run = self.running.get(task)
            if run and run["run"] <= number and run["stop_at"] is None:
                run["stop_at"] = now() + self.world.stop_s
            self.highest[task] = max(self.highest.get(task, 0), number)
            return answer()
        if path == "/api/pace":
            return answer()
        return 404, {}

    def percent(self, run):
        return 100 if run["ms"] is None else min(99, int(run["done_ms"] * 100 / run["ms"]))

    def start_run(self, call, answer):
        task, number = call["task"], call["run"]
        run = self.running.get(task)
        if run and run["run"] == number:
            return answer()
        if number <= self.highest.get(task, 0) or run:
            return answer(409, reason="old")
        if call["deadlineMs"] <= self.clock():
            return answer(409, reason="late")
        spec = json.loads(call["spec"])
        size = spec["sizes"][int(task.split(".")[2])]
        if any(self.used(k) + v > self.capacity[k] for k, v in size.items()):
            return answer(409, reason="room")
        if spec.get("advice") and call.get("ticket") != self.world.ticket(task.rsplit(".", 1)[0], self.name):
            return answer(409, reason="ticket")
        ms = spec.get("ms")
        self.running[task] = {"run": number, "size": size, "ms": ms, "done_ms": 0.0, "stop_at": None,
                              "gang": spec.get("gang", 0), "since": now(),
                              "token": call.get("fenceToken", 0)}
        self.world.started(self, task, number, call.get("fenceToken", 0))
        return answer()


class World:
    def __init__(self, folder, stop_s=0.5):
        self.record = Record(folder)
        self.store, self.executors, self.entries = Store(), [], []
        self.stop_s, self.starts, self.ends = stop_s, [], []
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.advice_port, self.decide_ms, self.each_ms, self.valid_ms = None, 0, 0, 3000
        self.advice_locks = {}
        self.allows = lambda executor: True
        # `done` ends that were taken note of: when, executor, task, run, and when it ended.
        self.noted = []

    def started(self, executor, task, run, token):
        self.starts.append((now(), executor.name, task, run))
        self.record(f"{executor.name} starts {task} run {run} (token {token})")

    def ran(self, executor, task, run, how):
        self.ends.append((now(), executor.name, task, run, how))
        self.record(f"{executor.name} ends {task} run {run}: {how}")

    def is_whole(self, task, run):
        """Whether all tasks of a gang are present (their number stands in the spec) or it has worked."""
        step = task.rsplit(".", 1)[0]
        runs = [(t, r) for e in self.executors for t, r in e.running.items() if t.rsplit(".", 1)[0] == step]
        members = {t for t, r in runs if r["run"] == run["run"]}
        return len(members) >= run["gang"] or run["done_ms"] > 0

    def ticket(self, step, executor):
        return f"t-{step}-{executor}"

    async def advise(self, method, path, query, headers, body):
        call = json.loads(body)
        lock = self.advice_locks.setdefault("all", asyncio.Lock())
        async with lock:
            await asyncio.sleep((self.decide_ms + self.each_ms * len(call["workers"])) / 1000)
        allowed = {e.name for e in self.executors if self.allows(e)}
        good = [[w, self.ticket(call["step"], w)] for w in call["workers"] if w in allowed]
        self.record(f"advice on {call['step']}: {len(call['workers'])} executors named, {len(good)} good")
        return 200, {"good": good, "validMs": self.valid_ms}

    async def start(self, services, config, racks=4, round_trips_s=(0.0,)):
        """services: name and number of executors. config: the first op/config. round_trips_s: of the
        zones, between which the executors take turns by rack."""
        await self.store.start()
        self.store.write("op", "config", config)
        number = 0
        for service, count in services:
            for _ in range(count):
                executor = Executor(self, f"i-{number:02}", service, f"r1-{number // racks}")
                executor.round_trip_s = round_trips_s[number // racks % len(round_trips_s)]
                number += 1
                self.executors.append(executor)
                await executor.start()
        self.advice_port = await serve(self.advise)

    def start_entries(self, count, **more):
        for number in range(count):
            self.start_entry(f"edge-{number + 1}", **more)

    def start_entry(self, name, **more):
        ports = [free_port() for _ in range(2)]
        settings = {
            "name": name, "data-centre": "lima-a", "callers": f"{HOST}:{ports[0]}",
            "readiness": f"{HOST}:{ports[1]}", "store": f"{HOST}:{self.store.port}",
            "advice": f"{HOST}:{self.advice_port}", "processor-share": 0.25,
            "learn-estimates": True, "memory-mb": 260, "max-descriptors": 4100,
            "refuse-late-jobs": True,
            "bounds": {"lease-ms": 6000, "stop-ms": 900, "notice-ms": 4500, "upkeep-s": 2,
                       "move-s": 1.5, "status-s": 120, "config-ms": 2000, "grace-s": 6,
                       "far-factor": 1.5},
            "log": "info", **more}
        path = os.path.join(self.temporary.name, name + ".jsonc")
        with open(path, "w") as file:
            json.dump(settings, file)
        self.entries.append((name, self.spawn(name), ports[0], ports[1]))

    def spawn(self, name):
        path = os.path.join(self.temporary.name, name)
        log = open(path + ".log", "a")
        command = [PROGRAM, "entry", "--settings", path + ".jsonc"]
        return subprocess.Popen(command, stdout=log, stderr=log, cwd=ROOT)

    def restart_entry(self, index):
        name, _, front, readiness = self.entries[index]
        self.entries[index] = (name, self.spawn(name), front, readiness)

    async def ready(self, timeout=15):
        end = now() + timeout
        while now() < end:
            states = [(await call(e[3], "GET", "/api/readyz"))[0] for e in self.entries]
            if all(s == 200 for s in states):
                return True
            await asyncio.sleep(0.2)
        return False

    def leader(self):
        rows = self.store.rows.get(("leaders", ""), {})
        if "owner" not in rows:
            return None
        return json.loads(base64.b64decode(rows["owner"][0]))

    async def client(self, method, path, body=None, key="key-1", host="h.example", tries=4, entry=0,
                     codes=(0, 502, 504)):
        """A sound client: it repeats a request without an outcome at the next node."""
        for attempt in range(tries):
            name, _, port, _ = self.entries[(entry + attempt) % len(self.entries)]
            headers = {"Host": host, "Authorization": f"Bearer {key}", "X-Deadline-Ms": "3000",
                       "Content-Type": "application/json"}
            status, answer = await call(port, method, path, body, headers, 3.2)
            self.record(f"client {method} {path} at {name}: {status} {json.dumps(answer)}")
            if status not in codes:
                return status, answer
        return status, answer

    def doubled(self):
        """Starts of a task after a run of it has ended `done`, if that end was taken note of."""
        ended = {}
        for _, executor, task, run, at in self.noted:
            ended.setdefault(task, (at, executor, run))
        return [(task, ended[task], (at, executor, run)) for at, executor, task, run in self.starts
                if task in ended and at > ended[task][0]]

    def stop(self):
        for _, process, _, _ in self.entries:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for _, process, _, _ in self.entries:
            process.wait()

    def logs(self, words):
        """Copies the lines of the entries' logs with any of some words into the record."""
        for name, *_ in self.entries:
            with open(os.path.join(self.temporary.name, name + ".log"), errors="replace") as file:
                for line in file:
                    if any(word in line for word in words):
                        self.record.file.write(f"log of {name}: {line.rstrip()}\n")
        self.record.file.flush()


def free_port():
    with socket.socket() as s:
        s.bind((HOST, 0))
        return s.getsockname()[1]


def route(name, prefix, service, **more):
    return {"name": name, "host": "h.example", "prefix": prefix, "kind": "unsafe", "timeoutMs": 3000,
            "targetDurationMs": 600, "priority": 0, "service": service, "maxAttempts": 4,
            "stretch": 1.6, "public": False, **more}


def config(routes, services, version=7):
    return {"version": version, "routes": routes,
            "services": [{"name": s, "healthPath": "/healthz", "maxConns": 64, "protocol": "h1",
                          "tls": False, "admissionCheck": True, "standby": False} for s in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000},
            "tenants": [{"name": "t", "apiKeys": ["key-1"], "priority": 1, "weight": 71,
                         "maximum": {"cpu": 0, "memMb": 0, "gpu": 0}}]}


def job(ms, steps, advice=False, gang=0, **more):
    """steps: objects of the protocol. The spec tells the executors how long a task works."""
    sizes = [{"cpu": s["cpu"], "memMb": s["memMb"]} for s in steps]
    spec = {"ms": ms, "sizes": sizes, "advice": advice, "gang": gang}
    return {"spec": json.dumps(spec), "steps": steps, **more}


def main(case, folder):
    """Runs a case: exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    if not os.path.exists(PROGRAM):
        print("not built:", PROGRAM)
        sys.exit(2)

    async def run():
        world = World(folder)
        try:
            return await asyncio.wait_for(case(world), 115)
        except Exception as error:  # a case that can't run says why
            print("the case couldn't run:", repr(error))
            return 2
        finally:
            asyncio.get_running_loop().set_exception_handler(lambda *_: None)
            world.stop()
            world.logs(["panicked", "leadership", "job-ended"])
            world.temporary.cleanup()

    code = asyncio.run(run())
    sys.stdout.flush()
    os._exit(code)
