"""Runs tasks so that the failure of one does not stop the others."""

from __future__ import annotations

from bronzerudder.concurrency.supervision import raise_if_cancelled, supervise

__all__ = ["raise_if_cancelled", "supervise"]
