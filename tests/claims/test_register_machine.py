"""State machine test of two registers on one store whose calls it answers, fails, loses or delays.

Guards against a second run of a key after any sequence of lost responses, late writes and restarts.
"""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from bench.harness.memory_store import DOWN, LOST, HeldCall, MemoryStore, Objects
from bronzerudder.claims import (
    AlreadyFinished,
    ClaimKey,
    Granted,
    StoredAnswer,
    StoredClaimRegister,
    committer,
    compaction,
)

FINGERPRINT = b"12345678"
KEYS = tuple(ClaimKey(bytes(15) + bytes([number]), FINGERPRINT) for number in range(3))
LOOP_TURNS = 30
NO_TIMEOUT_S = 1e6
SETTINGS = {
    "finish_delay_s": 0.0,
    "retry_after_s": 0.0,
    "store_timeout_s": NO_TIMEOUT_S,
    "seal_bytes": 120,
}
AGENTS = ("left", "right")


class Agent:
    """One incarnation of a process that claims keys and later starts those it was granted."""

    def __init__(self, name: str, incarnation: int, objects: Objects, held: list[HeldCall]) -> None:
        store = MemoryStore(objects, held_calls=held, owner=f"{name} {incarnation}")
        self.owner = f"{name} {incarnation}"
        self.register = StoredClaimRegister(store, "p", incarnation, SETTINGS, lambda: 0.0)
        self.granted: list[ClaimKey] = []
        self.running: list[ClaimKey] = []
        self.tasks: list[asyncio.Task] = []


class RegisterMachine(RuleBasedStateMachine):
    """Each key runs at most once, whatever happens to the calls to the platform."""

    def __init__(self) -> None:
        super().__init__()
        self.runner = asyncio.Runner()
        self.objects = Objects()
        self.held: list[HeldCall] = []
        self.delayed: list[HeldCall] = []
        self.runs: list[ClaimKey] = []
        self.answers: dict[ClaimKey, StoredAnswer] = {}
        self.wrong_answers: list[str] = []
        self.incarnations = 0
        self.agents: dict[str, Agent] = {}
        for name in AGENTS:
            self.start_incarnation(name)

    def start_incarnation(self, name: str) -> None:
        self.incarnations += 1
        agent = Agent(name, self.incarnations, self.objects, self.held)
        self.agents[name] = agent
        self.spawn(agent, agent.register.run())

    def spawn(self, agent: Agent, coroutine) -> None:
        async def start() -> asyncio.Task:
            return asyncio.ensure_future(coroutine)

        agent.tasks.append(self.runner.run(start()))
        self.run_pending_tasks()

    def run_pending_tasks(self) -> None:
        async def turns() -> None:
            for _ in range(LOOP_TURNS):
                await asyncio.sleep(0)

        self.runner.run(turns())

    async def claim(self, agent: Agent, key: ClaimKey) -> None:
        outcome = await agent.register.claim(key, NO_TIMEOUT_S)
        if isinstance(outcome, Granted):
            agent.granted.append(key)
        if isinstance(outcome, AlreadyFinished) and outcome.answer != self.answers.get(key):
            self.wrong_answers.append(f"{key} answered {outcome.answer}")

    @rule(name=st.sampled_from(AGENTS), key=st.sampled_from(KEYS))
    def ask(self, name, key):
        self.spawn(self.agents[name], self.claim(self.agents[name], key))

    @rule(name=st.sampled_from(AGENTS), finishes=st.booleans())
    def start_and_end(self, name, finishes):
        """Start a key granted some time ago, as a process that was paused would."""
        agent = self.agents[name]
        if not agent.granted:
            return
        key = agent.granted.pop(0)
        self.runs.append(key)
        if finishes:
            self.answers[key] = StoredAnswer(200, (), str(len(self.runs)).encode())
            agent.register.finish(key, self.answers[key])
        else:
            agent.register.abandon(key)
        self.run_pending_tasks()

    @rule(name=st.sampled_from(AGENTS))
    def give_back(self, name):
        """Release a granted key without starting its request."""
        agent = self.agents[name]
        if agent.granted:
            agent.register.release(agent.granted.pop(0))
            self.run_pending_tasks()

    @precondition(lambda self: self.held)
    @rule(data=st.data(), manner=st.sampled_from(("answer", "lose", "refuse", "delay")))
    def settle_call(self, data, manner):
        call = self.held.pop(data.draw(st.integers(0, len(self.held) - 1)))
        if manner == "refuse" or (manner == "delay" and not call.writes):
            call.complete(DOWN)
        elif manner == "delay":
            self.delayed.append(call)
            call.complete(LOST)
        else:
            answer = call.perform()
            call.complete(answer if manner == "answer" or not call.writes else LOST)
        self.run_pending_tasks()

    @precondition(lambda self: self.held)
    @rule(turns=st.integers(1, 6))
    def answer_in_order(self, turns):
        for _ in range(turns):
            if self.held:
                call = self.held.pop(0)
                call.complete(call.perform())
                self.run_pending_tasks()

    @precondition(lambda self: self.delayed)
    @rule()
    def delayed_write_arrives(self):
        self.delayed.pop(0).perform()

    @rule(name=st.sampled_from(AGENTS))
    def restart(self, name):
        """Kill a process; its writes in flight may still arrive."""
        agent = self.agents[name]
        for call in [call for call in self.held if call.owner == agent.owner]:
            self.held.remove(call)
            self.delayed.append(call)
        for task in agent.tasks:
            task.cancel()
        self.run_pending_tasks()
        self.start_incarnation(name)

    @invariant()
    def at_most_one_run(self):
        assert len(set(self.runs)) == len(self.runs), f"ran twice: {self.runs}"

    @invariant()
    def stored_answers_are_those_of_the_run(self):
        assert not self.wrong_answers, self.wrong_answers

    def teardown(self) -> None:
        for agent in self.agents.values():
            for task in agent.tasks:
                task.cancel()
        self.run_pending_tasks()
        self.runner.close()


class RegisterMachineTest(unittest.TestCase):
    def test_no_history_runs_a_key_twice(self):
        chosen = settings(max_examples=100, stateful_step_count=60, deadline=None)
        case = RegisterMachine.TestCase
        case.settings = chosen
        result = unittest.TestResult()
        merges_early = mock.patch.object(compaction, "MERGE_COUNT", 2)
        with merges_early, mock.patch.object(committer, "logging"):
            case("runTest").run(result)
        problems = [text for _, text in result.failures + result.errors]
        self.assertEqual(problems, [])


if __name__ == "__main__":
    unittest.main()
