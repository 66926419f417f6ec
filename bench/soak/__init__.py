"""A randomized soak: processes under faults from outside, with their promises checked."""

from __future__ import annotations
