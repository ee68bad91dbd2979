"""Policies that order the admission queue of a service and reject requests early.

The policies only decide: they get the time as an argument and do no waiting.
"""

import random
from collections import deque
from dataclasses import dataclass

from .._registry import Registry

RATE_WINDOW_MS = 2000.0  # Long enough for several completed requests of one gateway.
RETRY_AFTER_BASE_MS = 300.0  # About the time in which some slots become free.
RETRY_AFTER_LIMIT_MS = 2400.0  # Callers retry within a third of their remaining time.
# A lost rank is back after some seconds; earlier retries would be rejected again.
STALL_RETRY_AFTER_MS = 2200.0
RETRY_AFTER_SPREAD_RATIO = 0.15  # Spreads the retries of callers rejected together.
MS_PER_SECOND = 1000

queue_policy = Registry(kind="queue")


@dataclass(frozen=True, kw_only=True)
class QueuedRequest:
    """A request that needs a slot at a target.

    All times are in milliseconds of the gateway's clock.

    Args:
        arrived_ms: When the request was read.
        goal_until_ms: When the request is no longer on time.
        queue_deadline_ms: When the request is rejected if it is still queued.
        priority: 0 is the most urgent.
        last_chance: Whether the caller has too little time left to retry later.
    """

    arrived_ms: float
    goal_until_ms: float
    queue_deadline_ms: float
    priority: int = 0
    last_chance: bool = False


class DepartureRate:
    """Measures how often this gateway's requests release a slot of a service."""

    def __init__(self):
        self._times_ms = deque()

    def record(self, *, now_ms):
        """Record one released slot."""
        self._times_ms.append(now_ms)
        self._forget(now_ms)

    def per_ms(self, *, now_ms):
        """Return the released slots per millisecond over the last window."""
        self._forget(now_ms)
        return len(self._times_ms) / RATE_WINDOW_MS

    def _forget(self, now_ms):
        while self._times_ms and self._times_ms[0] < now_ms - RATE_WINDOW_MS:
            self._times_ms.popleft()


@queue_policy("first_come")
class FirstCome:
    """Serves in order of arrival and rejects no request early; the baseline policy."""

    def __init__(self):
        self.rate = DepartureRate()

    def sort_key(self, request, *, now_ms):
        """Return the sort key of a queued request; the lowest is served first."""
        return request.arrived_ms

    def admits(self, request, *, ahead_count, stalled, now_ms):
        """Return whether the request may be queued."""
        return True

    def retry_after_ms(self, *, waiting_count, stalled, now_ms):
        """Return after how many milliseconds a rejected caller should retry."""
        return RETRY_AFTER_BASE_MS


@queue_policy("on_time_first")
class OnTimeFirst:
    """Serves on-time requests first, and rejects those unlikely to get a slot in time.

    It addresses overload: more requests than the targets can serve. Served in
    order of arrival, every answer would be late. With this policy, the targets
    are kept busy with requests that are answered on time, and the other callers
    are told at once when to retry.
    """

    def __init__(self, *, rng=None):
        self.rate = DepartureRate()
        self._rng = rng or random.Random()

    def sort_key(self, request, *, now_ms):
        """Return the sort key of a queued request; the lowest is served first."""
        late = now_ms > request.goal_until_ms
        return (late, request.priority, request.arrived_ms)

    def admits(self, request, *, ahead_count, stalled, now_ms):
        """Return whether the request is likely to get a slot in time.

        Args:
            ahead_count: Queued requests that are served before it.
            stalled: Whether no target of the service is usable. Then only requests
                whose callers cannot retry later are queued.
        """
        if stalled:
            return request.last_chance
        rate = self.rate.per_ms(now_ms=now_ms)
        if not rate:
            return ahead_count == 0
        expected_ms = (ahead_count + 1) / rate
        return now_ms + expected_ms <= request.queue_deadline_ms

    def retry_after_ms(self, *, waiting_count, stalled, now_ms):
        """Return after how many milliseconds a rejected caller is likely to get a slot.

        Args:
            waiting_count: Requests in the queue.
            stalled: Whether no target of the service is usable.
        """
        spread = self._rng.uniform(
            1 - RETRY_AFTER_SPREAD_RATIO, 1 + RETRY_AFTER_SPREAD_RATIO
        )
        if stalled:
            return STALL_RETRY_AFTER_MS * spread
        rate = self.rate.per_ms(now_ms=now_ms)
        ahead_ms = (waiting_count + 1) / rate if rate else 0.0
        return min(RETRY_AFTER_LIMIT_MS, max(RETRY_AFTER_BASE_MS, ahead_ms)) * spread
