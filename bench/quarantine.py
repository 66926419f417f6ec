"""Measures what the quarantine costs: judging a request, taking in a crash, and spreading it.

The spread runs real feeds joined by function calls; it counts the messages and bytes that the
busiest entry and agent send for one crash.
"""

from __future__ import annotations

import time
from typing import NamedTuple

import anyio

from bronzerudder.frames import exchange_pb2 as pb
from bronzerudder.policy.quarantine import QUARANTINE_S, CrashReport, QuarantineLedger
from bronzerudder.quarantine import QuarantineFeed

IN_FLIGHT = 64
JUDGEMENTS = 100_000
FINGERPRINT_DIGITS = 32


class _Mesh(NamedTuple):
    entries: int
    agents: int
    agents_per_entry: int


MESHES = (_Mesh(3, 15, 15), _Mesh(12, 60, 60), _Mesh(40, 300, 30), _Mesh(40, 300, 300))


class _Sender:
    def __init__(self) -> None:
        self.feed = QuarantineFeed()
        self.messages = 0
        self.bytes = 0

    def connect(self, other: _Sender) -> None:
        """Join both ways."""
        to_other = self._outlet(other)
        to_self = other._outlet(self)
        to_other.source, to_self.source = to_self, to_other
        self.feed.attach(to_other)
        other.feed.attach(to_self)

    def _outlet(self, receiver: _Sender) -> _Outlet:
        return _Outlet(self, receiver)


class _Outlet:
    source: _Outlet

    def __init__(self, sender: _Sender, receiver: _Sender) -> None:
        self._sender = sender
        self._receiver = receiver

    def __call__(self, news: pb.Quarantine) -> None:
        self._sender.messages += 1
        self._sender.bytes += news.ByteSize()
        self._receiver.feed.receive(news, self.source)


def _fingerprints(crash: int, count: int) -> frozenset[str]:
    return frozenset(f"{crash * count + n:0{FINGERPRINT_DIGITS}x}" for n in range(count))


def measure_ledger() -> None:
    """Print the time of judgements and reports, by the number of reports held."""
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
    """Print what one crash makes the busiest entry and agent send."""
    print(f"\n{'entries x agents, each entry to':32}{'total':>8}{'entry':>7}{'KB':>8}", end="")
    print(f"{'agent':>7}{'KB':>8}{'all know':>10}")
    for mesh in MESHES:
        entries = [_Sender() for _ in range(mesh.entries)]
        agents = [_Sender() for _ in range(mesh.agents)]
        for index, entry in enumerate(entries):
            for number in range(mesh.agents_per_entry):
                place = index * mesh.agents // mesh.entries + number
                entry.connect(agents[place % mesh.agents])
        agents[0].feed.publish_crash("crash", _fingerprints(0, IN_FLIGHT))
        nodes = entries + agents
        know = sum(len(node.feed.ledger.reports) for node in nodes)
        busy_entry = max(entries, key=lambda node: node.bytes)
        busy_agent = max(agents, key=lambda node: node.bytes)
        title = f"{mesh.entries} x {mesh.agents}, {mesh.agents_per_entry}"
        total = sum(node.messages for node in nodes)
        print(
            f"{title:32}{total:8}{busy_entry.messages:7}{busy_entry.bytes / 1e3:8.1f}"
            f"{busy_agent.messages:7}{busy_agent.bytes / 1e3:8.1f}{know / len(nodes):10.1%}"
        )


def main() -> None:
    """Print both tables."""
    measure_ledger()
    anyio.run(measure_spread)


if __name__ == "__main__":
    main()
