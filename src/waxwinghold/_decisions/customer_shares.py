"""Decides which customers are above their share of the recent starts.

It handles one customer that asks for many times what the others ask for, while slots
are scarce. ``tests.test_decisions_customer_shares`` replays it.
"""

from collections import Counter, deque

WINDOW_MS = 5000.0  # Long enough for several starts of each customer at one gateway.
EVENTS_LIMIT_COUNT = 4096  # The oldest are forgotten first, which bounds the state.


class _RecentEvents:
    """Counts the events of each customer over the last ``WINDOW_MS``.

    Attributes:
        counts: The events of each customer that has one.
    """

    def __init__(self):
        self._events = deque()
        self.counts = Counter()

    def record(self, customer, *, now_ms):
        """Count one event."""
        self._events.append((now_ms, customer))
        self.counts[customer] += 1
        self.forget(now_ms)

    def forget(self, now_ms):
        """Remove the events that are too old or too many."""
        while self._events and (
            self._events[0][0] < now_ms - WINDOW_MS
            or len(self._events) > EVENTS_LIMIT_COUNT
        ):
            _, customer = self._events.popleft()
            self.counts[customer] -= 1
            if not self.counts[customer]:
                del self.counts[customer]

    def __len__(self):
        return len(self._events)


class CustomerShares:
    """Compares the recent starts of each customer with an equal share of them.

    All customers that asked within ``WINDOW_MS`` have equal shares. The caller keeps
    one object for the requests that compete for the same slots, and serves requests of
    customers above their share after those of the others.
    """

    def __init__(self):
        self._asks = _RecentEvents()
        self._starts = _RecentEvents()

    def record_ask(self, customer, *, now_ms):
        """Record that a request of ``customer`` asks for a slot."""
        self._asks.record(customer, now_ms=now_ms)

    def record_start(self, customer, *, now_ms):
        """Record that a request of ``customer`` got a slot."""
        self._starts.record(customer, now_ms=now_ms)

    def is_above(self, customer, *, now_ms):
        """Return whether the customer had more than an equal share of the starts.

        One start more than that is not counted, so that a customer with rare requests
        is never above its share.
        """
        self._asks.forget(now_ms)
        self._starts.forget(now_ms)
        customers_count = len(self._asks.counts)
        if customers_count < 2:
            return False
        fair_count = len(self._starts) / customers_count
        return self._starts.counts[customer] > fair_count + 1
