"""Stand-ins of the second review: the platform's store, replicas, callers, and a runner of the entry program.

Only the Python standard library. All addresses are loopback addresses, all ports are free ones.
"""
import asyncio
import base64
import json
import os
import re
import signal
import socket
import subprocess
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PROGRAM = ROOT / "target/release/kingcupd-platform"
TEMPLATE = ROOT / "deploy/settings.json.template"
HOST = "ficu95.example"
KEY = "i9n73hh2b9wu3fexd9dn"

BOUNDS = {  # those of the customer's sheet
    "grace-period-s": 8, "quota-window-s": 8, "quota-over": 0.25, "quota-slack": 190000,
    "budget-ratio": 0.2, "budget-window-s": 10, "budget-extra": 54,
}


class Record:
    """record.txt: what was sent, answered and run, with the time since the start."""

    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self.start = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} s  {text}\n")
        self.file.flush()


def free_port(ip="127.0.0.1", kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


def render(fields):
    """Fills in the project's template of the settings as DEPLOY.md describes it."""
    def value(path):
        found = fields
        for part in path.split("."):
            found = found[int(part)] if isinstance(found, list) else found.get(part)
            if found is None:
                return None
        return found

    text = TEMPLATE.read_text(encoding="utf-8")
    section = re.compile(r"\{\{#([a-z0-9.-]+)\}\}(.*?)\{\{/\1\}\}", re.S)
    text = section.sub(lambda m: m[2] if value(m[1]) else "", text)
    return re.sub(r"\{\{([a-z0-9.-]+)(?:\|json)?\}\}", lambda m: json.dumps(value(m[1])), text)


class Entry:
    """One process of the entry role, started as the deploy file does."""

    def __init__(self, record, store, folder, name="front-north-sea-a-1", ip="127.0.0.1"):
        self.record, self.folder, self.name, self.ip = record, Path(folder), name, ip
        self.front, self.ready, self.control = (free_port(ip) for _ in range(3))
        peer = free_port(ip, socket.SOCK_DGRAM)
        self.fields = {
            "node": name, "zone": "north-sea-a", "region": "north-sea",
            "zones": {"north-sea-a": "north-sea"},
            "listen-addrs": {"front": f"{ip}:{self.front}", "ready": f"{ip}:{self.ready}", "control": f"{ip}:{self.control}"},
            "port-range": [peer, peer + 15], "seed-nodes": [f"{ip}:{self.control}"],
            "platform": {"address": f"127.0.0.1:{store.port}"},
            "limits": {"link-mbps": 1000.0, "memory-mb": 260, "max-fds": 4100},
            "bootstrap": True, "bounds": BOUNDS,
        }
        self.process = None

    def start(self):
        path = self.folder / f"{self.name}.json"
        path.write_text(render(self.fields), encoding="utf-8")
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["KINGCUPFIELD_BOOT"] = str(path)
        log = open(self.folder / f"{self.name}.log", "ab")
        self.process = subprocess.Popen([str(PROGRAM)], cwd=ROOT, env=env, stdout=log, stderr=log)
        self.record(f"entry {self.name} starts")

    async def until_ready(self, limit_s=15):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            try:
                answer = await request(self.ip, self.ready, b"GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n", 1)
                if answer.status == 200:
                    return True
            except OSError:
                pass
            await asyncio.sleep(0.05)
        return False

    def signal(self, number):
        self.record(f"entry {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def log_text(self):
        return (self.folder / f"{self.name}.log").read_text(errors="replace")


class Message:
    """A message of HTTP/1.1 as received."""

    def __init__(self, first, headers, body, whole):
        self.first, self.headers, self.body, self.whole = first, headers, body, whole

    @property
    def status(self):
        return int(self.first.split()[1])

    def get(self, name, default=None):
        return next((v for n, v in self.headers if n.lower() == name.lower()), default)


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head[:-4].decode("latin-1").split("\r\n")
    return first, [tuple(p.strip() for p in line.split(":", 1)) for line in lines]


async def read_message(reader, is_answer=False):
    """Reads a message; one that ends early has `whole` False. None at the end of the channel."""
    try:
        first, headers = await read_head(reader)
        while is_answer and first.split()[1].startswith("1"):
            first, headers = await read_head(reader)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    message = Message(first, headers, b"", True)
    try:
        if (message.get("transfer-encoding") or "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                message.body += await reader.readexactly(size)
                await reader.readexactly(2)
                if size == 0:
                    break
        elif message.get("content-length") is not None:
            length = int(message.get("content-length"))
            while len(message.body) < length:
                part = await reader.read(length - len(message.body))
                if not part:
                    raise asyncio.IncompleteReadError(message.body, length)
                message.body += part
        elif is_answer:
            message.body = await reader.read(-1)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        message.whole = False
    return message


async def request(ip, port, data, limit_s):
    """Sends one request on a channel of its own; the answer, or None if the channel ended without one."""
    reader, writer = await asyncio.open_connection(ip, port)
    try:
        writer.write(data)
        await writer.drain()
        return await asyncio.wait_for(read_message(reader, True), limit_s)
    except (asyncio.TimeoutError, ConnectionError):
        return None
    finally:
        writer.close()


def head(method, path, attempt, body=b"", deadline_ms=4000, extra=(), key=KEY, host=HOST):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"Attempt-Id: {attempt}", f"Deadline-Ms: {deadline_ms}"]
    lines += [f"Authorization: Bearer {key}"] if key else []
    lines += list(extra)
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def answer(status, attempt=None, body=b"", sealed=True, extra=()):
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"Attempt-Id: {attempt}"] if attempt else []
    lines += ["Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1"] if sealed else []
    lines += [*extra, f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


class Store:
    """The platform's store: kv-range and kv-watch."""

    def __init__(self, record):
        self.record, self.rev, self.items, self.port = record, 10, {}, None
        self.changed = asyncio.Event()

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    def put(self, key, value):
        self.rev += 1
        if isinstance(value, (dict, list)):
            value = json.dumps(value, ensure_ascii=False).encode()
        self.items[key] = (self.rev, value)
        self.changed.set()
        self.changed = asyncio.Event()

    def item(self, key):
        rev, value = self.items[key]
        if value is None:
            return {"key": key, "rev": rev, "tombstone": True}
        return {"key": key, "value": base64.b64encode(value).decode(), "rev": rev, "created": rev, "lease-id": 0}

    async def serve(self, reader, writer):
        try:
            while message := await read_message(reader):
                path, _, query = message.first.split()[1].partition("?")
                query = dict(p.partition("=")[::2] for p in query.split("&"))
                prefix = query.get("prefix", "")
                status, body = await self.call(path, prefix, query)
                text = json.dumps(body).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def call(self, path, prefix, query):
        if path == "/api/kv-range":
            keys = sorted(k for k, (_, v) in self.items.items() if k.startswith(prefix) and v is not None and k > query.get("after", ""))
            return 200, {"entries": [self.item(k) for k in keys], "has-more": False, "at": self.rev}
        if path == "/api/kv-watch":
            after, until = int(query.get("after", 0)), time.monotonic() + int(query.get("wait-ms", 0)) / 1000
            while True:
                events = [self.item(k) for k, (r, _) in sorted(self.items.items(), key=lambda i: i[1][0]) if k.startswith(prefix) and r > after]
                left = until - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "at": self.rev}
                changed = self.changed
                try:
                    await asyncio.wait_for(changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        return 404, {}


class Replica:
    """A replica that answers each request at once; cases change `handle`."""

    def __init__(self, record, store, name, service="wuno96b"):
        self.record, self.store, self.name, self.service = record, store, name, service
        self.port, self.runs, self.arrivals = None, [], []

    async def start(self, ip="127.0.0.1"):
        server = await asyncio.start_server(self.serve, ip, 0, limit=1 << 20)
        self.ip, self.port = ip, server.sockets[0].getsockname()[1]
        self.register("ready")

    def register(self, state, **other):
        self.store.put(f"servers/{self.name}", {
            "service": self.service, "address": f"{self.ip}:{self.port}", "zone": "north-sea-a", "version": "v1", "slot-count": 6,
            "state": state, "cold-left-ms": 0, "stage": "mixed", "models": [], "call-seq": 0, "born": 1760000000000, **other})

    async def serve(self, reader, writer):
        nth = 0
        try:
            while message := await read_message(reader):
                if not message.whole:
                    break
                expected = message.get("expect-replica")
                if expected is not None and expected != self.name:
                    writer.write(answer(421, message.get("attempt-id"), sealed=False))
                    continue
                nth += 1
                if not await self.handle(message, reader, writer, nth):
                    break
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    def run(self, message):
        self.runs.append(message.get("attempt-id"))
        self.record(f"replica {self.name} runs {message.get('attempt-id')}: {message.first}")

    async def handle(self, message, reader, writer, nth):
        self.run(message)
        await asyncio.sleep(0.02)
        writer.write(answer(200, message.get("attempt-id"), b"done by " + self.name.encode()))
        return True


def route(name, prefix, kind, service="wuno96b", **other):
    return {"name": name, "host": HOST, "prefix": prefix, "kind": kind, "timeout-ms": 4000, "slo-ms": 400, "priority": 2,
            "service": service, "attempts": 1, "public": False, "sticky": False, "resumable": False, **other}


def config(version, routes, tenants=None, **limits):
    names = sorted({r["service"] for r in routes})
    return {
        "version": version, "routes": routes,
        "services": [{"name": n, "health-path": "/healthz", "max-conns": 100, "protocol": "h1", "tls": False} for n in names],
        "limits": {"header-bytes": 16384, "body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000, **limits},
        "tenants": tenants or [{"name": "hule930", "api-keys": [KEY], "priority": 1, "billing-unit": "tokens",
                                "plain-tokens": 200, "rate-per-s": 91038, "burst-size": 91038}],
    }


def main(folder, case):
    """Runs `case(record, folder, trouble)`, which returns whether the rule held; exits as the issue asks for."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"disruption: {'on' if trouble else 'off'}")
    with tempfile.TemporaryDirectory() as temp:
        try:
            held = asyncio.run(asyncio.wait_for(case(record, temp, trouble), 110))
        except Exception as err:  # the case could not run
            record(f"could not run: {err!r}")
            print(f"could not run: {err!r}")
            raise SystemExit(2)
    record("the rule held" if held else "the rule was broken")
    print("the rule held" if held else "the rule was broken")
    raise SystemExit(0 if held else 1)
