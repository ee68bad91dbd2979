"""The plugin that prints the tests that took longest."""

import io
import types
import unittest

from tests.slow_tests import PRINTED_COUNT, SlowTests


class Stream(io.StringIO):
    def writeln(self, line):
        self.write(f"{line}\n")


class SlowTestsTests(unittest.TestCase):
    def setUp(self):
        self.plugin = SlowTests.__new__(SlowTests)
        self.plugin._started_s = None
        self.plugin.durations_s = {}

    def test_the_slowest_come_first_and_only_some_are_printed(self):
        for number in range(2 * PRINTED_COUNT):
            self.plugin.durations_s[f"t{number}"] = float(number)
        stream = Stream()
        self.plugin.beforeSummaryReport(types.SimpleNamespace(stream=stream))
        lines = stream.getvalue().splitlines()
        self.assertEqual(len(lines), PRINTED_COUNT)
        self.assertIn(f"t{2 * PRINTED_COUNT - 1}", lines[0])

    def test_a_test_is_measured(self):
        event = types.SimpleNamespace(test=types.SimpleNamespace(id=lambda: "t"))
        self.plugin.startTest(event)
        self.plugin.stopTest(event)
        self.assertGreaterEqual(self.plugin.durations_s["t"], 0.0)
