"""Plays the recovery of gateways after all processes are killed, with entries of another writer."""

from __future__ import annotations

import asyncio
import json
import signal
import time
from collections.abc import Callable

from standins.http import Answer, call
from standins.processes import BROKEN, CANNOT_RUN, HELD, Case, gateway_settings
from standins.store import HEARTBEAT_S, SERVERS, Store
from standins.worker import Worker

HOST = "desk.example"
SERVICE = "booking"
KEY = "key-1"
GATEWAYS = 2
REQUESTS_PER_S = 10
RECOVERY_S = 12
BEFORE_S = 5.0
AFTER_S = 20.0
"""Time for which clients send after the gateways are back; a third of it is after recovery_s."""
RESTART_DELAY_S = 0.5


def configuration() -> str:
    route = {
        "name": "read",
        "host": HOST,
        "path_prefix": "/read/",
        "kind": "idempotent",
        "timeout_ms": 2500,
        "target_latency_ms": 200,
        "priority": 1,
        "service": SERVICE,
        "max_attempts": 2,
        "public": False,
    }
    document = {
        "version": 1,
        "routes": [route],
        "services": [{"name": SERVICE, "health_path": "/healthz", "max_conns": 100}],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "school", "api_keys": [KEY]}],
    }
    return json.dumps(document)


async def is_ready(settings: dict[str, object]) -> bool:
    answer = await call(str(settings["ready_address"]), "GET", "/-/readyz", {"Host": "x"})
    return answer.status == 200


async def wait_ready(gateways: list[dict[str, object]], timeout_s: float) -> bool:
    until_s = time.monotonic() + timeout_s
    while time.monotonic() < until_s:
        if all([await is_ready(settings) for settings in gateways]):
            return True
        await asyncio.sleep(0.1)
    return False


async def play(
    case: Case, find_entries: Callable[[list[Worker]], dict[str, str]], at_fault: bool
) -> int:
    """Play the case.

    Parameters
    ----------
    find_entries : callable
        Returns the entries of the other writer, as JSON text by name.
    at_fault : bool
        Whether they are written just before the fault, and not at the start.
    """
    store = Store()
    await store.server.start()
    store.put("config", "main", configuration())
    workers = [Worker(store, f"i-{number}", SERVICE) for number in range(3)]
    tasks = [asyncio.ensure_future(store.run_lapses())]
    for worker in workers:
        await worker.start()
        tasks.append(asyncio.ensure_future(worker.run_heartbeats()))
    names = [f"gateway-{number}" for number in range(GATEWAYS)]
    settings = [gateway_settings(name, store.server.address) for name in names]
    processes = [
        case.start("gateway", name, item) for name, item in zip(names, settings, strict=True)
    ]
    if not await wait_ready(settings, 20.0):
        return CANNOT_RUN
    answers: list[Answer] = []
    sent = 0

    async def send(number: int) -> None:
        headers = {
            "Host": HOST,
            "Attempt-Id": f"a{number:06x}",
            "Deadline-Ms": "2524",
            "X-Api-Key": KEY,
        }
        address = str(settings[number % GATEWAYS]["caller_address"])
        answer = await call(address, "GET", f"/read/{number}", headers, timeout_s=2.6)
        answers.append(answer)
        case.write(f"{names[number % GATEWAYS]} {headers['Attempt-Id']} {answer.describe()}")

    async def send_for(duration_s: float) -> None:
        nonlocal sent
        until_s = time.monotonic() + duration_s
        while time.monotonic() < until_s:
            tasks.append(asyncio.ensure_future(send(sent)))
            sent += 1
            await asyncio.sleep(1.0 / REQUESTS_PER_S)

    entries = find_entries(workers)

    async def write_entries() -> None:
        # Another writer keeps its entries alive as workers do theirs.
        while True:
            for name, entry in entries.items():
                store.put(SERVERS, name, entry)
            await asyncio.sleep(HEARTBEAT_S)

    def begin_trouble() -> None:
        if not case.trouble:
            return
        tasks.append(asyncio.ensure_future(write_entries()))
        for name, entry in entries.items():
            case.write(f"another writer writes servers/{name}: {entry}")

    if not at_fault:
        begin_trouble()
    await send_for(BEFORE_S)
    await asyncio.sleep(3.0)
    before = list(answers)
    if at_fault:
        begin_trouble()
        await asyncio.sleep(0.01)
    case.write("final fault: all processes are killed")
    for process in processes:
        process.send_signal(signal.SIGKILL)
        process.wait()
    await asyncio.sleep(RESTART_DELAY_S)
    for name, item in zip(names, settings, strict=True):
        case.start("gateway", name, item)
    back_s = time.monotonic()
    await send_for(AFTER_S)
    await asyncio.sleep(3.0)
    late = [answer for answer in answers if answer.sent_at_s > back_s + RECOVERY_S]
    served_before = sum(answer.status == 200 and answer.complete for answer in before)
    served = sum(answer.status == 200 and answer.complete for answer in late)
    ready = [await is_ready(item) for item in settings]
    case.write(f"before the fault: {served_before} of {len(before)} served")
    case.write(f"sent over {RECOVERY_S} s after the machines were back: {served} of {len(late)}")
    case.write(f"ready {time.monotonic() - back_s:.1f} s after they were back: {ready}")
    for name in names:
        for line in case.log_lines(name, "store lost", "entry", "Traceback", "taken over")[:6]:
            case.write(f"log of {name}: {line[:300]}")
    for task in tasks:
        task.cancel()
    if served_before * 4 < len(before):
        return CANNOT_RUN
    return BROKEN if served * 4 < len(late) else HELD
