"""Retry budget, retry delays of rejected callers and early rejection."""

import random
import unittest

from waxwinghold._policy import DeadlineAdmission, RetryAfterSchedule, RetryBudget


class RetryBudgetTests(unittest.TestCase):
    def test_retries_stay_within_the_ratio_when_every_attempt_fails(self):
        budget = RetryBudget(ratio=0.1, burst_count=10, floor_per_second=1)
        retries = 0
        for now_ms in range(10_000):
            budget.record_first(now_ms=now_ms)
            retries += budget.take_retry(now_ms=now_ms)
        self.assertLessEqual(retries, 10_000 * 0.1 + 10 + 10)
        self.assertGreaterEqual(retries, 900)

    def test_a_quiet_entry_can_retry(self):
        budget = RetryBudget(ratio=0.1, burst_count=1, floor_per_second=1)
        self.assertTrue(budget.take_retry(now_ms=0))
        self.assertFalse(budget.take_retry(now_ms=500))
        self.assertTrue(budget.take_retry(now_ms=1500))

    def test_an_earlier_time_removes_no_tokens(self):
        budget = RetryBudget(ratio=0.1, burst_count=2)
        self.assertTrue(budget.take_retry(now_ms=5000))
        self.assertTrue(budget.take_retry(now_ms=0))


class RetryAfterScheduleTests(unittest.TestCase):
    def test_rejected_callers_return_spread_out(self):
        schedule = RetryAfterSchedule(rng=random.Random(1))
        for now_ms in range(0, 4001, 10):
            schedule.record_completed(now_ms=now_ms)
        return_times_ms = sorted(
            schedule.retry_after_ms(now_ms=4001) for _ in range(200)
        )
        self.assertGreaterEqual(return_times_ms[0], 375)
        busiest = max(
            sum(start <= moment < start + 1000 for moment in return_times_ms)
            for start in range(0, 25_000, 250)
        )
        # 100 requests complete per second, and a tenth as many callers return.
        self.assertLessEqual(busiest, 15)

    def test_no_delay_exceeds_the_limit(self):
        schedule = RetryAfterSchedule(rng=random.Random(1), limit_ms=2000)
        delays_ms = [schedule.retry_after_ms(now_ms=0) for _ in range(1000)]
        self.assertLessEqual(max(delays_ms), 2500)


class AdmissionTests(unittest.TestCase):
    def test_the_least_urgent_requests_are_rejected_first(self):
        admission = DeadlineAdmission()
        admitted = [
            admission.admits(wait_ms=200, deadline_in_ms=1000, priority=priority)
            for priority in range(4)
        ]
        self.assertEqual(admitted, [True, True, False, False])
