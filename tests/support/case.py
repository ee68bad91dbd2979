"""The base of tests that run a fleet."""

import unittest

import logbook

from .fleet import Fleet


class FleetCase(unittest.IsolatedAsyncioTestCase):
    """Starts fleets that end with the test."""

    async def start_fleet(self, **options):
        """Return a fleet that serves."""
        handler = logbook.NullHandler()
        handler.push_application()
        self.addCleanup(handler.pop_application)
        return await self.enterAsyncContext(Fleet(**options).running())

    def assert_answered(self, outcome):
        """Fail unless the caller holds a whole answer."""
        self.assertTrue(outcome.ok, f"{outcome.status} {outcome.code} {outcome.ran}")
