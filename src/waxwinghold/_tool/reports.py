"""What a command of the tool prints, for people or for programs."""

from dataclasses import dataclass
from typing import Any

import msgspec

COLUMN_GAP = "  "


@dataclass(frozen=True, kw_only=True)
class Report:
    """The result of one command.

    Args:
        text: What a person reads.
        data: The same as plain types, for ``--json``.
        status: The command's exit status.
    """

    text: str
    data: Any
    status: int = 0

    def rendered(self, *, as_json):
        """Return what the command prints."""
        if not as_json:
            return self.text
        return msgspec.json.format(msgspec.json.encode(self.data), indent=2).decode()


def text_table(header, rows):
    """Return ``rows`` of cells as aligned text below ``header``."""
    lines = [list(header), *([str(cell) for cell in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*lines)]
    return "\n".join(_text_line(line, widths) for line in lines)


def _text_line(cells, widths):
    padded = [cell.ljust(width) for cell, width in zip(cells, widths)]
    return COLUMN_GAP.join(padded).rstrip()
