"""Who waits for a place at a service's targets, and who is turned away at once.

Pure decisions: time is an argument, and nothing here waits.
"""

import random
from collections import deque
from dataclasses import dataclass

from .._registry import Registry

RATE_WINDOW_MS = 2000.0  # Long enough for a handful of departures of one gateway.
RETURN_BASE_MS = 300.0  # About the time in which some places come free.
RETURN_LIMIT_MS = 2400.0  # Callers come back within a third of their time left.
# A lost rank is back after some seconds; sooner returns would be in vain.
STALL_RETURN_MS = 2200.0
RETURN_SPREAD_RATIO = 0.15  # Callers that were refused together return apart.
MS_PER_SECOND = 1000

queue_policy = Registry(kind="line")


@dataclass(frozen=True, kw_only=True)
class QueuedRequest:
    """A request that needs a place.

    Args:
        arrived_ms: When it was read.
        aim_until_ms: When its answer is no longer on time.
        patience_until_ms: When it is turned away if it still waits.
        last_chance: Whether the caller has too little time left to come back.
        priority: 0 is the most urgent.
    """

    arrived_ms: float
    aim_until_ms: float
    patience_until_ms: float
    priority: int = 0
    last_chance: bool = False


class DepartureRate:
    """How often this gateway's requests leave the targets of a service."""

    def __init__(self):
        self._times_ms = deque()

    def note(self, *, now_ms):
        """Count a departure."""
        self._times_ms.append(now_ms)
        self._forget(now_ms)

    def per_ms(self, *, now_ms):
        """Return departures a millisecond over the last window."""
        self._forget(now_ms)
        return len(self._times_ms) / RATE_WINDOW_MS

    def _forget(self, now_ms):
        while self._times_ms and self._times_ms[0] < now_ms - RATE_WINDOW_MS:
            self._times_ms.popleft()


@queue_policy("first_come")
class FirstCome:
    """Serves in the order of arrival and turns nobody away early; the naive one."""

    def __init__(self):
        self.rate = DepartureRate()

    def order_key(self, waiting, *, now_ms):
        """Return the sort key of a waiting request; the lowest goes first."""
        return waiting.arrived_ms

    def admits(self, waiting, *, ahead_count, stalled, now_ms):
        """Return whether the request may wait."""
        return True

    def return_after_ms(self, *, waiting_count, stalled, now_ms):
        """Return when a refused caller should come back."""
        return RETURN_BASE_MS


@queue_policy("on_time_first")
class OnTimeFirst:
    """Serves those who can still be on time first; refuses hopeless ones at once.

    Answers: a load above what the targets can serve. In order of arrival each
    answer would be late; this way as many as there are places stay on time,
    and the others learn at once when to come back.
    """

    def __init__(self, *, rng=None):
        self.rate = DepartureRate()
        self._rng = rng or random.Random()

    def order_key(self, waiting, *, now_ms):
        """Return the sort key of a waiting request; the lowest goes first."""
        late = now_ms > waiting.aim_until_ms
        return (late, waiting.priority, waiting.arrived_ms)

    def admits(self, waiting, *, ahead_count, stalled, now_ms):
        """Return whether the request is likely to get a place in time.

        Args:
            ahead_count: Requests that are served before it.
            stalled: Whether no target of the service makes steps; who can come
                back later is told so, and who cannot may wait.
        """
        if stalled:
            return waiting.last_chance
        rate = self.rate.per_ms(now_ms=now_ms)
        if not rate:
            return ahead_count == 0
        expected_ms = (ahead_count + 1) / rate
        return now_ms + expected_ms <= waiting.patience_until_ms

    def return_after_ms(self, *, waiting_count, stalled, now_ms):
        """Return when a refused caller is likely to find a place.

        Args:
            waiting_count: Requests that wait now.
            stalled: Whether no target of the service makes steps.
        """
        spread = self._rng.uniform(1 - RETURN_SPREAD_RATIO, 1 + RETURN_SPREAD_RATIO)
        if stalled:
            return STALL_RETURN_MS * spread
        rate = self.rate.per_ms(now_ms=now_ms)
        ahead_ms = (waiting_count + 1) / rate if rate else 0.0
        return min(RETURN_LIMIT_MS, max(RETURN_BASE_MS, ahead_ms)) * spread
