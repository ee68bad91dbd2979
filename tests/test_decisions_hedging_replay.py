"""Replays second copies of slow requests beside naive forms, without a network."""

import functools
import unittest

import logbook

from waxwinghold_bench.decision_replay.hedging import RATIO, replay_hedging

SEED = 1
LARGER_RATIO = 0.1


@functools.cache
def outcome(way, scenario, load):
    with logbook.NullHandler().applicationbound():
        return replay_hedging(way, scenario, load, seed=SEED)[0]


def copies_ratio(way, scenario, load):
    found = outcome(way, scenario, load)
    return found.copies_count / found.requests_count


class HedgingReplayTests(unittest.TestCase):
    def test_single_slow_answers_no_longer_make_the_99th_percentile(self):
        without = outcome("none", "slow by chance", 0.5)
        ours = outcome("percentile, 0.1", "slow by chance", 0.5)
        self.assertLess(ours.percentile_ms(99.0), 0.6 * without.percentile_ms(99.0))
        self.assertLessEqual(
            copies_ratio("percentile, 0.1", "slow by chance", 0.5), LARGER_RATIO
        )

    def test_a_fault_of_all_targets_causes_no_flood_of_copies(self):
        # Without a limit and conditions, a copy of each unanswered request is sent.
        ours = copies_ratio("percentile", "fault of all", 0.8)
        naive = copies_ratio("fixed delay, no limit", "fault of all", 0.8)
        self.assertLessEqual(ours, RATIO)
        self.assertGreater(naive, RATIO)

    def test_no_copies_are_sent_above_the_capacity(self):
        self.assertLess(copies_ratio("percentile", "slow by chance", 1.1), 0.005)
        naive = copies_ratio("fixed delay, no limit", "slow by chance", 1.1)
        self.assertGreater(naive, 0.005)
