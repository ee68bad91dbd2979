"""Replays groups whose passes lengthen with their load, with and without a limit.

The limit guards against streams that are late because too many others run beside them.
"""

import functools
import unittest

import logbook

from waxwinghold_bench.decision_replay.pass_patterns import (
    best_credit,
    pass_patterns,
    stream_arrivals,
)
from waxwinghold_bench.decision_replay.pass_world import (
    FILL_LAST,
    LIMITED,
    UNLIMITED,
    replay_passes,
)
from waxwinghold_bench.decision_replay.passes import percentile, usage_ratios

SEED = 1
CHANCE = 0.01  # The pauses are random, also of a bound that nothing can exceed.
# Gateways on lagging counts hold back some requests shortly below the capacity.
COST_LIMIT = 0.02
# Median of the running requests while more are wanted, relative to the exact limit.
USED_MIN_RATIO = 0.85
OVERSHOOT_LIMIT_RATIO = 1.1
BOUND_SHARE_GOAL = 0.9


@functools.cache
def outcome(name, policy):
    pattern = pass_patterns[name]
    found = stream_arrivals(pattern, seed=SEED)
    with logbook.NullHandler().applicationbound():
        return replay_passes(pattern, found, policy=policy, seed=SEED)


@functools.cache
def bound(name):
    pattern = pass_patterns[name]
    return best_credit(pattern, stream_arrivals(pattern, seed=SEED))


class LoadTests(unittest.TestCase):
    """Sixty gateways at 0.6 to 1.4 times the capacity, and a wave."""

    def test_below_the_capacity_a_limit_costs_little(self):
        for name in ("load of 0.6", "load of 0.9"):
            with self.subTest(name=name):
                self.assertGreaterEqual(
                    outcome(name, LIMITED).credit,
                    outcome(name, UNLIMITED).credit - COST_LIMIT,
                )
                self.assertLess(outcome(name, LIMITED).share("rejected"), CHANCE)

    def test_above_the_capacity_far_more_streams_are_on_time(self):
        for name, factor in (("load of 1.1", 1.5), ("load of 1.4", 5)):
            with self.subTest(name=name):
                self.assertGreaterEqual(
                    outcome(name, LIMITED).share("on time"),
                    factor * outcome(name, UNLIMITED).share("on time"),
                )
                self.assertGreater(
                    outcome(name, LIMITED).credit,
                    outcome(name, UNLIMITED).credit + 0.1,
                )

    def test_a_wave_makes_fewer_streams_late(self):
        name = "wave of 15 s"
        self.assertLess(
            outcome(name, LIMITED).share("late"),
            0.5 * outcome(name, UNLIMITED).share("late"),
        )

    def test_the_credit_is_within_a_tenth_of_the_bound(self):
        for name in ("load of 0.6", "load of 0.9", "load of 1.1", "wave of 15 s"):
            with self.subTest(name=name):
                goal = BOUND_SHARE_GOAL * bound(name)
                self.assertGreaterEqual(outcome(name, LIMITED).credit, goal)

    def test_nothing_is_better_than_the_bound(self):
        for name in ("load of 0.6", "load of 0.9", "load of 1.1", "load of 1.4"):
            for policy in (UNLIMITED, LIMITED):
                with self.subTest(name=name, policy=policy):
                    credit = outcome(name, policy).credit
                    self.assertLessEqual(credit, bound(name) + CHANCE)

    def test_sixty_gateways_exceed_the_limit_by_a_tenth_at_most(self):
        for name in ("load of 1.1", "load of 1.4"):
            with self.subTest(name=name):
                ratios = usage_ratios(pass_patterns[name], outcome(name, LIMITED))
                self.assertLessEqual(percentile(ratios, 99), OVERSHOOT_LIMIT_RATIO)

    def test_the_room_of_a_group_does_not_stay_unused(self):
        for name in ("load of 1.1", "load of 1.4"):
            ratios = usage_ratios(pass_patterns[name], outcome(name, LIMITED))
            self.assertGreater(percentile(ratios, 50), USED_MIN_RATIO)


class ChangeTests(unittest.TestCase):
    """Demand that shifts, and failures beside an overload."""

    def test_more_credit_than_without_a_limit(self):
        for name in (
            "demand that shifts",
            "lost leader",
            "new epoch",
            "gateways that start",
            "few gateways",
        ):
            with self.subTest(name=name):
                limited, unlimited = outcome(name, LIMITED), outcome(name, UNLIMITED)
                self.assertGreaterEqual(limited.credit, unlimited.credit)
                self.assertGreater(limited.share("on time"), unlimited.share("on time"))

    def test_to_fill_one_group_with_late_requests_earns_less(self):
        name = "two groups, one slower"
        credit = outcome(name, LIMITED).credit
        self.assertGreater(credit, outcome(name, FILL_LAST).credit)
        self.assertGreater(credit, outcome(name, UNLIMITED).credit)
