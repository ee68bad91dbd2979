"""Tests that a delta turns one sheet into another, or is rejected."""

import unittest
import zlib
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from waxwinghold._sheet import (
    DeltaError,
    apply_delta,
    make_delta,
    sheet_digest,
    write_sheet,
)

from .sheet_builder import make_customer, make_sheet, make_target

CUSTOMERS = st.dictionaries(
    st.sampled_from("abcdef"), st.floats(0.5, 4.0), max_size=6
).map(lambda shares: tuple(make_customer(name, share=s) for name, s in shares.items()))
TARGETS = st.dictionaries(
    st.integers(0, 6), st.sampled_from(["v1", "v2"]), max_size=6
).map(lambda rows: tuple(make_target(n, version=v) for n, v in rows.items()))
SHEETS = st.builds(make_sheet, st.integers(1, 99), customers=CUSTOMERS, targets=TARGETS)


class DeltaTests(unittest.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(old=SHEETS, new=SHEETS)
    def test_a_delta_turns_any_sheet_into_any_other(self, old, new):
        result = apply_delta(old, make_delta(old, new), digest=sheet_digest(new))
        self.assertEqual(write_sheet(result), write_sheet(new))

    def test_a_delta_on_the_wrong_base_is_rejected(self):
        old = make_sheet(1)
        new = replace(old, version=2, customers=old.customers[:1])
        wrong_base = replace(old, customers=(make_customer("x"), *old.customers))
        with self.assertRaises(DeltaError):
            apply_delta(wrong_base, make_delta(old, new), digest=sheet_digest(new))

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(data=st.binary(max_size=60), compressed=st.booleans())
    def test_random_bytes_are_rejected(self, data, compressed):
        patch = zlib.compress(data) if compressed else data
        with self.assertRaises(DeltaError):
            apply_delta(make_sheet(1), patch, digest=sheet_digest(make_sheet(2)))

    def test_a_patch_that_decompresses_past_the_limit_is_rejected(self):
        bomb = zlib.compress(b"\x00" * (64 * 1024 * 1024))
        with self.assertRaisesRegex(DeltaError, "larger than"):
            apply_delta(make_sheet(1), bomb, digest="")
