"""Serves callers at an entry: reads their HTTP requests and sends answers with their outcomes."""

from __future__ import annotations

from bronzerudder.caller.app import CallerApp
from bronzerudder.caller.headers import CallerHeaders
from bronzerudder.caller.problem import Problem, build_problem

__all__ = ["CallerApp", "CallerHeaders", "Problem", "build_problem"]
