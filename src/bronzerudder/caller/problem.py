"""Error answers as problem documents (RFC 9457)."""

from __future__ import annotations

import http
import math
from typing import NotRequired, TypedDict

from bronzerudder.dispatch import Outcome

PROBLEM_TYPE = "application/problem+json"


class Problem(TypedDict):
    """Body of an error answer; ``retry_after_s`` is in whole seconds."""

    type: str
    title: str
    status: int
    detail: str
    outcome: str
    retry_after_s: NotRequired[int]


def build_problem(outcome: Outcome) -> Problem:
    """Build the problem document for an outcome."""
    problem = Problem(
        type="about:blank",
        title=http.HTTPStatus(outcome.status).phrase,
        status=outcome.status,
        detail=outcome.reason,
        outcome=outcome.kind.value,
    )
    if outcome.retry_after_s > 0:
        problem["retry_after_s"] = math.ceil(outcome.retry_after_s)
    return problem
