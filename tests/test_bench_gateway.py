"""The measurement of a gateway's cost runs end to end."""

import contextlib
import io
import unittest

import logbook

from waxwinghold_bench.gateway_cost import KINDS, main


class GatewayCostTests(unittest.TestCase):
    def test_every_kind_gets_a_row(self):
        handler = logbook.NullHandler()
        handler.push_application()
        self.addCleanup(handler.pop_application)
        printed = io.StringIO()
        with contextlib.redirect_stdout(printed):
            main(calls_count=3)
        rows = printed.getvalue().splitlines()
        self.assertEqual({row.split()[0] for row in rows[1:4]}, set(KINDS))
