"""Second sends stay within the fleet's budget, replayed over a stalled group."""

import unittest

from waxwinghold._gateway.budget import budget_policy

RATIO = 0.2
SLACK_COUNT = 90.0
WINDOW_MS = 10_000.0
ALLOWED_RATIO = 0.2


class Fleet:
    """Gateways whose every request is rejected and sent again at once."""

    def __init__(self, *, policy, gateways_count):
        self.budgets = [
            budget_policy.make(
                policy, ratio=RATIO, slack_count=SLACK_COUNT, window_ms=WINDOW_MS
            )
            for _ in range(gateways_count)
        ]

    def play(self, *, start_ms, end_ms, gap_ms):
        """Return ``(firsts, seconds)`` of a span of time."""
        firsts = seconds = 0
        now_ms = start_ms
        while now_ms < end_ms:
            budget = self.budgets[firsts % len(self.budgets)]
            count = len(self.budgets)
            budget.record_first_send(now_ms=now_ms, gateways_count=count)
            firsts += 1
            for _ in range(3):
                seconds += budget.try_spend(now_ms=now_ms, gateways_count=count)
            now_ms += gap_ms
        return firsts, seconds


class BudgetTests(unittest.TestCase):
    def test_a_stalled_group_stays_within_the_window(self):
        for gateways_count in (1, 3, 9, 44):
            with self.subTest(gateways_count=gateways_count):
                fleet = Fleet(policy="shared", gateways_count=gateways_count)
                fleet.play(start_ms=0, end_ms=20_000, gap_ms=1000)
                firsts, seconds = fleet.play(start_ms=20_000, end_ms=30_000, gap_ms=15)
                self.assertLessEqual(seconds, ALLOWED_RATIO * firsts + SLACK_COUNT)
                self.assertGreater(seconds, 0)

    def test_a_restart_of_all_gateways_stays_within_the_window(self):
        first = Fleet(policy="shared", gateways_count=9)
        firsts, seconds = first.play(start_ms=0, end_ms=5000, gap_ms=15)
        again = Fleet(policy="shared", gateways_count=9)
        more_firsts, more = again.play(start_ms=5000, end_ms=10_000, gap_ms=15)
        allowed = ALLOWED_RATIO * (firsts + more_firsts) + SLACK_COUNT
        self.assertLessEqual(seconds + more, allowed)

    def test_a_gateway_that_hears_others_later_gives_up_its_surplus(self):
        budget = budget_policy.make(
            "shared", ratio=RATIO, slack_count=SLACK_COUNT, window_ms=WINDOW_MS
        )
        budget.record_first_send(now_ms=0, gateways_count=1)
        budget.record_first_send(now_ms=9000, gateways_count=1)
        taken = 0
        while budget.try_spend(now_ms=9000, gateways_count=9):
            taken += 1
        self.assertLessEqual(taken, SLACK_COUNT / 9)

    def test_the_naive_policy_breaks_the_window(self):
        fleet = Fleet(policy="unlimited", gateways_count=9)
        firsts, seconds = fleet.play(start_ms=0, end_ms=10_000, gap_ms=15)
        self.assertGreater(seconds, ALLOWED_RATIO * firsts + SLACK_COUNT)
