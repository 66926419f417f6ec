"""Seeded synthetic traces of expert popularity."""

from __future__ import annotations

from bench.traces.api import GroupShape, Trace
from bench.traces.sharp_shift import SharpShiftTrace
from bench.traces.slow_drift import SlowDriftTrace

__all__ = ["GroupShape", "SharpShiftTrace", "SlowDriftTrace", "Trace"]
