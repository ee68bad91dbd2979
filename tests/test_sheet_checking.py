"""Each rule of the sheet refuses the row that breaks it, and names it."""

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


def with_services(*rows):
    return replace(SHEET, services=rows)


def with_targets(*rows):
    return replace(SHEET, targets=rows)


def with_customer(**changes):
    return replace(SHEET, customers=(replace(SHOP, **changes), TOUR))


HALF = (VersionShare(version="v1", share_percent=50),)
CALL = FITTING.calls[0]

# What is broken: the sheet, then the table, row and reason that must be named.
BROKEN = {
    "version 0": (replace(SHEET, version=0), "(sheet)", "0", "version must"),
    "huge version": (
        replace(SHEET, version=2**64),
        "(sheet)",
        str(2**64),
        "version must",
    ),
    "same name": (
        replace(SHEET, customers=(SHOP, replace(TOUR, name=SHOP.name))),
        "customers",
        "lautoka-sports",
        "occurs twice",
    ),
    "odd name": (
        with_customer(name="a b"),
        "customers",
        "a b",
        "letters",
    ),
    "shares": (
        with_services(replace(FITTING, versions=HALF), BOOKING),
        "services",
        "fitting",
        "add up to 50",
    ),
    "no model": (
        with_services(replace(FITTING, model="none"), BOOKING),
        "services",
        "fitting",
        'model "none" does not exist',
    ),
    "no model version": (
        with_services(
            replace(FITTING, versions=(VersionShare(version="v9", share_percent=100),)),
            BOOKING,
        ),
        "services",
        "fitting",
        'version "v9" of model "sizer" does not exist',
    ),
    "plain with model": (
        with_services(FITTING, replace(BOOKING, model="sizer")),
        "services",
        "booking",
        "is plain",
    ),
    "plain streams": (
        with_services(FITTING, replace(BOOKING, calls=(replace(CALL, streamed=True),))),
        "services",
        "booking",
        "cannot be streamed",
    ),
    "no calls": (
        with_services(replace(FITTING, calls=()), BOOKING),
        "services",
        "fitting",
        "has no calls",
    ),
    "endless deadline": (
        with_services(replace(FITTING, calls=(replace(CALL, deadline_ms=0),)), BOOKING),
        "services",
        "fitting",
        'column "deadline_ms": must be above 0',
    ),
    "share without target": (
        with_targets(FIRST, SECOND),
        "services",
        "booking",
        "has a share but no target",
    ),
    "rank missing": (
        with_targets(FIRST, DESK),
        "groups",
        "fitting-a",
        "rank 1 is held by 0",
    ),
    "rank twice": (
        with_targets(FIRST, replace(SECOND, ranks=(0, 1)), DESK),
        "groups",
        "fitting-a",
        "rank 0 is held by 2",
    ),
    "rank outside": (
        with_targets(FIRST, replace(SECOND, ranks=(1, 7)), DESK),
        "targets",
        "fitting-1",
        "rank 7 is outside",
    ),
    "endless ranks": (
        replace(SHEET, groups=(replace(GROUP, ranks_count=2**52),)),
        "groups",
        "fitting-a",
        'column "ranks_count"',
    ),
    "mixed versions": (
        with_targets(FIRST, replace(SECOND, version="v2", adapters=()), DESK),
        "groups",
        "fitting-a",
        "different versions: v1, v2",
    ),
    "dense group": (
        replace(SHEET, models=(replace(MODEL, experts_count=0),)),
        "groups",
        "fitting-a",
        "no model with experts",
    ),
    "unknown service": (
        with_targets(FIRST, SECOND, replace(DESK, service="none")),
        "targets",
        "booking-1",
        'service "none" does not exist',
    ),
    "unknown version": (
        with_targets(FIRST, SECOND, replace(DESK, version="r2")),
        "targets",
        "booking-1",
        'version "r2" of service "booking" does not exist',
    ),
    "unknown group": (
        with_targets(FIRST, replace(SECOND, group="none"), DESK),
        "targets",
        "fitting-1",
        'group "none" does not exist',
    ),
    "unknown adapter": (
        with_targets(replace(FIRST, adapters=("x",)), SECOND, DESK),
        "targets",
        "fitting-0",
        'adapter "x"',
    ),
    "name as address": (
        with_targets(replace(FIRST, agent_address="tcp://host:1"), SECOND, DESK),
        "targets",
        "fitting-0",
        "is not tcp://IP:PORT",
    ),
    "address twice": (
        with_targets(FIRST, replace(SECOND, agent_address=FIRST.agent_address), DESK),
        "targets",
        "fitting-1",
        'is that of "fitting-0" too',
    ),
    "short key": (
        with_targets(replace(FIRST, agent_public_key="abc"), SECOND, DESK),
        "targets",
        "fitting-0",
        "40 characters of Z85",
    ),
    "share 0": (
        with_customer(share=0.0),
        "customers",
        "lautoka-sports",
        'column "share": must be above 0',
    ),
    "endless share": (
        with_customer(share=float("inf")),
        "customers",
        "lautoka-sports",
        'column "share": the number is too large',
    ),
    "token": (
        with_customer(token_sha256="secret"),
        "customers",
        "lautoka-sports",
        "64 lower-case",
    ),
    "token twice": (
        with_customer(token_sha256=TOUR.token_sha256),
        "customers",
        "tour-desk",
        'is that of "lautoka-sports" too',
    ),
    "customer's service": (
        with_customer(services=("none",)),
        "customers",
        "lautoka-sports",
        'service "none" does not exist',
    ),
    "customer's version": (
        with_customer(versions={"fitting": "v2"}),
        "customers",
        "lautoka-sports",
        'version "v2" of service "fitting" has no target',
    ),
    "version not allowed": (
        with_customer(versions={"booking": "r1"}),
        "customers",
        "lautoka-sports",
        "which it may not use",
    ),
}


class RuleTests(unittest.TestCase):
    def test_the_sound_sheet_has_no_problems(self):
        self.assertEqual(problems(SHEET), ())
        check_sheet(SHEET)

    def test_each_broken_sheet_is_refused_with_row_and_reason(self):
        for name, (sheet, table, row, reason) in BROKEN.items():
            found = [
                error.reason
                for error in problems(sheet)
                if (error.table, error.row) == (table, row)
            ]
            self.assertIn(reason, " ".join(found), name)
            self.assertRaises(SheetError, check_sheet, sheet)


class ReadingTests(unittest.TestCase):
    def test_what_is_written_is_read_again(self):
        self.assertEqual(
            write_sheet(read_sheet(write_sheet(SHEET))), write_sheet(SHEET)
        )

    def test_comments_are_read_from_files_only(self):
        text = b"// by the planner\n" + write_sheet(SHEET)
        self.assertEqual(read_sheet(text).version, 1)
        with self.assertRaises(SheetError):
            read_sheet(text, with_comments=False)

    def test_a_wrong_value_names_table_row_and_column(self):
        text = write_sheet(SHEET).replace(
            b'"share_percent":100.0', b'"share_percent":"x"'
        )
        with self.assertRaises(SheetError) as caught:
            read_sheet(text)
        self.assertEqual(caught.exception.table, "services")
        self.assertEqual(caught.exception.row, "booking")
        self.assertIn("versions[0].share_percent", caught.exception.reason)

    def test_an_unknown_column_is_refused(self):
        text = write_sheet(SHEET).replace(b'"ranks_count"', b'"rank_count"')
        with self.assertRaises(SheetError) as caught:
            read_sheet(text)
        self.assertIn("rank_count", str(caught.exception))

    def test_what_is_no_sheet_is_refused(self):
        for text in (b"", b"[]", b"{", b"\xff", b"1", b"[" * 100_000, b'{"version":1}'):
            with self.assertRaises(SheetError, msg=text[:20]):
                read_sheet(text, with_comments=False)

    def test_row_order_does_not_matter(self):
        turned = replace(
            SHEET, customers=SHEET.customers[::-1], targets=SHEET.targets[::-1]
        )
        self.assertEqual(write_sheet(turned), write_sheet(SHEET))


class LenienceTests(unittest.TestCase):
    def test_once_only_calls_and_chosen_versions_are_allowed(self):
        held = make_target(5, version="v2", group="", ranks=(), adapters=())
        customer = make_customer("trial", versions={"fitting": "v2"})
        shares = FITTING.versions + (VersionShare(version="v2", share_percent=0),)
        sheet = replace(
            SHEET,
            services=(replace(FITTING, versions=shares), BOOKING),
            targets=SHEET.targets + (held,),
            customers=(SHOP, customer),
        )
        self.assertEqual(problems(sheet), ())
        self.assertIs(BOOKING.kind, Kind.PLAIN)
        self.assertIs(BOOKING.calls[0].repeat, Repeat.ONCE)
