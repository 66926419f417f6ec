"""A check of the retries that reach the backend servers of a service, over all gateways.

The check follows the users' rule: in no window do more requests arrive beyond the first arrival of
each than a fraction of the requests for the service, and a fixed number. The requests are those
sent in the window, in the one before it, or in the one half a window before it.
"""

from __future__ import annotations

import bisect
from collections.abc import Sequence
from typing import NamedTuple

from bronzerudder.standin.fleet.rate_limit import Arrival


class RetryRule(NamedTuple):
    """What all gateways together may send a service beyond the first arrival of each request.

    Parameters
    ----------
    share : float
        Retries per request.
    extra : float
        Retries in addition.
    window_s : float
        Length of the window in seconds.
    """

    share: float
    extra: float
    window_s: float


class RetryExcess(NamedTuple):
    """The window with the most retries beyond what the rule allows.

    Parameters
    ----------
    begin_s : float
        Begin of the window, in the time of the arrivals.
    retries : int
        Arrivals beyond the first of their request.
    allowed : float
        Retries that the rule allows.
    """

    begin_s: float
    retries: int
    allowed: float


def find_retry_excess(
    rule: RetryRule, sent_at_s: Sequence[float], arrivals: Sequence[Arrival]
) -> RetryExcess | None:
    """Return the window that exceeds the rule the most; None if none does.

    Parameters
    ----------
    rule : RetryRule
        The rule.
    sent_at_s : sequence of float
        Times at which callers sent the requests for the service, whether they arrived or not.
    arrivals : sequence of Arrival
        Requests that reached any backend server of the service, rejected ones too.
    """
    sent = sorted(sent_at_s)
    seen: set[str] = set()
    retries = []
    for arrival in sorted(arrivals, key=lambda arrival: arrival.at_s):
        if arrival.request_id in seen:
            retries.append(arrival.at_s)
        seen.add(arrival.request_id)
    worst: RetryExcess | None = None
    for at_s in retries:
        for begin_s in (at_s, at_s - rule.window_s):
            count = _count(retries, begin_s, rule.window_s)
            requests = max(
                _count(sent, begin_s - earlier_s, rule.window_s)
                for earlier_s in (0.0, rule.window_s / 2, rule.window_s)
            )
            allowed = rule.share * requests + rule.extra
            if count > allowed and (
                worst is None or count - allowed > worst.retries - worst.allowed
            ):
                worst = RetryExcess(begin_s, count, allowed)
    return worst


def _count(times_s: Sequence[float], begin_s: float, window_s: float) -> int:
    first = bisect.bisect_left(times_s, begin_s)
    return bisect.bisect_right(times_s, begin_s + window_s) - first
