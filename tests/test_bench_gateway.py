"""Tests that the measurement of a gateway's cost runs end to end."""

import contextlib
import io
import unittest

import logbook

from waxwinghold_bench.gateway_cost import KINDS, main


class GatewayCostTests(unittest.TestCase):
    def test_output_has_a_row_for_every_kind(self):
        handler = logbook.NullHandler()
        handler.push_application()
        self.addCleanup(handler.pop_application)
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            main(calls_count=3)
        rows = output.getvalue().splitlines()
        self.assertEqual({row.split()[0] for row in rows[1:4]}, set(KINDS))
