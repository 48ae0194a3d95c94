"""A route is removed while its streams run, and another route of the host has a prefix that begins its own.

Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
"""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import standins as s

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STREAMS = 12
EVENTS, GAP_S = 40, 0.2  # 8 s a stream

READ = {
    "name": "r-read", "host": "ficu95.example", "prefix": "/", "kind": "idempotent", "timeout-ms": 2000, "slo-ms": 400,
    "priority": 2, "service": "roster-svc", "attempts": 2, "public": False, "sticky": False, "resumable": False,
}
DRAFT = {
    "name": "r-draft", "host": "ficu95.example", "prefix": "/draft/", "kind": "streaming", "timeout-ms": 15000,
    "slo-ms": 1200, "priority": 0, "service": "planner-lm", "attempts": 1, "public": False, "sticky": True,
    "resumable": False, "gap-aim-ms": 300,
}
SERVICES = [
    {"name": "planner-lm", "health-path": "/healthz", "max-conns": 360, "protocol": "h1", "tls": False,
     "engine": {"slot-count": 6, "kv-capacity": 638852, "stride": 2}},
    {"name": "roster-svc", "health-path": "/healthz", "max-conns": 100, "protocol": "h1", "tls": False},
]


async def requester(number, instance, record):
    """Sends one draft and reads its stream to the end."""
    attempt = f"{number:016x}"
    answer = s.Answer()
    reader, writer = await asyncio.open_connection(instance.ip, instance.ports[0])
    body = b"p" * 2000
    extra = ("Model: m", "Token-Usage: 500,80", f"Prompt-Prefix: 5c1e07a2:60,{number:08x}:440")
    writer.write(s.request_head("POST", "/draft/2f", attempt, 15000, len(body), extra) + body)
    record.line(f"requester sends {attempt} to {instance.ip}")
    try:
        await asyncio.wait_for(s.read_answer(reader, answer), 15)
    except asyncio.TimeoutError:
        answer.error = "no end before the deadline"
    record.line(f"requester gets for {attempt}: {answer}, {answer.body.count(b'id: ')} of {EVENTS} events")
    writer.close()
    return answer


async def run(folder, record):
    store = s.Store()
    await store.start()
    replicas = [s.Replica(f"i-plan{n}", "planner-lm", record, s.stream(EVENTS, GAP_S)) for n in range(4)]
    replicas += [s.Replica("i-roster", "roster-svc", record, s.plain())]
    for replica in replicas:
        await replica.start()
        await store.put(f"servers/{replica.name}", replica.entry())
    await store.put("op/config", s.config(7, [DRAFT, READ], SERVICES))
    ports = [s.free_port() for _ in range(4)]
    instances = [s.Instance(n, ports, store, folder, [1, 2]) for n in (1, 2)]
    try:
        for instance in instances:
            await instance.start()
        for instance in instances:
            await instance.wait_ready()
        await asyncio.sleep(5)  # contact-ms is 4,000
        requests = [asyncio.create_task(requester(n, instances[n % 2], record)) for n in range(STREAMS)]
        await asyncio.sleep(4)
        if TROUBLE:
            await store.put("op/config", s.config(12, [READ], SERVICES))
            record.line("the store acknowledges version 12 without the route r-draft")
        else:
            await store.put("op/config", s.config(12, [DRAFT, READ], SERVICES))
            record.line("the store acknowledges version 12 with the same routes")
        answers = await asyncio.gather(*requests)
        if any(instance.process.returncode is not None for instance in instances):
            record.line("an instance has ended by itself")
            return 1
    finally:
        for instance in instances:
            await instance.end()
    served = [a for a in answers if a.complete and a.status == 200]
    cut = [a for a in answers if not a.complete]
    record.line(f"{STREAMS} streams passed on to replicas: {len(served)} complete, {len(cut)} cut around the configuration")
    return 1 if cut else 0


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
        s.remove_folder(folder)


sys.exit(main())
