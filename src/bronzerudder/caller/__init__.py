"""Callers as peers of an entry."""

from __future__ import annotations

from bronzerudder.caller.app import CallerApp
from bronzerudder.caller.headers import CallerHeaders
from bronzerudder.caller.problem import Problem, build_problem

__all__ = ["CallerApp", "CallerHeaders", "Problem", "build_problem"]
