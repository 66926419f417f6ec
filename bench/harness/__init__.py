"""Starts the product's processes on loopback for the demonstration, benchmarks and tests."""

from __future__ import annotations

from bench.harness.deployment import Backend, Deployment, Shape
from bench.harness.link import FaultyLink
from bench.harness.process import ManagedProcess

__all__ = ["Backend", "Deployment", "FaultyLink", "ManagedProcess", "Shape"]
