"""Encodes the growth of expert counts for the leader, in one byte per expert.

Sent in full, the counts of all ranks of a large group would fill the link of the
leader's host. The leader only needs the recent demand for each expert.
"""

import math

BYTE_MAX = 255


def pack(rows):
    """Encode numbers by set and expert as one byte each.

    A byte ``b`` stands for ``scale * b**2``, which is more precise for small numbers.
    Rounding therefore hardly changes the share of the many experts with low demand:
    ``unpack`` returns a number ``n`` to within about ``sqrt(n * scale)``.

    Args:
        rows: Numbers by set and expert, none of them negative.

    Returns:
        ``(scales, packed)``: a scale for each set, and a ``bytes`` for each set.
    """
    scales = [(max(row, default=0) / BYTE_MAX**2) or 1.0 for row in rows]
    packed = [
        bytes(round(math.sqrt(value / scale)) for value in row)
        for scale, row in zip(scales, rows)
    ]
    return scales, packed


def unpack(scales, packed):
    """Return approximately the numbers by set and expert that ``pack`` encoded."""
    return [[scale * root * root for root in row] for scale, row in zip(scales, packed)]


class CountDeltas:
    """Computes how much the counts of one rank grew since the previous reading."""

    def __init__(self):
        self._key = None
        self._counts = None

    def since_last(self, counts, *, key):
        """Return the growth by set and expert since the previous reading.

        Args:
            counts: Cumulative counts by set and expert.
            key: Identifies the start of the rank and the epoch of its group.

        Returns:
            The growth; ``None`` for the first reading of a ``key``, and if a count
            shrank.
        """
        previous = self._counts if key == self._key else None
        self._key, self._counts = key, counts
        if previous is None:
            return None
        deltas = [
            [late - early for early, late in zip(*rows)]
            for rows in zip(previous, counts)
        ]
        # The key comes from the rank's report. If the rank restarts between its report
        # and its counts, the counts begin at zero but have the key of the earlier
        # start.
        return deltas if all(min(row, default=0) >= 0 for row in deltas) else None


class CountTotals:
    """Sums the growth received from each source; growth in lost notices is missing.

    A source is a rank, or a block of ranks.
    """

    def __init__(self):
        self._totals = {}

    def clear(self):
        """Drop all totals, for instance after the group was re-formed."""
        self._totals = {}

    def has_source(self, source):
        """Return whether growth of a source was added."""
        return source in self._totals

    def add(self, source, deltas):
        """Add growth and return the source's totals by set and expert."""
        previous = self._totals.get(source)
        totals = deltas
        if previous is not None:
            totals = [
                [sum(pair) for pair in zip(*rows)] for rows in zip(previous, deltas)
            ]
        self._totals[source] = totals
        return totals
