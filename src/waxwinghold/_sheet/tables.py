"""The sheet's tables, and rows as plain documents without default values."""

import dataclasses
import enum
import functools
import typing

from .model import Sheet


def _row_types():
    hints = typing.get_type_hints(Sheet)
    arguments = {name: typing.get_args(hint) for name, hint in hints.items()}
    return {name: inner[0] for name, inner in arguments.items() if inner}


# Name of each table to the class of its rows.
ROW_TYPES = _row_types()


def sorted_rows(sheet, table):
    """Return the rows of ``table`` by name; their order carries no meaning."""
    return sorted(getattr(sheet, table), key=lambda row: row.name)


def rows_by_name(sheet, table):
    """Return the rows of ``table`` keyed by name."""
    return {row.name: row for row in getattr(sheet, table)}


def row_document(row):
    """Return ``row`` as a dictionary of its values that are not defaults.

    Leaving defaults out keeps the digest the same across processes of two
    releases, one of which knows a column that the sheet does not use.
    """
    document = {}
    for name, default, is_float in _columns(type(row)):
        value = getattr(row, name)
        if value != default:
            # JSON tells 1 from 1.0, and a row built in code may hold either.
            document[name] = float(value) if is_float else _plain(value)
    return document


def sheet_document(sheet):
    """Return ``sheet`` as a dictionary, rows sorted by name."""
    document = {"version": sheet.version, "issued_by": sheet.issued_by}
    for table in ROW_TYPES:
        document[table] = [row_document(row) for row in sorted_rows(sheet, table)]
    return document


@functools.cache
def _columns(row_type):
    hints = typing.get_type_hints(row_type)
    return tuple(
        (field.name, field.default, hints[field.name] is float)
        for field in dataclasses.fields(row_type)
    )


def _plain(value):
    if dataclasses.is_dataclass(value):
        return row_document(value)
    if isinstance(value, tuple):
        return [_plain(inner) for inner in value]
    if isinstance(value, enum.Enum):
        return value.value
    return value
