"""A nose2 plugin that prints the tests that took longest."""

import time

from nose2 import events

PRINTED_COUNT = 12


class SlowTests(events.Plugin):
    """Measures each test by the wall clock, with its set-up and tear-down."""

    configSection = "slow-tests"

    def __init__(self):
        self._started_s = None
        self.durations_s = {}

    def startTest(self, event):
        """Record when a test starts."""
        self._started_s = time.monotonic()

    def stopTest(self, event):
        """Record how long it took."""
        if self._started_s is not None:
            self.durations_s[event.test.id()] = time.monotonic() - self._started_s

    def beforeSummaryReport(self, event):
        """Print the slowest tests and how long they took."""
        slowest = sorted(self.durations_s, key=self.durations_s.get, reverse=True)
        for name in slowest[:PRINTED_COUNT]:
            event.stream.writeln(f"slow: {self.durations_s[name]:.1f} s {name}")
