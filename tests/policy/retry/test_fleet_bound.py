"""Tests that gateways together keep to the retry budget, whatever they know of each other."""

from __future__ import annotations

import random
import unittest

from tests.policy.retry.fleet_model import RULE, FleetPlay

SEEDS = range(6)
FAILS_FROM_S = 25.0
LEAST_USE = 0.5
"""Part of what the rule allows that callers must get at least while nothing disturbs gateways."""


class FleetBoundTest(unittest.TestCase):
    def assert_kept(self, prepare, **changes):
        for seed in SEEDS:
            play = FleetPlay(seed, **changes)
            prepare(play)
            with self.subTest(seed=seed):
                self.assertIsNone(play.run())
                self.assertGreater(play.retries, 0)

    def test_undisturbed_gateways_keep_the_bound_and_use_most_of_it(self):
        for seed in SEEDS:
            play = FleetPlay(seed)
            with self.subTest(seed=seed):
                self.assertIsNone(play.run())
                allowed = RULE.share * 60.0 * RULE.window_s + RULE.extra
                first_window = play.count_retries(FAILS_FROM_S, FAILS_FROM_S + RULE.window_s)
                self.assertGreater(first_window, LEAST_USE * allowed)

    def test_gateways_that_restart_do_not_spend_the_budget_anew(self):
        def restart_all_at_once(play):
            play.restarts = [(28.0, number, 0.5) for number in range(4)]

        self.assert_kept(restart_all_at_once)

    def test_herds_of_restarts_do_not_spend_the_budget_anew(self):
        def restart_often(play):
            play.restarts = [
                (at_s, number, 0.5) for at_s in (26.0, 29.0, 32.0, 35.0) for number in range(4)
            ]

        self.assert_kept(restart_often)

    def test_gateways_that_restart_in_turn_do_not_spend_the_budget_anew(self):
        def restart_in_turn(play):
            play.restarts = [(25.2 + 0.7 * turn, turn % 4, 0.5) for turn in range(24)]

        self.assert_kept(restart_in_turn)

    def test_a_list_that_shrinks_for_a_while_does_not_multiply_the_budget(self):
        def shrink(play):
            registry = play.registry
            registry.answer = lambda reader, now_s: (
                (reader,) if 20.0 <= now_s < 40.0 else registry.listed
            )

        self.assert_kept(shrink)

    def test_an_empty_list_does_not_multiply_the_budget(self):
        def empty(play):
            play.registry.answer = lambda reader, now_s: ()

        self.assert_kept(empty, gateways=16, rate_rps=40.0)

    def test_entries_that_the_store_loses_do_not_multiply_the_budget(self):
        def lose(play):
            play.at(18.0, lambda now_s: play.registry.lose("g-0", "g-1", "g-2"))

        self.assert_kept(lose)

    def test_lists_that_are_stale_while_gateways_join_do_not_multiply_the_budget(self):
        def join_unseen(play):
            play.begins_s = dict.fromkeys(range(2, 8), 14.0)
            registry = play.registry
            registry.answer = lambda reader, now_s: (
                registry.listed if now_s < 13.0 or reader not in ("g-0", "g-1") else None
            )

        self.assert_kept(join_unseen, gateways=8)

    def test_gateways_that_join_add_nothing_to_what_the_others_spend(self):
        def join(play):
            play.begins_s = {number: 23.5 + 0.5 * number for number in range(2, 8)}

        self.assert_kept(join, gateways=8)

    def test_traffic_that_moves_between_gateways_does_not_double_the_budget(self):
        def move(play):
            play.weight = lambda number, now_s: float(number == int(now_s / 3.0) % 4)

        self.assert_kept(move, rate_rps=300.0)

    def test_retries_that_are_held_up_do_not_arrive_beyond_the_budget(self):
        def hold(play):
            # All are released at the same moments, as when a group opens again.
            play.send_at_s = lambda now_s: 9.0 * (now_s // 9.0 + 1)

        self.assert_kept(hold)

    def test_a_fall_of_traffic_leaves_no_budget_of_earlier_requests(self):
        def fall(play):
            play.weight = lambda number, now_s: 1.0 if now_s < 26.0 else 0.0

        self.assert_kept(fall, rate_rps=400.0)

    def test_disturbances_drawn_at_random_keep_the_bound(self):
        for seed in range(40):
            play = draw_play(seed)
            with self.subTest(seed=seed):
                self.assertIsNone(play.run())


def draw_play(seed: int) -> FleetPlay:
    """Draw a play with several disturbances at once."""
    generator = random.Random(seed)
    gateways = generator.choice((2, 3, 4, 13))
    play = FleetPlay(seed, gateways, generator.choice((30.0, 60.0, 200.0)))
    for _ in range(generator.randrange(4 * gateways)):
        at_s = generator.uniform(5.0, 45.0)
        play.restarts.append((at_s, generator.randrange(gateways), generator.uniform(0.2, 2.0)))
    play.restarts.sort()
    late = generator.sample(range(gateways), gateways // 2)
    play.begins_s = {number: generator.uniform(0.0, 30.0) for number in late}
    for _ in range(generator.randrange(3)):
        names = [f"g-{number}" for number in range(gateways) if generator.random() < 0.5]
        play.at(
            generator.uniform(15.0, 40.0),
            lambda now_s, names=names: play.registry.lose(*names),
        )
    failing_share = generator.choice((0.0, 0.3))
    registry = play.registry
    registry.answer = lambda reader, now_s: (
        None if generator.random() < failing_share else registry.listed
    )
    hold_s = generator.choice((0.0, 0.0, 3.0, 5.0))
    if hold_s:
        play.send_at_s = lambda now_s: hold_s * (now_s // hold_s + 1)
    period_s = generator.uniform(2.0, 10.0)
    favourite = generator.choice((1.0, 5.0))
    play.weight = lambda number, now_s: (
        favourite if number == int(now_s / period_s) % gateways else 1.0
    )
    return play


if __name__ == "__main__":
    unittest.main()
