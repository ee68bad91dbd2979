"""Tests of the steps of a planned stop."""

import unittest

from waxwinghold._decisions.stopping import UsualDuration, stop_times

ASKED_MS = 1000.0
GRACES_MS = (0.0, 300.0, 1000.0, 3000.0, 8000.0, 30_000.0, 600_000.0)
# Two readiness checks, one each second.
UNREADY_MS = 2000.0


class StopTimesTests(unittest.TestCase):
    """Requests were passed on so late in the grace that they could not be answered."""

    def test_what_is_passed_on_has_most_of_the_grace(self):
        for grace_ms in GRACES_MS:
            with self.subTest(grace_ms):
                times = stop_times(asked_ms=ASKED_MS, grace_ms=grace_ms)
                self.assertLessEqual(times.pass_until_ms - ASKED_MS, grace_ms / 3)
                self.assertGreaterEqual(times.end_ms, ASKED_MS)

    def test_callers_are_taken_until_the_platform_sends_no_more(self):
        times = stop_times(asked_ms=ASKED_MS, grace_ms=8000.0)
        self.assertGreater(times.pass_until_ms - ASKED_MS, UNREADY_MS)
        # Requests of up to 5 s are answered.
        self.assertGreaterEqual(times.answer_until_ms - times.pass_until_ms, 5000.0)

    def test_the_process_ends_before_it_is_killed(self):
        for grace_ms in GRACES_MS[1:]:
            times = stop_times(asked_ms=ASKED_MS, grace_ms=grace_ms)
            self.assertLess(times.end_ms, ASKED_MS + grace_ms)

    def test_the_steps_are_in_order(self):
        for grace_ms in GRACES_MS:
            times = stop_times(asked_ms=ASKED_MS, grace_ms=grace_ms)
            self.assertLessEqual(times.pass_until_ms, times.answer_until_ms)
            self.assertLessEqual(times.answer_until_ms, times.end_ms)

    def test_there_is_time_to_write_the_last_answers(self):
        for grace_ms in GRACES_MS[3:]:
            times = stop_times(asked_ms=ASKED_MS, grace_ms=grace_ms)
            self.assertGreaterEqual(times.end_ms - times.answer_until_ms, 100.0)


class MayPassTests(unittest.TestCase):
    """Requests that usually outlast the grace were passed on and cut at its end."""

    times = stop_times(asked_ms=ASKED_MS, grace_ms=8000.0)

    def may_pass(self, *, after_ms, usual_ms, timeout_ms=30_000.0):
        now_ms = ASKED_MS + after_ms
        return self.times.may_pass(
            now_ms=now_ms, usual_ms=usual_ms, request_end_ms=now_ms + timeout_ms
        )

    def test_short_requests_are_passed_on_until_new_ones_are_rejected(self):
        for after_ms, expected in ((0, True), (2500, True), (2600, False)):
            for usual_ms in (0.0, 100.0, 5000.0):
                self.assertIs(
                    self.may_pass(after_ms=after_ms, usual_ms=usual_ms), expected
                )

    def test_a_request_that_usually_outlasts_the_grace_is_not_passed_on(self):
        self.assertTrue(self.may_pass(after_ms=0, usual_ms=7000.0))
        self.assertFalse(self.may_pass(after_ms=0, usual_ms=8000.0))
        self.assertFalse(self.may_pass(after_ms=1000, usual_ms=7000.0))

    def test_a_request_that_its_own_time_out_ends_before_is_passed_on(self):
        self.assertTrue(
            self.may_pass(after_ms=1000, usual_ms=7000.0, timeout_ms=5000.0)
        )


class UsualDurationTests(unittest.TestCase):
    def test_it_follows_what_requests_take_now(self):
        duration = UsualDuration()
        self.assertEqual(duration.usual_ms, 0.0)
        duration.record(100.0)
        self.assertEqual(duration.usual_ms, 100.0)
        for _ in range(100):
            duration.record(5000.0)
        self.assertAlmostEqual(duration.usual_ms, 5000.0, delta=10.0)

    def test_it_is_above_the_mean_of_durations_that_differ(self):
        duration = UsualDuration()
        for number in range(200):
            duration.record(1000.0 + 4000.0 * (number % 2))
        self.assertGreater(duration.usual_ms, 4000.0)
