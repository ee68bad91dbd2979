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
FIRST_TARGET, SECOND_TARGET, BOOKING_TARGET = SHEET.targets
FIRST_CUSTOMER, SECOND_CUSTOMER = SHEET.customers


def with_row(table, row, **changes):
    """Return the valid sheet with one row of ``table`` changed."""
    rows = getattr(SHEET, table)
    changed = tuple(replace(item, **changes) if item is row else item for item in rows)
    return replace(SHEET, **{table: changed})


def with_fitting(**changes):
    return with_row("services", FITTING, **changes)


def with_booking(**changes):
    return with_row("services", BOOKING, **changes)


def with_target(row, **changes):
    return with_row("targets", row, **changes)


def with_customer(**changes):
    return with_row("customers", FIRST_CUSTOMER, **changes)


def without_targets(*rows):
    return replace(SHEET, targets=tuple(t for t in SHEET.targets if t not in rows))


def shares(version, share_percent):
    return (VersionShare(version=version, share_percent=share_percent),)


CALL = FITTING.calls[0]
ZERO_DEADLINE = (replace(CALL, deadline_ms=0),)

# Invalid sheets by table, row and part of the reason of the expected error.
INVALID_SHEETS = {
    "(sheet) 0: version must": replace(SHEET, version=0),
    f"(sheet) {2**64}: version must": replace(SHEET, version=2**64),
    "customers tour-desk: the name occurs twice": with_customer(
        name=SECOND_CUSTOMER.name
    ),
    "customers a/b: letters": with_customer(name="a/b"),
    "services fitting: add up to 50": with_fitting(versions=shares("v1", 50)),
    'services fitting: model "none" does not exist': with_fitting(model="none"),
    'services fitting: version "v9" of model "sizer" does not exist': with_fitting(
        versions=shares("v9", 100)
    ),
    "services booking: is plain": with_booking(model="sizer"),
    "services booking: cannot be streamed": with_booking(calls=(CALL,)),
    "services fitting: has no calls": with_fitting(calls=()),
    'services fitting: "deadline_ms": must be above 0': with_fitting(
        calls=ZERO_DEADLINE
    ),
    "services booking: has a share but no target": without_targets(BOOKING_TARGET),
    "groups fitting-a: rank 1 belongs to 0": without_targets(SECOND_TARGET),
    "groups fitting-a: rank 0 belongs to 2": with_target(SECOND_TARGET, ranks=(0, 1)),
    "targets fitting-1: rank 7 is outside": with_target(SECOND_TARGET, ranks=(1, 7)),
    'groups fitting-a: "ranks_count"': with_row("groups", GROUP, ranks_count=2**52),
    "groups fitting-a: different versions: v1, v2": with_target(
        SECOND_TARGET, version="v2", adapters=()
    ),
    "groups fitting-a: no model with experts": with_row(
        "models", MODEL, experts_count=0
    ),
    'targets booking-1: service "none" does not exist': with_target(
        BOOKING_TARGET, service="none"
    ),
    'targets booking-1: version "r2" of service "booking" does not exist': with_target(
        BOOKING_TARGET, version="r2"
    ),
    'targets fitting-1: group "none" does not exist': with_target(
        SECOND_TARGET, group="none"
    ),
    'targets fitting-0: adapter "x"': with_target(FIRST_TARGET, adapters=("x",)),
    "targets fitting-0: is not tcp://IP:PORT": with_target(
        FIRST_TARGET, agent_address="tcp://host:1"
    ),
    'targets fitting-1: is also that of "fitting-0"': with_target(
        SECOND_TARGET, agent_address=FIRST_TARGET.agent_address
    ),
    "targets fitting-0: 40 characters of Z85": with_target(
        FIRST_TARGET, agent_public_key="abc"
    ),
    'customers lautoka-sports: "share": must be above 0': with_customer(share=0.0),
    'customers lautoka-sports: "share": the number is too large': with_customer(
        share=float("inf")
    ),
    "customers lautoka-sports: 64 lower-case": with_customer(token_sha256="secret"),
    'customers tour-desk: is also that of "lautoka-sports"': with_customer(
        token_sha256=SECOND_CUSTOMER.token_sha256
    ),
    'customers lautoka-sports: service "none" does not exist': with_customer(
        services=("none",)
    ),
    'customers lautoka-sports: version "v2" of service "fitting" has '
    "no target": with_customer(versions={"fitting": "v2"}),
    "customers lautoka-sports: which it may not use": with_customer(
        versions={"booking": "r1"}
    ),
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
        self.assertTrue(problems(without_targets(BOOKING_TARGET), valid=SHEET))
        self.assertTrue(problems(with_customer(share=0.0), valid=SHEET))
        self.assertEqual(problems(with_customer(share=2.0), valid=SHEET), ())


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
            customers=(FIRST_CUSTOMER, customer),
        )
        self.assertEqual(problems(sheet), ())
        self.assertIs(BOOKING.kind, Kind.PLAIN)
        self.assertIs(BOOKING.calls[0].repeat, Repeat.ONCE)
