"""Recent demand for each expert, computed from cumulative counts."""

from collections import deque

# Interval between two counts of a rank. Demand may shift every few seconds. Sums over
# eight ranks each go to one host, whose link may carry 3 Mbit/s for 96 ranks.
COUNTS_INTERVAL_MIN_MS = 200.0
COUNTS_INTERVAL_PER_RANK_MS = 6.25
WINDOW_INTERVALS_COUNT = 2
# Fewer choices say little about the demand for rarely chosen experts.
MIN_CHOICES_COUNT = 2000
# Share of the choices that moves in a shift; less is the usual change of requests.
SHIFT_RATIO = 0.2


def counts_interval_ms(ranks_count):
    """Return the time in ms between two counts of each rank of a group."""
    return max(COUNTS_INTERVAL_MIN_MS, COUNTS_INTERVAL_PER_RANK_MS * ranks_count)


class RecentDemand:
    """Sums how often all ranks of a group chose each expert in a recent window.

    Attributes:
        window_ms: Length of the window.
    """

    def __init__(self, *, window_ms=WINDOW_INTERVALS_COUNT * COUNTS_INTERVAL_MIN_MS):
        self.window_ms = window_ms
        self._samples = {}

    def clear(self):
        """Drop all samples, for instance after the group was re-formed."""
        self._samples = {}

    def add_counts(self, *, source, counts, now_ms):
        """Add a sample of the cumulative counts of one source.

        Args:
            source: Identifies the source: a rank, or a block of ranks.
            counts: Choices by set and expert.
            now_ms: Time of the sample on the clock.
        """
        samples = self._samples.setdefault(source, deque())
        samples.append((now_ms, counts))
        while len(samples) > 2 and samples[1][0] <= now_ms - self.window_ms:
            samples.popleft()

    def by_set(self):
        """Return the choices in the window by set and expert.

        After a shift of the demand, the window holds choices of before and after it.
        A map for such a mixture fits neither, so that the earlier samples are dropped.

        Returns:
            ``None`` if there are too few choices, or if the demand is just shifting.
        """
        series = [samples for samples in self._samples.values() if len(samples) > 1]
        if 2 * len(series) <= len(self._samples):
            return None
        totals = _growth(series, first=0)
        if totals is None or sum(totals[0]) < MIN_CHOICES_COUNT:
            return None
        latest = _growth(series, first=-2)
        if _shifted_ratio(totals, latest) > SHIFT_RATIO:
            self._keep_latest()
            return None
        return totals

    def _keep_latest(self):
        for source, samples in self._samples.items():
            self._samples[source] = deque([samples[-1]])


def _growth(series, *, first):
    """Return the growth from the sample ``first`` to the last, over all sources."""
    totals = None
    for samples in series:
        early_counts, late_counts = samples[first][1], samples[-1][1]
        deltas = [
            [late - early for early, late in zip(*rows)]
            for rows in zip(early_counts, late_counts)
        ]
        if totals is None:
            totals = deltas
            continue
        totals = [
            [total + delta for total, delta in zip(*rows)]
            for rows in zip(totals, deltas)
        ]
    return totals


def _shifted_ratio(totals, latest):
    """Return the share of the choices that moved to other experts lately.

    It compares ``latest`` with the rest of ``totals``; 0 if either has no choices.
    """
    moved = chosen = 0.0
    for total_row, latest_row in zip(totals, latest):
        earlier_row = [total - late for total, late in zip(total_row, latest_row)]
        earlier_sum, latest_sum = sum(earlier_row), sum(latest_row)
        if min(earlier_sum, latest_sum) <= 0:
            continue
        moved += sum(
            max(0.0, late / latest_sum - early / earlier_sum)
            for early, late in zip(earlier_row, latest_row)
        )
        chosen += 1.0
    return moved / chosen if chosen else 0.0
