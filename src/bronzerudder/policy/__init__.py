"""Strategies that the processes call inline."""

from __future__ import annotations
