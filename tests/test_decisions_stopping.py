"""Tests of the steps of a planned stop."""

import unittest

from waxwinghold._decisions.stopping import stop_times

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
