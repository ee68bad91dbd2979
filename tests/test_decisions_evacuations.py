"""Replays evacuations of data centres, also by a store that comes back from a copy."""

import unittest

from waxwinghold._decisions.evacuations import (
    DATA_CENTRES_LIMIT_COUNT,
    RESTORED_LIMIT_MS,
    REVISIONS_LIMIT_COUNT,
    Evacuations,
)


class EvacuationTests(unittest.TestCase):
    def setUp(self):
        self.evacuations = Evacuations()

    def change(self, at_ms=0.0, **changes):
        return self.evacuations.record_changes(changes, now_ms=at_ms)

    def listed(self, at_ms=0.0, **listed):
        return self.evacuations.replace(listed, now_ms=at_ms)

    def names(self):
        return list(self.evacuations)

    def test_two_evacuations_at_once_end_one_by_one(self):
        self.assertEqual(self.change(a=5), ({"a"}, set()))
        self.assertEqual(self.change(b=6), ({"b"}, set()))
        self.assertEqual(self.names(), ["a", "b"])
        self.assertEqual(self.change(a=None), (set(), {"a"}))
        self.assertEqual(self.names(), ["b"])
        self.assertFalse(self.evacuations.has("a"))

    def test_a_key_that_is_written_again_begins_nothing(self):
        self.change(a=5)
        self.assertEqual(self.change(a=7), (set(), set()))

    def test_a_full_read_replaces_the_set(self):
        self.change(a=5, b=6)
        self.assertEqual(self.listed(b=6, c=9), ({"c"}, {"a"}))

    def test_an_evacuation_that_the_copy_lacks_holds_until_the_limit(self):
        self.change(a=5)
        self.evacuations.begin_era(now_ms=0.0)
        self.listed()
        self.assertEqual(self.names(), ["a"])
        self.evacuations.end_restore(now_ms=RESTORED_LIMIT_MS - 1)
        self.assertEqual(self.names(), ["a"])
        ended = self.evacuations.end_restore(now_ms=RESTORED_LIMIT_MS)
        self.assertEqual(ended, (set(), {"a"}))

    def test_an_evacuation_that_the_copy_lacks_ends_once_it_is_deleted_again(self):
        self.change(a=5)
        self.evacuations.begin_era(now_ms=0.0)
        self.listed()
        self.change(a=None)
        self.assertEqual(self.names(), [])

    def test_an_evacuation_that_had_ended_does_not_begin_again_with_the_copy(self):
        self.change(a=5)
        self.change(a=None)
        self.evacuations.begin_era(now_ms=0.0)
        self.listed(a=5)
        self.assertEqual(self.names(), [])
        self.change(a=8)
        self.assertEqual(self.names(), ["a"])

    def test_an_evacuation_written_before_the_first_read_of_the_era_counts(self):
        # No event tells of it: the watch begins after the read that lists it.
        self.change(a=5)
        self.change(a=None)
        self.evacuations.begin_era(now_ms=0.0)
        self.listed(a=7, b=8)
        self.assertEqual(self.names(), ["a", "b"])

    def test_after_the_limit_the_content_of_the_store_holds(self):
        self.change(a=5)
        self.change(a=None)
        self.evacuations.begin_era(now_ms=0.0)
        self.listed(a=5)
        self.evacuations.end_restore(now_ms=RESTORED_LIMIT_MS)
        self.assertEqual(self.names(), ["a"])

    def test_two_eras_in_a_row_keep_what_was_known(self):
        self.change(a=5)
        for now_ms in (0.0, 20_000.0):
            self.evacuations.begin_era(now_ms=now_ms)
            self.listed(at_ms=now_ms)
        self.evacuations.end_restore(now_ms=40_000.0)
        self.assertEqual(self.names(), ["a"])
        self.evacuations.end_restore(now_ms=20_000.0 + RESTORED_LIMIT_MS)
        self.assertEqual(self.names(), [])

    def test_ended_evacuations_are_remembered_in_bounded_space(self):
        for number in range(2 * DATA_CENTRES_LIMIT_COUNT):
            self.change(**{f"d{number}": number})
            self.change(**{f"d{number}": None})
        for number in range(2 * REVISIONS_LIMIT_COUNT):
            self.change(a=10_000 + number)
        revisions = self.evacuations._revisions
        self.assertEqual(len(revisions), DATA_CENTRES_LIMIT_COUNT)
        self.assertEqual(max(map(len, revisions.values())), REVISIONS_LIMIT_COUNT)
