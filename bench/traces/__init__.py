"""Seeded synthetic traces of expert popularity."""

from __future__ import annotations

from bench.traces.api import GroupShape, Trace
from bench.traces.december import SharpShiftTrace
from bench.traces.spring import SlowDriftTrace

__all__ = ["GroupShape", "SharpShiftTrace", "SlowDriftTrace", "Trace"]
