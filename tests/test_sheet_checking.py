"""Tests that each rule reports the row that breaks it, and reading of sheets."""

import unittest
from dataclasses import replace

from waxwinghold._errors import SheetError
from waxwinghold._sheet import (
    Kind,
    Repeat,
    VersionShare,
    check_sheet,
    problems,
    read_sheet,
    write_sheet,
)

from .sheet_builder import make_customer, make_sheet, make_target

SHEET = make_sheet()
FITTING, BOOKING = SHEET.services
MODEL = SHEET.models[0]
GROUP = SHEET.groups[0]
FIRST, SECOND, DESK = SHEET.targets
SHOP, TOUR = SHEET.customers


def with_row(table, row, **changes):
    """Return the valid sheet with one row of ``table`` changed."""
    rows = getattr(SHEET, table)
    changed = tuple(replace(item, **changes) if item is row else item for item in rows)
    return replace(SHEET, **{table: changed})


def fitting(**changes):
    return with_row("services", FITTING, **changes)


def booking(**changes):
    return with_row("services", BOOKING, **changes)


def target(row, **changes):
    return with_row("targets", row, **changes)


def shop(**changes):
    return with_row("customers", SHOP, **changes)


def without(*rows):
    return replace(SHEET, targets=tuple(t for t in SHEET.targets if t not in rows))


def shares(version, share_percent):
    return (VersionShare(version=version, share_percent=share_percent),)


CALL = FITTING.calls[0]
NO_TIME = (replace(CALL, deadline_ms=0),)

# Maps the table, row and part of the reason that must be reported to the sheet.
INVALID_SHEETS = {
    "(sheet) 0: version must": replace(SHEET, version=0),
    f"(sheet) {2**64}: version must": replace(SHEET, version=2**64),
    "customers tour-desk: the name occurs twice": shop(name=TOUR.name),
    "customers a/b: letters": shop(name="a/b"),
    "services fitting: add up to 50": fitting(versions=shares("v1", 50)),
    'services fitting: model "none" does not exist': fitting(model="none"),
    'services fitting: version "v9" of model "sizer" does not exist': fitting(
        versions=shares("v9", 100)
    ),
    "services booking: is plain": booking(model="sizer"),
    "services booking: cannot be streamed": booking(calls=(CALL,)),
    "services fitting: has no calls": fitting(calls=()),
    'services fitting: "deadline_ms": must be above 0': fitting(calls=NO_TIME),
    "services booking: has a share but no target": without(DESK),
    "groups fitting-a: rank 1 belongs to 0": without(SECOND),
    "groups fitting-a: rank 0 belongs to 2": target(SECOND, ranks=(0, 1)),
    "targets fitting-1: rank 7 is outside": target(SECOND, ranks=(1, 7)),
    'groups fitting-a: "ranks_count"': with_row("groups", GROUP, ranks_count=2**52),
    "groups fitting-a: different versions: v1, v2": target(
        SECOND, version="v2", adapters=()
    ),
    "groups fitting-a: no model with experts": with_row(
        "models", MODEL, experts_count=0
    ),
    'targets booking-1: service "none" does not exist': target(DESK, service="none"),
    'targets booking-1: version "r2" of service "booking" does not exist': target(
        DESK, version="r2"
    ),
    'targets fitting-1: group "none" does not exist': target(SECOND, group="none"),
    'targets fitting-0: adapter "x"': target(FIRST, adapters=("x",)),
    "targets fitting-0: is not tcp://IP:PORT": target(
        FIRST, agent_address="tcp://host:1"
    ),
    'targets fitting-1: is also that of "fitting-0"': target(
        SECOND, agent_address=FIRST.agent_address
    ),
    "targets fitting-0: 40 characters of Z85": target(FIRST, agent_public_key="abc"),
    'customers lautoka-sports: "share": must be above 0': shop(share=0.0),
    'customers lautoka-sports: "share": the number is too large': shop(
        share=float("inf")
    ),
    "customers lautoka-sports: 64 lower-case": shop(token_sha256="secret"),
    'customers tour-desk: is also that of "lautoka-sports"': shop(
        token_sha256=TOUR.token_sha256
    ),
    'customers lautoka-sports: service "none" does not exist': shop(services=("none",)),
    'customers lautoka-sports: version "v2" of service "fitting" has no target': shop(
        versions={"fitting": "v2"}
    ),
    "customers lautoka-sports: which it may not use": shop(versions={"booking": "r1"}),
}


class RuleTests(unittest.TestCase):
    def test_a_valid_sheet_has_no_problems(self):
        self.assertEqual(problems(SHEET), ())
        check_sheet(SHEET)

    def test_each_invalid_sheet_is_rejected_with_row_and_reason(self):
        for expected, sheet in INVALID_SHEETS.items():
            row_label, _, reason = expected.partition(": ")
            reasons = [
                error.reason
                for error in problems(sheet)
                if f"{error.table} {error.row}" == row_label
            ]
            self.assertIn(reason, " ".join(reasons))
            self.assertRaises(SheetError, check_sheet, sheet)

    def test_references_of_rows_of_a_valid_sheet_are_checked_again(self):
        self.assertTrue(problems(without(DESK), valid=SHEET))
        self.assertTrue(problems(shop(share=0.0), valid=SHEET))
        self.assertEqual(problems(shop(share=2.0), valid=SHEET), ())


class ReadingTests(unittest.TestCase):
    def test_a_written_sheet_is_read_back_unchanged(self):
        self.assertEqual(
            write_sheet(read_sheet(write_sheet(SHEET))), write_sheet(SHEET)
        )

    def test_comments_are_accepted_only_if_enabled(self):
        text = b"// by the planner\n" + write_sheet(SHEET)
        self.assertEqual(read_sheet(text).version, 1)
        with self.assertRaises(SheetError):
            read_sheet(text, with_comments=False)

    def test_the_error_for_a_wrong_type_has_table_row_and_column(self):
        text = write_sheet(SHEET).replace(
            b'"share_percent":100.0', b'"share_percent":"x"'
        )
        with self.assertRaises(SheetError) as caught:
            read_sheet(text)
        self.assertEqual(caught.exception.table, "services")
        self.assertEqual(caught.exception.row, "booking")
        self.assertIn("versions[0].share_percent", caught.exception.reason)

    def test_an_unknown_column_is_rejected(self):
        text = write_sheet(SHEET).replace(b'"ranks_count"', b'"rank_count"')
        with self.assertRaises(SheetError) as caught:
            read_sheet(text)
        self.assertIn("rank_count", str(caught.exception))

    def test_a_document_that_is_not_a_sheet_is_rejected(self):
        for text in (b"", b"[]", b"{", b"\xff", b"1", b"[" * 100_000, b'{"version":1}'):
            with self.assertRaises(SheetError, msg=text[:20]):
                read_sheet(text, with_comments=False)

    def test_row_order_does_not_matter(self):
        reordered = replace(
            SHEET, customers=SHEET.customers[::-1], targets=SHEET.targets[::-1]
        )
        self.assertEqual(write_sheet(reordered), write_sheet(SHEET))


class AllowedSheetTests(unittest.TestCase):
    def test_once_only_calls_and_versions_of_customers_are_allowed(self):
        v2_target = make_target(5, version="v2", group="", ranks=(), adapters=())
        customer = make_customer("trial", versions={"fitting": "v2"})
        shares = FITTING.versions + (VersionShare(version="v2", share_percent=0),)
        sheet = replace(
            SHEET,
            services=(replace(FITTING, versions=shares), BOOKING),
            targets=SHEET.targets + (v2_target,),
            customers=(SHOP, customer),
        )
        self.assertEqual(problems(sheet), ())
        self.assertIs(BOOKING.kind, Kind.PLAIN)
        self.assertIs(BOOKING.calls[0].repeat, Repeat.ONCE)
