"""Choices of experts on their way to the leader: growth, one byte an expert.

The counts of a large group's ranks, sent whole, fill the link of the machine that
leads it. The leader needs only which experts were in demand lately.
"""

import math

BYTE_MAX = 255


def pack(rows):
    """Return ``(scales, packed)`` for numbers by set and expert.

    Bytes hold square roots, so that the many experts with little demand keep
    their part of it: a number ``n`` comes back within ``sqrt(n * scale)`` or so.
    """
    scales = [(max(row, default=0) / BYTE_MAX**2) or 1.0 for row in rows]
    packed = [
        bytes(round(math.sqrt(value / scale)) for value in row)
        for scale, row in zip(scales, rows)
    ]
    return scales, packed


def unpack(scales, packed):
    """Return the numbers by set and expert that ``pack`` was given, roughly."""
    return [[scale * root * root for root in row] for scale, row in zip(scales, packed)]


class CountDeltas:
    """How much the counts of one rank grew from one reading to the next."""

    def __init__(self):
        self._key = None
        self._counts = None

    def since_last(self, counts, *, key):
        """Return the growth by set and expert; ``None`` for the first reading.

        Args:
            counts: By set and expert; they only grow under one ``key``.
            key: Whatever tells one start of the rank and its group from another.
        """
        before = self._counts if key == self._key else None
        self._key, self._counts = key, counts
        if before is None:
            return None
        grown = [
            [late - early for early, late in zip(*pair)] for pair in zip(before, counts)
        ]
        # A rank that restarted after its report counts from zero under the old key.
        return grown if all(min(row, default=0) >= 0 for row in grown) else None


class CountTotals:
    """Sums of the growth that arrived from each rank; what was lost is missing."""

    def __init__(self):
        self._totals = {}

    def clear(self):
        """Forget everything, as when a group was formed anew."""
        self._totals = {}

    def has_rank(self, rank, *, born_ms):
        """Return whether growth of this start of the rank was added."""
        return self._totals.get(rank, (None,))[0] == born_ms

    def add(self, rank, grown, *, born_ms):
        """Add growth and return the rank's totals by set and expert.

        Args:
            born_ms: The rank's start; a later one begins at zero.
        """
        totals = grown
        if self.has_rank(rank, born_ms=born_ms):
            before = self._totals[rank][1]
            totals = [[sum(pair) for pair in zip(*rows)] for rows in zip(before, grown)]
        self._totals[rank] = (born_ms, totals)
        return totals
