"""Bounds on how many requests run at once."""

from __future__ import annotations

from bronzerudder.policy.concurrency.pause_bound import PauseBound

__all__ = ["PauseBound"]
