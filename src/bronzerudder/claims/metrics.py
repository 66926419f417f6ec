"""Metrics of the claim register."""

from __future__ import annotations

from collections.abc import Iterator

from prometheus_client.core import CounterMetricFamily
from prometheus_client.registry import Collector, CollectorRegistry

from bronzerudder.claims.register import StoredClaimRegister


class ClaimCollector(Collector):
    """Exports a register's totals when the metrics are scraped.

    Parameters
    ----------
    register : StoredClaimRegister
        Register whose totals are exported.
    registry : CollectorRegistry
        Registry that the collector is added to.
    """

    def __init__(self, register: StoredClaimRegister, registry: CollectorRegistry) -> None:
        self._register = register
        registry.register(self)

    def collect(self) -> Iterator[CounterMetricFamily]:
        """Yield the totals."""
        outcomes = CounterMetricFamily(
            "bronzerudder_claim_outcomes", "Claims by outcome.", labels=["outcome"]
        )
        for name, count in self._register.outcomes.items():
            outcomes.add_metric([name], count)
        yield outcomes
        counts = self._register.counts
        yield CounterMetricFamily(
            "bronzerudder_claim_writes", "Conditional updates of shard heads.", value=counts.writes
        )
        yield CounterMetricFamily(
            "bronzerudder_claim_conflicts",
            "Conditional updates that failed because another writer came first.",
            value=counts.conflicts,
        )
        yield CounterMetricFamily(
            "bronzerudder_claim_doubts",
            "Updates whose response was lost, settled by reading back.",
            value=counts.indeterminate,
        )
