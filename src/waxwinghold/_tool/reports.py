"""The output of a command of the tool, as text or as JSON."""

from dataclasses import dataclass
from typing import Any

import msgspec

COLUMN_GAP = "  "


@dataclass(frozen=True, kw_only=True)
class Report:
    """The result of one command.

    Args:
        text: The output for people.
        data: The same content as plain types, for ``--json``.
        status: The command's exit status.
    """

    text: str
    data: Any
    status: int = 0

    def rendered(self, *, as_json):
        """Return the text that the command prints.

        Args:
            as_json: Whether to print ``data`` as JSON instead of ``text``.
        """
        if not as_json:
            return self.text
        return msgspec.json.format(msgspec.json.encode(self.data), indent=2).decode()


def text_table(header, rows):
    """Format ``rows`` of cells as aligned text below ``header``."""
    lines = [list(header), *([str(cell) for cell in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*lines)]
    return "\n".join(_format_line(line, widths) for line in lines)


def _format_line(cells, widths):
    padded = [cell.ljust(width) for cell, width in zip(cells, widths)]
    return COLUMN_GAP.join(padded).rstrip()
