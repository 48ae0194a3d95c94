"""A stream that an instance accepts more than three seconds after its SIGTERM is cut by the end of the process.

Three instances of one zone are restarted in turn, 1.5 s apart. The requests come through a balancer as PROTOCOL.md
tells it: while fewer than half of the zone's instances are in rotation, it uses all of them.

Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
"""
import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import standins as s

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GAP_S = 1.5  # between two SIGTERMs; `gap_s` of roll_term on the sheet is 1.0 to 2.0

# The engine of the sheet: a step takes 6.55 ms and 0.165 ms more for each of 6 slots, 62.4 prompt tokens are read in a
# ms, the first token takes 120 ms, an event holds 2 tokens; `speeds` are 0.68 and 3.0 times these times.
STEP_MS, PROMPT_TOKENS_PER_MS, FIRST_MS, STRIDE = 6.55 + 0.165 * 6, 62.4, 120.0, 2
FAST, SLOW = 0.68, 3.0

DRAFT = {
    "name": "r-draft", "host": "ficu95.example", "prefix": "/draft/", "kind": "streaming", "timeout-ms": 15000,
    "slo-ms": 1200, "priority": 0, "service": "planner-lm", "attempts": 1, "public": False, "sticky": True,
    "resumable": False, "gap-aim-ms": 300,
}
SERVICES = [
    {"name": "planner-lm", "health-path": "/healthz", "max-conns": 360, "protocol": "h1", "tls": False,
     "engine": {"slot-count": 6, "kv-capacity": 638852, "stride": STRIDE}},
]


def engine(speed):
    """A replica that reads the prompt and then makes the tokens, at most `slots` requests at once."""
    slots = asyncio.Semaphore(6)

    async def handle(replica, attempt, headers, body, writer):
        prompt, tokens = (int(n) for n in headers["token-usage"].split(","))
        async with slots:
            await asyncio.sleep((prompt / PROMPT_TOKENS_PER_MS + FIRST_MS) * speed / 1e3)
            writer.write(
                f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: s.{attempt}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n".encode()
            )
            started = time.monotonic()
            for number in range(1, tokens // STRIDE + 1):
                await asyncio.sleep(max(0, started + number * STRIDE * STEP_MS * speed / 1e3 - time.monotonic()))
                data = f"id: {number}\ndata: {attempt}-{number}\n\n".encode()
                writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        return True

    return handle


class Balancer:
    """The platform's ingress for one zone."""

    def __init__(self, instances, record):
        self.instances, self.record = instances, record
        self.misses = {i.ip: 0 for i in instances}

    async def check(self):
        while True:
            for instance in self.instances:
                ready = await instance.ready()
                self.misses[instance.ip] = 0 if ready else self.misses[instance.ip] + 1
            await asyncio.sleep(1)

    def pick(self, requester):
        rotation = [i for i in self.instances if self.misses[i.ip] < 2]
        if 2 * len(rotation) < len(self.instances):
            rotation = self.instances
        return rotation[requester % len(rotation)]


async def request(attempt, instance, record, prompt, tokens):
    """Sends one draft on a new channel and reads its stream to the end."""
    answer = s.Answer()
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(instance.ip, instance.ports[0]), 1)
    except (OSError, asyncio.TimeoutError):
        answer.error = "no channel"
        return answer
    body = b"p" * 200
    extra = ("Model: m", f"Token-Usage: {prompt},{tokens}", f"Prompt-Prefix: {attempt[:8]}:{prompt}")
    writer.write(s.request_head("POST", "/draft/2f", attempt, 15000, len(body), extra) + body)
    try:
        await asyncio.wait_for(s.read_answer(reader, answer), 15)
    except asyncio.TimeoutError:
        answer.error = "no end before the deadline"
    writer.close()
    return answer


async def run(folder, record):
    store = s.Store()
    await store.start()
    replicas = [
        s.Replica("i-fast", "planner-lm", record, engine(FAST)),
        s.Replica("i-slow", "planner-lm", record, engine(SLOW)),
    ]
    for replica in replicas:
        await replica.start()
        await store.put(f"servers/{replica.name}", replica.entry())
    await store.put("op/config", s.config(7, [DRAFT], SERVICES))
    ports = [s.free_port() for _ in range(4)]
    instances = [s.Instance(n, ports, store, folder, [1, 2, 3]) for n in (1, 2, 3)]
    balancer = Balancer(instances, record)
    tasks = []
    try:
        for instance in instances:
            await instance.start()
        for instance in instances:
            await instance.wait_ready()
        tasks.append(asyncio.create_task(balancer.check()))
        await asyncio.sleep(5)  # contact-ms is 4,000
        # Long drafts at the instance that is stopped first; they end before it does.
        for number in range(1):
            tasks.append(asyncio.create_task(request(f"a{number:015x}", instances[0], record, 1000, 1100)))
        await asyncio.sleep(0.2)
        started = time.monotonic()
        stopped = {}

        async def roll():
            for instance in instances[:2]:
                stopped[instance.ip] = time.monotonic()
                record.line(f"SIGTERM to {instance.ip}" if TROUBLE else f"no SIGTERM to {instance.ip}")
                if TROUBLE:
                    instance.signal(signal.SIGTERM)
                    tasks.append(asyncio.create_task(kill_later(instance)))
                await asyncio.sleep(GAP_S)

        async def kill_later(instance):
            await asyncio.sleep(s.GRACE_S)
            if instance.process.returncode is None:
                instance.process.kill()

        tasks.append(asyncio.create_task(roll()))
        sent = []

        async def requester(number):
            at = time.monotonic()
            instance = balancer.pick(number) if TROUBLE else instances[number % 3]
            attempt = f"d{number:015x}"
            after = at - stopped.get(instance.ip, at)
            # 53,200 prompt tokens are the most of a draft on the sheet.
            record.line(f"requester sends {attempt} to {instance.ip}, {after:.2f} s after its SIGTERM")
            answer = await request(attempt, instance, record, 53200, 80)
            sent.append((attempt, instance.ip, after, answer))
            record.line(f"requester gets for {attempt}: {answer}")

        # Usual load: drafts that fill the fast replica, through the instance that stays.
        await asyncio.sleep(max(0, started + 3.2 - time.monotonic()))
        for number in range(7):
            tasks.append(asyncio.create_task(request(f"b{number:015x}", instances[2], record, 1000, 1100)))
        requests = []
        for number in range(9):
            wait = started + 3.6 + number * 0.1 - time.monotonic()
            await asyncio.sleep(max(0, wait))
            requests.append(asyncio.create_task(requester(number)))
        await asyncio.gather(*requests)
    finally:
        for task in tasks:
            task.cancel()
        for instance in instances:
            await instance.end()
    passed_on = set(sum((r.runs for r in replicas), []))
    lost = [(a, ip, after) for a, ip, after, answer in sent if not answer.complete and a in passed_on and after > 3]
    for attempt, ip, after in lost:
        record.line(f"LOST: {attempt} was sent to {ip} {after:.2f} s after its SIGTERM, passed on, and cut")
    complete = sum(answer.complete and answer.status == 200 for _, _, _, answer in sent)
    record.line(f"{len(sent)} requests: {complete} complete, {len(lost)} cut though sent over 3 s after the SIGTERM")
    return 1 if lost else 0


def main():
    folder = s.temporary_folder()
    record = s.Record(HERE)
    try:
        s.check_program()
        return asyncio.run(asyncio.wait_for(run(folder, record), 100))
    except Exception as e:
        record.line(f"the case could not run: {type(e).__name__}: {e}")
        return 2
    finally:
        if os.environ.get("KEEP"):
            print(folder)
        else:
            s.remove_folder(folder)


sys.exit(main())
