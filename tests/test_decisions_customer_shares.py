"""Replays one large customer, and tests the order of customers for scarce slots."""

import functools
import random
import unittest

import logbook

from waxwinghold._decisions.customer_shares import (
    EVENTS_LIMIT_COUNT,
    WINDOW_MS,
    CustomerShares,
)
from waxwinghold._decisions.waiting import (
    LineEntry,
    QueuedRequest,
    ServiceState,
    WaitingLine,
    queue_policy,
)
from waxwinghold_bench.decision_replay import OURS, arrivals, patterns, replay
from waxwinghold_bench.decision_replay.credit import worth

PATTERN = "one customer at ten times its share"
FAIR_PATTERN = "fair shares beside one customer at ten times its share"
SEEDS = (1, 2, 3)
LARGE = 0
STATE = ServiceState(slots_count=100, free_ratio=0.0)


@functools.cache
def credit(name, *, is_large):
    """Return the mean credit of the large customer or of the others."""
    found = []
    for seed in SEEDS:
        with logbook.NullHandler().applicationbound():
            outcomes = replay(
                patterns[name],
                arrivals(patterns[name], seed=seed),
                policies=OURS,
                seed=seed,
            )
        part = [
            (worth(arrival.size_ms), share)
            for arrival, share in outcomes
            if (arrival.customer == LARGE) == is_large
        ]
        asked = sum(size for size, _ in part)
        found.append(sum(size * share for size, share in part) / asked)
    return sum(found) / len(found)


class LargeCustomerTests(unittest.TestCase):
    def test_the_others_get_more_beside_a_large_customer(self):
        before = credit(PATTERN, is_large=False)
        after = credit(FAIR_PATTERN, is_large=False)
        self.assertGreaterEqual(after, before + 0.03)

    def test_the_large_customer_uses_what_the_others_leave(self):
        # With a fixed share of a tenth it would get a fifth of what it asks for.
        self.assertGreater(credit(FAIR_PATTERN, is_large=True), 0.6)


class ShareTests(unittest.TestCase):
    def setUp(self):
        self.shares = CustomerShares()

    def record(self, starts, *, now_ms=0.0):
        for customer, count in starts.items():
            self.shares.record_ask(customer, now_ms=now_ms)
            for _ in range(count):
                self.shares.record_start(customer, now_ms=now_ms)

    def above(self, *, now_ms=0.0):
        return [
            customer
            for customer in "abc"
            if self.shares.is_above(customer, now_ms=now_ms)
        ]

    def test_the_share_is_equal_among_the_customers_that_ask(self):
        self.record({"a": 8, "b": 3, "c": 0})
        self.assertEqual(self.above(), ["a"])

    def test_a_customer_alone_is_never_above_its_share(self):
        self.record({"a": 50})
        self.assertEqual(self.above(), [])

    def test_one_start_more_than_the_share_is_not_above_it(self):
        self.record({"a": 1, "b": 0, "c": 0})
        self.assertEqual(self.above(), [])

    def test_starts_and_asks_are_forgotten(self):
        self.record({"a": 8, "b": 3})
        self.assertEqual(self.above(now_ms=WINDOW_MS + 1), [])

    def test_the_state_is_bounded(self):
        for number in range(3 * EVENTS_LIMIT_COUNT):
            self.shares.record_ask(f"customer {number}", now_ms=0.0)
        self.assertEqual(len(self.shares._asks), EVENTS_LIMIT_COUNT)
        self.assertEqual(len(self.shares._asks.counts), EVENTS_LIMIT_COUNT)


class OrderTests(unittest.TestCase):
    """Only the order of the requests that wait depends on the customers."""

    def line(self, *, fair):
        self.has_slot = True
        policy = queue_policy.make(
            "on_time_first", rng=random.Random(1), fair_customers=lambda: fair
        )
        return WaitingLine(
            policy=policy,
            choose=lambda tried, now_ms: "target" if self.has_slot else None,
            state=lambda now_ms: STATE,
        )

    def entry(self, customer, *, priority=0, now_ms=0.0):
        request = QueuedRequest(
            arrived_ms=now_ms,
            start_until_ms=now_ms + 400.0,
            queue_deadline_ms=now_ms + 1600.0,
            priority=priority,
            customer=customer,
        )
        return LineEntry(request=request)

    def served(self, *, fair, large_priority=0):
        """Return the customers in the order in which they are served."""
        line = self.line(fair=fair)
        for number in range(10):
            for customer in ("large", "small")[: 1 + (number == 0)]:
                line.arrive(self.entry(customer), now_ms=0.0)
        self.has_slot = False
        small = self.entry("small", priority=large_priority and 1, now_ms=10.0)
        large = self.entry("large", now_ms=20.0)
        for entry in (small, large):
            line._entries.append(entry)
        self.has_slot = True
        return [entry.request.customer for entry, _ in line.serve(now_ms=20.0)]

    def test_a_customer_above_its_share_waits_behind_one_below_it(self):
        self.assertEqual(self.served(fair=True), ["small", "large"])

    def test_the_newest_is_first_without_the_setting(self):
        self.assertEqual(self.served(fair=False), ["large", "small"])

    def test_the_priority_goes_before_the_share(self):
        self.assertEqual(self.served(fair=True, large_priority=1), ["large", "small"])

    def test_a_customer_above_its_share_uses_free_slots(self):
        line = self.line(fair=True)
        line.arrive(self.entry("small"), now_ms=0.0)
        for _ in range(20):
            decision = line.arrive(self.entry("large"), now_ms=0.0)
            self.assertEqual(decision.target, "target")

    def test_a_customer_above_its_share_is_rejected_first(self):
        # Three slots a second: those who wait behind four others are rejected.
        line = self.line(fair=True)
        entries = [self.entry("large") for _ in range(6)] + [self.entry("small")]
        for entry in entries:
            line.arrive(entry, now_ms=0.0)
        for entry in entries[:6]:
            line.record_departure(entry, now_ms=0.0)
        self.has_slot = False
        for number in range(5):
            line._entries.append(self.entry("small", now_ms=number))
        self.assertFalse(line.arrive(self.entry("large", now_ms=9.0), now_ms=9.0).waits)
        self.assertTrue(line.arrive(self.entry("small", now_ms=9.0), now_ms=9.0).waits)


if __name__ == "__main__":
    unittest.main()
