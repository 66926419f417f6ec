"""Attributes repeated crashes to request fingerprints."""

from __future__ import annotations

import itertools
from collections.abc import Mapping

MAX_CANDIDATES = 12


def find_offenders(evidence: Mapping[str, frozenset[str]]) -> frozenset[str]:
    """Find the smallest sets of fingerprints that explain all repeated crashes.

    Candidates are the fingerprints that were in flight at two or more crashes. The offenders are
    the members of the smallest sets of candidates that together cover every crash that any
    candidate was in flight at. If there are several smallest sets, the evidence does not
    decide between them, so all their members are offenders.

    Parameters
    ----------
    evidence : mapping
        Crash IDs by fingerprint.

    Returns
    -------
    frozenset of str
        Offenders; all candidates when there are more than `MAX_CANDIDATES`, as the search
        is exponential in their number.
    """
    candidates = sorted(name for name, crashes in evidence.items() if len(crashes) > 1)
    if not candidates or len(candidates) > MAX_CANDIDATES:
        return frozenset(candidates)
    to_cover = frozenset().union(*(evidence[name] for name in candidates))
    for size in range(1, len(candidates) + 1):
        offenders: set[str] = set()
        for subset in itertools.combinations(candidates, size):
            if to_cover <= frozenset().union(*(evidence[name] for name in subset)):
                offenders.update(subset)
        if offenders:
            return frozenset(offenders)
    return frozenset(candidates)
