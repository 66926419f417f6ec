"""Randomized soak test: injects faults around running processes and checks their guarantees."""

from __future__ import annotations
