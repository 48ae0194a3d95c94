"""DRAIN: a machine that gets the directory from restarted ones never learns that a replica is gone."""
import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins_2 import Entry, Replica, Store, answer, config, head, main, request, route  # noqa: E402

DRAIN_S = 3.0  # `drain-ms`
DOWN_S = 1.0  # for which the other machines are down
SERVES_ON_S = 8.0  # how much longer the removed replica serves


class Timed(Replica):
    async def handle(self, message, reader, writer, nth):
        self.arrivals.append((time.monotonic(), message.get("attempt-id")))
        self.run(message)
        await asyncio.sleep(0.02)
        writer.write(answer(200, message.get("attempt-id"), b"booked"))
        return True


async def case(record, folder, trouble):
    store = Store(record)
    await store.start()
    replicas = [Timed(record, store, f"i-7f3a91c{n}") for n in range(3)]
    for replica in replicas:
        await replica.start()
    store.put("op/config", config(7, [route("r-book", "/puxa403/", "non_idempotent")]))
    entries = [Entry(record, store, folder, f"front-north-sea-a-{n}", f"127.0.0.{n}") for n in (1, 2, 3)]
    first, others, survivor = entries[0], entries[:2], entries[2]
    for entry in entries:  # ports are the same on all machines
        entry.front, entry.ready, entry.control = first.front, first.ready, first.control
        entry.fields["listen-addrs"] = {k: f"{entry.ip}:{v}" for k, v in (("front", first.front), ("ready", first.ready), ("control", first.control))}
        entry.fields["port-range"] = first.fields["port-range"]
        entry.fields["seed-nodes"] = [f"{e.ip}:{first.control}" for e in others]
    for entry in entries:
        entry.start()
    number = 0

    async def book():
        nonlocal number
        number += 1
        attempt = f"9c41d07be2a3{number:04x}"
        record(f"caller sends {attempt} to {survivor.name}")
        got = await request(survivor.ip, survivor.front, head("POST", "/puxa403/2f", attempt, b'{"gang":4}'), 5)
        record(f"caller gets {got and got.status} for {attempt}")

    try:
        for entry in entries:
            if not await entry.until_ready():
                raise RuntimeError("an entry is not ready")
        await asyncio.sleep(5)  # all machines are in touch, and the survivor leaves the reading of the store to the others
        await book()
        if trouble:
            for entry in others:
                entry.signal(signal.SIGKILL)
                entry.process.wait()
                entry.fields["bootstrap"] = False
        await asyncio.sleep(0.2)
        gone, acked = replicas[0], time.monotonic()
        store.put(f"servers/{gone.name}", None)
        record(f"replica {gone.name} leaves: its entry is removed, acked by the store; it serves on for {SERVES_ON_S} s")
        await asyncio.sleep(DOWN_S - 0.2)
        if trouble:
            for entry in others:
                entry.start()
        await asyncio.sleep(1.0)  # no caller calls
        while time.monotonic() < acked + SERVES_ON_S:
            await book()
            await asyncio.sleep(0.1)
    finally:
        for entry in entries:
            entry.end()
    late = [(at - acked, attempt) for at, attempt in gone.arrivals if at > acked + DRAIN_S]
    in_all = sum(len(replica.arrivals) for replica in replicas)
    if in_all < 20:
        raise RuntimeError("too few bookings arrived")
    for after, attempt in late[:5]:
        record(f"{attempt} reached {gone.name} {after:.2f} s after the ack that it is gone; the bound is {DRAIN_S} s")
    record(f"requests that reached it later than the bound: {len(late)} of {in_all} in all")
    return not late


main(Path(__file__).resolve().parent, case)
