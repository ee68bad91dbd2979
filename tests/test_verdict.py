"""Tests that a verdict covers the earlier attempts of its request."""

import unittest

from waxwinghold import Ran, Verdict


class VerdictTests(unittest.TestCase):
    def test_an_earlier_attempt_that_may_have_run_replaces_not_run(self):
        verdict = Verdict(ran=Ran.NOT_RUN, code="no_target", reason="none left")
        combined = verdict.combined_with(Ran.MAY_HAVE_RUN)
        self.assertEqual(combined.ran, Ran.MAY_HAVE_RUN)
        self.assertEqual(combined.code, "no_target")

    def test_an_earlier_attempt_that_did_not_run_changes_nothing(self):
        verdict = Verdict(ran=Ran.MAY_HAVE_RUN, code="deadline", reason="late")
        self.assertEqual(verdict.combined_with(Ran.NOT_RUN).ran, Ran.MAY_HAVE_RUN)
