"""Recent demand for each expert, computed from cumulative counts."""

from collections import deque

# Twice the interval between the counts of a rank; demand may shift every few seconds.
WINDOW_MS = 800.0
# Fewer choices say little about the demand for rarely chosen experts.
MIN_CHOICES_COUNT = 2000


class RecentDemand:
    """Sums how often all ranks of a group chose each expert in a recent window.

    Args:
        window_ms: Length of the window.
    """

    def __init__(self, *, window_ms=WINDOW_MS):
        self._window_ms = window_ms
        self._samples = {}
        self._epoch = None

    def clear(self):
        """Drop all samples, for instance after the group was re-formed."""
        self._samples = {}

    def add_counts(self, *, rank, born_ms, counts, now_ms):
        """Add a sample of the cumulative counts of one rank.

        Args:
            rank: Number of the rank.
            born_ms: The rank's start; a new value discards the earlier samples.
            counts: Choices by set and expert since that start.
            now_ms: Time of the sample on the clock.
        """
        samples = self._samples.get(rank)
        if samples is None or samples[-1][1] != born_ms:
            samples = self._samples[rank] = deque()
        samples.append((now_ms, born_ms, counts))
        while len(samples) > 2 and samples[1][0] <= now_ms - self._window_ms:
            samples.popleft()

    def by_set(self):
        """Return the choices in the window by set and expert; ``None`` if too few."""
        totals = None
        for samples in self._samples.values():
            if len(samples) < 2:
                continue
            first, last = samples[0][2], samples[-1][2]
            deltas = [
                [late - early for early, late in zip(*rows)]
                for rows in zip(first, last)
            ]
            if totals is None:
                totals = deltas
            else:
                totals = [
                    [total + delta for total, delta in zip(*rows)]
                    for rows in zip(totals, deltas)
                ]
        if totals is None or sum(totals[0]) < MIN_CHOICES_COUNT:
            return None
        return totals
