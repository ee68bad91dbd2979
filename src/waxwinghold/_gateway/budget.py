"""Policies for the retry budget that all gateways share.

The first send of a request is free; each further send of it is a retry.
"""

from .._registry import Registry

budget_policy = Registry(kind="budget")

# Only this share of the configured ratio is used: a first send that was rejected may
# be counted only in the next window.
RATIO_SHARE = 0.75
# Only this share of the configured slack is used: a restarted gateway gets its part of
# the slack again.
SLACK_SHARE = 0.6


@budget_policy("unlimited")
class Unlimited:
    """Allows every retry; the baseline policy."""

    def __init__(self, *, ratio, slack_count, window_ms):
        pass

    def record_first_send(self, *, now_ms, gateways_count):
        """Record the first send of a request."""

    def try_spend(self, *, now_ms, gateways_count):
        """Return whether a retry may be sent now, and count it if so."""
        return True


@budget_policy("shared")
class SharedBudget:
    """Allows retries up to a ratio of the first sends plus an equal share of the slack.

    It addresses a group that stalls and rejects every request: without a budget,
    all gateways would retry all their requests at once.

    Args:
        ratio: Retries allowed for each first send, over all gateways.
        slack_count: Retries allowed beyond that in one window, over all gateways.
        window_ms: Length of the window in milliseconds.
    """

    def __init__(self, *, ratio, slack_count, window_ms):
        self._ratio = ratio * RATIO_SHARE
        self._slack_count = slack_count * SLACK_SHARE
        self._window_ms = window_ms
        self._tokens = 1.0
        self._filled_at_ms = None

    def record_first_send(self, *, now_ms, gateways_count):
        """Record the first send of a request.

        Args:
            now_ms: Time in milliseconds of the gateway's clock.
            gateways_count: Number of gateways that share the slack.
        """
        self._fill(now_ms, gateways_count)
        cap = self._cap(gateways_count)
        self._tokens = min(max(cap, self._tokens), self._tokens + self._ratio)

    def try_spend(self, *, now_ms, gateways_count):
        """Return whether a retry may be sent now, and count it if so."""
        self._fill(now_ms, gateways_count)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _cap(self, gateways_count):
        # Half of the slack can accumulate, the other half arrives over one window.
        return max(1.0, self._slack_count / 2 / gateways_count)

    def _fill(self, now_ms, gateways_count):
        cap = self._cap(gateways_count)
        if self._filled_at_ms is not None:
            part = max(0.0, now_ms - self._filled_at_ms) / self._window_ms
            gained = part * self._slack_count / 2 / gateways_count
            self._tokens = min(max(cap, self._tokens), self._tokens + gained)
        self._tokens = min(self._tokens, cap)
        self._filled_at_ms = now_ms
