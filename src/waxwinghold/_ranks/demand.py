"""What is in demand lately, from counts that only grow."""

from collections import deque

WINDOW_MS = 800.0  # Two counts; demand may shift every few seconds.
MINIMUM_PICKS_COUNT = 2000  # Fewer choices say little about rare experts.


class RecentDemand:
    """Choices of each expert over the last moments, all ranks of a group summed.

    Args:
        window_ms: Over how long choices are summed.
    """

    def __init__(self, *, window_ms=WINDOW_MS):
        self._window_ms = window_ms
        self._samples = {}
        self._epoch = None

    def clear(self):
        """Forget everything, as when a group was formed anew."""
        self._samples = {}

    def add_counts(self, *, rank, born_ms, counts, now_ms):
        """Take in the counts of one rank, which only grow while it lives."""
        samples = self._samples.get(rank)
        if samples is None or samples[-1][1] != born_ms:
            samples = self._samples[rank] = deque()
        samples.append((now_ms, born_ms, counts))
        while len(samples) > 2 and samples[1][0] <= now_ms - self._window_ms:
            samples.popleft()

    def by_set(self):
        """Return the summed choices by set and expert; ``None`` if too few."""
        totals = None
        for samples in self._samples.values():
            if len(samples) < 2:
                continue
            first, last = samples[0][2], samples[-1][2]
            grown = [
                [late - early for early, late in zip(*pair)]
                for pair in zip(first, last)
            ]
            if totals is None:
                totals = grown
            else:
                totals = [
                    [one + other for one, other in zip(*pair)]
                    for pair in zip(totals, grown)
                ]
        if totals is None or sum(totals[0]) < MINIMUM_PICKS_COUNT:
            return None
        return totals
