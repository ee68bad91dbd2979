"""The measurements of a replay."""

from collections import Counter
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

HIGHEST_US = 120_000_000
US_PER_MS = 1000


def histogram():
    """Return an empty histogram for values in microseconds."""
    return HdrHistogram(1, HIGHEST_US, 3)


@dataclass(kw_only=True)
class ReplayResult:
    """The measurements of a replay; histograms are in microseconds.

    Attributes:
        waits: Times from arrival to start.
        first_tokens: Times from arrival to the first token.
        busy_ms: Service time of the requests of each target, in milliseconds.
        by_customer: For each customer, the histograms of the times to the first
            token and to the end of the answer.
        hits_count: Requests whose prompt prefix was cached at their target.
        started_count: Requests that were started.
        expired_count: Requests whose deadline passed in a queue.
    """

    waits: HdrHistogram
    first_tokens: HdrHistogram
    busy_ms: Counter
    by_customer: dict
    hits_count: int = 0
    started_count: int = 0
    expired_count: int = 0

    @property
    def busiest_ratio(self):
        """Service time of the busiest target, relative to the mean."""
        return max(self.busy_ms.values()) * len(self.busy_ms) / self.busy_ms.total()

    @property
    def hits_ratio(self):
        """Share of the started requests whose prefix was cached."""
        return self.hits_count / self.started_count

    def other_customers_ms(self, customer, percentile):
        """Return percentiles over all customers except ``customer``.

        Returns:
            The percentiles of the times to the first token and to the end of the
            answer, in milliseconds.
        """
        first_tokens, whole_answers = histogram(), histogram()
        for name, (first, whole) in self.by_customer.items():
            if name != customer:
                first_tokens.add(first)
                whole_answers.add(whole)
        return tuple(
            item.get_value_at_percentile(percentile) / US_PER_MS
            for item in (first_tokens, whole_answers)
        )

    def wait_ms(self, percentile):
        """Return a percentile of the time from arrival to start."""
        return self.waits.get_value_at_percentile(percentile) / US_PER_MS

    def first_token_ms(self, percentile):
        """Return a percentile of the time to the first token."""
        return self.first_tokens.get_value_at_percentile(percentile) / US_PER_MS


def to_us(duration_ms):
    """Convert milliseconds to microseconds for a histogram, at least 1."""
    return max(1, round(duration_ms * US_PER_MS))
