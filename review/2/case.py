"""With one entry of another writer in the store, instances that start again serve nothing for good.

Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
"""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import standins as s

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RECOVERY_S = 12.0  # recovery-s

# The largest whole number of seconds of 64 bits, which stands for "forever" in some languages, in milliseconds.
FOREVER_MS = 9.223372036854775807e21


def route(name, prefix):
    return {
        "name": name, "host": "ficu95.example", "prefix": prefix, "kind": "idempotent", "timeout-ms": 2000, "slo-ms": 400,
        "priority": 2, "service": "roster-svc", "attempts": 2, "public": False, "sticky": False, "resumable": False,
    }


SERVICES = [{"name": "roster-svc", "health-path": "/healthz", "max-conns": 100, "protocol": "h1", "tls": False}]


async def request(number, instance, path, record):
    attempt = f"{number:016x}"
    answer = s.Answer()
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(instance.ip, instance.ports[0]), 1)
        writer.write(s.request_head("GET", path, attempt, 4000, 0))
        await asyncio.wait_for(s.read_answer(reader, answer), 4)
        writer.close()
    except (OSError, asyncio.TimeoutError) as e:
        answer.error = type(e).__name__
    record.line(f"requester gets for {attempt}, {path} at {instance.ip}: {answer}")
    return answer.status


async def run(folder, record):
    store = s.Store()
    await store.start()
    replicas = [s.Replica(f"i-roster{n}", "roster-svc", record, s.plain()) for n in range(3)]
    for replica in replicas:
        await replica.start()
        await store.put(f"servers/{replica.name}", replica.entry())
    await store.put("op/config", s.config(7, [route("r-read", "/read/")], SERVICES))
    ports = [s.free_port() for _ in range(4)]
    instances = [s.Instance(n, ports, store, folder, [1, 2, 3]) for n in (1, 2, 3)]
    numbers = iter(range(1, 1000))
    try:
        for instance in instances:
            await instance.start()
        for instance in instances:
            await instance.wait_ready()
        await asyncio.sleep(5)  # contact-ms is 4,000
        before = [await request(next(numbers), i, "/read/2f", record) for i in instances]
        if before != [200] * 3:
            raise RuntimeError("the route is not served before the disruption")
        if TROUBLE:
            # As the entry of a replica, of a service that no configuration names.
            entry = {
                "service": "archive", "address": "127.0.0.1:9", "zone": "north-sea-a", "version": "v1", "slot-count": 1,
                "state": "ready", "cold-left-ms": FOREVER_MS, "call-seq": 0,
            }
            await store.put("servers/archive-1", entry)
            record.line("another writer has written servers/archive-1")
        await asyncio.sleep(1)
        for instance in instances:
            instance.process.kill()
        for instance in instances:
            await instance.process.wait()
        record.line("all processes are killed")
        await asyncio.sleep(1.2)
        for instance in instances:
            await instance.start()
        record.line("all processes are started again")
        await asyncio.sleep(RECOVERY_S + 1)
        ready = [await instance.ready() for instance in instances]
        record.line(f"{RECOVERY_S + 1:.0f} s later {sum(ready)} of 3 instances say that they are ready")
        statuses = []
        for _ in range(10):
            statuses += [await request(next(numbers), i, "/read/2f", record) for i in instances]
        served = statuses.count(200)
        record.line(f"over {RECOVERY_S:.0f} s after the machines are back {served} of {len(statuses)} requests are served; a quarter is the least")
    finally:
        for instance in instances:
            await instance.end()
    return 1 if 4 * served < len(statuses) else 0


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
