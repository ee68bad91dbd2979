"""Decides when rejected callers of an entry should retry.

It handles loads of twice the capacity, after which all rejected callers would return at
once. ``tests.test_policy_budget`` and ``tests.test_policy_overload`` replay it.
"""

import random

from .._clock import MS_PER_SECOND

RATE_WINDOW_MS = 2000.0


class RetryAfterSchedule:
    """Spreads out the times at which rejected callers should retry.

    The same delay for all would bring them back at once. Each rejected caller
    therefore gets a later time than the one before, spaced so that callers retry
    at a fixed part of the rate at which this entry completes requests.

    Args:
        rng: Source of the jitter.
        base_ms: The shortest delay, in milliseconds, apart from jitter.
        limit_ms: The longest delay, in milliseconds, apart from jitter.
        retries_per_completed: Rejected callers that may retry per completed request.
        floor_per_second: Rejected callers that may retry per second even if no
            request completes.
    """

    def __init__(
        self,
        *,
        rng=None,
        base_ms=500.0,
        limit_ms=120_000.0,
        retries_per_completed=0.1,
        floor_per_second=5.0,
    ):
        self._rng = rng or random.Random()
        self._base_ms = base_ms
        self._limit_ms = limit_ms
        self._retries_per_completed = retries_per_completed
        self._floor_per_second = floor_per_second
        self._next_retry_ms = 0.0
        self._completed_per_second = 0.0
        self._window_start_ms = 0.0
        self._window_count = 0

    def record_completed(self, *, now_ms):
        """Count a completed request."""
        self._roll_window(now_ms)
        self._window_count += 1

    def retry_after_ms(self, *, now_ms):
        """Return the delay in milliseconds after which a rejected caller may retry."""
        self._roll_window(now_ms)
        rate = self._completed_per_second * self._retries_per_completed
        gap_ms = MS_PER_SECOND / max(rate, self._floor_per_second)
        earliest_ms = now_ms + self._base_ms
        latest_ms = now_ms + self._limit_ms
        scheduled_ms = max(self._next_retry_ms + gap_ms, earliest_ms)
        self._next_retry_ms = min(scheduled_ms, latest_ms)
        # At most half a gap either way: more jitter would undo the even spacing.
        jitter_ms = self._rng.uniform(-0.5, 0.5) * gap_ms
        return max(1, round(self._next_retry_ms - now_ms + jitter_ms))

    def _roll_window(self, now_ms):
        elapsed_ms = now_ms - self._window_start_ms
        if elapsed_ms < RATE_WINDOW_MS:
            return
        self._completed_per_second = self._window_count * MS_PER_SECOND / elapsed_ms
        self._window_start_ms = now_ms
        self._window_count = 0
