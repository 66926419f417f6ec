"""Spreads news of crashes over the streams between entries and agents."""

from __future__ import annotations

from bronzerudder.quarantine.feed import QuarantineFeed

__all__ = ["QuarantineFeed"]
