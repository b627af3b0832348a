"""Small site for the review's scripts: store, workers, entries, requesters.

Standard library only. The store and the workers follow PROTOCOL.md; where it
is silent, they behave soundly.
"""

# As for the project's own tests:
# ruff: noqa: ANN001, ANN002, ANN003, ANN201, ANN202, ANN204, D102, D103

import asyncio
import base64
import json
import os
import random
import signal
import socket
import tempfile
import time

ROOT = os.path.dirname(
    os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
)
HOST = "site.example"
KEY = "n2ctnfzs989anu6wsjnb"
COMMAND = ["python3", "-S", "deploy/relay.py", "9464"]  # The deploy file's.
HEARTBEAT_S = 1.2
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "downgradeSlackMs": 250,
    "maxStretchMs": 5000,
    "revokePartitioned": False,
    "revokeMs": 5000,
    "retryBudgetRatio": 0.9,
    "budgetWindowS": 10,
    "budgetSlack": 56,
    "exposureRatio": 0.15,
    "exposureTolerance": 30,
    "rollbackMs": 5000,
    "recoveryS": 12,
    "maxDeliveryMs": 120,
    "reuseWindowS": 8.7,
    "sessionTtlS": 5,
    "ttl_max_s": 5,
}


class CannotRunError(Exception):
    """The case can't be tried on this machine."""


class Record:
    """Lines of record.txt, with seconds since the start."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")  # noqa: SIM115

    def add(self, text):
        now = time.monotonic() - self.start
        self.file.write(f"{now:9.3f} {text}\n")
        self.file.flush()


async def read_head(reader):
    """Returns the first line and the headers, or None at the end."""
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = text.rstrip().split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return first, {name.lower(): value.strip() for name, _, value in pairs}


async def read_body(reader, headers, read=None):
    """Returns a whole body, or None if it is not whole."""
    read = read or reader.readexactly
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            data = b""
            while True:
                size = int((await reader.readline()).split(b";")[0] or b"x", 16)
                piece = await reader.readexactly(size + 2)
                if not size:
                    return data
                data += piece[:-2]
        return await read(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None


def answer(status, headers, body=b""):
    lines = [f"HTTP/1.1 {status} X", *headers, f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Store:
    """The platform's store: rows, transactions and feeds."""

    def __init__(self):
        self.rows = {}  # (table, part, key) to [value, version, deleted]
        self.version = 0
        self.changed = asyncio.Event()
        self.address = ""
        self.last_reader = ""  # Who read the list of workers last.

    async def start(self):
        self.address = await self.listen("")

    async def listen(self, name):
        """Opens a listener and returns its address.

        Reads of the list of workers there are noted under a name.
        """

        async def serve(reader, writer):
            await self.serve(reader, writer, name)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        return f"{host}:{port}"

    def put(self, table, key, value):
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self.version += 1
        self.rows[table, "", key] = [text, self.version, False]
        self.wake()

    def remove(self, table, key):
        self.version += 1
        self.rows[table, "", key] = ["", self.version, True]
        self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def show(self, name):
        value, version, deleted = self.rows.get(name, ["", 0, True])
        row = {"table": name[0], "part": name[1], "key": name[2]}
        row["ver"] = version
        if deleted:
            row["deleted"] = True
        else:
            row["value"] = value
        return row

    async def serve(self, reader, writer, name):
        try:
            while (found := await read_head(reader)) is not None:
                first, headers = found
                body = await read_body(reader, headers)
                method, target, _ = first.split(" ", 2)
                if "table=servers" in target:
                    self.last_reader = name
                status, told = await self.call(method, target, body)
                told.update(ver=self.version, nowMs=time.monotonic() * 1000)
                data = json.dumps(told).encode()
                kind = "Content-Type: application/json"
                writer.write(answer(status, [kind], data))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def call(self, method, target, body):
        from urllib.parse import parse_qs, urlsplit

        parts = urlsplit(target)
        pairs = parse_qs(parts.query, keep_blank_values=True).items()
        query = {name: values[0] for name, values in pairs}
        name = parts.path.rpartition("/")[2]
        await asyncio.sleep(0.004)
        if name == "rows-tx" and method == "POST":
            return self.transact(json.loads(body))
        if name == "rows-get":
            return self.get(query)
        if name == "rows-parts":
            found = {n[1] for n, row in self.rows.items() if not row[2]}
            return 200, {"parts": sorted(found)}
        if name == "rows-feed":
            return await self.feed(query)
        return 404, {}

    def transact(self, call):
        def name_of(row):
            return row["table"], row.get("part", ""), row["key"]

        checks = call.get("expectedRevision") or []
        for check in checks:
            _, version, deleted = self.rows.get(name_of(check), ["", 0, True])
            if (0 if deleted else version) != check["ver"]:
                rows = [self.show(name_of(each)) for each in checks]
                return 412, {"rows": rows}
        self.version += 1
        for row in call.get("puts") or []:
            self.rows[name_of(row)] = [row["value"], self.version, False]
        for row in call.get("remove") or []:
            self.rows[name_of(row)] = ["", self.version, True]
        self.wake()
        return 200, {}

    def get(self, query):
        wanted = query["table"], query.get("part", "")
        names = sorted(
            name
            for name, row in self.rows.items()
            if name[:2] == wanted
            and not row[2]
            and name[2] >= query.get("from", "")
            and (not query.get("to") or name[2] < query["to"])
        )
        limit = min(500, int(query.get("limit", "500")))
        rows = [self.show(name) for name in names[:limit]]
        return 200, {"rows": rows, "truncated": len(names) > limit}

    async def feed(self, query):
        since = int(query["sinceRevision"])
        end = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while True:
            changed = self.changed
            names = sorted(
                (row[1], name)
                for name, row in self.rows.items()
                if name[0] == query["table"] and row[1] > since
            )
            left = end - time.monotonic()
            if names or left <= 0:
                return 200, {"rows": [self.show(name) for _, name in names]}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                continue


class Worker:
    """A worker of a plain service."""

    def __init__(self, store, name, service, record, work_s=0.06, slots=6):
        self.store, self.id, self.service = store, name, service
        self.record, self.work_s, self.slots = record, work_s, slots
        self.address = ""
        self.sequence = 0
        self.running = 0
        self.runs = []  # (id, arrival, end or None)
        self.server = None
        self.beats = None
        self.writers = set()
        self.read_body_pause_s = 0.0  # Pause after each 64 KiB of a body.
        self.on_run = None

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", 0, limit=2**16
        )
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        self.beats = asyncio.create_task(self.beat())

    async def beat(self):
        while True:
            self.sequence += 1
            self.store.put("servers", self.id, self.entry())
            await asyncio.sleep(HEARTBEAT_S)

    def entry(self):
        return {
            "service": self.service,
            "address": self.address,
            "zone": "zone-a",
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": self.sequence,
        }

    def deregister(self):
        """Takes the entry away, as a worker that never reports draining."""
        self.beats.cancel()
        self.store.remove("servers", self.id)

    def end(self):
        self.beats.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def read_slowly(self, reader, count):
        data = bytearray()
        while len(data) < count:
            data += await reader.readexactly(min(2**16, count - len(data)))
            await asyncio.sleep(self.read_body_pause_s)
        return bytes(data)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (found := await read_head(reader)) is not None:
                arrived = time.monotonic()
                first, headers = found
                read = None
                if self.read_body_pause_s:

                    async def read(count):
                        return await self.read_slowly(reader, count)

                body = await read_body(reader, headers, read)
                if body is None:
                    return
                await self.reply(first, headers, writer, arrived, body)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def reply(self, first, headers, writer, arrived, body):
        load = f"X-Instance-Load: {self.running},0,{self.slots}"
        if first.split(" ")[1] == "/healthz":
            writer.write(answer(200, [f"X-Served-By: {self.id}", load]))
            return
        id = headers.get("x-attempt-id", "")
        if headers.get("x-expected-instance", self.id) != self.id:
            writer.write(answer(421, [f"X-Attempt-Id: {id}", load]))
            return
        run = [id, arrived, None]
        self.runs.append(run)
        if self.on_run:
            self.on_run(self, id, arrived)
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        run[2] = time.monotonic()
        body = f"{self.id} ran {id}".encode()
        told = [f"X-Attempt-Id: {id}", f"X-Response-Signature: {self.id}.{id}"]
        load = f"X-Instance-Load: {self.running},0,{self.slots}"
        writer.write(answer(200, [*told, load], body))


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class Entry:
    """An entry VM: one process by the command of the deploy file."""

    def __init__(self, name, ip, store_address, folder, record, memory_mb=300):
        self.name, self.ip, self.record = name, ip, record
        self.process = None
        listen = ("frontend", "readiness", "admin", "registry")
        self.listen = {part: f"{ip}:{free_port(ip)}" for part in listen}
        self.settings = {
            "nodeName": name,
            "role": "entry",
            "machineClass": "edge",
            "serves": ["edge", "registry", "control_plane"],
            "ip": ip,
            "zone": "zone-a",
            "region": "region-a",
            "zones": {"zone-a": "region-a"},
            "listen": self.listen,
            "portRange": [7340, 7355],
            "seeds": [],
            "bootstrap": True,
            "failureCounted": False,
            "limits": {
                "cpuQuota": 0.537,
                "cores": 2,
                "memoryMb": memory_mb,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "discovery": "platform",
            "entry": "registry",
            "heartbeatMs": int(HEARTBEAT_S * 1000),
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "platform": {
                "address": store_address,
                "form": "table",
                "writesPerS": 400,
                "readsPerS": 2000,
                "txMs": 5.0,
                "partitionWritesS": 200,
                "rowBytes": 65536,
                "across": False,
                "historyS": 20,
                "blobBytes": 8388608,
                "blobMs": 25.0,
                "blobMbS": 80.0,
            },
        }
        self.path = os.path.join(folder, f"{name}.json")
        self.log_path = os.path.join(folder, f"{name}.log")

    async def start(self):
        with open(self.path, "w", encoding="utf-8") as file:
            json.dump(self.settings, file)
        kept = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in kept if name in os.environ}
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *COMMAND,
                cwd=ROOT,
                env={**env, "RATTANPIER_BOOT": self.path},
                stdout=log,
                stderr=log,
            )
        self.record.add(f"{self.name} is started")

    def send_signal(self, number):
        self.record.add(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def is_ready(self):
        status, _ = await get(self.listen["readiness"], "/rattanpier/readyz")
        return status == 200

    async def wait_ready(self, timeout_s=20.0):
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            if self.process.returncode is not None:
                raise CannotRunError(f"{self.name} ended: {self.tail()}")
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise CannotRunError(f"{self.name} is not ready: {self.tail()}")

    def tail(self):
        with open(self.log_path, encoding="utf-8") as file:
            return file.read()[-600:]

    async def end(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
        if self.process is not None:
            await self.process.wait()


async def get(address, target, timeout_s=1.0):
    """Returns status and body of a GET; status 0 without an answer."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = f"GET {target} HTTP/1.1\r\nHost: {HOST}\r\n"
            writer.write(f"{lines}Connection: close\r\n\r\n".encode())
            found = await read_head(reader)
            if found is None:
                return 0, b""
            body = await read_body(reader, found[1])
            return int(found[0].split(" ")[1]), body or b""
    except (OSError, TimeoutError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()


def new_id():
    return f"{random.getrandbits(64):016x}"


class Channel:
    """A requester's kept channel to one entry."""

    def __init__(self, address):
        self.address = address
        self.reader = self.writer = None
        self.served = 0

    async def open(self):
        host, _, port = self.address.rpartition(":")
        async with asyncio.timeout(1.0):
            self.reader, self.writer = await asyncio.open_connection(
                host, int(port)
            )

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def ask(
        self, method, target, id, body=b"", deadline_ms=3000, headers=()
    ):
        """Returns (status, headers, body); status 0: closed unanswered.

        The whole request is written before anything is read.
        """
        head = [
            f"{method} {target} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Attempt-Id: {id}",
            f"X-Deadline-Ms: {deadline_ms}",
            f"Authorization: Bearer {KEY}",
            *headers,
        ]
        if body or method == "POST":
            head.append(f"Content-Length: {len(body)}")
        try:
            self.writer.write(("\r\n".join(head) + "\r\n\r\n").encode() + body)
            await self.writer.drain()
            found = await read_head(self.reader)
            if found is None:
                return 0, {}, None
            status = int(found[0].split(" ")[1])
            told = await read_body(self.reader, found[1])
            self.served += 1
            if found[1].get("connection", "").lower() == "close":
                self.close()
            return status, found[1], told
        except ConnectionError:
            return 0, {}, None


def manifest(routes, body_bytes=4194304):
    services = sorted({route["service"] for route in routes})
    return {
        "version": 1,
        "routes": routes,
        "services": [
            {"name": name, "healthPath": "/healthz", "maxConnections": 110}
            for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": body_bytes,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "acme", "apiKeys": [KEY]}],
    }


def route(name, kind, service, **more):
    return {
        "name": name,
        "hostname": HOST,
        "prefix": f"/{name}/",
        "routeType": kind,
        "timeoutMs": 1500,
        "targetLatencyMs": 300,
        "maxAttempts": 2 if kind == "safe" else 1,
        "priority": 2,
        "service": service,
        **more,
    }


def own_ips(count):
    """Returns loopback addresses on which the metrics port is free."""
    base = random.randint(1, 250)
    ips = [f"127.81.{base}.{number + 1}" for number in range(count)]
    for ip in ips:
        with socket.socket() as probe:
            try:
                probe.bind((ip, 9464))
            except OSError as error:
                raise CannotRunError(f"{ip}:9464 is in use") from error
    return ips


def run_case(case, folder):
    """Runs a case; returns the exit status: 0 held, 1 broken, 2 can't run.

    `case(trouble, record, temporary folder, entries)` returns whether the
    rule was broken; it adds the entries that it starts.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(folder, "record.txt"))
    record.add(f"trouble: {trouble}")

    async def run(temporary):
        entries = []
        try:
            async with asyncio.timeout(115):
                return await case(trouble, record, temporary, entries)
        finally:
            for entry in entries:
                await entry.end()

    with tempfile.TemporaryDirectory() as temporary:
        try:
            broken = asyncio.run(run(temporary))
        except (CannotRunError, OSError, TimeoutError) as error:
            record.add(f"can't run: {error!r}")
            print(f"can't run: {error!r}")
            return 2
    text = "the rule was broken" if broken else "the rule held"
    record.add(text)
    print(text)
    return 1 if broken else 0
