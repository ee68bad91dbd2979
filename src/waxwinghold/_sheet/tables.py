"""Access to the sheet's tables, and rows as dictionaries without default values."""

import dataclasses
import enum
import functools
import hashlib
import typing

import msgspec

from .model import Sheet


def _row_types():
    hints = typing.get_type_hints(Sheet)
    arguments = {name: typing.get_args(hint) for name, hint in hints.items()}
    return {name: inner[0] for name, inner in arguments.items() if inner}


DIGEST_ATTRIBUTE = "_digest"

# Maps the name of each table to the class of its rows.
ROW_TYPES = _row_types()


def sorted_rows(sheet, table):
    """Return the rows of ``table`` sorted by name; the row order has no meaning."""
    return sorted(getattr(sheet, table), key=lambda row: row.name)


def rows_by_name(sheet, table):
    """Return the rows of ``table`` keyed by name."""
    return {row.name: row for row in getattr(sheet, table)}


def same_row(left, right):
    """Return whether two rows are equal.

    Most rows of successive sheets are the same object, so identity is compared
    first.
    """
    return left is right or left == right


def row_document(row):
    """Return ``row`` as a dictionary without default values.

    Without defaults, two releases compute the same digest even if only one of
    them has a column that the sheet does not use.
    """
    document = {}
    for name, default, is_float in _columns(type(row)):
        value = getattr(row, name)
        if value != default:
            # JSON distinguishes 1 from 1.0, and rows built in code may have either.
            document[name] = float(value) if is_float else _plain(value)
    return document


def sheet_document(sheet):
    """Return ``sheet`` as a dictionary with rows sorted by name."""
    document = {"version": sheet.version, "issued_by": sheet.issued_by}
    for table in ROW_TYPES:
        document[table] = [row_document(row) for row in sorted_rows(sheet, table)]
    return document


def row_digest(row):
    """Return the SHA-256 of the row's canonical JSON.

    Rows are frozen and shared between sheets, so the digest is cached in the
    row. If one row of a sheet changes, only that row is hashed again.
    """
    digest = vars(row).get(DIGEST_ATTRIBUTE)
    if digest is None:
        document = msgspec.json.encode(row_document(row), order="sorted")
        digest = hashlib.sha256(document).digest()
        vars(row)[DIGEST_ATTRIBUTE] = digest
    return digest


@functools.cache
def _columns(row_type):
    hints = typing.get_type_hints(row_type)
    return tuple(
        (field.name, field.default, hints[field.name] is float)
        for field in dataclasses.fields(row_type)
    )


def _plain(value):
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, tuple):
        return [_plain(inner) for inner in value]
    if isinstance(value, (str, int)):
        return value
    return row_document(value) if dataclasses.is_dataclass(value) else value
