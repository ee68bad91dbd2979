"""Deltas between two sheets, row by row."""

import msgspec

from .._convert import ConversionError, convert
from .._errors import WaxwingError
from .compression import BrokenDocumentError, compress, decompress
from .model import Sheet
from .reading import sheet_digest
from .tables import ROW_TYPES, row_document, rows_by_name, same_row, sorted_rows


class DeltaError(WaxwingError):
    """A delta that cannot be decoded, or whose result has the wrong digest."""

    code = "sheet_delta"


class _Patch(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    version: int
    issued_by: str
    changed: dict[str, list[dict]]
    removed: dict[str, list[str]]


_decoder = msgspec.msgpack.Decoder(_Patch)


def make_delta(old, new):
    """Return the compressed delta that turns sheet ``old`` into ``new``."""
    changed = {table: changed_rows(old, new, table) for table in ROW_TYPES}
    removed = {table: removed_names(old, new, table) for table in ROW_TYPES}
    patch = _Patch(
        version=new.version,
        issued_by=new.issued_by,
        changed={
            table: [row_document(row) for row in rows]
            for table, rows in changed.items()
            if rows
        },
        removed={table: names for table, names in removed.items() if names},
    )
    return compress(msgspec.msgpack.encode(patch))


def apply_delta(old, patch, *, digest):
    """Apply a delta to ``old`` and return the new sheet, rows sorted by name.

    Args:
        old: The sheet that the delta was made from.
        patch: The delta, as returned by ``make_delta``.
        digest: The digest that the new sheet must have.

    Raises:
        DeltaError: The delta cannot be decoded, or the new sheet has another
            digest.
    """
    try:
        decoded = _decoder.decode(decompress(patch))
        tables = {table: _patched_table(old, decoded, table) for table in ROW_TYPES}
    except (
        BrokenDocumentError,
        ConversionError,
        msgspec.DecodeError,
        RecursionError,
    ) as error:
        raise DeltaError(f"the delta cannot be decoded: {error}") from error
    new = Sheet(version=decoded.version, issued_by=decoded.issued_by, **tables)
    new_digest = sheet_digest(new)
    if new_digest != digest:
        raise DeltaError(f"the delta results in digest {new_digest}, not in {digest}")
    return new


def changed_rows(old, new, table):
    """Return the added and changed rows of ``table``, sorted by name."""
    before = rows_by_name(old, table)
    return [
        row
        for row in sorted_rows(new, table)
        if not same_row(before.get(row.name), row)
    ]


def removed_names(old, new, table):
    """Return the names of the removed rows of ``table``, sorted."""
    after = rows_by_name(new, table)
    return [row.name for row in sorted_rows(old, table) if row.name not in after]


def _patched_table(old, patch, table):
    rows = rows_by_name(old, table)
    for name in patch.removed.get(table, ()):
        rows.pop(name, None)
    for document in patch.changed.get(table, ()):
        row = convert(document, ROW_TYPES[table])
        rows[row.name] = row
    return tuple(rows[name] for name in sorted(rows))
