"""What a replay saw."""

from collections import Counter
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

HIGHEST_US = 120_000_000
US_PER_MS = 1000


def histogram():
    """Return an empty histogram of microseconds."""
    return HdrHistogram(1, HIGHEST_US, 3)


@dataclass(kw_only=True)
class ReplayResult:
    """What a replay saw; histograms are in microseconds."""

    waits: HdrHistogram
    first_tokens: HdrHistogram
    busy_ms: Counter
    by_customer: dict
    hits_count: int = 0
    started_count: int = 0
    expired_count: int = 0

    @property
    def busiest_ratio(self):
        """Work of the busiest target over the mean."""
        return max(self.busy_ms.values()) * len(self.busy_ms) / self.busy_ms.total()

    @property
    def hits_ratio(self):
        """Part of the requests that found their prefix cached."""
        return self.hits_count / self.started_count

    def other_customers_ms(self, customer, percentile):
        """Return first-token and whole-answer percentiles of all but one customer."""
        first_tokens, wholes = histogram(), histogram()
        for name, (first, whole) in self.by_customer.items():
            if name != customer:
                first_tokens.add(first)
                wholes.add(whole)
        return tuple(
            one.get_value_at_percentile(percentile) / US_PER_MS
            for one in (first_tokens, wholes)
        )

    def wait_ms(self, percentile):
        """Return a percentile of the wait in the queue."""
        return self.waits.get_value_at_percentile(percentile) / US_PER_MS

    def first_token_ms(self, percentile):
        """Return a percentile of the time to the first token."""
        return self.first_tokens.get_value_at_percentile(percentile) / US_PER_MS


def to_us(duration_ms):
    """Return milliseconds as a histogram counts them: microseconds, at least 1."""
    return max(1, round(duration_ms * US_PER_MS))
