"""Tests, laid out like the package."""

from __future__ import annotations

from hypothesis import settings

settings.register_profile("repeatable", derandomize=True, deadline=None, database=None)
settings.load_profile("repeatable")
