"""Target choice on replayed traces, against the naive policies."""

import unittest

from waxwinghold_bench.replay import Replay
from waxwinghold_bench.traces import SCENARIOS

DURATION_MS = 15_000.0
ROUND_ROBIN = "round_robin"
LEAST_REPORTED = "least_reported"


def replay(scenario, policy, seed):
    return Replay(
        scenario=scenario, policy=policy, seed=seed, duration_ms=DURATION_MS
    ).run()


class ReplayTests(unittest.TestCase):
    def test_the_weighed_choice_is_no_worse_than_the_naive_ones(self):
        for number, scenario in enumerate(SCENARIOS):
            results = {
                policy: replay(scenario, policy, number)
                for policy in (ROUND_ROBIN, LEAST_REPORTED, "weighed")
            }
            ours = results.pop("weighed")
            with self.subTest(scenario=scenario.name):
                for naive in results.values():
                    self.assertLess(ours.busiest_ratio, naive.busiest_ratio)
                    limit_ms = 1.1 * naive.first_token_ms(95)
                    self.assertLessEqual(ours.first_token_ms(95), limit_ms)
                    self.assertGreater(ours.hits_ratio, naive.hits_ratio)

    def test_equal_seeds_replay_equally(self):
        first, second = (replay(SCENARIOS[4], "weighed", 1) for _ in range(2))
        self.assertEqual(first.busy_ms, second.busy_ms)
        self.assertEqual(first.first_token_ms(99), second.first_token_ms(99))
