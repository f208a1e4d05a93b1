"""Stand-ins of the users' platform for the scripts of the second review: the metadata store, workers, callers
and a proxy that holds single orders back. They speak what PROTOCOL.md says, on loopback addresses."""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = "target/release/oleanderstage-node"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STARTED = time.monotonic()
RECORD = []


def now():
    """Seconds since the start of the script."""
    return time.monotonic() - STARTED


def note(text):
    """Adds a line to record.txt."""
    line = f"{now():8.3f} s  {text}"
    RECORD.append(line)
    print(line, flush=True)


class Unrunnable(Exception):
    """The case couldn't run."""


# HTTP/1.1


async def read_message(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length") or 0)
    body = await reader.readexactly(length) if length else b""
    return first, headers, body


def response(status, value):
    body = json.dumps(value).encode()
    head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


async def serve(ip, port, handler):
    """Serves `handler(method, path, query, headers, value) -> (status, value)`. `None` gives no answer and ends
    the channel."""

    async def channel(reader, writer):
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ")
                path, _, query = target.partition("?")
                query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
                value = json.loads(body) if body else {}
                answer = await handler(method, path, query, headers, value)
                if answer is None:
                    break
                writer.write(response(*answer))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(channel, ip, port)


async def request(address, method, path, value=None, host="desk.example", timeout=3.0):
    """Sends one request on a channel of its own. Returns status and body; status 0 for no answer in time."""

    async def exchange():
        reader, writer = await asyncio.open_connection(*address)
        try:
            body = json.dumps(value).encode() if value is not None else b""
            head = (
                f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n"
                f"Content-Length: {len(body)}\r\nDeadline-Ms: {int(timeout * 1000)}\r\n\r\n"
            )
            writer.write(head.encode() + body)
            await writer.drain()
            first, _, body = await read_message(reader)
            return int(first.split(" ")[1]), json.loads(body) if body else {}
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError, OSError):
        return 0, {}


# Addresses


class Addresses:
    """Loopback addresses with free ports."""

    def __init__(self):
        self.net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self.next = 1

    def ip(self, *ports):
        """Returns an address of which these ports are free."""
        while self.next < 250:
            ip = f"{self.net}.{self.next}"
            self.next += 1
            try:
                for port in ports:
                    with socket.socket() as probe:
                        probe.bind((ip, port))
                return ip
            except OSError:
                continue
        raise Unrunnable("no free loopback address")


# The store


class Store:
    """The platform's store: linearizable, with transactions, watches and leases."""

    LATENCY = 0.004

    def __init__(self, ip, port):
        self.ip, self.port = ip, port
        self.items, self.history, self.leases = {}, [], {}
        self.revision, self.next_lease = 1, 1
        self.changed = asyncio.Condition()
        # Called with the body of each transaction; may return the seconds after which it is carried out, without
        # an answer.
        self.late = lambda body: None
        self.tasks = set()

    async def start(self):
        self.server = await serve(self.ip, self.port, self.handle)
        self.spawn(self.expire())

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            ended = [lease for lease, (end, _) in self.leases.items() if end < time.monotonic()]
            for lease in ended:
                await self.end_lease(lease)

    async def end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self.drop(key)
            await self.wake()

    async def wake(self):
        async with self.changed:
            self.changed.notify_all()

    def drop(self, key):
        if self.items.pop(key, None) is not None:
            self.history.append({"key": key, "revision": self.revision, "removed": True})

    def set(self, key, value, lease=0):
        created = self.items[key]["created"] if key in self.items else self.revision
        item = {"key": key, "value": value, "revision": self.revision, "created": created, "lease": lease}
        self.items[key] = item
        self.history.append(item)

    async def put(self, key, value):
        """Writes an item as the operator or a worker does; `None` removes it."""
        self.revision += 1
        if value is None:
            self.drop(key)
        else:
            self.set(key, base64.b64encode(json.dumps(value).encode()).decode())
        await self.wake()

    def read(self, key):
        item = self.items.get(key)
        return item and json.loads(base64.b64decode(item["value"]))

    async def txn(self, body):
        expected = body.get("expected", [])
        mismatch = any(
            self.items.get(row["key"], {"revision": 0})["revision"] != row["revision"] for row in expected
        )
        if mismatch:
            return 412, {"items": [self.items[row["key"]] for row in expected if row["key"] in self.items]}
        writes = body.get("writes", [])
        if any(write.get("lease", 0) and write["lease"] not in self.leases for write in writes):
            return 404, {}
        self.revision += 1
        for write in writes:
            self.set(write["key"], write["value"], write.get("lease", 0))
        for key in body.get("remove", []):
            self.drop(key)
        await self.wake()
        return 200, {"revision": self.revision}

    async def carry_out_late(self, body, delay):
        await asyncio.sleep(delay)
        status, _ = await self.txn(body)
        if delay:
            note(f"store: carries out a transaction late, {delay:.1f} s after its arrival: {status}")

    async def handle(self, method, path, query, headers, body):
        await asyncio.sleep(self.LATENCY)
        if path == "/-/kv-key":
            item = self.items.get(query["key"])
            return (200, dict(item, current_rev=self.revision)) if item else (404, {"current_rev": self.revision})
        if path == "/-/kv-range":
            prefix, after = query["prefix"], query.get("after", "")
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            items = [self.items[key] for key in keys[:500]]
            return 200, {"items": items, "has_more": len(keys) > 500, "current_rev": self.revision}
        if path == "/-/kv-watch":
            return await self.watch(query["prefix"], int(query["after"]), int(query["wait_ms"]) / 1000)
        if path == "/-/kv-txn":
            delay = self.late(body)
            if delay is not None:
                self.spawn(self.carry_out_late(body, delay))
                await asyncio.sleep(3600)
            return await self.txn(body)
        if path == "/-/kv-lease":
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            ttl = max(body["ttl_ms"], 1000) / 1000
            self.leases[lease] = (time.monotonic() + ttl, ttl)
            return 200, {"lease": lease, "ttl_ms": int(ttl * 1000)}
        if path.startswith("/-/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl, ttl)
            return 200, {"ttl_ms": int(ttl * 1000)}
        if path.startswith("/-/kv-lease-end/"):
            await self.end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        return 404, {}

    async def watch(self, prefix, after, wait):
        end = time.monotonic() + wait
        while True:
            events = [event for event in self.history if event["revision"] > after and event["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "current_rev": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass


# Workers


class Ledger:
    """What ran on all workers."""

    def __init__(self):
        self.starts, self.ends = [], []

    def tasks_of(self, job):
        return [start for start in self.starts if start["task"].startswith(job + ".")]


class Worker:
    """A worker. `duration(task)` returns how many seconds a run of a task works, `None` for one that lasts."""

    HOLD_MAX = 6.0
    STOP = 0.2
    HEARTBEAT = 1.5

    def __init__(self, store, ledger, id, ip, port, duration, cpu=16000, labels=("a", "r1"), service="desk"):
        self.store, self.ledger, self.id, self.ip, self.port = store, ledger, id, ip, port
        self.duration, self.service = duration, service
        self.capacity = {"cpu": cpu, "mem_mb": 64000, "gpu": 0}
        self.labels = list(labels)
        self.tasks = set()
        self.up = False
        # Where it listens, if a proxy stands at the address in its entry.
        self.inner_port = None
        self.channels = set()

    async def start(self):
        self.life()
        self.up = True
        self.server = await self.listen()
        self.spawn(self.tick())
        self.spawn(self.beat())

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def life(self):
        """Begins a life, which holds and knows nothing of earlier ones."""
        self.born = int(time.time() * 1000)
        self.origin = time.monotonic()
        self.fence, self.deadline, self.last_end = 0, 0, 0
        self.running, self.ended, self.highest = {}, [], {}
        self.changed = asyncio.Event()

    def crash(self):
        """Ends all that runs, without an answer to anybody. The process is gone until `restart`."""
        self.up = False
        for run in self.running.values():
            run["record"]["until"] = now()
            run["record"]["how"] = "crashed"
        self.running, self.ended = {}, []
        for writer in list(self.channels):
            writer.transport.abort()
        self.server.close()

    async def restart(self):
        """Starts again under the same id and address."""
        self.life()
        self.server = await self.listen()
        self.up = True
        await self.register()

    async def listen(self):
        return await asyncio.start_server(self.channel, self.ip, self.inner_port or self.port, backlog=256)

    def clock(self):
        return int((time.monotonic() - self.origin) * 1000)

    async def register(self):
        self.seq = getattr(self, "seq", 0) + 1
        entry = {
            "service": self.service, "address": f"{self.ip}:{self.port}", "zone": "a", "version": "v1", "slots": 8,
            "state": "ready", "cold_remaining_ms": 0, "capacity": self.capacity, "labels": self.labels,
            "seq": self.seq, "born": self.born,
        }
        await self.store.put(f"servers/{self.id}", entry)
        self.heard = time.monotonic()

    async def beat(self):
        await asyncio.sleep(random.random() * 0.5)
        while True:
            if self.up:
                await self.register()
            elif time.monotonic() > self.heard + 3 * self.HEARTBEAT:
                await self.store.put(f"servers/{self.id}", None)
            await asyncio.sleep(self.HEARTBEAT)

    async def tick(self):
        while True:
            await asyncio.sleep(0.01)
            lapsed = self.clock() > self.deadline
            for task, run in list(self.running.items()):
                if lapsed:
                    self.end(task, "lapsed")
                elif run["stopping"] is not None and time.monotonic() >= run["stopping"]:
                    self.end(task, "stopped")
                elif run["until"] is not None and time.monotonic() >= run["until"]:
                    self.end(task, "done")

    def end(self, task, how):
        run = self.running.pop(task)
        self.last_end += 1
        self.highest[task] = max(self.highest.get(task, 0), run["run"])
        run["record"]["until"], run["record"]["how"] = now(), how
        end = {"n": self.last_end, "task": task, "run": run["run"], "how": how, "seen": None}
        self.ended.append(end)
        self.ledger.ends.append(dict(worker=self.id, born=self.born, at=now(), end=end, **{"task": task}))
        note(f"worker {self.id} (born {self.born}): {task} run {run['run']} ends {how}")
        self.changed.set()

    async def channel(self, reader, writer):
        self.channels.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                answer = await self.handle(first.split(" ")[1], headers, json.loads(body))
                writer.write(response(*answer))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self.channels.discard(writer)
            writer.close()

    async def handle(self, path, headers, body):
        if headers.get("expect-instance", self.id) != self.id:
            return 421, {}
        fence = body.get("fencing_token", 0)
        if fence < self.fence:
            return 409, {"clock_ms": self.clock(), "reason": "fence"}
        self.fence = fence
        if path == "/-/run-start":
            return self.run_start(body)
        if path == "/-/run-stop":
            return self.run_stop(body)
        if path == "/-/hold":
            return await self.hold(body)
        if path == "/-/pace":
            return 200, {"clock_ms": self.clock()}
        return 404, {}

    def extend(self, deadline):
        self.deadline = max(self.deadline, min(deadline, self.clock() + int(self.HOLD_MAX * 1000)))

    def run_start(self, body):
        task, run, clock = body["task"], body["run"], self.clock()
        if body["deadline_ms"] <= clock:
            return 409, {"clock_ms": clock, "reason": "late"}
        self.extend(body["deadline_ms"])
        active = self.running.get(task)
        if active and active["run"] == run:
            return 200, {"clock_ms": clock}
        if self.highest.get(task, 0) >= run or active:
            return 409, {"clock_ms": clock, "reason": "old"}
        cpu = self.need(body)
        if sum(other["cpu"] for other in self.running.values()) + cpu > self.capacity["cpu"]:
            return 409, {"clock_ms": clock, "reason": "room"}
        length = self.duration(task)
        record = {"task": task, "run": run, "worker": self.id, "born": self.born, "at": now(), "until": None, "how": ""}
        self.ledger.starts.append(record)
        self.running[task] = {
            "run": run, "cpu": cpu, "stopping": None, "record": record, "began": time.monotonic(),
            "until": None if length is None else time.monotonic() + length,
        }
        note(f"worker {self.id} (born {self.born}): {task} run {run} starts")
        return 200, {"clock_ms": clock}

    def need(self, body):
        """What a task asks for; the scripts write it into the spec."""
        return int(body["spec"].split("cpu=")[1].split()[0])

    def run_stop(self, body):
        task, run = body["task"], body["run"]
        self.highest[task] = max(self.highest.get(task, 0), run)
        active = self.running.get(task)
        if active and active["run"] <= run and active["stopping"] is None:
            active["stopping"] = time.monotonic() + self.STOP
        return 200, {"clock_ms": self.clock()}

    async def hold(self, body):
        if "deadline_ms" in body:
            self.extend(body["deadline_ms"])
        seen = body.get("last_seen", 0)
        for end in [end for end in self.ended if end["n"] <= seen]:
            end["seen"] = now()
        self.ended = [end for end in self.ended if end["n"] > seen]
        until = time.monotonic() + body.get("wait_ms", 0) / 1000
        while not self.ended and time.monotonic() < until:
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                break
        running = [
            [task, run["run"], "", 100 if run["until"] is None else 50, run["cpu"]]
            for task, run in self.running.items()
        ]
        ended = [[end["n"], end["task"], end["run"], end["how"], ""] for end in self.ended[:500]]
        return 200, {"clock_ms": self.clock(), "born": self.born, "running": running, "ended": ended}


class Way:
    """A proxy at the address in a worker's entry. It passes orders and answers on, and can hold an order back: that
    one gets no answer, and reaches the worker's address later. `late(path, body)` returns after how many seconds, or
    `None`."""

    def __init__(self, worker, inner_port, late):
        self.worker, self.inner_port, self.late = worker, inner_port, late
        worker.inner_port = inner_port
        self.tasks = set()

    async def start(self):
        self.server = await asyncio.start_server(self.channel, self.worker.ip, self.worker.port, backlog=256)

    async def connect(self):
        return await asyncio.open_connection(self.worker.ip, self.inner_port)

    async def channel(self, reader, writer):
        inner = None
        try:
            inner_reader, inner = await self.connect()
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = int(head.lower().split(b"content-length:")[1].split(b"\r\n")[0])
                body = await reader.readexactly(length)
                delay = self.late(head.split(b" ")[1].decode(), json.loads(body))
                if delay is not None:
                    task = asyncio.ensure_future(self.deliver(head + body, json.loads(body), delay))
                    self.tasks.add(task)
                    # No answer ever comes on this channel.
                    await reader.read()
                    return
                inner.write(head + body)
                first, headers, body = await read_message(inner_reader)
                writer.write(response(int(first.split(" ")[1]), json.loads(body)))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            if inner is not None:
                inner.close()
            writer.close()

    async def deliver(self, message, body, delay):
        await asyncio.sleep(delay)
        try:
            reader, writer = await self.connect()
            writer.write(message)
            first, _, answer = await asyncio.wait_for(read_message(reader), 2)
            writer.close()
            outcome = f"{first.split(' ')[1]} {answer.decode()}"
        except (asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError, OSError) as error:
            outcome = repr(error)
        note(
            f"the order to start {body.get('task')} run {body.get('run')} reaches worker {self.worker.id} {delay:.1f} s "
            f"after it was sent: {outcome}"
        )


# Nodes


class Node:
    """A machine of the system: the program as the deploy file starts it."""

    FRONT, READY, METRICS = 8161, 8167, 9464

    def __init__(self, name, ip, store, folder, cpu_share=0.1):
        self.name, self.ip, self.folder = name, ip, folder
        self.front, self.ready = (ip, self.FRONT), (ip, self.READY)
        self.settings = os.path.join(folder, f"{name}.conf")
        fields = {
            "node_name": name, "role": "node", "machine_class": "front", "serves": "front", "ip": ip,
            "zone": "a", "region": "r", "zones.a": "r", "listen.front": f"{ip}:{self.FRONT}",
            "listen.ready": f"{ip}:{self.READY}", "bootstrap": "true", "limits.cpu_share": cpu_share,
            "limits.cores": 1, "limits.memory_mb": 260, "limits.max_fds": 4100, "heartbeat_ms": 1500,
            "bounds.contact_ms": 3000, "bounds.ack_ms": 4000, "bounds.drain_ms": 2000, "bounds.grace_s": 6,
            "bounds.config_apply_ms": 2000, "bounds.hold_max_ms": 6000, "bounds.stop_timeout_ms": 400,
            "bounds.gang_timeout_ms": 3000, "bounds.cancel_ms": 3000, "bounds.visible_ms": 3000,
            "bounds.status_s": 120, "bounds.require_fencing": "false", "orders": "call",
            "platform.address": f"{store.ip}:{store.port}", "platform.form": "kv", "platform.writes_per_s": 400,
            "platform.reads_per_s": 2000, "platform.history_s": 20, "platform.value_bytes": 1048576,
            "platform.ttl_min_ms": 1000,
        }
        with open(self.settings, "w") as file:
            file.writelines(f"{key}={value}\n" for key, value in fields.items())

    async def start(self):
        with open(os.path.join(self.folder, f"{self.name}.log"), "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                PROGRAM, cwd=ROOT, stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL,
                env={"PATH": os.environ.get("PATH", ""), "HOME": self.folder, "OLEANDERSTAGE_BOOT": self.settings},
            )

    async def kill(self):
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()


CONFIG = {
    "version": 3,
    "routes": [
        {
            "name": "r-desk", "host": "desk.example", "prefix": "/q/", "service": "desk", "priority": 0,
            "max_attempts": 4, "stretch": 2.0, "target_duration_ms": 1000,
        }
    ],
    "services": [{"name": "desk", "admission_check": True}],
    "limits": {"max_body_bytes": 262144},
}


class Site:
    """A small deployment."""

    def __init__(self, folder, nodes, workers, duration, cpu_share=0.1, labels=None, cpu=16000):
        self.addresses = Addresses()
        store_ip = self.addresses.ip(8169)
        self.store = Store(store_ip, 8169)
        self.ledger = Ledger()
        self.nodes = [
            Node(f"front-a-{number}", self.addresses.ip(Node.FRONT, Node.READY, Node.METRICS), self.store, folder, cpu_share)
            for number in range(1, nodes + 1)
        ]
        labels = labels or (lambda number: ("a", f"r{number // 8}"))
        self.workers = []
        for number in range(workers):
            ip = self.addresses.ip(8300)
            worker = Worker(self.store, self.ledger, f"i-{number:04x}", ip, 8300, duration, cpu=cpu, labels=labels(number))
            self.workers.append(worker)

    async def start(self, ways=()):
        await self.store.start()
        await self.store.put("op/config", CONFIG)
        for way in ways:
            await way.start()
        for worker in self.workers:
            await worker.start()
        for node in self.nodes:
            await node.start()
        await self.wait_ready()

    async def wait_ready(self):
        """Waits until all machines are ready and every cell has an owner that can place work."""
        end = time.monotonic() + 20
        while time.monotonic() < end:
            await asyncio.sleep(0.2)
            answers = [await request(node.ready, "GET", "/-/ready", timeout=1.0) for node in self.nodes]
            if all(status == 200 for status, _ in answers) and any(key.startswith("h/") for key in self.store.items):
                await asyncio.sleep(4)
                note(f"the system is ready: {sum(key.startswith('h/') for key in self.store.items)} cells")
                return
        raise Unrunnable("the system did not become ready")

    async def stop(self):
        for node in self.nodes:
            if hasattr(node, "process"):
                await node.kill()


def run(case, nodes, workers, duration, ways=lambda site: (), **options):
    """Runs `case(site)`, which returns the violations that it has seen, and writes record.txt. `ways(site)` returns
    the proxies before workers."""
    here = os.path.dirname(os.path.abspath(sys.argv[0]))

    async def whole():
        # Channels that are cut at the end are no fault.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        with tempfile.TemporaryDirectory() as folder:
            site = Site(folder, nodes, workers, duration, **options)
            try:
                await site.start(ways(site))
                return await case(site)
            finally:
                await site.stop()
                keep = os.environ.get("KEEP_LOGS")
                if keep:
                    os.makedirs(keep, exist_ok=True)
                    for name in os.listdir(folder):
                        with open(os.path.join(folder, name), "rb") as source, open(os.path.join(keep, name), "wb") as copy:
                            copy.write(source.read())

    try:
        if not os.access(os.path.join(ROOT, PROGRAM), os.X_OK):
            raise Unrunnable(f"{PROGRAM} is not built")
        # Tasks of the stand-ins still wait at the end, and are left to the end of the process.
        violations = asyncio.new_event_loop().run_until_complete(asyncio.wait_for(whole(), 110))
        for violation in violations:
            note(f"BROKEN: {violation}")
        note(f"trouble {'on' if TROUBLE else 'off'}: " + ("the rule was broken" if violations else "the rule held"))
        code = 1 if violations else 0
    except (Unrunnable, asyncio.TimeoutError, OSError) as error:
        note(f"the case couldn't run: {error!r}")
        code = 2
    with open(os.path.join(here, "record.txt"), "w") as file:
        file.write("\n".join(RECORD) + "\n")
    sys.stdout.flush()
    os._exit(code)
