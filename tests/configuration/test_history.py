"""Checks configuration histories of real entry and agent processes under injected faults.

Guards against edits that are lost, reverted or applied late or differently, when an entry is killed
or paused, the platform stalls, loses responses, is down or is slow, and processes start meanwhile.
"""

from __future__ import annotations

import itertools
import json
import unittest

import anyio

from bench.harness.configuration_fleet import ALL_CALLERS, ConfigurationFleet
from bench.harness.configuration_history import ConfigurationHistory
from bronzerudder.configuration import RowKey
from bronzerudder.configuration.documents import ROOT_KIND, ROOT_NAME, RootDocument
from bronzerudder.operators.editor import RowEditor
from bronzerudder.operators.tables import TableReader
from bronzerudder.platform.http_client import PlatformClient
from bronzerudder.platform.http_store import HttpObjectStore
from bronzerudder.settings import decode_document
from bronzerudder.tables import POOL_KIND, ROUTE_KIND
from tests.configuration import history_check
from tests.configuration.rows import route

AGENTS = 18
ENTRIES = 3
OPERATORS = 4
EDIT_TIMEOUT_S = 12.0
EDIT_INTERVAL_S = 0.25
PHASE_S = 2.0
POLL_INTERVAL_S = 0.2
SHARED_ROW = RowKey(ROUTE_KIND, "shared")


class Scenario:
    """Operators that keep editing rows, and processes whose revisions are polled."""

    def __init__(self, fleet: ConfigurationFleet, tasks: anyio.abc.TaskGroup) -> None:
        self.fleet = fleet
        self.history = ConfigurationHistory(POLL_INTERVAL_S)
        self._tasks = tasks
        self._clients: list[PlatformClient] = []
        self._editing = True
        self._active_operators = 0

    def open_store(self, caller: str) -> HttpObjectStore:
        client = PlatformClient(self.fleet.platform.address, caller)
        self._clients.append(client)
        return HttpObjectStore(client)

    async def start(self, agents: int, entries: int) -> None:
        started_at = anyio.current_time()
        before = set(self.fleet.peer_addresses)
        await anyio.to_thread.run_sync(self.fleet.start_agents, agents)
        await anyio.to_thread.run_sync(self.fleet.start_entries, entries)
        addresses = await anyio.to_thread.run_sync(lambda: self.fleet.peer_addresses)
        processes = {process.name: process for process in self.fleet.entries + self.fleet.agents}
        for name in addresses.keys() - before:
            self.history.started_at[name] = started_at
            process = processes[name]
            self._tasks.start_soon(
                self.history.observe, name, addresses[name], lambda process=process: process.running
            )

    def start_operators(self) -> None:
        for number in range(OPERATORS):
            # Two operators race on one row; each of the others has its own.
            key = SHARED_ROW if number < 2 else RowKey(ROUTE_KIND, f"own-{number}")
            self._active_operators += 1
            self._tasks.start_soon(self._operate, f"operator-{number}", key)

    async def stop_operators(self) -> None:
        self._editing = False
        while self._active_operators:  # noqa: ASYNC110
            await anyio.sleep(EDIT_INTERVAL_S)

    async def set_fault(self, caller: str, **fault: object) -> None:
        await anyio.to_thread.run_sync(lambda: self.fleet.set_fault(caller, **fault))

    async def close(self) -> None:
        for client in self._clients:
            await client.close()

    async def _operate(self, name: str, key: RowKey) -> None:
        editor = RowEditor(self.open_store(name))
        for number in itertools.count():
            if not self._editing:
                break
            # Edits differ from each other, so that each version has one author.
            value = route(weight=number % 900 + 1, models=[name, "*"])
            if key != SHARED_ROW and number % 5 == 4:
                value = None
            await self.history.edit(editor, key, value, EDIT_TIMEOUT_S)
            await anyio.sleep(EDIT_INTERVAL_S)
        self._active_operators -= 1


async def read_recorder(store: HttpObjectStore) -> str:
    """Return the name of the process that recorded the latest revision."""
    stored = await store.get(ROOT_KIND, ROOT_NAME)
    return decode_document(stored.value, RootDocument)["recorded_by"]


class ConfigurationHistoryTest(unittest.IsolatedAsyncioTestCase):
    async def test_accepted_edits_are_in_force_everywhere_and_for_good(self):
        with ConfigurationFleet() as fleet:
            async with anyio.create_task_group() as tasks:
                scenario = Scenario(fleet, tasks)
                await self.run_scenario(scenario)
                await scenario.close()
                ended_at = anyio.current_time()
                tasks.cancel_scope.cancel()
        self.check(scenario.history, ended_at)

    async def run_scenario(self, scenario):
        fleet = scenario.fleet
        await scenario.start(AGENTS, ENTRIES)
        store = scenario.open_store("test")
        await scenario.history.edit(
            RowEditor(store), RowKey(POOL_KIND, "p"), pool_of(fleet), EDIT_TIMEOUT_S
        )
        scenario.start_operators()
        await anyio.sleep(PHASE_S)
        recorder = await read_recorder(store)
        next(entry for entry in fleet.entries if entry.name == recorder).kill()
        stalled = next(entry for entry in fleet.entries if entry.running)
        await scenario.set_fault(stalled.name, stalled=True)
        await scenario.start(0, 1)
        await anyio.sleep(PHASE_S)
        await scenario.set_fault(stalled.name)
        await scenario.set_fault(ALL_CALLERS, lost_share=0.5)
        paused = fleet.entries[-1]
        paused.pause()
        await anyio.sleep(PHASE_S)
        paused.resume()
        await scenario.set_fault(ALL_CALLERS, down=True)
        await scenario.start(0, 1)
        await anyio.sleep(PHASE_S)
        await scenario.set_fault(ALL_CALLERS, delay_s=1.0)
        await anyio.sleep(2 * PHASE_S)
        await scenario.stop_operators()
        await scenario.set_fault(ALL_CALLERS)
        await anyio.sleep(PHASE_S)
        await scenario.history.read_log(TableReader(store))

    def check(self, history, ended_at):
        self.assertGreater(len(history.accepted), 40, history.failures)
        self.assertEqual(len(history_check.by_process(history)), AGENTS + ENTRIES + 2)
        self.assertEqual(history_check.find_falling_revisions(history), [])
        self.assertEqual(history_check.find_disagreements(history), [])
        self.assertEqual(history_check.find_reverted_edits(history), [])
        self.assertEqual(history_check.find_unrecorded_edits(history), [])
        self.assertEqual(history_check.find_unseen_overwrites(history), [])
        self.assertEqual(history_check.find_stale_starts(history), [])
        self.assertEqual(history_check.find_late_processes(history, ended_at), [])


def pool_of(fleet: ConfigurationFleet) -> bytes:
    """Return the JSON form of the pool of a fleet's agents."""
    return json.dumps(fleet.build_pool()).encode()


if __name__ == "__main__":
    unittest.main()
