"""Measures what the quarantine costs: judging a request, taking in a crash, and spreading it.

The spread is measured on real feeds connected by function calls: the messages and bytes that the
busiest entry and agent send for one crash.
"""

from __future__ import annotations

import time
import tracemalloc
from typing import NamedTuple

import anyio

from bronzerudder.frames import exchange_pb2 as pb
from bronzerudder.gateway.crash_watch import CRASHES_PER_MESSAGE, MAX_SUBJECTS
from bronzerudder.peers.messages import (
    Cleared,
    CrashDigest,
    CrashEvidence,
    CrashSeen,
    encode_message,
)
from bronzerudder.policy.quarantine import (
    QUARANTINE_S,
    CrashReport,
    QuarantineLedger,
    RequestSubjects,
    SubjectLedger,
)
from bronzerudder.policy.quarantine.subjects import (
    MAX_EXCHANGED_SUBJECTS,
    MAX_PROVEN_PARTS,
    MAX_REPORTS,
)
from bronzerudder.quarantine import QuarantineFeed

IN_FLIGHT = 64
JUDGEMENTS = 100_000
FINGERPRINT_DIGITS = 32


class _Mesh(NamedTuple):
    entries: int
    agents: int
    agents_per_entry: int


MESHES = (_Mesh(3, 15, 15), _Mesh(12, 60, 60), _Mesh(40, 300, 30), _Mesh(40, 300, 300))


class _Process:
    def __init__(self) -> None:
        self.feed = QuarantineFeed()
        self.messages = 0
        self.bytes = 0

    def connect(self, other: _Process) -> None:
        """Connect the feeds of both processes, each to the other."""
        to_other = self._make_link(other)
        to_self = other._make_link(self)
        to_other.source, to_self.source = to_self, to_other
        self.feed.attach(to_other)
        other.feed.attach(to_self)

    def _make_link(self, receiver: _Process) -> _Link:
        return _Link(self, receiver)


class _Link:
    source: _Link

    def __init__(self, sender: _Process, receiver: _Process) -> None:
        self._sender = sender
        self._receiver = receiver

    def __call__(self, update: pb.Quarantine) -> None:
        self._sender.messages += 1
        self._sender.bytes += update.ByteSize()
        self._receiver.feed.receive(update, self.source)


def _fingerprints(crash: int, count: int) -> frozenset[str]:
    return frozenset(f"{crash * count + n:0{FINGERPRINT_DIGITS}x}" for n in range(count))


def measure_subjects() -> None:
    """Print what a gateway spends on prompt parts: time, memory and bytes of messages."""
    print(f"{'reports held':>13}{'judge us':>10}{'proof us':>10}{'report ms':>11}")
    request = RequestSubjects("f" * 16, tuple(f"p{n:016x}" for n in range(3)))
    for held in (0, 2, 16, MAX_REPORTS):
        ledger = SubjectLedger()
        report_ms = 0.0
        for crash in range(held):
            subjects = [f"f{crash}-{n}" for n in range(IN_FLIGHT // 2)]
            subjects += [f"p{crash % 8}-{n}" for n in range(IN_FLIGHT // 2 - 1)]
            began = time.process_time()
            ledger.record_crash(f"c{crash}", ["pkiller", *subjects], 4.0 * crash, 4.0 * held)
            report_ms = (time.process_time() - began) * 1e3
        began = time.process_time()
        for _ in range(JUDGEMENTS):
            ledger.judge(request, 4.0 * held)
        judge_us = (time.process_time() - began) / JUDGEMENTS * 1e6
        began = time.process_time()
        for _ in range(JUDGEMENTS):
            ledger.record_proof((request.fingerprint, *request.parts), 4.0 * held)
        proof_us = (time.process_time() - began) / JUDGEMENTS * 1e6
        print(f"{held:>13}{judge_us:>10.2f}{proof_us:>10.2f}{report_ms:>11.2f}")
    tracemalloc.start()
    ledger = SubjectLedger()
    for part in range(MAX_PROVEN_PARTS):
        ledger.record_proof((f"p{part:016x}",), float(part))
    print(f"memory of {MAX_PROVEN_PARTS} proven parts: {tracemalloc.get_traced_memory()[0]:,} B")
    tracemalloc.stop()
    subjects = [f"p{number:016x}" for number in range(MAX_SUBJECTS)]
    crash_id = "i-7f3a91c2d0@1700000000123"
    exchanged = [
        CrashSeen(crash_id, subjects[:MAX_EXCHANGED_SUBJECTS], 599.9)
    ] * CRASHES_PER_MESSAGE
    for message in (
        CrashSeen(crash_id, subjects, 0.25),
        Cleared(subjects),
        CrashDigest("10.1.0.22:7240", 1 << 63),
        CrashEvidence(exchanged, "10.1.0.22:7240"),
    ):
        print(f"{type(message).__name__:>13}: {len(encode_message(message))} B at most")


def measure_ledger() -> None:
    """Print the time to judge a request and to record the last of the reports held."""
    print(f"{'reports held':>13}{'judge us':>10}{'report ms':>11}")
    for held in (0, 1, 16, 256):
        ledger = QuarantineLedger()
        started = time.process_time()
        for crash in range(held):
            report = CrashReport(f"c{crash}", _fingerprints(crash, IN_FLIGHT), QUARANTINE_S)
            before = time.process_time()
            ledger.record_crash(report)
            started = before
        report_ms = (time.process_time() - started) * 1e3 if held else 0.0
        started = time.process_time()
        for _ in range(JUDGEMENTS):
            ledger.judge("f" * FINGERPRINT_DIGITS, 0.0)
        judge_us = (time.process_time() - started) / JUDGEMENTS * 1e6
        print(f"{held:13}{judge_us:10.2f}{report_ms:11.2f}")


async def measure_spread() -> None:
    """Print the messages and bytes that one crash causes, in total and at the busiest processes."""
    print(f"\n{'entries x agents, each entry to':32}{'total':>8}{'entry':>7}{'KB':>8}", end="")
    print(f"{'agent':>7}{'KB':>8}{'all know':>10}")
    for mesh in MESHES:
        entries = [_Process() for _ in range(mesh.entries)]
        agents = [_Process() for _ in range(mesh.agents)]
        for index, entry in enumerate(entries):
            for number in range(mesh.agents_per_entry):
                agent_index = index * mesh.agents // mesh.entries + number
                entry.connect(agents[agent_index % mesh.agents])
        agents[0].feed.publish_crash("crash", _fingerprints(0, IN_FLIGHT))
        processes = entries + agents
        known = sum(len(process.feed.ledger.reports) for process in processes)
        busy_entry = max(entries, key=lambda process: process.bytes)
        busy_agent = max(agents, key=lambda process: process.bytes)
        title = f"{mesh.entries} x {mesh.agents}, {mesh.agents_per_entry}"
        total = sum(process.messages for process in processes)
        print(
            f"{title:32}{total:8}{busy_entry.messages:7}{busy_entry.bytes / 1e3:8.1f}"
            f"{busy_agent.messages:7}{busy_agent.bytes / 1e3:8.1f}{known / len(processes):10.1%}"
        )


def main() -> None:
    """Print both tables."""
    measure_ledger()
    measure_subjects()
    anyio.run(measure_spread)


if __name__ == "__main__":
    main()
