"""Checks a recorded configuration history; each check returns the violations that it found."""

from __future__ import annotations

import collections
from collections.abc import Iterable

from bench.harness.configuration_history import (
    POLL_TIMEOUT_S,
    Accepted,
    ConfigurationHistory,
    Sighting,
)
from bronzerudder.configuration import RowKey
from bronzerudder.platform import ABSENT_VERSION

IN_FORCE_BOUND_S = 4.0


def by_process(history: ConfigurationHistory) -> dict[str, list[Sighting]]:
    """Group the sightings by process; names are never reused."""
    grouped = collections.defaultdict(list)
    for sighting in history.sightings:
        grouped[sighting.process].append(sighting)
    return grouped


def find_falling_revisions(history: ConfigurationHistory) -> list[str]:
    """Find processes whose revision decreased."""
    found = []
    for process, sightings in by_process(history).items():
        for earlier, later in zip(sightings, sightings[1:], strict=False):
            if later.revision < earlier.revision:
                found.append(f"{process} fell from {earlier.revision} to {later.revision}")
    return found


def find_disagreements(history: ConfigurationHistory) -> list[str]:
    """Find revisions with different rows on different processes."""
    found = []
    rows_of: dict[int, dict[RowKey, int]] = {}
    for sighting in history.sightings:
        if sighting.rows is None:
            continue
        if rows_of.setdefault(sighting.revision, sighting.rows) != sighting.rows:
            found.append(f"{sighting.process} differs at revision {sighting.revision}")
    return found


def find_reverted_edits(history: ConfigurationHistory) -> list[str]:
    """Find sightings of an edited row that differ from the last edit recorded until then.

    The platform's log is the reference, as an edit whose author got no definite outcome may have
    taken effect. `find_unrecorded_edits` checks that the log has every edit reported as accepted.
    """
    found = []
    recorded = sorted(history.recorded, key=lambda decision: decision.revision)
    keys = {edit.key for edit in history.accepted}
    for sighting in history.sightings:
        if sighting.rows is None:
            continue
        expected: dict[RowKey, int] = {}
        for decision in recorded:
            if decision.revision > sighting.revision:
                break
            expected.pop(decision.edit.key, None)
            if decision.edit.value is not None:
                expected[decision.edit.key] = decision.edit.version
        seen = {key: version for key, version in sighting.rows.items() if key in keys}
        if seen != expected:
            found.append(f"{sighting.process} at {sighting.revision}: {seen}, not {expected}")
    return found


def find_unrecorded_edits(history: ConfigurationHistory) -> list[str]:
    """Find edits reported as accepted that the platform's log does not list as accepted."""
    recorded = {(decision.edit.key, decision.edit.version) for decision in history.recorded}
    return [str(edit) for edit in history.accepted if (edit.key, edit.version) not in recorded]


def find_unseen_overwrites(history: ConfigurationHistory) -> list[str]:
    """Find accepted edits whose author had not read the accepted edit before (lost updates)."""
    found = []
    ordered = sorted(history.accepted, key=lambda edit: (edit.key, edit.version))
    for earlier, later in zip(ordered, ordered[1:], strict=False):
        if earlier.key != later.key or later.replaced >= earlier.version:
            continue
        if later.replaced == ABSENT_VERSION and _was_deleted(history, earlier, later):
            continue
        found.append(f"{later} overwrote {earlier}")
    return found


def find_late_processes(history: ConfigurationHistory, ended_at: float) -> list[str]:
    """Find responsive processes that put an accepted edit in force after `IN_FORCE_BOUND_S`."""
    found = []
    for process, sightings in by_process(history).items():
        for edit in history.accepted:
            due_at = edit.reported_at + IN_FORCE_BOUND_S
            in_force_at = find_in_force_time(sightings, edit.revision)
            was_observed = sightings[0].answered_at <= edit.reported_at and due_at <= min(
                ended_at, sightings[-1].requested_at
            )
            if not was_observed or _was_unresponsive(history, process, edit.reported_at, due_at):
                continue
            if in_force_at is None or in_force_at > due_at:
                found.append(
                    f"{process} had revision {edit.revision} late: {in_force_at}, due {due_at}"
                )
    return found


def find_stale_starts(history: ConfigurationHistory) -> list[str]:
    """Find processes that became ready without an edit accepted before that."""
    found = []
    for process, sightings in by_process(history).items():
        ready = next((sighting for sighting in sightings if sighting.ready), None)
        if ready is None:
            continue
        before = [sighting for sighting in sightings if sighting.answered_at < ready.requested_at]
        unready_at = before[-1].answered_at if before else history.started_at[process]
        for edit in _accepted_before(history.accepted, unready_at):
            if edit.revision > ready.revision:
                found.append(f"{process} was ready at {ready.revision}, below {edit.revision}")
    return found


def find_in_force_time(sightings: list[Sighting], revision: int) -> float | None:
    """Return when a process was first seen at a revision or above."""
    for sighting in sightings:
        if sighting.revision >= revision:
            return sighting.answered_at
    return None


def _was_unresponsive(
    history: ConfigurationHistory, process: str, since: float, until: float
) -> bool:
    for missed in history.missed_polls:
        if missed.process == process and since - POLL_TIMEOUT_S <= missed.requested_at <= until:
            return True
    return False


def _was_deleted(history: ConfigurationHistory, earlier: Accepted, later: Accepted) -> bool:
    for decision in history.recorded:
        edit = decision.edit
        if edit.key != earlier.key or edit.value is not None:
            continue
        if earlier.version <= edit.version < later.version:
            return True
    return False


def _accepted_before(accepted: Iterable[Accepted], at: float) -> list[Accepted]:
    return [edit for edit in accepted if edit.reported_at < at]
