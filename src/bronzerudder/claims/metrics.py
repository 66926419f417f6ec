"""Metrics of the claim register."""

from __future__ import annotations

from collections.abc import Iterator

from prometheus_client.core import CounterMetricFamily
from prometheus_client.registry import Collector, CollectorRegistry

from bronzerudder.claims.register import StoredClaimRegister


class ClaimCollector(Collector):
    """Reads a register's totals whenever the metrics are scraped.

    Parameters
    ----------
    register : StoredClaimRegister
        Whose totals to show.
    registry : CollectorRegistry
        Takes the metrics.
    """

    def __init__(self, register: StoredClaimRegister, registry: CollectorRegistry) -> None:
        self._register = register
        registry.register(self)

    def collect(self) -> Iterator[CounterMetricFamily]:
        """Yield the totals."""
        outcomes = CounterMetricFamily(
            "bronzerudder_claim_outcomes", "Claims by what came of them.", labels=["outcome"]
        )
        for name, count in self._register.outcomes.items():
            outcomes.add_metric([name], count)
        yield outcomes
        counts = self._register.counts
        yield CounterMetricFamily(
            "bronzerudder_claim_writes", "Conditional updates of heads.", value=counts.writes
        )
        yield CounterMetricFamily(
            "bronzerudder_claim_conflicts",
            "Updates that another writer forestalled.",
            value=counts.conflicts,
        )
        yield CounterMetricFamily(
            "bronzerudder_claim_doubts",
            "Updates whose answer was lost, settled by reading back.",
            value=counts.doubts,
        )
