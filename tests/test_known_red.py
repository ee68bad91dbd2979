"""The plugin for recorded failures: counts, and the lines that it prints."""

import types
import unittest

from tests.known_red import KnownRed


def outcome(name, kind, *, error=None, expected=True):
    """Return an outcome event like those of nose2."""
    test = types.SimpleNamespace(id=lambda: name)
    return types.SimpleNamespace(
        test=test, outcome=kind, exc_info=error, expected=expected
    )


class KnownRedTests(unittest.TestCase):
    def setUp(self):
        self.plugin = KnownRed.__new__(KnownRed)
        self.plugin.recorded = {"t.recorded": "seen on seed 7"}
        self.plugin.passed_count = 0
        self.plugin.failed_count = 0
        self.plugin.skipped_count = 0
        self.plugin.report_lines = []

    def report(self, event):
        self.plugin.setTestOutcome(event)
        self.plugin.testOutcome(event)
        return self.plugin.passed_count, self.plugin.failed_count

    def test_an_unrecorded_failure_fails(self):
        event = outcome("t.other", "failed", error=("e",), expected=False)
        self.assertEqual(self.report(event), (0, 1))

    def test_a_recorded_failure_passes_and_is_printed(self):
        event = outcome("t.recorded", "failed", error=("e",), expected=False)
        self.assertEqual(self.report(event), (1, 0))
        self.assertIn("seen on seed 7", self.plugin.report_lines[0])

    def test_a_recorded_test_that_passes_fails(self):
        self.assertEqual(self.report(outcome("t.recorded", "passed")), (0, 1))

    def test_only_failing_subtests_are_counted(self):
        event = outcome("t.other", "subtest", expected=False)
        self.assertEqual(self.report(event), (0, 0))
        event = outcome("t.other", "subtest", error=("e",), expected=False)
        self.assertEqual(self.report(event), (0, 1))
