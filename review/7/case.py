"""Open connections to the store go silent while a worker leaves that never reports it."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))

import world  # noqa: E402

SERVICE = "bookings"
WORKERS = 3
WORK_S = 0.25
REQUESTS_PER_S = 30
TRAFFIC_S = 20.0
DRAIN_S = 2.0
STABLE_WINDOW_S = 3.0
SERVES_LONGER_S = 2.5


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
    sent, answers = {}, []
    leaving = workers[0]
    times = {}

    async def book():
        attempt = world.attempt_id()
        sent[attempt] = record.now()
        record.add("sent", attempt=attempt)
        headers = world.request_headers(attempt, 2500)
        answer = await world.ask(gateway.address, "POST", "/puxa403/2f", headers, b"x" * 600)
        record.add("answered", attempt=attempt, status=answer.status)
        answers.append((attempt, answer.status))

    async def operate():
        await asyncio.sleep(4.0)
        began_s = store.watch_began["servers"]
        while store.watch_began["servers"] == began_s:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.3)
        times["silent"] = record.now()
        if trouble:
            store.silence_open_connections()
            record.add("open connections to the store go silent")
        await asyncio.sleep(0.5)
        store.remove("servers", leaving.name)
        times["removed"] = record.now()
        record.add("removal acknowledged", worker=leaving.name)
        await asyncio.sleep(DRAIN_S + SERVES_LONGER_S)
        leaving.stop_listening()
        times["exit"] = record.now()
        record.add("worker exits", worker=leaving.name)

    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(operate())
        for _ in range(int(TRAFFIC_S * REQUESTS_PER_S)):
            tasks.create_task(book())
            await asyncio.sleep(1 / REQUESTS_PER_S)
    # The first listing without the worker that the gateway got after its removal.
    listed = [at for at, method, target, status in store.calls
              if at > times["removed"] and method == "GET" and status == 200
              and target.startswith("/-/objects/servers")]
    if not listed:
        print("the gateway hasn't read the list again")
        return 2
    from_s = max(times["silent"] + STABLE_WINDOW_S, times["removed"] + DRAIN_S, listed[0])
    late = [(at, attempt) for at, attempt in leaving.arrived if sent.get(attempt, 0) > from_s]
    status = dict(answers)
    lost = [attempt for at, attempt in leaving.arrived
            if sent.get(attempt, 0) > from_s and status.get(attempt) != 200]
    last_s = max((at for at, _ in late), default=0.0) - times["removed"]
    text = (f"{len(answers)} requests; connections silent at {times['silent']:.2f} s, removal"
            f" acknowledged at {times['removed']:.2f} s, read by the gateway at {listed[0]:.2f} s;"
            f" counted from {from_s:.2f} s; {len(late)} requests reached the worker that left, the"
            f" last {max(0.0, last_s):.2f} s after the acknowledgement (the rule allows"
            f" {DRAIN_S:.0f} s); {len(lost)} of them were lost as it exited")
    record.add("result", text=text)
    print(text)
    return 1 if late else 0


world.run_case(HERE, case)
