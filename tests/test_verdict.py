"""Verdicts speak for the whole request, earlier attempts included."""

import unittest

from waxwinghold import Ran, Verdict


class VerdictTests(unittest.TestCase):
    def test_an_earlier_attempt_widens_a_refusal(self):
        refusal = Verdict(ran=Ran.NOT_RUN, code="no_target", reason="none left")
        widened = refusal.combined_with(Ran.MAY_HAVE_RUN)
        self.assertEqual(widened.ran, Ran.MAY_HAVE_RUN)
        self.assertEqual(widened.code, "no_target")

    def test_a_verdict_is_never_narrowed(self):
        lost = Verdict(ran=Ran.MAY_HAVE_RUN, code="deadline", reason="late")
        self.assertEqual(lost.combined_with(Ran.NOT_RUN).ran, Ran.MAY_HAVE_RUN)
