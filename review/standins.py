"""Stand-ins for the platform's store, replicas and requesters, and a runner for the program under test.

They follow PROTOCOL.md and DEPLOY.md. Everything listens on loopback addresses with free ports.
"""
import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = "target/release/kingcupd-platform"  # `run` in deploy/system.toml
GRACE_S = 8
LIMITS = {"header-bytes": 16384, "body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}
KEY = "k1"


class Record:
    """What was sent, answered and run, in record.txt of the case."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def line(self, text):
        self.file.write(f"{time.monotonic() - self.started:8.3f} s  {text}\n")
        self.file.flush()


USED_PORTS = set()


def free_port():
    """Selects a port that is free for TCP and UDP and was not selected before."""
    while True:
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            tcp.bind(("127.0.0.1", 0))
            port = tcp.getsockname()[1]
            if port in USED_PORTS:
                continue
            try:
                udp.bind(("127.0.0.1", port))
            except OSError:
                continue
            USED_PORTS.add(port)
            return port


async def read_head(reader):
    """Reads a head of HTTP/1.1; returns its first line and headers, or None at the end of the channel."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Reads the body that the headers announce."""
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += data[:-2]
    return await reader.readexactly(int(headers.get("content-length", "0")))


class Store:
    """The platform's metadata store: kv-range, kv-watch and kv-key."""

    def __init__(self):
        self.rev = 1
        self.items = {}  # key -> (value or None, rev)
        self.changed = asyncio.Condition()
        self.address = None

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    async def put(self, key, value):
        async with self.changed:
            self.rev += 1
            self.items[key] = (None if value is None else json.dumps(value).encode(), self.rev)
            self.changed.notify_all()
        return self.rev

    def item(self, key):
        value, rev = self.items[key]
        if value is None:
            return {"key": key, "rev": rev, "tombstone": True}
        text = base64.b64encode(value).decode()
        return {"key": key, "value": text, "rev": rev, "created": rev, "lease-id": 0}

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                target = head[0].split(" ")[1]
                path, _, query = target.partition("?")
                args = dict(p.partition("=")[::2] for p in query.split("&") if p)
                status, body = await self.answer(path, args)
                data = json.dumps(body).encode()
                text = f"HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
                writer.write(text.encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the caller has left, or the case ends
        finally:
            writer.close()

    async def answer(self, path, args):
        from urllib.parse import unquote

        prefix = unquote(args.get("prefix", ""))
        if path == "/api/kv-range":
            after = unquote(args.get("after", ""))
            keys = sorted(k for k, (v, _) in self.items.items() if v is not None and k.startswith(prefix) and k > after)
            page = keys[:500]
            return "200 OK", {"entries": [self.item(k) for k in page], "has-more": len(keys) > 500, "at": self.rev}
        if path == "/api/kv-key":
            key = unquote(args.get("key", ""))
            if self.items.get(key, (None, 0))[0] is None:
                return "404 Not Found", {}
            return "200 OK", {**self.item(key), "at": self.rev}
        if path == "/api/kv-watch":
            after = int(args["after"])
            wait = int(args.get("wait-ms", "0")) / 1000

            def events():
                found = [k for k, (_, rev) in self.items.items() if rev > after and k.startswith(prefix)]
                return sorted(found, key=lambda k: self.items[k][1])

            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait_for(lambda: bool(events())), wait)
                except asyncio.TimeoutError:
                    pass
                return "200 OK", {"events": [self.item(k) for k in events()], "at": self.rev}
        return "404 Not Found", {}


class Replica:
    """A replica. `handle(replica, id, headers, body, writer)` answers a request and returns whether the channel is kept."""

    def __init__(self, name, service, record, handle, zone="north-sea-a", slots=6):
        self.name, self.service, self.record, self.handle = name, service, record, handle
        self.zone, self.slots = zone, slots
        self.born = int(time.time() * 1000)
        self.address = None
        self.runs = []  # ids of the requests that it began to run

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 20)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    def entry(self, state="ready"):
        return {
            "service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
            "slot-count": self.slots, "state": state, "cold-left-ms": 0, "call-seq": 0, "born": self.born,
        }

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                line, headers = head
                body = await read_body(reader, headers)
                attempt = headers.get("attempt-id", "")
                if headers.get("expect-replica") not in (None, self.name):
                    self.record.line(f"{self.name} answers 421 to {attempt}")
                    writer.write(f"HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {attempt}\r\nReplica-Id: {self.name}\r\nContent-Length: 0\r\n\r\n".encode())
                    continue
                self.runs.append(attempt)
                self.record.line(f"{self.name} runs {attempt}: {line.rsplit(' ', 1)[0]}, deadline {headers.get('deadline-ms')} ms, {len(body)} bytes")
                if not await self.handle(self, attempt, headers, body, writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError) as e:
            self.record.line(f"{self.name}: channel ended ({type(e).__name__})")
        except asyncio.CancelledError:
            pass  # the case ends
        finally:
            writer.close()


def plain(work_s=0.05):
    """Handler of a plain service."""

    async def handle(replica, attempt, headers, body, writer):
        await asyncio.sleep(work_s)
        data = f"done by {replica.name} for {attempt}".encode()
        writer.write(
            f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: s.{attempt}\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data
        )
        await writer.drain()
        return True

    return handle


def stream(events, gap_s):
    """Handler of a model replica: a stream of events with increasing ids, in chunks."""

    async def handle(replica, attempt, headers, body, writer):
        first = int(headers.get("last-event-id", "0")) + 1
        writer.write(
            f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: s.{attempt}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n".encode()
        )
        for number in range(first, events + 1):
            await asyncio.sleep(gap_s)
            data = f"id: {number}\ndata: {attempt}-{number}\n\n".encode()
            writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        replica.record.line(f"{replica.name} has ended {attempt}")
        return True

    return handle


class Instance:
    """A process of the program under test."""

    def __init__(self, number, ports, store, folder, contacts, zone="north-sea-a"):
        self.ip = f"127.0.0.{number}"
        self.number, self.ports, self.folder = number, ports, folder
        self.settings = os.path.join(folder, f"settings-{number}.json")
        # As deploy/settings.json.template renders the settings of a small deployment (`fleetbench wire`).
        with open(self.settings, "w", encoding="utf-8") as f:
            json.dump({
                "instance": f"front-{zone}-{number}", "availability_zone": zone, "region": zone.rsplit("-", 1)[0],
                "regions_by_zone": {"north-sea-a": "north-sea", "baltic-a": "baltic", "iberia-a": "iberia"},
                "listen": f"{self.ip}:{ports[0]}", "ready_listen": f"{self.ip}:{ports[1]}",
                "peer_listen": f"{self.ip}:{ports[2]}", "peer_port": ports[3],
                "contacts": [f"127.0.0.{n}:{ports[2]}" for n in contacts],
                "directory": store.address, "link_mbit_per_s": 1000.0, "first_start": True, "grace_s": GRACE_S,
                "limit_window_s": 8, "limit_tolerance": {"part": 0.25, "fixed": 190000},
                "repeats": {"ratio": 0.2, "window_s": 10, "extra": 54},
            }, f)
        self.process = None

    async def start(self):
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["KINGCUPFIELD_BOOT"] = self.settings
        self.log = open(os.path.join(self.folder, f"log-{self.number}.txt"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            os.path.join(ROOT, PROGRAM), cwd=ROOT, env=env, stdout=self.log, stderr=self.log
        )

    async def ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ports[1])
            writer.write(b"GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head is not None and " 200 " in head[0] + " "
        except OSError:
            return False

    async def wait_ready(self):
        for _ in range(150):
            if await self.ready():
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{self.ip} is not ready")

    def signal(self, number):
        self.process.send_signal(number)

    async def end(self):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()


class Answer:
    """What a requester has got."""

    def __init__(self):
        self.status, self.headers, self.body, self.complete, self.error = None, {}, b"", False, ""

    def __str__(self):
        end = "complete" if self.complete else f"not complete ({self.error})"
        return f"{self.status}, {len(self.body)} bytes, {end}"


async def read_answer(reader, answer):
    """Reads an answer as a requester: without its end it is not complete."""
    try:
        head = await read_head(reader)
        if head is None:
            answer.error = "channel ended before an answer"
            return answer
        answer.status, answer.headers = int(head[0].split(" ")[1]), head[1]
        if "chunked" in head[1].get("transfer-encoding", ""):
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                data = await reader.readexactly(size + 2)
                if size == 0:
                    answer.complete = True
                    return answer
                answer.body += data[:-2]
        answer.body = await reader.readexactly(int(head[1].get("content-length", "0")))
        answer.complete = True
    except (asyncio.IncompleteReadError, ConnectionError) as e:
        answer.error = f"channel ended: {type(e).__name__}"
    return answer


def request_head(method, path, attempt, deadline_ms, length, extra=()):
    lines = [
        f"{method} {path} HTTP/1.1", "Host: ficu95.example", f"Attempt-Id: {attempt}", f"Deadline-Ms: {deadline_ms}",
        f"Authorization: Bearer {KEY}", f"Content-Length: {length}", *extra,
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def config(version, routes, services, tenants=None):
    return {
        "version": version, "routes": routes, "services": services, "limits": LIMITS,
        "tenants": tenants or [{"name": "hule930", "api-keys": [KEY], "priority": 1, "billing-unit": "tokens", "plain-tokens": 200}],
    }


def temporary_folder():
    return tempfile.mkdtemp(prefix="kingcupfield-review-")


def remove_folder(folder):
    shutil.rmtree(folder, ignore_errors=True)


def check_program():
    if not os.path.exists(os.path.join(ROOT, PROGRAM)):
        raise RuntimeError(f"{PROGRAM} is not built")
