"""Tests of a target's queue: order, shares, ageing, eviction, deadlines."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from waxwinghold._agent.queueing import (
    CLASS_WAIT_LIMIT_COUNT,
    PRIORITY_COUNT,
    QUEUE_POLICIES,
    FairQueue,
    FifoQueue,
    QueuedRequest,
)
from waxwinghold._errors import OverloadedError

FAR_MS = 1e9


def make_request(number, customer="guild", *, deadline_ms=FAR_MS, **kwargs):
    return QueuedRequest(
        request_id=f"r{number}",
        customer=customer,
        deadline_ms=deadline_ms,
        queued_ms=0.0,
        **kwargs,
    )


def drain(queue, count=10_000):
    taken = []
    while len(taken) < count and (item := queue.take(0.0)):
        taken.append(item)
    return taken


def position_of_last(taken, customer):
    return max(i for i, item in enumerate(taken) if item.customer == customer)


steps = st.lists(
    st.one_of(
        st.tuples(
            st.just("put"),
            st.sampled_from("abcd"),
            st.integers(0, PRIORITY_COUNT),
            st.sampled_from([0.5, 1.0, 4.0]),
            st.integers(1, 30),
        ),
        st.tuples(st.just("take"), st.integers(0, 3)),
        st.tuples(st.just("remove"), st.integers(0, 40)),
        st.tuples(st.just("expire"), st.integers(0, 3)),
    ),
    max_size=80,
)


class EveryPolicyTests(unittest.TestCase):
    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(steps=steps, policy=st.sampled_from(sorted(QUEUE_POLICIES)))
    def test_each_request_leaves_once_and_take_returns_one_if_any(self, steps, policy):
        queue = QUEUE_POLICIES[policy](limit_count=8)
        queued, now_ms, number = {}, 0, 0
        for step, *details in steps:
            if step == "put":
                customer, priority, share, lasts_ms = details
                number += 1
                item = QueuedRequest(
                    request_id=f"r{number}",
                    customer=customer,
                    priority=priority,
                    share=share,
                    deadline_ms=now_ms + lasts_ms,
                    queued_ms=now_ms,
                )
                try:
                    evicted = queue.put(item)
                except OverloadedError:
                    self.assertEqual(len(queue), 8)
                else:
                    queued[item.request_id] = item
                    if evicted:
                        self.assertIs(queued.pop(evicted.request_id), evicted)
            elif step == "take":
                now_ms += details[0]
                item = queue.take(now_ms)
                live = [i for i in queued.values() if i.deadline_ms > now_ms]
                if item is None:
                    self.assertEqual(live, [])
                else:
                    self.assertIn(queued.pop(item.request_id), live)
            elif step == "remove":
                removed = queue.remove(f"r{details[0]}")
                if removed:
                    del queued[removed.request_id]
            else:
                now_ms += details[0]
                for item in queue.expired(now_ms):
                    self.assertLessEqual(item.deadline_ms, now_ms)
                    del queued[item.request_id]
        self.assertEqual(set(queue._items) - set(queued), set())


class FairQueueTests(unittest.TestCase):
    def test_a_customer_at_ten_times_its_share_delays_no_other(self):
        positions = {}
        for policy in (FifoQueue, FairQueue):
            for flood_count in (10, 100):
                queue = policy(limit_count=1000)
                for number in range(flood_count):
                    queue.put(make_request(f"flood{number}", "flood"))
                for number in range(10):
                    for customer in "abc":
                        queue.put(make_request(f"{customer}{number}", customer))
                taken = drain(queue)
                positions[policy, flood_count] = position_of_last(taken, "c")
        self.assertEqual(positions[FairQueue, 100], positions[FairQueue, 10])
        self.assertEqual(positions[FifoQueue, 100], positions[FifoQueue, 10] + 90)

    @settings(derandomize=True, max_examples=50, deadline=None)
    @given(shares=st.lists(st.integers(1, 10), min_size=2, max_size=6))
    def test_backlogged_customers_get_their_shares(self, shares):
        queue = FairQueue(limit_count=10_000)
        for customer, share in enumerate(shares):
            for number in range(200):
                queue.put(make_request(f"{customer}-{number}", customer, share=share))
        taken = drain(queue, 100)
        for customer, share in enumerate(shares):
            count = sum(item.customer == customer for item in taken)
            self.assertAlmostEqual(count, 100 * share / sum(shares), delta=len(shares))

    def test_a_customer_gains_nothing_by_leaving_and_returning(self):
        queue = FairQueue(limit_count=100)
        for number in range(50):
            queue.put(make_request(f"steady{number}", "steady"))
        queue.put(make_request("hops0", "hops"))
        hops = 1
        for number in range(1, 40):
            if queue.take(0.0).customer == "hops":
                queue.put(make_request(f"hops{hops}", "hops"))
                hops += 1
        self.assertAlmostEqual(hops, 20, delta=2)

    @settings(derandomize=True, max_examples=50, deadline=None)
    @given(arrivals=st.lists(st.integers(0, PRIORITY_COUNT - 2), min_size=1))
    def test_a_flood_of_urgent_requests_starves_no_class(self, arrivals):
        queue = FairQueue(limit_count=1000)
        last = PRIORITY_COUNT - 1
        queue.put(make_request("patient", "archive", priority=last))
        for number in range(CLASS_WAIT_LIMIT_COUNT):
            priority = arrivals[number % len(arrivals)]
            queue.put(make_request(f"a{number}", priority=priority))
            queue.put(make_request(f"b{number}", priority=0))
            if queue.take(0.0).request_id == "rpatient":
                return
        self.fail("the least urgent class waited for too long")

    def test_the_urgent_class_is_served_first(self):
        queue = FairQueue(limit_count=100)
        queue.put(make_request(1, priority=2))
        queue.put(make_request(2, priority=0))
        self.assertEqual([i.request_id for i in drain(queue)], ["r2", "r1"])

    def test_a_full_queue_evicts_the_newest_of_the_largest_backlog(self):
        queue = FairQueue(limit_count=4)
        for number in range(4):
            queue.put(make_request(number, "flood", priority=number % 2))
        self.assertEqual(queue.put(make_request("new", "small")).request_id, "r3")
        with self.assertRaises(OverloadedError):
            queue.put(make_request("more", "flood"))
        self.assertEqual(queue.waiting_count("flood"), 3)
