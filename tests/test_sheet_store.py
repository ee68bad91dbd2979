"""Tests that the version in force never decreases, for any sequence of offers."""

import unittest
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from waxwinghold._sheet import sheet_digest, write_sheet

from .sheet_builder import make_customer, make_sheet, make_store

DERANDOMIZED = settings(derandomize=True, deadline=None, max_examples=200)

# Version, content and validity of each offered sheet.
OFFERS = st.lists(
    st.tuples(st.integers(1, 5), st.sampled_from("ab"), st.booleans()), max_size=12
)


def published(version, content, valid):
    customers = (make_customer(f"customer-{content}"),)
    sheet = make_sheet(version, customers=customers)
    return sheet if valid else replace(sheet, targets=())


def expected_in_force(offers):
    """Return the expected version and content, as a simple reference model."""
    current = None
    for version, content, valid in offers:
        if valid and (current is None or version > current[0]):
            current = (version, content)
    return current


class StoreTests(unittest.TestCase):
    @DERANDOMIZED
    @given(offers=OFFERS)
    def test_it_keeps_the_first_valid_sheet_of_the_highest_version(self, offers):
        store, _ = make_store()
        last_version = 0
        for offers_count, offer in enumerate(offers, start=1):
            previous_digest = store.digest
            accepted = store.offer(published(*offer), "platform")
            self.assertEqual(accepted, store.digest != previous_digest)
            self.assertGreaterEqual(store.version, last_version)
            last_version = store.version
            expected = expected_in_force(offers[:offers_count])
            expected_digest = None
            if expected is not None:
                expected_digest = sheet_digest(published(*expected, True))
            self.assertEqual(store.digest or None, expected_digest)

    def test_other_content_of_the_same_version_is_rejected_and_audited_once(self):
        store, audit = make_store()
        store.offer(published(3, "a", True), "platform")
        for _ in range(3):
            self.assertFalse(store.offer(published(3, "b", True), "platform"))
        self.assertEqual(store.digest, sheet_digest(published(3, "a", True)))
        self.assertEqual(store.last_error.code, "sheet_conflict")
        rejected = [entry for entry in audit.since(0) if "refused" in entry.what]
        self.assertEqual([entry.what for entry in rejected], ["sheet_conflict.refused"])
        self.assertTrue(store.offer(published(4, "b", True), "platform"))
        self.assertIsNone(store.last_error)

    def test_an_invalid_sheet_is_audited_with_its_row_and_the_old_one_stays(self):
        store, audit = make_store()
        store.offer(make_sheet(1), "platform")
        self.assertFalse(store.offer(make_sheet(2, targets=()), "platform"))
        self.assertFalse(store.offer_document(b'{"version": 3', "platform"))
        self.assertEqual(store.version, 1)
        reasons = [entry.reason for entry in audit.since(0)][1:]
        self.assertIn('row "fitting-a" of table "groups"', reasons[0])
        self.assertIn("not JSON", reasons[1])
        self.assertTrue(store.offer_document(write_sheet(make_sheet(2)), "platform"))

    def test_other_listeners_are_called_if_one_fails(self):
        store, _ = make_store()
        changes = []
        store.listen(lambda old, new: 1 / 0)
        store.listen(lambda old, new: changes.append((old, new.version)))
        self.assertTrue(store.offer(make_sheet(1), "platform"))
        self.assertEqual(changes, [(None, 1)])

    def test_unchanged_rows_are_shared_and_old_versions_dropped(self):
        store, _ = make_store()
        for version in range(1, 20):
            store.offer_document(write_sheet(make_sheet(version)), "platform")
        previous = store.find(version=18, digest=sheet_digest(make_sheet(18)))
        self.assertIs(previous.targets[0], store.current.targets[0])
        first_digest = sheet_digest(make_sheet(1))
        self.assertIsNone(store.find(version=1, digest=first_digest))

    def test_the_audit_trail_is_bounded_and_filtered_by_time(self):
        store, audit = make_store()
        for version in range(1, 200):
            store.offer(make_sheet(version), "platform")
        self.assertEqual(len(audit), 100)
        self.assertEqual(len(audit.since(0)), 100)
        self.assertEqual(audit.since(2000), ())
