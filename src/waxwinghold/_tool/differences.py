"""Differences between two sheets, column by column."""

from dataclasses import dataclass

import msgspec

from .._sheet.delta import changed_rows, removed_names
from .._sheet.tables import ROW_TYPES, row_document, rows_by_name


@dataclass(frozen=True, kw_only=True)
class Difference:
    """One row that was added or removed, or one column that changed.

    Args:
        table: The table's name; "(sheet)" for the sheet's own columns.
        row: The row's name; empty for the sheet's own columns.
        change: ``added``, ``removed`` or ``changed``.
        column: The changed column; empty for an added or removed row.
        before: The old value as JSON; empty if it is the default.
        after: The new value as JSON; empty if it is the default.
    """

    table: str
    row: str
    change: str
    column: str = ""
    before: str = ""
    after: str = ""


def differences(old, new):
    """Return the ``Difference`` objects between two sheets, by table and row."""
    changes = []
    for column in ("version", "issued_by"):
        before, after = getattr(old, column), getattr(new, column)
        if before != after:
            changes.append(_changed("(sheet)", "", column, before, after))
    for table in ROW_TYPES:
        changes.extend(_table_differences(old, new, table))
    return changes


def _table_differences(old, new, table):
    rows = rows_by_name(old, table)
    for name in removed_names(old, new, table):
        yield Difference(table=table, row=name, change="removed")
    for row in changed_rows(old, new, table):
        if row.name not in rows:
            yield Difference(table=table, row=row.name, change="added")
            continue
        before, after = row_document(rows[row.name]), row_document(row)
        for column in sorted(before.keys() | after.keys()):
            values = before.get(column), after.get(column)
            if values[0] != values[1]:
                yield _changed(table, row.name, column, *values)


def _changed(table, row, column, before, after):
    return Difference(
        table=table,
        row=row,
        change="changed",
        column=column,
        before=_json_text(before),
        after=_json_text(after),
    )


def _json_text(value):
    return "" if value is None else msgspec.json.encode(value).decode()
