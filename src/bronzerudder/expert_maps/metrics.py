"""Exports the metrics of a rank agent.

Imported when the metrics are first requested, as the library takes memory next to each rank.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import NamedTuple

from prometheus_client import CollectorRegistry
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from bronzerudder.expert_maps.counts import AgentCounts, CounterName

_TEXTS = {
    CounterName.REPORTS: "Reports to the leader of the group, by result.",
    CounterName.ORDERS: "Orders of the leader that this agent sent to a rank, by result.",
    CounterName.MAP_CHANGES: "Changes of map that this process led, by result.",
    CounterName.LOAD_UPDATES: "Load reports to the gateways, by whether the load had changed.",
    CounterName.REFUSALS: "Callers refused by status; 0 for connections closed to make room.",
}


class AgentGauges(NamedTuple):
    """Current values of an agent.

    Parameters
    ----------
    leading : bool
        Whether it leads its group.
    term : int
        Term of the leader known to it; 0 if there is none.
    skew : float
        Largest over mean load of the ranks, while it leads; 0 otherwise.
    map_version : int
        Map that its rank uses.
    store_calls, log_lines_dropped : int
        Totals since the start.
    caller_connections, caller_bytes : int
        Open connections of other agents and readers of metrics, and bytes held for them.
    """

    leading: bool
    term: int
    skew: float
    map_version: int
    store_calls: int
    log_lines_dropped: int
    caller_connections: int
    caller_bytes: int


class _AgentCollector(Collector):
    def __init__(self, counts: AgentCounts, read_gauges: Callable[[], AgentGauges]) -> None:
        self._counts = counts
        self._read_gauges = read_gauges

    def collect(self) -> Iterator[Metric]:
        """Yield all metrics."""
        for counted, text in _TEXTS.items():
            family = CounterMetricFamily(f"bronzerudder_{counted.value}", text, labels=["result"])
            for result, number in sorted(self._counts.by_result(counted).items()):
                family.add_metric([result], number)
            yield family
        gauges = self._read_gauges()
        for name, text, value in (
            ("group_leading", "Whether this process leads its group.", gauges.leading),
            ("group_term", "Term of the leader of the group.", gauges.term),
            ("group_skew_ratio", "Largest over mean load of the ranks.", gauges.skew),
            ("map_version", "Expert map in use.", gauges.map_version),
            ("store_calls", "Calls to the store so far.", gauges.store_calls),
            ("log_lines_dropped", "Log lines dropped so far.", gauges.log_lines_dropped),
            ("caller_connections", "Open connections.", gauges.caller_connections),
            ("caller_bytes", "Bytes held for open connections.", gauges.caller_bytes),
        ):
            yield GaugeMetricFamily(f"bronzerudder_{name}", text, value=value)


def build_registry(
    counts: AgentCounts, read_gauges: Callable[[], AgentGauges]
) -> CollectorRegistry:
    """Build the registry of an agent's metrics."""
    registry = CollectorRegistry()
    registry.register(_AgentCollector(counts, read_gauges))
    return registry
