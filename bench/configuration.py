"""Measures the configuration: platform calls, time until in force, and 36,000 workspaces.

Prints a table of each of these: calls and writes per second of idle processes, calls per change,
time until an edit is in force, calls before, during and after an outage, and the cost of a large
table.
"""

from __future__ import annotations

import statistics
import time
from typing import Any

import anyio
import httpx
import msgspec
import psutil

from bench.harness.configuration_fleet import ALL_CALLERS, ConfigurationFleet
from bench.harness.configuration_history import (
    POLL_INTERVAL_S,
    Accepted,
    ConfigurationHistory,
    Sighting,
)
from bronzerudder.configuration import (
    EMPTY_SNAPSHOT,
    Edit,
    RowKey,
    SharedConfiguration,
    Snapshot,
    apply_decisions,
)
from bronzerudder.configuration.compaction import compact
from bronzerudder.configuration.compiler import compile_edits
from bronzerudder.configuration.repository import ConfigurationRepository, Root, empty_root
from bronzerudder.configuration.wire import split_update
from bronzerudder.operators.editor import RowEditor
from bronzerudder.platform.http_client import PlatformClient
from bronzerudder.platform.http_store import HttpObjectStore
from bronzerudder.tables import POOL_KIND, ROUTE_KIND

ENTRIES = 3
AGENTS = 18
IDLE_S = 20.0
CHANGES = 20
CHANGE_INTERVAL_S = 0.5
OUTAGE_S = 60.0
WORKSPACES = 36_000
LOOKUPS = 20_000
EDIT_TIMEOUT_S = 20.0
READY_POLL_INTERVAL_S = 0.05
WRITES = frozenset({"put", "delete"})
POOL = RowKey(POOL_KIND, "p")


def main() -> None:
    """Run all measurements and print their tables."""
    anyio.run(_measure_fleet)
    anyio.run(_measure_large_table)


async def _measure_fleet() -> None:
    with ConfigurationFleet() as fleet:
        fleet.start_agents(AGENTS)
        fleet.start_entries(ENTRIES)
        history = ConfigurationHistory()
        client = PlatformClient(fleet.platform.address, "operator")
        editor = RowEditor(HttpObjectStore(client))
        row = msgspec.json.encode(fleet.build_pool())
        await history.edit(editor, POOL, row, EDIT_TIMEOUT_S)
        await anyio.sleep(2.0)
        idle = await _count_calls(fleet, IDLE_S)
        _print_rates("idle, calls a second", idle, IDLE_S)
        async with anyio.create_task_group() as tasks:
            for name, address in fleet.peer_addresses.items():
                tasks.start_soon(history.observe, name, address, lambda: True)
            await _measure_changes(fleet, editor, history)
            await _measure_slow_platform(fleet, editor, history)
            tasks.cancel_scope.cancel()
        await _measure_outage(fleet, sum(idle.values()) / IDLE_S)
        await client.close()


async def _measure_changes(
    fleet: ConfigurationFleet, editor: RowEditor, history: ConfigurationHistory
) -> None:
    before = fleet.read_calls()
    started_at = time.monotonic()
    for number in range(CHANGES):
        key = RowKey(ROUTE_KIND, f"r{number}")
        await history.edit(editor, key, _build_route(f"w{number}"), EDIT_TIMEOUT_S)
        await anyio.sleep(CHANGE_INTERVAL_S)
    duration_s = time.monotonic() - started_at
    calls = _subtract(fleet.read_calls(), before)
    _print_rates(f"{CHANGES} changes in {duration_s:.0f} s, calls for each change", calls, CHANGES)
    await anyio.sleep(2.0)
    _print_in_force("platform at its usual speed", history, history.accepted[-CHANGES:])


async def _measure_slow_platform(
    fleet: ConfigurationFleet, editor: RowEditor, history: ConfigurationHistory
) -> None:
    fleet.set_fault(ALL_CALLERS, delay_s=1.0)
    for number in range(CHANGES // 4):
        key = RowKey(ROUTE_KIND, f"r{number}")
        await history.edit(editor, key, _build_route(f"v{number}"), EDIT_TIMEOUT_S)
    await anyio.sleep(2.0)
    fleet.set_fault(ALL_CALLERS)
    _print_in_force("platform at 1 s a call", history, history.accepted[-CHANGES // 4 :])


async def _measure_outage(fleet: ConfigurationFleet, idle_rate: float) -> None:
    fleet.set_fault(ALL_CALLERS, down=True)
    during = await _count_calls(fleet, OUTAGE_S)
    fleet.set_fault(ALL_CALLERS)
    print(f"\nplatform down for {OUTAGE_S:.0f} s: all processes, calls a second")
    print(f"  before {idle_rate:.2f}  during {sum(during.values()) / OUTAGE_S:.2f}")
    for number in range(3):
        after = await _count_calls(fleet, IDLE_S / 2)
        rate = 2 * sum(after.values()) / IDLE_S
        print(
            f"  after, {number * IDLE_S / 2:.0f} s to {(number + 1) * IDLE_S / 2:.0f} s: {rate:.2f}"
        )


async def _measure_large_table() -> None:
    edits = [Edit(POOL, 1, b'{"kind":"engine","backend_servers":[]}')]
    for number in range(WORKSPACES):
        name = f"workspace-{number:05d}"
        edits.append(Edit(RowKey(ROUTE_KIND, name), number + 2, _build_route(name)))
    started_at = time.perf_counter()
    decisions = compile_edits(EMPTY_SNAPSHOT, edits)
    compiled_at = time.perf_counter()
    snapshot = apply_decisions(EMPTY_SNAPSHOT, decisions, 1, len(edits))
    applied_at = time.perf_counter()
    print(f"\n{WORKSPACES} workspaces, one route each")
    print(f"  check and decide all rows    {compiled_at - started_at:8.2f} s")
    print(f"  put the decisions in force   {applied_at - compiled_at:8.2f} s")
    _measure_one_change(snapshot)
    _measure_lookups(snapshot)
    await _measure_processes(snapshot)


def _measure_one_change(snapshot: Snapshot) -> None:
    key = RowKey(ROUTE_KIND, "workspace-00007")
    shared = SharedConfiguration()
    shared.advance(snapshot, None)
    edit = Edit(key, snapshot.rows_version + 1, _build_route("workspace-00007", weight=3))
    started_at = time.perf_counter()
    decisions = compile_edits(snapshot, [edit])
    updated = apply_decisions(snapshot, decisions, snapshot.revision + 1, edit.version)
    duration_s = time.perf_counter() - started_at
    shared.advance(updated, decisions)
    size = _wire_size(shared, snapshot.revision)
    print(f"  decide and apply one change  {duration_s * 1e3:8.2f} ms")
    print(f"  one change between peers     {size:8d} bytes, of which the row {len(edit.value)}")
    print(f"  whole table between peers    {_wire_size(shared, 0):8d} bytes")


def _measure_lookups(snapshot: Snapshot) -> None:
    names = [f"workspace-{number * 7919 % WORKSPACES:05d}" for number in range(LOOKUPS)]
    started_at = time.perf_counter()
    for name in names:
        snapshot.match(name, "/v1/chat/completions", "m")
    duration_s = time.perf_counter() - started_at
    print(f"  find a request's route       {duration_s / LOOKUPS * 1e6:8.2f} us")


async def _measure_processes(snapshot: Snapshot) -> None:
    print("  processes                        ready after   resident memory   calls to start")
    for rows, table in (("none", None), (str(WORKSPACES), snapshot)):
        with ConfigurationFleet() as fleet:
            client = PlatformClient(fleet.platform.address, "bench")
            if table is not None:
                await _write_snapshot(HttpObjectStore(client), table)
            for role, start in (("entry", fleet.start_entries), ("agent", fleet.start_agents)):
                started_at = time.monotonic()
                start(1)
                process = (fleet.entries + fleet.agents)[-1]
                await _wait_ready(process.admin_address)
                duration_s = time.monotonic() - started_at
                memory = psutil.Process(process.pid).memory_info().rss / 1e6
                calls = sum(
                    count
                    for (caller, _), count in fleet.read_calls().items()
                    if caller == process.name
                )
                label = f"{role}, rows: {rows}"
                print(f"    {label:32} {duration_s:7.2f} s {memory:14.1f} MB {calls:12d}")
            await client.close()


async def _write_snapshot(store: HttpObjectStore, snapshot: Snapshot) -> None:
    document = {**empty_root(), "revision": 1, "rows_version": 0}
    repository = ConfigurationRepository(store, "bench")
    root = await repository.replace_root(Root(0, empty_root()), document)
    compacted = await compact(repository, root, snapshot._replace(rows_version=0))
    if not isinstance(compacted, Root):
        raise RuntimeError(compacted.reason)


async def _wait_ready(address: str) -> None:
    async with httpx.AsyncClient() as client:
        while (await client.get(f"http://{address}/readyz")).status_code != httpx.codes.OK:
            await anyio.sleep(READY_POLL_INTERVAL_S)


async def _count_calls(fleet: ConfigurationFleet, duration_s: float) -> dict[tuple[str, str], int]:
    before = fleet.read_calls()
    await anyio.sleep(duration_s)
    return _subtract(fleet.read_calls(), before)


def _subtract(
    after: dict[tuple[str, str], int], before: dict[tuple[str, str], int]
) -> dict[tuple[str, str], int]:
    return {key: count - before.get(key, 0) for key, count in after.items()}


def _print_rates(title: str, calls: dict[tuple[str, str], int], divisor: float) -> None:
    print(f"\n{title}, for one process of each role")
    for role, processes in (("entry", ENTRIES), ("agent", AGENTS), ("operator", 1)):
        own = {key: count for key, count in calls.items() if key[0].startswith(role)}
        writes = sum(count for (_, call), count in own.items() if call in WRITES)
        scale = divisor * processes
        print(f"  {role:10} calls {sum(own.values()) / scale:.3f}  writes {writes / scale:.3f}")


def _print_in_force(title: str, history: ConfigurationHistory, edits: list[Accepted]) -> None:
    sightings: dict[str, list[Sighting]] = {}
    for sighting in history.sightings:
        sightings.setdefault(sighting.process, []).append(sighting)
    print(f"\nuntil in force, {title}, seconds, processes asked every {POLL_INTERVAL_S:g} s")
    for label, field in (("the command's start", "requested_at"), ("being told", "reported_at")):
        delays = []
        for edit in edits:
            for seen in sightings.values():
                in_force = [one.answered_at for one in seen if one.revision >= edit.revision]
                delays.append(max(0.0, in_force[0] - getattr(edit, field)))
        delays.sort()
        print(
            f"  from {label:20} n {len(delays)}  median {statistics.median(delays):.3f}  "
            f"p99 {delays[int(0.99 * len(delays))]:.3f}  max {delays[-1]:.3f}"
        )


def _wire_size(shared: SharedConfiguration, revision: int) -> int:
    update = shared.update_since(revision)
    return sum(part.ByteSize() for part in split_update(update))


def _build_route(workspace: str, **fields: Any) -> bytes:
    row = {
        "workspaces": [workspace],
        "paths": ["/v1/chat/completions", "/v1/embeddings"],
        "models": ["reply-model", "m"],
        "pool": POOL.name,
        "deadline_s": 30,
        "repeatable": True,
        "priority": 0,
        "weight": 1,
        "rate_limit_rps": 100,
        "concurrency_limit": 200,
    }
    return msgspec.json.encode({**row, **fields})


if __name__ == "__main__":
    main()
