"""Tests of the decision which callers' connections are reset for their memory."""

import unittest

from waxwinghold._decisions.held_memory import (
    LIMIT_BYTES,
    MIB,
    Holder,
    holders_to_reset,
)

DAY_MS = 86_400_000.0


def holder(name, held_bytes, held_ms=0.0):
    return Holder(connection=name, held_bytes=held_bytes, held_ms=held_ms)


def reset_names(holders, limit_bytes=LIMIT_BYTES):
    return [
        holder.connection
        for holder in holders_to_reset(holders, limit_bytes=limit_bytes)
    ]


class HeldMemoryTests(unittest.TestCase):
    """A crowd of callers, each within the limits of a request, filled the memory."""

    def test_nobody_is_reset_within_the_limit(self):
        holders = [holder(number, 4 * MIB, DAY_MS) for number in range(8)]
        self.assertEqual(reset_names(holders), [])

    def test_ordinary_callers_stay_beside_a_crowd_that_reads_slowly(self):
        crowd = [holder(("slow", n), 4 * MIB, 5000.0) for n in range(120)]
        ordinary = [holder(("ordinary", n), 2000) for n in range(300)]
        names = reset_names(crowd + ordinary)
        self.assertEqual({kind for kind, _ in names}, {"slow"})
        self.assertEqual(len(names), 120 - 7)

    def test_a_fresh_long_answer_stays_beside_bodies_that_never_end(self):
        crowd = [holder(("body", n), 1 * MIB, 9000.0) for n in range(40)]
        names = reset_names([holder(("answer", 0), 8 * MIB, 200.0), *crowd])
        self.assertNotIn(("answer", 0), names)
        self.assertEqual(len(names), 40 - 24)

    def test_the_longest_held_of_equal_ones_is_reset_first(self):
        holders = [holder(n, 4 * MIB, 1000.0 * n) for n in range(10)]
        self.assertEqual(reset_names(holders), [9, 8])

    def test_a_single_caller_is_never_reset(self):
        self.assertEqual(reset_names([holder("one", 100 * MIB, DAY_MS)]), [])
        two = [holder("one", 100 * MIB, DAY_MS), holder("two", 100 * MIB)]
        self.assertEqual(reset_names(two), ["one"])
