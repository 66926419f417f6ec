"""Takes a caller's request to a backend server and judges how it ended."""

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
