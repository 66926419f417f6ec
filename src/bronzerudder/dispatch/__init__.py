"""Routes callers' requests to backend servers, and determines their outcomes.

A request is sent in attempts to agents; an attempt that failed is retried elsewhere where this is
safe, and an interrupted event stream is continued by another backend server.
"""

from __future__ import annotations

from bronzerudder.dispatch.api import AnswerSink
from bronzerudder.dispatch.dispatcher import Dispatcher
from bronzerudder.dispatch.outcome import Outcome, OutcomeKind
from bronzerudder.dispatch.request import CallerRequest
from bronzerudder.dispatch.targets import PoolTargets, Target, TargetTable

__all__ = [
    "AnswerSink",
    "CallerRequest",
    "Dispatcher",
    "Outcome",
    "OutcomeKind",
    "PoolTargets",
    "Target",
    "TargetTable",
]
