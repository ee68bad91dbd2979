"""Who waits and who is turned away, replayed over the loads that it answers."""

import random
import unittest

from waxwinghold._gateway.queue_policy import QueuedRequest, queue_policy

AIM_MS = 400.0
SERVICE_MS = 1000.0
SLOTS_COUNT = 20
PATIENCE_MS = 1600.0


def waiting(arrived_ms, *, last_chance=False):
    return QueuedRequest(
        arrived_ms=arrived_ms,
        goal_until_ms=arrived_ms + AIM_MS,
        queue_deadline_ms=arrived_ms + PATIENCE_MS,
        last_chance=last_chance,
    )


def replay(policy, *, load, length_ms=20_000.0, seed=7):
    """Play a service with ``SLOTS_COUNT`` places at ``load`` times its capacity.

    Returns:
        ``(on time, late, refused, waits of the refused)``.
    """
    rng = random.Random(seed)
    rate = load * SLOTS_COUNT / SERVICE_MS
    busy_until, queue, now_ms = [], [], 0.0
    on_time = late = refused = 0
    refused_waits = []
    while now_ms < length_ms:
        now_ms += rng.expovariate(rate)
        for end_ms in sorted(end for end in busy_until if end <= now_ms):
            busy_until.remove(end_ms)
            policy.rate.record(now_ms=end_ms)
            for one in [one for one in queue if one.queue_deadline_ms < end_ms]:
                queue.remove(one)
                refused += 1
                refused_waits.append(PATIENCE_MS)
            if queue:
                queue.sort(key=lambda one: policy.sort_key(one, now_ms=end_ms))
                one = queue.pop(0)
                busy_until.append(end_ms + SERVICE_MS)
                if end_ms <= one.goal_until_ms:
                    on_time += 1
                else:
                    late += 1
        one = waiting(now_ms)
        if len(busy_until) < SLOTS_COUNT:
            busy_until.append(now_ms + SERVICE_MS)
            on_time += 1
        elif policy.admits(one, ahead_count=len(queue), stalled=False, now_ms=now_ms):
            queue.append(one)
        else:
            refused += 1
            refused_waits.append(0.0)
    return on_time, late, refused, refused_waits


class OverloadTests(unittest.TestCase):
    def test_more_answers_are_on_time_than_in_order_of_arrival(self):
        for load in (1.3, 1.7, 2.5):
            with self.subTest(load=load):
                better = replay(queue_policy.make("on_time_first"), load=load)
                naive = replay(queue_policy.make("first_come"), load=load)
                self.assertGreater(better[0], naive[0])

    def test_most_refusals_come_at_once(self):
        *_, refused, waits = replay(queue_policy.make("on_time_first"), load=2.5)
        self.assertGreater(refused, 0)
        self.assertGreater(waits.count(0.0) / len(waits), 0.5)

    def test_nobody_is_refused_below_capacity(self):
        *_, refused, _ = replay(queue_policy.make("on_time_first"), load=0.7)
        self.assertEqual(refused, 0)


class StallTests(unittest.TestCase):
    def setUp(self):
        self.line = queue_policy.make("on_time_first", rng=random.Random(3))

    def test_callers_that_can_come_back_are_refused_at_once(self):
        admitted = self.line.admits(
            waiting(0.0), ahead_count=0, stalled=True, now_ms=0.0
        )
        self.assertFalse(admitted)

    def test_callers_that_cannot_come_back_may_wait(self):
        admitted = self.line.admits(
            waiting(0.0, last_chance=True), ahead_count=5, stalled=True, now_ms=0.0
        )
        self.assertTrue(admitted)

    def test_refused_callers_return_apart_and_after_seconds(self):
        times = [
            self.line.retry_after_ms(waiting_count=0, stalled=True, now_ms=0.0)
            for _ in range(50)
        ]
        self.assertGreater(min(times), 1500)
        self.assertLess(max(times), 8000 / 3)
        self.assertGreater(len({round(time) for time in times}), 20)

    def test_a_busy_line_tells_when_its_places_come_free(self):
        for number in range(20):
            self.line.rate.record(now_ms=100.0 * number)
        shorter = self.line.retry_after_ms(
            waiting_count=2, stalled=False, now_ms=2000.0
        )
        longer = self.line.retry_after_ms(
            waiting_count=15, stalled=False, now_ms=2000.0
        )
        self.assertGreater(longer, shorter)
