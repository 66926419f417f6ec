"""Tests of which requests are suspected, cleared and quarantined.

A "killer" is a request that crashes every backend server on which it runs.
"""

from __future__ import annotations

import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from bronzerudder.policy.quarantine import (
    QUARANTINE_S,
    Clearance,
    CrashReport,
    QuarantineLedger,
    QuarantineState,
    find_offenders,
)

names = st.sampled_from(["p", "q", "r", "s"])
crash_ids = st.sampled_from(["1", "2", "3", "4", "5"])
reports = st.builds(
    lambda crash_id, fingerprints: (crash_id, frozenset(fingerprints)),
    crash_ids,
    st.sets(names, min_size=1),
)
clearances = st.builds(lambda name, crash_id: (name, crash_id), names, crash_ids)


def report_crash(ledger, crash_id, *fingerprints, now=0.0):
    report = CrashReport(crash_id, frozenset(fingerprints), now + QUARANTINE_S)
    return ledger.record_crash(report)


def report_clearance(ledger, fingerprint, *ids):
    return ledger.record_clearance(Clearance(fingerprint, frozenset(ids)))


class QuarantineLedgerTest(unittest.TestCase):
    def setUp(self):
        self.ledger = QuarantineLedger()

    def assert_quarantine_state(self, fingerprint, quarantine_state, now=0.0):
        self.assertEqual(self.ledger.judge(fingerprint, now).quarantine_state, quarantine_state)

    def test_in_flight_at_one_crash_all_are_suspects(self):
        report_crash(self.ledger, "a", "killer", "bystander")
        self.assert_quarantine_state("killer", QuarantineState.SUSPECT)
        self.assert_quarantine_state("bystander", QuarantineState.SUSPECT)
        self.assert_quarantine_state("elsewhere", QuarantineState.CLEAR)

    def test_the_second_crash_condemns_one_and_clears_those_beside_it(self):
        report_crash(self.ledger, "a", "killer", "bystander")
        report_crash(self.ledger, "b", "killer", "other")
        verdict = self.ledger.judge("killer", 100.0)
        self.assertEqual(verdict.quarantine_state, QuarantineState.QUARANTINED)
        self.assertEqual(verdict.retry_after_s, QUARANTINE_S - 100.0)
        self.assert_quarantine_state("bystander", QuarantineState.CLEAR)
        self.assert_quarantine_state("other", QuarantineState.CLEAR)

    def test_a_suspect_that_runs_to_its_end_is_cleared(self):
        report_crash(self.ledger, "a", "killer", "bystander")
        report_clearance(self.ledger, "bystander", "a")
        self.assert_quarantine_state("bystander", QuarantineState.CLEAR)
        self.assert_quarantine_state("killer", QuarantineState.SUSPECT)

    def test_an_innocent_that_met_two_killers_is_released(self):
        report_crash(self.ledger, "a", "first", "innocent")
        report_crash(self.ledger, "b", "first")
        report_crash(self.ledger, "c", "second", "innocent")
        report_crash(self.ledger, "d", "second")
        self.assertEqual(self.ledger.offenders, {"first", "second"})
        self.assert_quarantine_state("innocent", QuarantineState.CLEAR)

    def test_a_culprit_explains_no_crash_that_it_was_cleared_of(self):
        report_crash(self.ledger, "a", "killer", "bystander")
        report_clearance(self.ledger, "killer", "a")
        report_crash(self.ledger, "b", "killer")
        report_crash(self.ledger, "c", "killer")
        self.assert_quarantine_state("killer", QuarantineState.QUARANTINED)
        self.assert_quarantine_state("bystander", QuarantineState.SUSPECT)

    def test_reports_of_one_crash_by_several_observers_are_one_crash(self):
        report_crash(self.ledger, "a", "killer", "bystander")
        self.assertTrue(report_crash(self.ledger, "a", "bystander", "elsewhere", now=50.0))
        self.assertFalse(report_crash(self.ledger, "a", "elsewhere", now=60.0))
        for name in ("killer", "bystander", "elsewhere"):
            self.assert_quarantine_state(name, QuarantineState.SUSPECT)
        report_crash(self.ledger, "b", "elsewhere")
        self.assertEqual(self.ledger.offenders, {"elsewhere"})
        self.assert_quarantine_state("killer", QuarantineState.CLEAR, QUARANTINE_S + 1)

    def test_quarantine_and_suspicion_end(self):
        report_crash(self.ledger, "a", "killer", now=0.0)
        report_crash(self.ledger, "b", "killer", now=10.0)
        self.assert_quarantine_state("killer", QuarantineState.QUARANTINED, QUARANTINE_S - 1)
        self.assert_quarantine_state("killer", QuarantineState.SUSPECT, QUARANTINE_S + 1)
        self.assert_quarantine_state("killer", QuarantineState.CLEAR, QUARANTINE_S + 11)

    def test_requests_without_a_body_are_never_condemned(self):
        report_crash(self.ledger, "a", "")
        report_crash(self.ledger, "b", "")
        self.assert_quarantine_state("", QuarantineState.CLEAR)

    def test_reports_are_bounded(self):
        for number in range(2000):
            report_crash(self.ledger, f"crash-{number}", f"f-{number}", now=float(number))
            report_clearance(self.ledger, f"f-{number}", f"unknown-{number}")
        self.assertLessEqual(len(self.ledger.reports), 256)
        self.assertLessEqual(len(self.ledger.clearances), 256)

    @given(st.lists(reports, max_size=6), st.lists(clearances, max_size=4), st.randoms())
    def test_ledgers_that_hold_the_same_judge_alike(self, crashes, cleared, shuffler):
        by_id = dict(crashes)
        events = [("crash", crash_id, fingerprints) for crash_id, fingerprints in by_id.items()]
        events += [("clear", name, crash_id) for name, crash_id in cleared]
        verdicts = []
        for _ in range(2):
            ledger = QuarantineLedger()
            for kind, first, second in events + events[:2]:
                if kind == "crash":
                    report_crash(ledger, first, *second)
                else:
                    report_clearance(ledger, first, second)
            verdicts.append([ledger.judge(name, 0.0) for name in ("p", "q", "r", "s")])
            shuffler.shuffle(events)
        self.assertEqual(*verdicts)


class FindOffendersTest(unittest.TestCase):
    def test_what_nothing_tells_apart_is_a_culprit_together(self):
        both = frozenset("ab")
        self.assertEqual(find_offenders({"p": both, "q": both}), {"p", "q"})

    def test_many_candidates_are_all_culprits(self):
        evidence = {f"f-{number}": frozenset("ab") for number in range(40)}
        self.assertEqual(len(find_offenders(evidence)), 40)

    def test_bystanders_of_one_killer_are_not_condemned_however_many_they_are(self):
        evidence = {"killer": frozenset(str(number) for number in range(10))}
        for number in range(40):
            evidence[f"bystander-{number}"] = frozenset({str(number % 9), str(number % 9 + 1)})
        self.assertEqual(find_offenders(evidence), {"killer"})

    def test_killers_among_many_bystanders_are_found(self):
        generator = random.Random(1)
        for killers in (3, 20):
            evidence = {}
            for killer in range(killers):
                evidence[f"killer-{killer}"] = frozenset(f"{killer}/{n}" for n in range(4))
            crashes = sorted(frozenset().union(*evidence.values()))
            for number in range(60):
                evidence[f"bystander-{number}"] = frozenset(generator.sample(crashes, 2))
            offenders = find_offenders(evidence)
            self.assertEqual(offenders, {name for name in evidence if name.startswith("killer")})

    @given(st.dictionaries(names, st.frozensets(crash_ids, max_size=4)), st.integers(0, 4))
    def test_a_cover_of_many_candidates_explains_all_repeated_crashes(self, some, copies):
        evidence = {f"{name}-{copy}": some[name] for name in some for copy in range(copies * 4)}
        repeated = [crashes for crashes in evidence.values() if len(crashes) > 1]
        offenders = find_offenders(evidence)
        explained = frozenset().union(*(evidence[name] for name in offenders))
        self.assertEqual(explained, frozenset().union(*repeated))


class ResentKillerTest(unittest.TestCase):
    """Callers keep retrying a crashing request and harmless ones through entries of one pool."""

    SERVERS = 10
    SEEDS = range(30)

    def test_a_killer_takes_down_two_and_condemns_nobody(self):
        for seed in self.SEEDS:
            with self.subTest(seed=seed):
                generator = random.Random(seed)
                ledger = QuarantineLedger()
                crashes = 0
                waiting = [f"innocent-{number}" for number in range(60)] + ["killer"] * 20
                generator.shuffle(waiting)
                while waiting:
                    batch, waiting = self._admit(ledger, waiting, generator)
                    if "killer" in batch:
                        report_crash(ledger, f"crash-{crashes}", *batch)
                        crashes += 1
                        waiting += batch
                        generator.shuffle(waiting)
                        continue
                    for name in batch:
                        report_clearance(ledger, name, *ledger.judge(name, 0.0).crash_ids)
                self.assertLessEqual(crashes, 2)
                self.assertLessEqual(ledger.offenders, {"killer"})

    def _admit(self, ledger, waiting, generator):
        """Fill one backend server: at most one suspect, no quarantined request."""
        batch, left, suspects = [], [], 0
        for name in waiting:
            quarantine_state = ledger.judge(name, 0.0).quarantine_state
            if quarantine_state is QuarantineState.QUARANTINED:
                self.assertEqual(name, "killer")
                continue
            suspect = quarantine_state is QuarantineState.SUSPECT
            if len(batch) == 8 or (suspect and suspects):
                left.append(name)
                continue
            suspects += suspect
            batch.append(name)
        return batch, left


if __name__ == "__main__":
    unittest.main()
