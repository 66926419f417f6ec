"""Faults that the soak injects from outside the processes."""

from __future__ import annotations

import enum
import random
from typing import NamedTuple

FAULT_GAP_S = (0.1, 1.2)
FAULT_DURATION_S = (0.2, 3.0)


class FaultKind(enum.Enum):
    """Kind of a fault.

    ``..._CUT`` resets open connections; ``..._SILENT`` keeps them open and drops their data.
    ``STORE_LOSES`` executes writes without an answer, ``STORE_FORGETS`` discards the history of
    changes, and ``ORDERS_LATE`` delays the execution of orders at the ranks. ``ANSWERS_FAULTY``
    lets backend servers write one kind of faulty answers, ``PROMPTS_CRASH`` sends requests with a
    prompt part that crashes backend servers, and ``SERVERS_LIMITED`` lets backend servers name a
    limit of the rate of requests.
    """

    GATEWAY_TERM = "gateway-term"
    GATEWAY_KILL = "gateway-kill"
    GATEWAY_FREEZE = "gateway-freeze"
    GATEWAY_RELOAD = "gateway-reload"
    AGENT_KILL = "agent-kill"
    AGENT_FREEZE = "agent-freeze"
    LEADER_FREEZE = "leader-freeze"
    ALL_KILL = "all-kill"
    CALLER_CUT = "caller-cut"
    CALLER_SILENT = "caller-silent"
    BACKEND_CUT = "backend-cut"
    BACKEND_SILENT = "backend-silent"
    BACKEND_SLOW = "backend-slow"
    BACKEND_FAULTY = "backend-faulty"
    STORE_CUT = "store-cut"
    STORE_SILENT = "store-silent"
    STORE_SLOW = "store-slow"
    STORE_REFUSES = "store-refuses"
    STORE_LOSES = "store-loses"
    STORE_FORGETS = "store-forgets"
    ORDERS_LATE = "orders-late"
    DEMAND_SHIFT = "demand-shift"
    DRAIN = "drain"
    CONFIGURE = "configure"
    REVOKE = "revoke"
    ANSWERS_FAULTY = "answers-faulty"
    PROMPTS_CRASH = "prompts-crash"
    SERVERS_LIMITED = "servers-limited"


ANSWER_KINDS = (FaultKind.ANSWERS_FAULTY, FaultKind.PROMPTS_CRASH)
"""Kinds that only runs with `SoakShape.answers` draw, by a generator of their own."""
LIMIT_KINDS = (FaultKind.SERVERS_LIMITED,)
"""Kinds that only runs with `SoakShape.limits` draw, by a generator of their own."""
_GENERAL_KINDS = tuple(kind for kind in FaultKind if kind not in (*ANSWER_KINDS, *LIMIT_KINDS))
LIMITED_FROM_S = (0.2, 1.0)
PROMPTS_CRASH_AT_S = (1.0, 2.0)
FAULTY_ANSWERS_S = (0.5, 2.0)
RESTART_AFTER_S = (2.0, 3.0)
"""Time from the start of the crashing prompts to the restart of a gateway, in seconds."""
RESTART_S = 0.2
GENERAL_FAULTS_SHARE = 0.5
"""Fraction of the runs with faulty answers in which faults of all kinds come too."""


class Fault(NamedTuple):
    """One fault.

    Parameters
    ----------
    kind : FaultKind
        Kind of the fault.
    at_s, duration_s : float
        Time from the start of the injection, and duration if the fault is not instantaneous.
    target : float
        Selects what is affected, from 0 to 1.
    """

    kind: FaultKind
    at_s: float
    duration_s: float
    target: float


def draw_faults(generator: random.Random, until_s: float) -> list[Fault]:
    """Draw faults that come in bursts of one kind and may overlap."""
    faults = []
    at_s = generator.uniform(*FAULT_GAP_S)
    while at_s < until_s:
        kind = generator.choice(_GENERAL_KINDS)
        for _ in range(generator.choice((1, 1, 1, 2, 3))):
            duration_s = min(generator.uniform(*FAULT_DURATION_S), until_s - at_s)
            faults.append(Fault(kind, at_s, duration_s, generator.random()))
            at_s += generator.uniform(0.0, 0.3)
        at_s += generator.uniform(*FAULT_GAP_S)
    return [fault for fault in faults if fault.at_s < until_s]


def draw_answer_faults(
    generator: random.Random, until_s: float, general: list[Fault]
) -> list[Fault]:
    """Draw windows of faulty answers and one of crashing prompts.

    Parameters
    ----------
    generator : random.Random
        A generator of its own, so that the general faults of a seed stay what they were.
    until_s : float
        End of the injection.
    general : list of Fault
        Faults of the other kinds. Half of the runs have none of them but the restart of a gateway.
    """
    has_general = generator.random() < GENERAL_FAULTS_SHARE
    faults = list(general) if has_general else []
    crash_at_s = generator.uniform(*PROMPTS_CRASH_AT_S)
    crash_s = until_s - crash_at_s
    faults.append(Fault(FaultKind.PROMPTS_CRASH, crash_at_s, crash_s, generator.random()))
    at_s = generator.uniform(*FAULT_GAP_S)
    while at_s < until_s:
        duration_s = min(generator.uniform(*FAULTY_ANSWERS_S), until_s - at_s)
        faults.append(Fault(FaultKind.ANSWERS_FAULTY, at_s, duration_s, generator.random()))
        at_s += duration_s + generator.uniform(*FAULT_GAP_S)
    if not has_general:
        # The restarted gateway has seen no crash, and is in touch again before the end.
        restart_at_s = crash_at_s + generator.uniform(*RESTART_AFTER_S)
        kind = generator.choice((FaultKind.GATEWAY_KILL, FaultKind.GATEWAY_TERM))
        faults.append(Fault(kind, restart_at_s, RESTART_S, generator.random()))
    return sorted(faults, key=lambda fault: fault.at_s)


def draw_limit_faults(
    generator: random.Random, until_s: float, general: list[Fault]
) -> list[Fault]:
    """Draw one window with limited backend servers, as long as the injection.

    Half of the runs have no other faults but the restart of a gateway.
    """
    has_general = generator.random() < GENERAL_FAULTS_SHARE
    faults = list(general) if has_general else []
    at_s = generator.uniform(*LIMITED_FROM_S)
    faults.append(Fault(FaultKind.SERVERS_LIMITED, at_s, until_s - at_s, generator.random()))
    if not has_general:
        kind = generator.choice((FaultKind.GATEWAY_KILL, FaultKind.GATEWAY_TERM))
        restart_at_s = at_s + generator.uniform(*RESTART_AFTER_S)
        faults.append(Fault(kind, restart_at_s, RESTART_S, generator.random()))
    return sorted(faults, key=lambda fault: fault.at_s)
