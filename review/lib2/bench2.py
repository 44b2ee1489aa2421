"""Stand-ins for the scripts of the second review: the platform's store, engines, raw clients, and host processes.

Everything listens on loopback addresses and free ports. The store follows PROTOCOL.md, "The platform's metadata store":
rows-tx, rows-get and rows-feed with one version counter. Each host and each server has a loopback address of its own.
"""

import asyncio
import base64
import bisect
import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STARTED = time.monotonic()


class Record:
    """Writes record.txt, one line an event, with the time since the start in seconds."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def line(self, text):
        self.file.write("%8.3f %s\n" % (time.monotonic() - STARTED, text))
        self.file.flush()


def free_port(ip="127.0.0.1", count=1):
    """Returns the first of some consecutive ports that are free now."""
    while True:
        sockets = []
        try:
            first = socket.socket()
            first.bind((ip, 0))
            port = first.getsockname()[1]
            sockets.append(first)
            if port + count > 65000:
                continue
            for i in range(1, count):
                s = socket.socket()
                s.bind((ip, port + i))
                sockets.append(s)
            return port
        except OSError:
            continue
        finally:
            for s in sockets:
                s.close()


# ---------------------------------------------------------------- HTTP, server side


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    @property
    def path(self):
        return self.target.split("?", 1)[0]

    def query(self):
        parts = self.target.split("?", 1)
        return dict(urllib.parse.parse_qsl(parts[1], keep_blank_values=True)) if len(parts) > 1 else {}


async def read_request(reader):
    """Reads one request; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        try:
            body = await reader.readexactly(int(headers["content-length"]))
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
    return Request(method, target, headers, body)


# ---------------------------------------------------------------- the platform's store


class Store:
    """The platform's store. Attributes change its behaviour: see the scripts."""

    MAX_PAGE_ROWS = 500
    MAX_PAGE_BYTES = 1_000_000

    def __init__(self):
        self.tables = {}
        self.version = 1
        self.history_from = 0
        self.changed = asyncio.Event()
        self.server = None
        self.port = 0
        self.answer_ms = 4
        self.write_ms = 8
        self.calls = 0
        self.started = time.monotonic()
        # Called with each request; returns None, or the name of a fault: "silent", "reset", "busy".
        self.fault = lambda request: None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 24)
        self.port = self.server.sockets[0].getsockname()[1]

    def now_ms(self):
        return int((time.monotonic() - self.started) * 1000)

    def table(self, table, part):
        return self.tables.setdefault((table, part), {})

    def put(self, table, key, value):
        """Writes a row of the empty part, as the operator and the servers do."""
        self.version += 1
        encoded = base64.b64encode(value.encode()).decode()
        self.table(table, "")[key] = (encoded, self.version)
        self.wake()

    def delete(self, table, key):
        self.version += 1
        self.table(table, "")[key] = (None, self.version)
        self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def current(self, row):
        value, version = self.table(row["table"], row.get("part", "")).get(row["key"], (None, 0))
        return (None, 0) if value is None else (value, version)

    @staticmethod
    def row(table, part, key, value, version):
        row = {"table": table, "part": part, "key": key, "ver": version}
        if value is None:
            row["deleted"] = True
        else:
            row["value"] = value
        return row

    def apply(self, txn):
        expect = txn.get("expect", [])
        if any(self.current(e)[1] != e["ver"] for e in expect):
            rows = [self.row(e["table"], e.get("part", ""), e["key"], *self.current(e)) for e in expect if self.current(e)[1]]
            return 412, {"rows": rows, "ver": self.version, "nowMs": self.now_ms()}
        self.version += 1
        for s in txn.get("setKeys", []):
            self.table(s["table"], s.get("part", ""))[s["key"]] = (s["value"], self.version)
        for r in txn.get("remove", []):
            self.table(r["table"], r.get("part", ""))[r["key"]] = (None, self.version)
        self.wake()
        return 200, {"ver": self.version, "nowMs": self.now_ms()}

    def get(self, q):
        table, part = q["table"], q.get("part", "")
        rows = self.table(table, part)
        keys = sorted(k for k, v in rows.items() if v[0] is not None)
        keys = keys[bisect.bisect_left(keys, q.get("from", "")):]
        if q.get("to"):
            keys = [k for k in keys if k < q["to"]]
        limit = min(self.MAX_PAGE_ROWS, int(q.get("limit", self.MAX_PAGE_ROWS)))
        page, size = [], 0
        for k in keys[:limit]:
            value, version = rows[k]
            size += len(value) + 100
            if page and size > self.MAX_PAGE_BYTES:
                break
            page.append(self.row(table, part, k, value, version))
        return 200, {"rows": page, "hasMore": len(page) < len(keys), "ver": self.version, "nowMs": self.now_ms()}

    async def feed(self, q):
        after, table = int(q["after"]), q["table"]
        until = time.monotonic() + int(q.get("waitMs", "0")) / 1000
        while True:
            if after < self.history_from:
                return 410, {}
            changed = self.changed
            rows = [
                self.row(t, p, k, *v)
                for (t, p), entries in self.tables.items()
                if t == table
                for k, v in entries.items()
                if v[1] > after
            ]
            left = until - time.monotonic()
            if rows or left <= 0:
                rows.sort(key=lambda r: r["ver"])
                return 200, {"rows": rows, "ver": self.version, "nowMs": self.now_ms()}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    return
                self.calls += 1
                fault = self.fault(request)
                if fault == "silent":
                    await asyncio.sleep(3600)
                if fault == "reset":
                    writer.transport.abort()
                    return
                if fault == "busy":
                    status, body = 503, {}
                elif request.path == "/rows-tx":
                    await asyncio.sleep(self.write_ms / 1000)
                    too_large = len(request.body) > 1_000_000
                    txn = json.loads(request.body)
                    entries = sum(len(txn.get(f, [])) for f in ("expect", "setKeys", "remove"))
                    status, body = (413, {}) if too_large or entries > 100 else self.apply(txn)
                elif request.path == "/rows-get":
                    await asyncio.sleep(self.answer_ms / 1000)
                    status, body = self.get(request.query())
                elif request.path == "/rows-feed":
                    status, body = await self.feed(request.query())
                else:
                    status, body = 404, {}
                data = json.dumps(body).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % (status, len(data))
                )
                writer.write(data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


# ---------------------------------------------------------------- host processes


def host_command():
    with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as f:
        line = next(l for l in f if l.startswith("run = "))
    return line[line.index('"') + 1:line.rindex('"')].split(" ")


class Host:
    """One host of the system, started with the command of the deploy file."""

    def __init__(self, folder, number, store_port, zone="austin-a", memory_mb=682, extra_bounds="", contracts=None):
        self.name = "front-%s-%d" % (zone, number)
        self.ip = "127.%d.%d.%d" % (80 + os.getpid() % 100, os.getpid() // 100 % 250, number)
        self.front = free_port(self.ip)
        self.ready_port = free_port(self.ip)
        self.control = free_port(self.ip)
        self.internal = free_port(self.ip, 16)
        self.settings = os.path.join(folder, "host-%d.toml" % number)
        self.log_path = os.path.join(folder, "host-%d.log" % number)
        self.contracts = contracts or ["base", "drain", "config", "cost", "recover", "health", "pool", "agent", "stream", "engine", "platform"]
        self.zone, self.memory_mb, self.store_port, self.extra_bounds = zone, memory_mb, store_port, extra_bounds
        self.process = None
        self.seeds = []

    def write_settings(self):
        with open(self.settings, "w", encoding="utf-8") as f:
            f.write(
                f'nodeName = "{self.name}"\nrole = "host"\nmachineClass = "front"\nserves = ["front"]\n'
                f'ip = "{self.ip}"\nzone = "{self.zone}"\nregion = "tx-central"\n'
                f"internalPorts = [{self.internal},{self.internal + 15}]\n"
                f"seedNodes = {json.dumps(self.seeds)}\nbootstrap = true\nlossCounts = false\n"
                f'discovery = "platform"\nentry = "virtual_ip"\nheartbeatMs = 1200\n'
                f"contracts = {json.dumps(self.contracts)}\n"
                f'[zones]\n{self.zone} = "tx-central"\n'
                f'[listenAddrs]\nfront = "{self.ip}:{self.front}"\nreadyAddr = "{self.ip}:{self.ready_port}"\n'
                f'control = "{self.ip}:{self.control}"\n'
                f"[limits]\ncpuShare = 0.75\ncores = 2\nmemoryMb = {self.memory_mb}\nmaxFds = 8200\nlinkMbps = 600.0\ndiskMb = 0\n"
                f"[bounds]\nseedLagS = 3\nreuseAfterS = 2\nstableMs = 4000\nackMs = 6000\ncatchUpS = 6\ndrainMs = 3000\n"
                f"graceS = 8\nlossSlackMs = 200\nconfigApplyMs = 3000\ndowngradeSlackMs = 250\nmaxSkewMs = 6000\n"
                f"recoveryS = 15\npassMs = 200\nretryAfterS = 0\ndeadlineS = 10\nsettleMs = 1000\n{self.extra_bounds}"
                f'[platform]\naddress = "127.0.0.1:{self.store_port}"\nform = "table"\nwritesPerS = 1500\nreadsPerS = 6000\n'
                f"txMs = 8.0\npartitionWritesS = 150\nrowBytes = 65536\nacross = false\nhistoryS = 20\n"
                f"blobBytes = 8388608\nblobMs = 25.0\nblobMbS = 80.0\n"
            )

    def start(self):
        self.write_settings()
        log = open(self.log_path, "ab")
        env = {k: os.environ[k] for k in ("PATH", "HOME", "JAVA_HOME", "LANG") if k in os.environ}
        env["CELERYGW_CONFIG"] = self.settings
        self.process = subprocess.Popen(host_command(), cwd=ROOT, env=env, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        log.close()

    def signal(self, number):
        self.process.send_signal(number)

    def alive(self):
        return self.process is not None and self.process.poll() is None

    def kill(self):
        if self.alive():
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    async def ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(self.ip, self.ready_port), 1)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, timeout_s=30):
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            if await self.ready():
                return True
            await asyncio.sleep(0.05)
        return False

    def rss_mb(self):
        try:
            with open("/proc/%d/status" % self.process.pid, encoding="utf-8") as f:
                for line in f:
                    if line.startswith("VmRSS"):
                        return int(line.split()[1]) // 1024
        except OSError:
            pass
        return 0


# ---------------------------------------------------------------- configuration and servers


def route(name, prefix, kind, service, timeout_ms=4000, target_ms=200, attempts=1, retain=False, resumable=False, priority=1, sticky=False):
    r = {
        "name": name, "host": "h.example", "prefix": prefix, "kind": kind, "timeoutMs": timeout_ms,
        "targetLatencyMs": target_ms, "priority": priority, "service": service, "maxAttempts": attempts,
        "stickySessions": sticky,
    }
    if kind == "streaming":
        r.update({"retain": retain, "retentionS": 60.0, "resumable": resumable, "gapAimMs": 400})
    return r


def configuration(version, routes, services, idle_ms=15000):
    return json.dumps({
        "version": version, "routes": routes, "services": services,
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": idle_ms},
    })


def engine_service(name, slots=16, stride=5):
    return {
        "name": name, "healthPath": "/health", "maxConnections": 510, "protocol": "h1", "tls": False,
        "engine": {"slots": slots, "kvCapacityTokens": 135468, "kvTokenBytes": 163840, "linkMbps": 330000.0, "moves": True,
                   "backups": True, "strideTokens": stride, "most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handle_s": 5.0,
                   "models": [{"name": "m"}]},
    }


def plain_service(name):
    return {"name": name, "healthPath": "/health", "maxConnections": 440, "protocol": "h1", "tls": False}


class Server:
    """One backend server: an engine or a tool service. `answer(server, request, writer)` writes the response."""

    def __init__(self, id, service, answer, slots=16, zone="austin-a", version="v1", limit=1 << 24):
        self.id, self.service, self.answer, self.slots, self.zone, self.version = id, service, answer, slots, zone, version
        self.state, self.born, self.sequence = "ready", int(time.time() * 1000), 0
        self.port, self.server, self.limit, self.runs = 0, None, limit, []
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port, limit=self.limit)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self):
        self.sequence += 1
        return json.dumps({
            "service": self.service, "address": "127.0.0.1:%d" % self.port, "zone": self.zone, "version": self.version,
            "slots": self.slots, "state": self.state, "coldRemainingMs": 0, "sequence": self.sequence, "born": self.born,
        })

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    return
                if request.path == "/health":
                    writer.write(b"HTTP/1.1 200 OK\r\nCelerygw-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n" % self.id.encode())
                    await writer.drain()
                    continue
                expected = request.headers.get("celerygw-expect-instance", self.id)
                if expected != self.id:
                    writer.write(b"HTTP/1.1 421 Misdirected Request\r\nCelerygw-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n"
                                 % request.headers.get("celerygw-attempt-id", "").encode())
                    await writer.drain()
                    continue
                if not await self.answer(self, request, writer):
                    return
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


def head(request, status=200, extra=b"", length=None, chunked=False):
    text = b"HTTP/1.1 %d X\r\nCelerygw-Attempt-Id: %s\r\n" % (status, request.headers["celerygw-attempt-id"].encode())
    if status == 200:
        text += b"Celerygw-Server-Seal: seal\r\nCelerygw-Weight-Versions: 1\r\n"
    if length is not None:
        text += b"Content-Length: %d\r\n" % length
    if chunked:
        text += b"Transfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n"
    return text + extra + b"\r\n"


async def heartbeats(store, servers, every_s=1.2):
    while True:
        for s in servers:
            if s.state != "gone":
                store.put("servers", s.id, s.entry())
        await asyncio.sleep(every_s)


# ---------------------------------------------------------------- clients


class Answer:
    def __init__(self):
        self.status, self.headers, self.body, self.complete, self.error = 0, {}, b"", False, ""

    def __str__(self):
        return "status=%d bytes=%d complete=%s %s" % (self.status, len(self.body), self.complete, self.error)


def request_bytes(method, path, id, headers=None, body=b"", deadline_ms=4000):
    lines = ["%s %s HTTP/1.1" % (method, path), "Host: h.example", "Celerygw-Attempt-Id: " + id, "Celerygw-Deadline-Ms: %d" % deadline_ms]
    lines += ["%s: %s" % (k, v) for k, v in (headers or {}).items()]
    if body or method == "POST":
        lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def read_answer(reader, answer, timeout_s):
    """Reads one answer; sets complete only if its framing says so."""

    async def read():
        raw = await reader.readuntil(b"\r\n\r\n")
        lines = raw.decode("latin-1").split("\r\n")
        if not lines[0].startswith("HTTP/1.1 "):
            answer.error = "no answer in the protocol: %r" % lines[0][:60]
            return
        answer.status = int(lines[0].split(" ")[1])
        for line in lines[1:]:
            if line:
                name, value = line.split(":", 1)
                answer.headers[name.strip().lower()] = value.strip()
        if answer.headers.get("transfer-encoding") == "chunked":
            while True:
                size_line = await reader.readuntil(b"\r\n")
                try:
                    size = int(size_line.strip(), 16)
                except ValueError:
                    answer.error = "malformed chunk: %r" % size_line[:60]
                    return
                data = await reader.readexactly(size)
                end = await reader.readexactly(2)
                if end != b"\r\n":
                    answer.body += data
                    answer.error = "malformed end of a chunk: %r" % end
                    return
                if size == 0:
                    answer.complete = True
                    return
                answer.body += data
        else:
            left = int(answer.headers.get("content-length", "0"))
            while left > 0:
                part = await reader.read(min(left, 65536))
                if not part:
                    answer.error = "closed with %d bytes missing" % left
                    return
                answer.body += part
                left -= len(part)
            answer.complete = True

    try:
        await asyncio.wait_for(read(), timeout_s)
    except asyncio.TimeoutError:
        answer.error = "no end within %.1f s" % timeout_s
    except (asyncio.IncompleteReadError, ConnectionError) as e:
        answer.error = "closed: " + type(e).__name__
    return answer


async def call(host, data, timeout_s=6):
    """Sends one request on a new connection and reads its answer."""
    answer = Answer()
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(host.ip, host.front, limit=1 << 24), 1)
    except (OSError, asyncio.TimeoutError) as e:
        answer.error = "connect: " + type(e).__name__
        return answer
    try:
        writer.write(data)
        await read_answer(reader, answer, timeout_s)
    except ConnectionError as e:
        answer.error = "closed: " + type(e).__name__
    finally:
        writer.close()
    return answer


def main(folder, scenario, limit_s=110):
    """Runs a scenario; exits with its result: 0 held, 1 broken, 2 could not run."""
    temp = tempfile.mkdtemp(prefix="review-")
    record = Record(folder)
    hosts = []
    result = 2

    def on_term(number, frame):
        for h in hosts:
            h.kill()
        os._exit(2)

    signal.signal(signal.SIGTERM, on_term)

    async def run():
        return await asyncio.wait_for(scenario(temp, record, hosts), limit_s)

    try:
        result = asyncio.run(run())
    except asyncio.TimeoutError:
        record.line("the scenario took too long")
    except Exception as e:  # the case could not run
        record.line("the scenario failed: %r" % e)
        import traceback
        record.line(traceback.format_exc())
    finally:
        for h in hosts:
            h.kill()
        if os.environ.get("KEEP"):
            record.line("logs in " + temp)
        else:
            shutil.rmtree(temp, ignore_errors=True)
    record.line("exit %d" % result)
    print("exit %d" % result)
    os._exit(result)
