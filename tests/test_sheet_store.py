"""The sheet in force never reverts, whatever is offered in whatever order."""

import unittest
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from waxwinghold._sheet import sheet_digest, write_sheet

from .sheet_builder import make_customer, make_sheet, make_store

DERANDOMISED = settings(derandomize=True, deadline=None, max_examples=200)

# Version, content and validity of one published sheet.
OFFERS = st.lists(
    st.tuples(st.integers(1, 5), st.sampled_from("ab"), st.booleans()), max_size=12
)


def published(version, content, valid):
    customers = (make_customer(f"customer-{content}"),)
    sheet = make_sheet(version, customers=customers)
    return sheet if valid else replace(sheet, targets=())


def expected_in_force(offers):
    """The naive rule, written down a second time for the comparison."""
    held = None
    for version, content, valid in offers:
        if valid and (held is None or version > held[0]):
            held = (version, content)
    return held


class StoreTests(unittest.TestCase):
    @DERANDOMISED
    @given(offers=OFFERS)
    def test_it_holds_the_first_valid_sheet_of_the_highest_version(self, offers):
        store, _ = make_store()
        last_version = 0
        for done, offer in enumerate(offers, start=1):
            before = store.digest
            taken = store.offer(published(*offer), "platform")
            self.assertEqual(taken, store.digest != before)
            self.assertGreaterEqual(store.version, last_version)
            last_version = store.version
            held = expected_in_force(offers[:done])
            found = None
            if held is not None:
                found = sheet_digest(published(*held, True))
            self.assertEqual(store.digest or None, found)

    def test_two_contents_under_one_version_are_refused_and_audited_once(self):
        store, audit = make_store()
        store.offer(published(3, "a", True), "platform")
        for _ in range(3):
            self.assertFalse(store.offer(published(3, "b", True), "platform"))
        self.assertEqual(store.digest, sheet_digest(published(3, "a", True)))
        self.assertEqual(store.last_error.code, "sheet_conflict")
        refused = [item for item in audit.since(0) if "refused" in item.what]
        self.assertEqual([item.what for item in refused], ["sheet_conflict.refused"])
        self.assertTrue(store.offer(published(4, "b", True), "platform"))
        self.assertIsNone(store.last_error)

    def test_an_invalid_sheet_leaves_the_last_good_one_and_names_the_row(self):
        store, audit = make_store()
        store.offer(make_sheet(1), "platform")
        self.assertFalse(store.offer(make_sheet(2, targets=()), "platform"))
        self.assertFalse(store.offer_document(b'{"version": 3', "platform"))
        self.assertEqual(store.version, 1)
        reasons = [item.reason for item in audit.since(0)][1:]
        self.assertIn('row "fitting-a" of table "groups"', reasons[0])
        self.assertIn("not JSON", reasons[1])
        self.assertTrue(store.offer_document(write_sheet(make_sheet(2)), "platform"))

    def test_a_failing_listener_does_not_keep_the_others_from_hearing(self):
        store, _ = make_store()
        heard = []
        store.listen(lambda old, new: 1 / 0)
        store.listen(lambda old, new: heard.append((old, new.version)))
        self.assertTrue(store.offer(make_sheet(1), "platform"))
        self.assertEqual(heard, [(None, 1)])

    def test_unchanged_rows_are_shared_and_old_versions_dropped(self):
        store, _ = make_store()
        for version in range(1, 20):
            store.offer_document(write_sheet(make_sheet(version)), "platform")
        kept = store.find(version=18, digest=sheet_digest(make_sheet(18)))
        self.assertIs(kept.targets[0], store.current.targets[0])
        first = sheet_digest(make_sheet(1))
        self.assertIsNone(store.find(version=1, digest=first))

    def test_the_audit_trail_is_bounded_and_asked_by_time(self):
        store, audit = make_store()
        for version in range(1, 200):
            store.offer(make_sheet(version), "platform")
        self.assertEqual(len(audit), 100)
        self.assertEqual(len(audit.since(0)), 100)
        self.assertEqual(audit.since(2000), ())
