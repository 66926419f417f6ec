"""Tests of verdicts on requests by their prompt parts.

A "killer" is a part that crashes every backend server that begins an answer on it.
"""

from __future__ import annotations

import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from bronzerudder.policy.quarantine import (
    QUARANTINE_S,
    QuarantineState,
    RequestSubjects,
    SubjectLedger,
)
from bronzerudder.policy.quarantine.subjects import (
    MAX_EXCHANGED_CRASHES,
    MAX_PROVEN_PARTS,
    MAX_REPORTS,
    PROVEN_S,
)

CRASH_INTERVAL_S = 4.0

part_names = st.sampled_from(["pa", "pb", "pc", "pd"])
crashes = st.dictionaries(st.sampled_from("123456"), st.frozensets(part_names, min_size=1))
proofs = st.lists(part_names, max_size=2)


class SubjectLedgerTest(unittest.TestCase):
    def setUp(self):
        self.ledger = SubjectLedger()
        self.now_s = 1000.0

    def crash(self, crash_id, *subjects):
        self.now_s += CRASH_INTERVAL_S
        self.ledger.record_crash(crash_id, subjects, self.now_s, self.now_s)

    def prove(self, *subjects):
        return self.ledger.record_proof(subjects, self.now_s)

    def judge(self, *parts, fingerprint="f"):
        subjects = RequestSubjects(fingerprint, parts)
        return self.ledger.judge(subjects, self.now_s).quarantine_state

    def test_the_part_that_different_requests_share_is_quarantined(self):
        self.crash("1", "f1", "pkiller", "pa")
        self.assertEqual(self.judge("pkiller"), QuarantineState.CLEAR)
        self.crash("2", "f2", "pkiller", "pb")
        self.assertEqual(self.judge("pkiller", "pc"), QuarantineState.QUARANTINED)
        self.assertEqual(self.judge("pa", "pb"), QuarantineState.CLEAR)

    def test_a_part_proven_before_beside_or_after_the_crashes_is_sound(self):
        self.prove("pbefore")
        self.crash("1", "f1", "pkiller", "pbefore", "pbeside", "pafter")
        self.prove("pbeside")
        self.crash("2", "f2", "pkiller", "pbefore", "pbeside", "pafter")
        self.assertEqual(self.prove("pafter"), {"pafter"})
        for part in ("pbefore", "pbeside", "pafter"):
            self.assertEqual(self.judge(part), QuarantineState.CLEAR)
        self.assertEqual(self.judge("pkiller"), QuarantineState.QUARANTINED)

    def test_a_part_is_not_blamed_for_what_a_request_sent_again_explains(self):
        self.crash("1", "f", "pa")
        self.crash("2", "f", "pa")
        self.assertEqual(self.judge("pa", fingerprint="f"), QuarantineState.QUARANTINED)
        self.assertEqual(self.judge("pa", fingerprint="g"), QuarantineState.CLEAR)
        self.crash("3", "g", "pa")
        self.assertEqual(self.judge("pa", fingerprint="h"), QuarantineState.QUARANTINED)

    def test_a_request_with_one_of_two_parts_that_nothing_tells_apart_may_find_out(self):
        self.crash("1", "f1", "pfirst", "pkiller")
        self.crash("2", "f2", "pfirst", "pkiller")
        self.assertEqual(self.judge("pfirst", "pkiller"), QuarantineState.QUARANTINED)
        self.assertEqual(self.judge("pfirst"), QuarantineState.SUSPECT)
        self.prove("pfirst")
        self.assertEqual(self.judge("pfirst"), QuarantineState.CLEAR)
        self.assertEqual(self.judge("pkiller"), QuarantineState.QUARANTINED)

    def test_a_part_quarantined_beside_a_killer_is_released_by_a_further_crash(self):
        self.crash("1", "f1", "pfirst", "pkiller")
        self.crash("2", "f2", "pfirst", "pkiller")
        self.crash("3", "f3", "pother", "pkiller")
        self.assertEqual(self.judge("pfirst"), QuarantineState.CLEAR)
        self.assertEqual(self.judge("pkiller"), QuarantineState.QUARANTINED)

    def test_crashes_at_the_same_moment_do_not_quarantine_a_part(self):
        for number in range(16):
            self.ledger.record_crash(f"{number}", ["pa", f"f{number}"], 1000.0, 1000.0)
        self.assertEqual(self.judge("pa"), QuarantineState.CLEAR)
        self.crash("later", "pa")
        self.assertEqual(self.judge("pa"), QuarantineState.QUARANTINED)

    def test_a_quarantine_ends(self):
        self.crash("1", "pkiller")
        self.crash("2", "pkiller")
        subjects = RequestSubjects("f", ("pkiller",))
        verdict = self.ledger.judge(subjects, self.now_s + 100.0)
        self.assertAlmostEqual(verdict.retry_after_s, QUARANTINE_S - 100.0)
        self.now_s += QUARANTINE_S + 1.0
        self.assertEqual(self.judge("pkiller"), QuarantineState.CLEAR)

    def test_an_old_proof_does_not_protect_a_part(self):
        self.prove("pa")
        self.now_s += PROVEN_S
        self.crash("1", "pa")
        self.crash("2", "pa")
        self.assertEqual(self.judge("pa"), QuarantineState.QUARANTINED)

    def test_ledgers_that_exchange_their_crashes_reach_the_same_verdicts(self):
        other = SubjectLedger()
        self.assertEqual(self.ledger.digest, other.digest)
        for number in range(30):
            fingerprints = [f"f{number}-{running}" for running in range(40)]
            self.crash(f"i-{number}", "pkiller", f"p{number}", *fingerprints)
        self.assertNotEqual(self.ledger.digest, other.digest)
        for crash in self.ledger.known_crashes:
            other.record_crash(crash.crash_id, crash.subjects, crash.happened_at_s, self.now_s)
        self.assertEqual(other.offenders, {"pkiller"})
        self.assertEqual(self.ledger.digest, other.digest)

    def test_a_report_that_has_expired_is_not_recorded(self):
        self.assertFalse(
            self.ledger.record_crash("1", ["pa"], self.now_s - QUARANTINE_S, self.now_s)
        )

    def test_state_is_bounded(self):
        for number in range(3 * MAX_PROVEN_PARTS):
            self.prove(f"p{number}")
        for number in range(300):
            self.crash(f"{number}", f"f{number}", "pkiller")
        self.assertEqual(self.ledger.proven_parts, MAX_PROVEN_PARTS)
        self.assertLessEqual(len(self.ledger.crashes_of("pkiller")), MAX_REPORTS)
        self.assertLessEqual(len(self.ledger.known_crashes), MAX_EXCHANGED_CRASHES)
        self.assertEqual(self.judge("pkiller"), QuarantineState.QUARANTINED)

    def test_a_killer_is_found_in_a_storm_of_crashes(self):
        generator = random.Random(3)
        for number in range(MAX_REPORTS):
            parts = [f"p{generator.randrange(200)}" for _ in range(40)]
            self.crash(f"{number}", "pkiller", *parts, *(f"f{number}-{n}" for n in range(20)))
        self.assertEqual(self.ledger.offenders, {"pkiller"})

    @given(crashes, proofs, st.randoms())
    def test_ledgers_with_the_same_reports_and_proofs_judge_alike(
        self, subjects_by_crash, proven, shuffler
    ):
        events = []
        for number, (crash_id, subjects) in enumerate(subjects_by_crash.items()):
            at_s = 1000.0 + CRASH_INTERVAL_S * number
            # Two gateways report each crash, each a part of what ran there.
            for reported in (subjects, sorted(subjects)[:1]):
                events.append((crash_id, reported, at_s))
        events += [(None, [name], 0.0) for name in proven]
        verdicts = []
        for _ in range(2):
            ledger = SubjectLedger()
            for crash_id, subjects, at_s in events:
                if crash_id is None:
                    ledger.record_proof(subjects, 1100.0)
                    continue
                ledger.record_crash(crash_id, subjects, at_s, 1100.0)
            verdicts.append(
                [
                    ledger.judge(RequestSubjects("f", parts), 1100.0)
                    for parts in (("pa",), ("pb",), ("pc", "pd"), ("pa", "pd"))
                ]
            )
            shuffler.shuffle(events)
        self.assertEqual(*verdicts)


if __name__ == "__main__":
    unittest.main()
