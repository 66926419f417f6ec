"""Distributes crash reports over the streams between entries and agents.

Every process can then quarantine a request that crashes backend servers, wherever it is retried.
"""

from __future__ import annotations

from bronzerudder.quarantine.feed import QuarantineFeed

__all__ = ["QuarantineFeed"]
