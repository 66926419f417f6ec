"""Attributes repeated crashes to request fingerprints."""

from __future__ import annotations

import itertools
from collections.abc import Mapping, Sequence

MAX_CANDIDATES = 12
"""Limits the exact search, which is exponential in the number of candidates."""


def find_offenders(evidence: Mapping[str, frozenset[str]]) -> frozenset[str]:
    """Find the smallest sets of fingerprints that explain all repeated crashes.

    Candidates are the fingerprints that were in flight at two or more crashes. The offenders are
    the members of the smallest sets of candidates that together cover every crash that any
    candidate was in flight at. If there are several smallest sets, the evidence does not
    decide between them, so all their members are offenders.

    With more than `MAX_CANDIDATES` candidates, those with the same crashes are treated as one, and
    those whose crashes are all explained by a single other one are dropped. If too many are left
    even so, the offenders are a cover that takes the candidate with the most crashes first.

    Parameters
    ----------
    evidence : mapping
        Crash IDs by fingerprint.

    Returns
    -------
    frozenset of str
        Offenders.
    """
    candidates = sorted(name for name, crashes in evidence.items() if len(crashes) > 1)
    if len(candidates) <= MAX_CANDIDATES:
        crashes = [evidence[name] for name in candidates]
        return frozenset(candidates[index] for index in _search_smallest_covers(crashes))
    by_crashes: dict[frozenset[str], list[str]] = {}
    for name in candidates:
        by_crashes.setdefault(evidence[name], []).append(name)
    maximal = [
        crashes for crashes in by_crashes if not any(crashes < other for other in by_crashes)
    ]
    if len(maximal) <= MAX_CANDIDATES:
        chosen = _search_smallest_covers(maximal)
    else:
        chosen = _cover_greedily(maximal)
    return frozenset(name for index in chosen for name in by_crashes[maximal[index]])


def _search_smallest_covers(candidates: Sequence[frozenset[str]]) -> set[int]:
    """Return the indices of the members of all smallest covers."""
    to_cover = frozenset().union(*candidates)
    for size in range(1, len(candidates) + 1):
        members: set[int] = set()
        for subset in itertools.combinations(range(len(candidates)), size):
            if to_cover <= frozenset().union(*(candidates[index] for index in subset)):
                members.update(subset)
        if members:
            return members
    return set()


def _cover_greedily(candidates: Sequence[frozenset[str]]) -> set[int]:
    """Return the indices of one cover; of equally good candidates, the first in order."""
    uncovered = set().union(*candidates)
    members: set[int] = set()
    while uncovered:
        best = max(range(len(candidates)), key=lambda index: len(candidates[index] & uncovered))
        members.add(best)
        uncovered -= candidates[best]
    return members
