"""Limits on retries: a budget for ours, return times for the callers'."""

import random

from .._clock import MS_PER_SECOND

RATE_WINDOW_MS = 2000.0


class RetryBudget:
    """Allows retries in proportion to first attempts.

    Args:
        ratio: Retries allowed for each first attempt.
        burst_count: Retries that can be saved up.
        floor_per_second: Retries allowed each second however few first
            attempts there are, so that a quiet entry can retry too.
    """

    def __init__(self, *, ratio, burst_count=10.0, floor_per_second=1.0):
        self._ratio = ratio
        self._burst_count = burst_count
        self._floor_per_second = floor_per_second
        self._tokens = burst_count
        self._filled_at_ms = None

    def record_first(self, *, now_ms):
        """Count a first attempt."""
        self._fill(now_ms)
        self._tokens = min(self._burst_count, self._tokens + self._ratio)

    def take_retry(self, *, now_ms):
        """Return whether a retry may be made now, and count it if so."""
        self._fill(now_ms)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _fill(self, now_ms):
        if self._filled_at_ms is not None:
            elapsed_ms = max(0.0, now_ms - self._filled_at_ms)
            gained = elapsed_ms * self._floor_per_second / MS_PER_SECOND
            self._tokens = min(self._burst_count, self._tokens + gained)
        self._filled_at_ms = now_ms


class RetryAfterSchedule:
    """Tells refused callers when to come back, one after another.

    Equal times for all would bring them back together. Each refusal takes the
    next place in a virtual queue that is served at a part of the rate at which
    this entry completes requests.

    Args:
        rng: Source of the jitter.
        base_ms: The shortest time told.
        limit_ms: The longest time told.
        return_ratio: Returning callers for each completed request.
        floor_per_second: Returning callers each second while nothing completes.
    """

    def __init__(
        self,
        *,
        rng=None,
        base_ms=500.0,
        limit_ms=120_000.0,
        return_ratio=0.1,
        floor_per_second=5.0,
    ):
        self._rng = rng or random.Random()
        self._base_ms = base_ms
        self._limit_ms = limit_ms
        self._return_ratio = return_ratio
        self._floor_per_second = floor_per_second
        self._next_return_ms = 0.0
        self._completed_per_second = 0.0
        self._window_start_ms = 0.0
        self._window_count = 0

    def record_completed(self, *, now_ms):
        """Count a request that got its answer."""
        self._roll_window(now_ms)
        self._window_count += 1

    def retry_after_ms(self, *, now_ms):
        """Return when the caller that is being refused should come back."""
        self._roll_window(now_ms)
        rate = self._completed_per_second * self._return_ratio
        gap_ms = MS_PER_SECOND / max(rate, self._floor_per_second)
        earliest_ms = now_ms + self._base_ms
        latest_ms = now_ms + self._limit_ms
        place_ms = max(self._next_return_ms + gap_ms, earliest_ms)
        self._next_return_ms = min(place_ms, latest_ms)
        # Within a gap: more would undo the even spread that the places give.
        jitter_ms = self._rng.uniform(-0.5, 0.5) * gap_ms
        return max(1, round(self._next_return_ms - now_ms + jitter_ms))

    def _roll_window(self, now_ms):
        elapsed_ms = now_ms - self._window_start_ms
        if elapsed_ms < RATE_WINDOW_MS:
            return
        self._completed_per_second = self._window_count * MS_PER_SECOND / elapsed_ms
        self._window_start_ms = now_ms
        self._window_count = 0
