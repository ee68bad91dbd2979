"""Target choice on replayed traces, compared with the baseline policies."""

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
    def test_the_weighed_policy_is_no_worse_than_the_baseline_policies(self):
        for number, scenario in enumerate(SCENARIOS):
            results = {
                policy: replay(scenario, policy, number)
                for policy in (ROUND_ROBIN, LEAST_REPORTED, "weighed")
            }
            weighed = results.pop("weighed")
            with self.subTest(scenario=scenario.name):
                for baseline in results.values():
                    self.assertLess(weighed.busiest_ratio, baseline.busiest_ratio)
                    limit_ms = 1.1 * baseline.first_token_ms(95)
                    self.assertLessEqual(weighed.first_token_ms(95), limit_ms)
                    self.assertGreater(weighed.hits_ratio, baseline.hits_ratio)

    def test_equal_seeds_give_equal_replays(self):
        first, second = (replay(SCENARIOS[4], "weighed", 1) for _ in range(2))
        self.assertEqual(first.busy_ms, second.busy_ms)
        self.assertEqual(first.first_token_ms(99), second.first_token_ms(99))
