"""Seeded synthetic traces of expert popularity."""

from __future__ import annotations

from bench.traces.api import GroupShape, Trace
from bench.traces.december import DecemberTrace
from bench.traces.spring import SpringTrace

__all__ = ["DecemberTrace", "GroupShape", "SpringTrace", "Trace"]
