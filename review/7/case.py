"""Open connections to the store go silent while a worker leaves that never reports it."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))

import world  # noqa: E402

SERVICE = "bookings"
WORKERS = 7
WORK_S = 0.25
GROUP = 14
GROUP_EVERY_S = 4.5
"""Bookings come fourteen at a time, as when an office confirms a list."""
SILENT_AFTER_GROUP_S = 0.7
REMOVED_AFTER_SILENCE_S = 0.5
DRAIN_S = 2.0
STABLE_WINDOW_S = 3.0
SERVES_LONGER_S = 1.45


async def case(record, trouble, scratch, processes):
    store = world.Store(record)
    workers = [world.Worker(f"i-worker{n}", SERVICE, record, WORK_S) for n in range(WORKERS)]
    for server in (store, *workers):
        await server.start()
    route = world.route("r-book", "/puxa403/", "non_idempotent", SERVICE)
    store.put("config", "main", world.configuration([route], [SERVICE]))
    for worker in workers:
        store.put("servers", worker.name, worker.entry())
    gateway = world.Gateway("front-1", store.address, scratch)
    processes.append(gateway)
    if not await gateway.wait_until_ready():
        print("the gateway isn't ready")
        return 2
    await asyncio.sleep(STABLE_WINDOW_S + 0.5)
    sent, statuses = {}, {}
    leaving = workers[0]

    async def book():
        attempt = world.attempt_id()
        sent[attempt] = record.now()
        record.add("sent", attempt=attempt)
        headers = world.request_headers(attempt, 2500)
        answer = await world.ask(gateway.address, "POST", "/puxa403/2f", headers, b"x" * 600)
        record.add("answered", attempt=attempt, status=answer.status)
        statuses[attempt] = answer.status

    # A watch has just begun, so that the gateway notices late; at any other moment it notices
    # sooner, and goes on for as long after that.
    began_s = store.watch_began["servers"]
    while store.watch_began["servers"] == began_s:
        await asyncio.sleep(0.005)
    start_s = record.now()
    silent_s = removed_s = 0.0

    async def operate():
        nonlocal silent_s, removed_s
        await asyncio.sleep(SILENT_AFTER_GROUP_S)
        silent_s = record.now()
        if trouble:
            store.silence_open_connections()
            record.add("open connections to the store go silent")
        await asyncio.sleep(REMOVED_AFTER_SILENCE_S)
        leaving.leaving = True
        store.remove("servers", leaving.name)
        removed_s = record.now()
        record.add("removal acknowledged", worker=leaving.name)
        await asyncio.sleep(DRAIN_S + SERVES_LONGER_S)
        leaving.stop_listening()
        record.add("worker exits", worker=leaving.name)

    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(operate())
        for number in range(4):
            await asyncio.sleep(max(0.0, start_s + number * GROUP_EVERY_S - record.now()))
            for _ in range(GROUP):
                tasks.create_task(book())
    # The first listing without the worker that the gateway got after its removal.
    listed = [at for at, method, target, status in store.calls
              if at > removed_s and method == "GET" and status == 200
              and target.startswith("/-/objects/servers")]
    if not listed:
        print("the gateway hasn't read the list again")
        return 2
    from_s = max(silent_s + STABLE_WINDOW_S, removed_s + DRAIN_S, listed[0])
    late = [(at, attempt) for at, attempt in leaving.arrived if sent.get(attempt, 0) > from_s]
    last_s = max((at for at, _ in late), default=removed_s) - removed_s
    lost = [attempt for _, attempt in late if statuses.get(attempt) != 200]
    served = sum(1 for status in statuses.values() if status == 200)
    text = (f"{len(statuses)} requests, {served} served; connections silent at {silent_s:.2f} s,"
            f" removal acknowledged at {removed_s:.2f} s, read by the gateway at {listed[0]:.2f} s;"
            f" counted from {from_s:.2f} s; {len(late)} requests reached the worker that left, the"
            f" last {last_s:.2f} s after the acknowledgement (the rule allows {DRAIN_S:.0f} s);"
            f" {len(lost)} of them were lost as it exited")
    record.add("result", text=text)
    print(text)
    if served < len(statuses) / 2:
        return 2
    return 1 if late else 0


world.run_case(HERE, case)
