"""Functions that read and write sheets as JSON and compute their digests."""

import hashlib
import re
from pathlib import Path

import json5
import msgspec

from .._convert import ConversionError, convert
from .._errors import SheetError
from .model import Sheet
from .tables import ROW_TYPES, row_digest, sheet_document, sorted_rows

DIGEST_LENGTH = 16


def read_sheet(document, *, with_comments=True):
    """Parse a sheet from JSON, without checking its rules.

    Args:
        document: Bytes or text of JSON.
        with_comments: Whether to fall back to JSON with comments. Its parser is
            slow, so use it for files only, never for data from the network.

    Raises:
        SheetError: The document is not JSON, or a value has the wrong type.
    """
    decoded = _decode(document, with_comments=with_comments)
    if not isinstance(decoded, dict):
        raise SheetError(table="(sheet)", row="(top)", reason="expected an object")
    try:
        return convert(decoded, Sheet)
    except ConversionError as error:
        raise _sheet_error(error, decoded) from error


def read_sheet_file(path):
    """Parse the sheet in the file at ``path``, JSON with comments.

    Raises:
        SheetError: The file cannot be read, or it does not contain a sheet.
    """
    try:
        document = Path(path).read_bytes()
    except OSError as error:
        reason = f"file cannot be read ({error.strerror})"
        raise SheetError(table="(sheet)", row=str(path), reason=reason) from error
    return read_sheet(document)


def write_sheet(sheet):
    """Encode ``sheet`` as canonical JSON: equal sheets give equal bytes."""
    return msgspec.json.encode(sheet_document(sheet), order="sorted")


def sheet_digest(sheet):
    """Return a short hexadecimal digest that is independent of the row order."""
    head = msgspec.json.encode([sheet.version, sheet.issued_by])
    hasher = hashlib.sha256(head)
    for table in ROW_TYPES:
        hasher.update(table.encode())
        for row in sorted_rows(sheet, table):
            hasher.update(row_digest(row))
    return hasher.hexdigest()[:DIGEST_LENGTH]


def _decode(document, *, with_comments):
    try:
        return msgspec.json.decode(document)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        if not with_comments:
            reason = f"not JSON ({error})"
            raise SheetError(table="(sheet)", row="(top)", reason=reason) from error
    try:
        text = document if isinstance(document, str) else document.decode()
        return json5.loads(text)
    except (ValueError, RecursionError) as error:
        reason = f"not JSON with comments ({error})"
        raise SheetError(table="(sheet)", row="(top)", reason=reason) from error


def _sheet_error(error, decoded):
    """Convert a ``ConversionError`` to a ``SheetError`` with table and row."""
    match = re.match(r"(\w+)\[(\d+)\]\.?(.*)", error.path)
    if match is None:
        reason = f"expected {error.expected}"
        return SheetError(table="(sheet)", row=error.path, reason=reason)
    table, index, column = match.groups()
    row = decoded[table][int(index)]
    name = row.get("name") if isinstance(row, dict) else None
    row_label = name if isinstance(name, str) else f"number {int(index) + 1}"
    prefix = f'column "{column}": ' if column else ""
    return SheetError(
        table=table, row=row_label, reason=f"{prefix}expected {error.expected}"
    )
