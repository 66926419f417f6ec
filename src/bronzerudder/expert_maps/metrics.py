"""Exports the metrics of an agent beside a rank.

Imported when the metrics are first asked for, as the library takes memory beside each rank.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import NamedTuple

from prometheus_client import CollectorRegistry
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from bronzerudder.expert_maps.counts import AgentCounts, Counted

_TEXTS = {
    Counted.POSTS: "Posts to the leader of the group, by result.",
    Counted.ORDERS: "Orders of the leader that were given to the rank, by result.",
    Counted.MAP_CHANGES: "Changes of map that this process led, by result.",
    Counted.LOADS_TOLD: "Loads of the rank told to the gateways, by whether it had changed.",
}


class AgentGauges(NamedTuple):
    """Present values of an agent.

    Parameters
    ----------
    leading : bool
        Whether it leads its group.
    term : int
        Term of the leader that it knows; 0 for none.
    skew : float
        Largest over mean load of the ranks, while it leads; 0 otherwise.
    map_version : int
        Map that its rank uses.
    store_calls, log_lines_dropped : int
        So far.
    """

    leading: bool
    term: int
    skew: float
    map_version: int
    store_calls: int
    log_lines_dropped: int


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
            ("log_lines_dropped", "Log lines left out so far.", gauges.log_lines_dropped),
        ):
            yield GaugeMetricFamily(f"bronzerudder_{name}", text, value=value)


def build_registry(
    counts: AgentCounts, read_gauges: Callable[[], AgentGauges]
) -> CollectorRegistry:
    """Build the registry of an agent's metrics."""
    registry = CollectorRegistry()
    registry.register(_AgentCollector(counts, read_gauges))
    return registry
