"""Overload at twice the capacity, and the retries after it."""

import unittest

from waxwinghold_bench.overload import (
    OVERLOAD_END_MS,
    OVERLOAD_START_MS,
    PRODUCT,
    Overload,
)

WAIT_P95_LIMIT_MS = 2500.0


class OverloadTests(unittest.TestCase):
    def test_goodput_stays_high_and_no_second_overload_follows(self):
        result = Overload(handling=PRODUCT, seed=0).run()
        goodput = result.goodput_ratio(OVERLOAD_START_MS, OVERLOAD_END_MS)
        self.assertGreaterEqual(goodput, 0.9)
        waits_ms = [result.wait_p95_ms(second) for second in range(60, 89)]
        self.assertLess(max(waits_ms), WAIT_P95_LIMIT_MS)
