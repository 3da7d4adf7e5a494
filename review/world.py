"""Stand-ins for the platform's store, the workers and the clients, and a bed that starts entry
instances as processes of their own. Only the standard library is used. Every address is a loopback
address; ports are free ones; files lie in a temporary folder."""
import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), ".."))
PROGRAM = os.path.join(ROOT, "target", "release", "coriandernotch")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# Bounds as in the settings of the site huallaga-core.
MAX_HOLD_MS = 6000
STOP_MS = 900
CANCEL_MS = 3000
ACK_MS = 4000
CONTACT_MS = 3000
ROW_BYTES = 65536
TX_ROWS = 100
TX_BYTES = 1_000_000
HEARTBEAT_S = 1.5


def free_port():
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.begun = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def now(self):
        return time.monotonic() - self.begun

    def add(self, who, text):
        self.file.write(f"{self.now():9.3f} {who:10} {text}\n")

    def close(self):
        self.file.close()


class Hang:
    """Answer of a handler that leaves the call unanswered."""


class Server:
    """A small HTTP/1.1 server. `handler(method, path, query, headers, body)` returns the status and
    the body, or Hang."""

    def __init__(self, handler):
        self.handler = handler
        self.writers = set()
        self.port = free_port()
        self.server = None

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    async def stop(self):
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if ":" in line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                parts = urlsplit(target)
                query = {k: v[0] for k, v in parse_qs(parts.query, keep_blank_values=True).items()}
                answer = await self.handler(method, parts.path, query, headers, body)
                if answer is Hang:
                    await asyncio.sleep(3600)
                status, content = answer
                content = content if isinstance(content, bytes) else json.dumps(content).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n"
                    f"content-length: {len(content)}\r\n\r\n".encode() + content)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store:
    """The platform's store: rows, transactions and feeds (PROTOCOL.md)."""

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.history = []
        self.version = 0
        self.changed = asyncio.Event()
        self.server = Server(self.handle)
        # Called with each transaction; returns None to answer soundly, or the time in seconds after
        # which the write is done; it is then never answered.
        self.delay_write = lambda body: None
        self.refused = 0

    async def start(self):
        await self.server.start()

    def notify(self):
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def put(self, table, key, value, part=""):
        """Writes a row like the operator or a worker."""
        self.version += 1
        self.store_row((table, part, key), base64.b64encode(json.dumps(value).encode()).decode())
        self.notify()

    def remove(self, table, key, part=""):
        self.version += 1
        self.rows.pop((table, part, key), None)
        self.history.append((self.version, (table, part, key)))
        self.notify()

    def store_row(self, key, value):
        self.rows[key] = (value, self.version)
        self.history.append((self.version, key))

    def row(self, key):
        value, version = self.rows[key]
        return {"table": key[0], "part": key[1], "key": key[2], "value": value, "ver": version}

    def now_ms(self):
        return int(self.record.now() * 1000) + 100_000

    async def handle(self, method, path, query, headers, body):
        if path == "/api/rows-tx":
            transaction = json.loads(body)
            delay = self.delay_write(transaction)
            if delay is not None:
                asyncio.get_running_loop().call_later(delay, self.transact, transaction, len(body))
                return Hang
            await asyncio.sleep(0.008)
            return self.transact(transaction, len(body))
        if path == "/api/rows-get":
            await asyncio.sleep(0.004)
            return self.get(query)
        if path == "/api/rows-feed":
            return await self.feed(query)
        if path == "/api/rows-parts":
            parts = sorted({k[1] for k in self.rows if k[0] == query.get("table")})
            return 200, {"parts": parts, "ver": self.version, "nowMs": self.now_ms()}
        return 404, {}

    def transact(self, t, size):
        expected, puts, deletes = t.get("expectedRev", []), t.get("puts", []), t.get("deletes", [])
        key = lambda e: (e["table"], e.get("part", ""), e["key"])
        too_long = [p for p in puts if len(base64.b64decode(p["value"])) > ROW_BYTES]
        if too_long or len(expected) + len(puts) + len(deletes) > TX_ROWS or size > TX_BYTES:
            self.refused += 1
            if self.refused in (1, 10, 100):
                longest = max((len(base64.b64decode(p["value"])) for p in puts), default=0)
                self.record.add("store", f"refuses transaction: rows of up to {longest} bytes, "
                                         f"{size} bytes in all (number {self.refused})")
            return 400, {"nowMs": self.now_ms()}
        if any(self.rows.get(key(e), ("", 0))[1] != e.get("ver", 0) for e in expected):
            rows = [self.row(key(e)) for e in expected if key(e) in self.rows]
            return 412, {"rows": rows, "ver": self.version, "nowMs": self.now_ms()}
        self.version += 1
        for p in puts:
            self.store_row(key(p), p["value"])
        for d in deletes:
            self.rows.pop(key(d), None)
            self.history.append((self.version, key(d)))
        self.notify()
        return 200, {"ver": self.version, "nowMs": self.now_ms()}

    def get(self, query):
        table, part = query.get("table", ""), query.get("part", "")
        low, high = query.get("from", ""), query.get("target", "")
        keys = sorted(k for k in self.rows if k[0] == table and k[1] == part and k[2] >= low
                      and (not high or k[2] < high))
        limit = min(int(query.get("limit", 500)), 500)
        rows, size = [], 0
        for k in keys[:limit]:
            size += len(self.rows[k][0])
            if rows and size > 1_000_000:
                break
            rows.append(self.row(k))
        return 200, {"rows": rows, "hasMore": len(rows) < len(keys), "ver": self.version,
                     "nowMs": self.now_ms()}

    async def feed(self, query):
        table, after = query.get("table", ""), int(query.get("after", 0))
        until = time.monotonic() + min(int(query.get("waitMs", 0)), 30000) / 1000
        while True:
            changed = self.changed
            rows, seen = [], set()
            for version, k in reversed(self.history):
                if version <= after:
                    break
                if k[0] == table and k not in seen:
                    seen.add(k)
                    if k in self.rows:
                        rows.append(self.row(k))
                    else:
                        rows.append({"table": k[0], "part": k[1], "key": k[2], "ver": version,
                                     "tombstone": True})
            if rows or time.monotonic() >= until:
                rows.sort(key=lambda r: r["ver"])
                return 200, {"rows": rows, "ver": self.version, "nowMs": self.now_ms()}
            try:
                await asyncio.wait_for(changed.wait(), max(until - time.monotonic(), 0.001))
            except asyncio.TimeoutError:
                pass


class Run:
    def __init__(self, task, number, until):
        self.task, self.number, self.until = task, number, until
        self.begun = time.monotonic()
        self.stopping = False


class Worker:
    """An executor. `duration(task, run)` returns how long a run takes in seconds and how it ends;
    None as the time means that it lasts. It guards its capacity only by its count of cores."""

    def __init__(self, name, store, record, service, duration, cpu=32000, stop_s=0.3):
        self.id, self.store, self.record, self.service = name, store, record, service
        self.duration, self.cpu, self.stop_s = duration, cpu, stop_s
        self.server = Server(self.handle)
        self.begin_life()
        self.on_start = lambda worker, task, run: None
        # Set where starts need a ticket: `is_valid(worker, task, ticket)`.
        self.is_valid = None
        self.tasks = []
        # Whether the link to the leader with this fence is cut.
        self.is_cut_from = lambda token: False

    def begin_life(self):
        self.begun = time.monotonic()
        self.born = int(time.time() * 1000)
        self.token = 0
        self.runs = {}
        self.ended = []
        self.position = self.acknowledged = 0
        self.past = {}
        self.lease = 0
        self.seq = 0
        self.changed = asyncio.Event()

    async def start(self):
        await self.server.start()
        self.tasks = [asyncio.create_task(self.beat()), asyncio.create_task(self.work())]

    async def lose(self):
        """Ends the worker for good, like a crash: all that it runs is gone, and its entry is removed
        after three heartbeat intervals."""
        self.record.add(self.id, "lost for good")
        for task in self.tasks:
            task.cancel()
        self.runs.clear()
        await self.server.stop()
        asyncio.get_running_loop().call_later(3 * HEARTBEAT_S, self.store.remove, "servers", self.id)

    def clock(self):
        return int((time.monotonic() - self.begun) * 1000) + 1000

    async def beat(self):
        while True:
            self.seq += 1
            self.store.put("servers", self.id, {
                "service": self.service, "address": self.server.address, "zone": "z1",
                "version": "v1", "slots": 8, "state": "ready", "coldMs": 0, "born": self.born,
                "capacity": {"cpu": self.cpu, "memMb": 131072, "gpu": 0}, "labels": ["a", "r1-1"],
                "machine": "m-" + self.id, "clockMs": self.clock(), "seq": self.seq})
            await asyncio.sleep(HEARTBEAT_S)

    def end(self, run, how):
        if self.runs.pop(run.task, None) is None:
            return
        self.past[run.task] = max(self.past.get(run.task, 0), run.number)
        self.position += 1
        self.ended.append([self.position, run.task, run.number, how, ""])
        self.record.add(self.id, f"ended   {run.task} run {run.number}: {how}")
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def work(self):
        while True:
            await asyncio.sleep(0.005)
            now = time.monotonic()
            if self.runs and self.clock() > self.lease:
                for run in list(self.runs.values()):
                    self.end(run, "lapsed")
            for run in [r for r in self.runs.values() if r.until is not None and now >= r.until[0]]:
                self.end(run, run.until[1])

    async def handle(self, method, path, query, headers, body):
        if headers.get("x-expect-instance", self.id) != self.id:
            return 421, {"clockMs": self.clock(), "born": self.born}
        b = json.loads(body)
        token = b.get("fenceToken", 0)
        if token < self.token:
            return 409, {"clockMs": self.clock(), "born": self.born, "reason": "fence"}
        if self.is_cut_from(token):
            self.record.add(self.id, f"{path} with fence {token} is lost in a cut")
            return Hang
        self.token = token
        if "deadlineMs" in b:
            self.lease = max(self.lease, min(b["deadlineMs"], self.clock() + MAX_HOLD_MS))
        if path == "/api/run-start":
            return self.begin(b)
        if path == "/api/run-stop":
            return self.stop(b)
        if path == "/api/hold":
            return await self.hold(b)
        return 200, {"clockMs": self.clock(), "born": self.born}

    def begin(self, b):
        task, number = b["task"], b["run"]
        answer = {"clockMs": self.clock(), "born": self.born}
        if task in self.runs and self.runs[task].number == number:
            return 200, answer
        if number <= self.past.get(task, 0) or task in self.runs:
            return 409, {**answer, "reason": "old"}
        if b["deadlineMs"] < self.clock():
            return 409, {**answer, "reason": "late"}
        if self.is_valid and not self.is_valid(self, task, b.get("ticket", "")):
            return 409, {**answer, "reason": "ticket"}
        seconds, how = self.duration(task, number)
        until = None if seconds is None else (time.monotonic() + seconds, how)
        self.runs[task] = Run(task, number, until)
        self.record.add(self.id, f"started {task} run {number}")
        self.on_start(self, task, number)
        return 200, answer

    def stop(self, b):
        task, number = b["task"], b["run"]
        self.past[task] = max(self.past.get(task, 0), number)
        run = self.runs.get(task)
        if run and run.number <= number and not run.stopping:
            run.stopping = True
            self.record.add(self.id, f"told to stop {task} run {number}")
            asyncio.get_running_loop().call_later(self.stop_s, self.end, run, "stopped")
        return 200, {"clockMs": self.clock(), "born": self.born}

    async def hold(self, b):
        position = b.get("ackPosition", 0)
        if position > self.acknowledged:
            self.acknowledged = position
            self.record.add(self.id, f"ends taken note of up to {position}")
            self.ended = [e for e in self.ended if e[0] > position]
        until = time.monotonic() + b.get("waitMs", 0) / 1000
        while not self.ended and time.monotonic() < until:
            try:
                await asyncio.wait_for(self.changed.wait(), max(until - time.monotonic(), 0.001))
            except asyncio.TimeoutError:
                pass
        now = time.monotonic()
        running = [[r.task, r.number, "", 100 if r.until is None else
                    min(99, int(100 * (now - r.begun) / max(r.until[0] - r.begun, 0.001))), 5]
                   for r in self.runs.values()]
        return 200, {"clockMs": self.clock(), "born": self.born, "running": running,
                     "ended": self.ended[:500]}


class Adviser:
    """The advice service: decides which workers may run a step, one call at a time for each calling
    machine. `allows(step, worker)` is the queue's policy."""

    def __init__(self, record, allows, decide_ms, each_ms, valid_ms):
        self.record, self.allows = record, allows
        self.decide_ms, self.each_ms, self.valid_ms = decide_ms, each_ms, valid_ms
        self.server = Server(self.handle)
        self.turn = asyncio.Lock()  # Only the leader asks, so one turn serves all.
        self.waiting = 0
        self.tickets = {}

    async def handle(self, method, path, query, headers, body):
        b = json.loads(body)
        if self.waiting >= 32:
            return 429, {}
        self.waiting += 1
        try:
            async with self.turn:
                workers = b["workers"][:100]
                await asyncio.sleep((self.decide_ms + self.each_ms * len(workers)) / 1000)
                good = [[w, f"{b['step']}@{w}"] for w in workers if self.allows(b["step"], w)]
                for _, ticket in good:
                    self.tickets[ticket] = time.monotonic() + self.valid_ms / 1000
                self.record.add("advice", f"{b['step']} of {len(workers)} workers: "
                                          f"{[w for w, _ in good]}")
                return 200, {"good": good, "validMs": self.valid_ms}
        finally:
            self.waiting -= 1

    def is_valid(self, worker, task, ticket):
        step = task.rsplit(".", 1)[0]
        return (ticket == f"{step}@{worker.id}" and
                self.tickets.get(ticket, 0) > time.monotonic())


class Machines:
    """The platform's machine service: one machine for each worker. It doesn't check fences."""

    def __init__(self, record, workers):
        self.record, self.workers = record, workers
        self.server = Server(self.handle)
        self.orders = []  # Time, machine, holder and fence of each order that was carried out.
        self.done = set()
        self.down = {}

    async def handle(self, method, path, query, headers, body):
        now = time.monotonic()
        if path == "/api/machines":
            rows = [{"machine": "m-" + w.id, "pool": w.service, "zone": "z1", "labels": ["a", "r1-1"],
                     "state": "upkeep" if self.down.get("m-" + w.id, 0) > now else "up",
                     "capacity": {"cpu": w.cpu, "memMb": 131072, "gpu": 0}, "id": w.id}
                    for w in self.workers]
            return 200, {"machines": rows, "nextToken": None}
        if path != "/api/machine-upkeep":
            return 409, {"reason": "busy"}
        b = json.loads(body)
        machine, holder = b["machine"], headers.get("x-duty-holder", "")
        fence = int(headers.get("x-fencing-token", 0))
        self.orders.append((self.record.now(), machine, holder, fence))
        self.record.add("machines", f"upkeep of {machine} from {holder}, fence {fence}")
        if (machine, b["wave"]) not in self.done:
            self.done.add((machine, b["wave"]))
            self.down[machine] = now + 2
            for worker in self.workers:
                if "m-" + worker.id == machine:
                    worker.begin_life()
        return 200, {}


# Times after a segment was first sent at which a system sends it again.
RESENT_AFTER = (0.2, 0.6, 1.4, 3.0, 6.2, 12.6)


class Gate:
    """A link to a server that can be cut. Bytes held up by the cut arrive when they are sent again
    after it, also if their sender has closed the connection meanwhile, but not if it has reset it.
    Connections that were begun during the cut come to nothing."""

    def __init__(self, target_port):
        self.target_port = target_port
        self.cut_from = self.cut_until = 0.0
        self.on_bytes = lambda data: None
        self.port, self.server, self.writers = free_port(), None, set()

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    def is_cut(self):
        return self.cut_from <= time.monotonic() < self.cut_until

    def cut(self, seconds):
        self.cut_from = time.monotonic()
        self.cut_until = self.cut_from + seconds

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    async def stop(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            if self.is_cut():
                await asyncio.sleep(max(self.cut_until - time.monotonic(), 0))
                return writer.transport.abort()
            there = await asyncio.open_connection("127.0.0.1", self.target_port)
            self.writers.add(there[1])
            await asyncio.gather(self.pump(reader, there[1], self.on_bytes),
                                 self.pump(there[0], writer, lambda data: None))
        except OSError:
            pass
        finally:
            self.writers.discard(writer)

    async def pump(self, reader, writer, on_bytes):
        queue = asyncio.Queue()

        async def receive():
            while True:
                data = await reader.read(65536)
                on_bytes(data)
                queue.put_nowait((time.monotonic(), data))
                if not data:
                    return

        async def deliver():
            while True:
                sent, data = await queue.get()
                while self.is_cut() or time.monotonic() < sent:
                    again = [sent + after for after in RESENT_AFTER
                             if sent + after >= self.cut_until]
                    sent = again[0] if again else self.cut_until
                    await asyncio.sleep(max(sent - time.monotonic(), 0))
                if not data:
                    return writer.close()
                writer.write(data)
                await writer.drain()

        receiver, deliverer = asyncio.create_task(receive()), asyncio.create_task(deliver())
        done, _ = await asyncio.wait({receiver, deliverer}, return_when=asyncio.FIRST_EXCEPTION)
        failed = [task for task in done if task.exception()]
        if failed:  # A reset: what is still held up is lost.
            deliverer.cancel()
            writer.transport.abort()


class Entry:
    """An entry instance as a process of its own, with settings like those of the deploy file."""

    def __init__(self, name, folder, store_address, record, zone="z1", **more):
        self.name, self.record = name, record
        self.front, self.readiness = free_port(), free_port()
        self.path = os.path.join(folder, name + ".jsonc")
        self.log_path = os.path.join(folder, name + ".log")
        settings = {
            "name": name, "data-centre": zone, "callers": f"127.0.0.1:{self.front}",
            "readiness": f"127.0.0.1:{self.readiness}", "store": store_address,
            "processor-share": 0.25,
            "bounds": {"lease-ms": MAX_HOLD_MS, "stop-ms": STOP_MS, "notice-ms": 4500,
                       "upkeep-s": 2, "move-s": 1.5, "status-s": 120, "config-ms": 2000,
                       "grace-s": 6},
            "log": "info", **more}
        with open(self.path, "w") as file:
            json.dump(settings, file)
        self.process = None

    async def start(self):
        log = open(self.log_path, "a")
        self.process = await asyncio.create_subprocess_exec(
            PROGRAM, "entry", "--settings", self.path, stdout=log, stderr=log, cwd=ROOT)
        self.record.add(self.name, "process started")

    def kill(self):
        self.process.send_signal(signal.SIGKILL)
        self.record.add(self.name, "process killed")

    async def stop(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


async def call(port, method, path, headers=None, body=None, timeout=10.0):
    """Sends a request on a connection of its own. Returns status and body, or (None, b"")."""
    try:
        return await asyncio.wait_for(exchange(port, method, path, headers or {}, body), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None, b""


async def exchange(port, method, path, headers, body):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        content = b"" if body is None else json.dumps(body).encode()
        lines = [f"{method} {path} HTTP/1.1"] + [f"{k}: {v}" for k, v in headers.items()]
        lines += [f"content-length: {len(content)}", "connection: close", "", ""]
        writer.write("\r\n".join(lines).encode() + content)
        await writer.drain()
        head = await reader.readuntil(b"\r\n\r\n")
        status = int(head.split(b" ", 2)[1])
        length = 0
        for line in head.decode("latin-1").split("\r\n"):
            if line.lower().startswith("content-length:"):
                length = int(line.split(":", 1)[1])
        return status, await reader.readexactly(length)
    finally:
        writer.close()


class Bed:
    """A small deployment: a store, workers of one service and three entry instances."""

    HOST, PREFIX, KEY = "jobs.example", "/queue/", "key-1"

    def __init__(self, folder):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store(self.record)
        self.workers, self.entries = [], []

    def config(self, version=1, **route):
        return {
            "version": version,
            "routes": [{"name": "q", "host": self.HOST, "prefix": self.PREFIX, "kind": "unsafe",
                        "timeoutMs": 3000, "targetDurationMs": 600, "priority": 1, "service": "s",
                        "maxAttempts": 4, "stretch": 1.6, "public": False, **route}],
            "services": [{"name": "s", "admissionCheck": True}],
            "tenants": [{"name": "t", "apiKeys": [self.KEY], "weight": 50,
                         "maximum": {"cpu": 0, "memMb": 0, "gpu": 0}}],
            "limits": {"maxBodyBytes": 262144}}

    async def start(self, workers, duration, entries=3, route=None, settings=None, **kind):
        if not os.access(PROGRAM, os.X_OK):
            raise RuntimeError("build the program first: cargo build --release --locked")
        if not self.store.server.server:
            await self.store.start()
        self.store.put("op", "config", self.config(**(route or {})))
        for number in range(workers):
            worker = Worker(f"i-{number}", self.store, self.record, "s", duration, **kind)
            self.workers.append(worker)
            await worker.start()
        for number in range(entries):
            entry = Entry(f"entry-{number}", self.folder, self.store.server.address, self.record,
                          **(settings(number) if callable(settings) else settings or {}))
            self.entries.append(entry)
            await entry.start()
        await self.wait_ready()

    async def wait_ready(self, seconds=20):
        until = time.monotonic() + seconds
        for entry in self.entries:
            while (await call(entry.readiness, "GET", "/api/readyz", timeout=1))[0] != 200:
                if time.monotonic() > until:
                    raise RuntimeError(entry.name + " does not become ready")
                await asyncio.sleep(0.1)
        while not self.leader():
            if time.monotonic() > until:
                raise RuntimeError("no instance leads")
            await asyncio.sleep(0.1)
        self.record.add("bed", "ready, leader " + self.leader())

    def leader(self):
        row = self.store.rows.get(("leaders", "", "owner"))
        return json.loads(base64.b64decode(row[0])).get("holder", "") if row else ""

    async def request(self, entry, method, job, body=None, timeout=10.0):
        headers = {"host": self.HOST, "authorization": "Bearer " + self.KEY,
                   "content-type": "application/json", "x-deadline-ms": "3000"}
        self.record.add("client", f"{method} {job} at {entry.name}")
        status, content = await call(entry.front, method, self.PREFIX + job, headers, body, timeout)
        text = content[:80].decode("latin-1")
        self.record.add("client", f"{method} {job} answered {status} {text}")
        return status, content

    async def state(self, entry, job):
        status, content = await self.request(entry, "GET", job)
        return json.loads(content).get("state") if status == 200 else status

    async def stop(self):
        for entry in self.entries:
            await entry.stop()
        for worker in self.workers:
            await worker.server.stop()
        await self.store.server.stop()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


def run(folder, case, limit=115):
    """Runs `case(bed)`, which returns whether the rule held, and exits as run.sh has to."""
    async def main():
        # An early end must end the entry instances, too.
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, asyncio.current_task().cancel)
        bed = Bed(folder)
        try:
            return await asyncio.wait_for(case(bed), limit)
        finally:
            await bed.stop()

    try:
        held, text = asyncio.run(main())
    except (Exception, asyncio.CancelledError) as error:  # the case could not run
        print(f"could not run: {error!r}")
        sys.exit(2)
    print(("held: " if held else "broken: ") + text)
    sys.exit(0 if held else 1)
