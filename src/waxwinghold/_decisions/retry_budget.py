"""Decides whether a request may be sent once more.

It handles a group that rejects everything and a restart of all processes: without a
budget, all of them would send every request again at once. The first send of a request
is free; each further one is a retry. ``tests.test_gateway_budget`` and
``tests.test_policy_budget`` replay both.
"""

from .._clock import MS_PER_SECOND
from .._registry import Registry

budget_policy = Registry(kind="budget")

# Only this share of the configured ratio is used: a first send that was rejected may
# be counted only in the next window.
RATIO_SHARE = 0.75
# Only this share of the configured slack is used: a restarted gateway gets its part of
# the slack again.
SLACK_SHARE = 0.6


class RetryBudget:
    """Token bucket that allows retries in proportion to first sends.

    Args:
        ratio: Retries allowed per first send.
        burst_count: Capacity of the bucket, in retries.
        floor_per_second: Retries allowed per second regardless of the number of first
            sends, so that a process with little traffic can retry.
        tokens_count: Retries allowed at the start; ``None`` for a full bucket.
    """

    def __init__(
        self, *, ratio, burst_count=10.0, floor_per_second=1.0, tokens_count=None
    ):
        self._ratio = ratio
        self._burst_count = burst_count
        self._floor_per_second = floor_per_second
        self._tokens = burst_count if tokens_count is None else tokens_count
        self._filled_at_ms = None

    def resize(self, *, burst_count, floor_per_second):
        """Change the capacity of the bucket and its steady refill."""
        self._burst_count = burst_count
        self._floor_per_second = floor_per_second

    def record_first(self, *, now_ms):
        """Count a first send."""
        self._fill(now_ms)
        self._tokens = min(self._burst_count, self._tokens + self._ratio)

    def take_retry(self, *, now_ms):
        """Return whether a retry may be made now; if so, use up a token."""
        self._fill(now_ms)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def give_back(self):
        """Return the token of a retry that was not made."""
        self._tokens = min(self._burst_count, self._tokens + 1)

    def _fill(self, now_ms):
        refill = 0.0
        if self._filled_at_ms is not None:
            elapsed_ms = max(0.0, now_ms - self._filled_at_ms)
            refill = elapsed_ms * self._floor_per_second / MS_PER_SECOND
        self._tokens = min(self._burst_count, self._tokens + refill)
        self._filled_at_ms = now_ms


@budget_policy("unlimited")
class Unlimited:
    """Allows every retry; the naive policy."""

    def __init__(self, *, ratio, slack_count, window_ms):
        pass

    def record_first_send(self, *, now_ms, gateways_count):
        """Record the first send of a request."""

    def try_spend(self, *, now_ms, gateways_count):
        """Return whether a retry may be sent now, and count it if so."""
        return True

    def give_back(self):
        """Count a retry no longer that reached no target."""


@budget_policy("shared")
class SharedBudget:
    """A gateway's equal part of the budget that all gateways share.

    Args:
        ratio: Retries allowed for each first send, over all gateways.
        slack_count: Retries allowed beyond that in one window, over all gateways.
        window_ms: Length of the window in milliseconds.
    """

    def __init__(self, *, ratio, slack_count, window_ms):
        self._slack_count = slack_count * SLACK_SHARE
        self._window_ms = window_ms
        self._bucket = RetryBudget(ratio=ratio * RATIO_SHARE, tokens_count=1.0)

    def record_first_send(self, *, now_ms, gateways_count):
        """Record the first send of a request.

        Args:
            now_ms: Time in milliseconds of the gateway's clock.
            gateways_count: Number of gateways that share the slack.
        """
        self._share(gateways_count)
        self._bucket.record_first(now_ms=now_ms)

    def try_spend(self, *, now_ms, gateways_count):
        """Return whether a retry may be sent now, and count it if so."""
        self._share(gateways_count)
        return self._bucket.take_retry(now_ms=now_ms)

    def give_back(self):
        """Count a retry no longer that reached no target."""
        self._bucket.give_back()

    def _share(self, gateways_count):
        # Half of the slack can accumulate, the other half arrives over one window.
        half_count = self._slack_count / 2 / gateways_count
        self._bucket.resize(
            burst_count=max(1.0, half_count),
            floor_per_second=half_count * MS_PER_SECOND / self._window_ms,
        )
