"""Replays bursts of less urgent requests, and tests the reserve for urgent ones."""

import functools
import random
import unittest

import logbook
import msgspec

from waxwinghold._decisions.urgency import (
    MIN_START_SHARE,
    RESERVED_MAX_RATIO,
    STEP_MAX_COUNT,
    Urgency,
    rate_of,
    step_of,
)
from waxwinghold._decisions.waiting import (
    LineEntry,
    QueuedRequest,
    ServiceState,
    WaitingLine,
    queue_policy,
)
from waxwinghold._gateway.notices import FORMAT, GatewayNotice, decoder, encoder
from waxwinghold_bench.decision_replay import (
    NAIVE,
    OURS,
    arrivals,
    patterns,
    patterns_without_burst,
    replay,
)
from waxwinghold_bench.decision_replay.credit import credit_of_kind

SEEDS = (1, 2, 3, 4)
URGENT_LOSS_LIMIT = 0.03
SLOTS_COUNT = 100
SCARCE = ServiceState(slots_count=SLOTS_COUNT, free_ratio=0.1)
NONE_FREE = ServiceState(slots_count=SLOTS_COUNT, free_ratio=0.0)
HELD_MS = 1000.0


@functools.cache
def burst_credit(name, *, priority, has_burst, policies=OURS):
    """Return the mean credit of a kind in the seconds of the burst."""
    pattern = (patterns if has_burst else patterns_without_burst)[name]
    credits = []
    for seed in SEEDS:
        found = arrivals(pattern, seed=seed)
        with logbook.NullHandler().applicationbound():
            outcomes = replay(pattern, found, policies=policies, seed=seed)
        credits.append(credit_of_kind(outcomes, priority=priority))
    return sum(credits) / len(credits)


class BurstChecks:
    """The tests of one pattern of three kinds."""

    name = ""

    def test_a_burst_of_the_least_urgent_kind_costs_the_most_urgent_one_little(self):
        quiet = burst_credit(self.name, priority=0, has_burst=False)
        burst = burst_credit(self.name, priority=0, has_burst=True)
        self.assertGreaterEqual(burst, quiet - URGENT_LOSS_LIMIT)

    def test_the_most_urgent_kind_gets_more_than_with_the_naive_policy(self):
        naive = burst_credit(self.name, priority=0, has_burst=True, policies=NAIVE)
        ours = burst_credit(self.name, priority=0, has_burst=True)
        self.assertGreater(ours, naive)


class LeastUrgentBurstTests(BurstChecks, unittest.TestCase):
    name = "the least urgent kind at 2.5 times its rate"


class BurstBesideReleaseTests(BurstChecks, unittest.TestCase):
    name = "the least urgent kind beside a release"


class BurstBesideLostGatewayTests(BurstChecks, unittest.TestCase):
    name = "the least urgent kind beside a lost gateway"


class BurstAt46GatewaysTests(BurstChecks, unittest.TestCase):
    name = "the least urgent kind at 46 gateways"


class ReserveTests(unittest.TestCase):
    """Less urgent requests leave slots free; nothing else is changed."""

    def urgency(self, *, rates, peers=(), gateways_count=1):
        """Return an ``Urgency`` that has seen ``rates`` per second, at 4000 ms."""
        urgency = Urgency(
            gateways_count=lambda: gateways_count,
            peer_steps=lambda: peers,
            rng=random.Random(1),
        )
        for priority, per_second in rates.items():
            for number in range(4 * per_second):
                urgency.record_arrival(priority, now_ms=1000.0 * number / per_second)
        return urgency

    def reserved(self, urgency, priority, state=SCARCE):
        return urgency.reserved_ratio(priority, state=state, now_ms=3900.0)

    def test_only_more_urgent_arrivals_are_reserved_for(self):
        urgency = self.urgency(rates={0: 20, 1: 10, 2: 30})
        self.assertEqual(self.reserved(urgency, 0), 0.0)
        self.assertAlmostEqual(self.reserved(urgency, 1), 0.06)
        self.assertAlmostEqual(self.reserved(urgency, 2), 0.09)

    def test_nothing_is_reserved_with_one_priority_or_while_slots_are_free(self):
        for rates, state in (
            ({1: 20}, SCARCE),
            ({0: 20, 1: 20}, ServiceState(slots_count=100, free_ratio=0.25)),
        ):
            urgency = self.urgency(rates=rates)
            self.assertEqual(self.reserved(urgency, 1, state), 0.0)

    def test_arrivals_at_other_gateways_count(self):
        step = step_of(20.0)
        urgency = self.urgency(rates={1: 5}, peers=[{0: step}, {0: step}])
        urgent_count = 2 * rate_of(step) * 0.3
        self.assertAlmostEqual(self.reserved(urgency, 1), urgent_count / SLOTS_COUNT)

    def test_a_forged_figure_reserves_little_and_all_of_them_half_of_the_slots(self):
        forged = {0: STEP_MAX_COUNT}
        one = self.urgency(rates={1: 5}, peers=[forged], gateways_count=60)
        self.assertLessEqual(self.reserved(one, 1), RESERVED_MAX_RATIO * 4 / 60)
        many = self.urgency(rates={1: 5}, peers=[forged] * 59, gateways_count=60)
        self.assertEqual(self.reserved(many, 1), RESERVED_MAX_RATIO)

    def test_published_steps_stay_while_the_rate_changes_little(self):
        # Each change of a step is sent with the next notice instead of the fourth.
        rng, urgency = random.Random(3), Urgency()
        seen, now_ms = [], 0.0
        while now_ms < 60_000:
            now_ms += rng.expovariate(8 / 1000)
            urgency.record_arrival(rng.choice((0, 1)), now_ms=now_ms)
            steps = urgency.published_steps(state=SCARCE, now_ms=now_ms)
            if now_ms > 5000 and (not seen or seen[-1] != steps):
                seen.append(steps)
        self.assertLess(len(seen), 30)

    def test_steps_are_published_only_while_they_are_needed(self):
        urgency = self.urgency(rates={0: 5})
        free = ServiceState(slots_count=100, free_ratio=0.5)
        self.assertEqual(urgency.published_steps(state=free, now_ms=3900.0), {})
        self.assertEqual(
            urgency.published_steps(state=SCARCE, now_ms=3900.0), {0: step_of(5.0)}
        )


class MinimumShareTests(unittest.TestCase):
    """Each priority gets a tenth of the slots, at gateways that decide alone."""

    def starts_share(self, *, gateways_count, seed):
        """Return the starts of priority 1 while priority 0 takes whatever it can."""
        rng = random.Random(seed)
        lines, free = [], [0]
        steps = {0: step_of(4.0), 1: step_of(2.0)}
        for number in range(gateways_count):
            policy = queue_policy.make(
                "on_time_first",
                gateways_count=lambda: gateways_count,
                peer_steps=lambda: [steps] * (gateways_count - 1),
                rng=random.Random(f"{seed} {number}"),
            )
            lines.append(
                WaitingLine(
                    policy=policy,
                    choose=lambda tried, now_ms, needs_turn=True: (
                        "target" if free[0] else None
                    ),
                    state=lambda now_ms: NONE_FREE,
                )
            )
        running, starts = [], {0: 0, 1: 0}
        slots_count = 4 * gateways_count
        free[0] = slots_count
        for tick in range(500):
            now_ms = 20.0 * tick
            for ended in [item for item in running if item[0] <= now_ms]:
                running.remove(ended)
                free[0] += 1
                ended[1].record_departure(ended[2], now_ms=now_ms)
            for line in rng.sample(lines, len(lines)):
                for entry in line.entries():
                    if now_ms >= entry.request.queue_deadline_ms:
                        line.withdraw(entry)
                for priority, per_second in ((0, 8), (1, 4)):
                    if rng.random() < per_second / 50:
                        entry = LineEntry(request=self.request(priority, now_ms))
                        if line.arrive(entry, now_ms=now_ms).target:
                            self.start(line, entry, now_ms, running, free, starts)
                for entry, _ in line.serve(now_ms=now_ms):
                    self.start(line, entry, now_ms, running, free, starts)
        return starts[1] / sum(starts.values())

    def request(self, priority, now_ms):
        return QueuedRequest(
            arrived_ms=now_ms,
            start_until_ms=now_ms + 400.0,
            queue_deadline_ms=now_ms + 1600.0,
            priority=priority,
        )

    def start(self, line, entry, now_ms, running, free, starts):
        free[0] -= 1
        running.append((now_ms + HELD_MS, line, entry))
        if now_ms > 4000.0:
            starts[entry.request.priority] += 1

    def test_the_least_urgent_kind_gets_a_tenth_while_the_other_takes_the_rest(self):
        for gateways_count in (46, 98):
            with self.subTest(gateways_count=gateways_count):
                share = self.starts_share(gateways_count=gateways_count, seed=5)
                self.assertGreaterEqual(share, 0.9 * MIN_START_SHARE)
                self.assertLessEqual(share, 0.3)


class LineTests(unittest.TestCase):
    """A waiting request that may not start does not block one that may."""

    def setUp(self):
        self.has_slot = False
        self.state = SCARCE
        self.policy = queue_policy.make("on_time_first", rng=random.Random(1))
        self.line = WaitingLine(
            policy=self.policy,
            choose=lambda tried, now_ms, needs_turn=True: (
                "target" if self.has_slot else None
            ),
            state=lambda now_ms: self.state,
        )
        for number in range(160):  # 40 a second: 0.12 of the slots.
            self.policy.urgency.record_arrival(0, now_ms=25.0 * number)

    def entry(self, priority):
        request = QueuedRequest(
            arrived_ms=4000.0,
            start_until_ms=4400.0,
            queue_deadline_ms=6000.0,
            priority=priority,
        )
        return LineEntry(request=request)

    def test_an_urgent_request_starts_at_once_although_others_wait(self):
        # Without this it waited for the next serving of the line, 50 ms later.
        waiting = self.entry(1)
        self.has_slot = True
        self.assertTrue(self.line.arrive(waiting, now_ms=4000.0).waits)
        decision = self.line.arrive(self.entry(0), now_ms=4000.0)
        self.assertEqual(decision.target, "target")
        self.assertEqual(self.line.entries(), [waiting])

    def test_a_late_urgent_request_does_not_block_one_behind_it(self):
        late = QueuedRequest(
            arrived_ms=0.0, start_until_ms=400.0, queue_deadline_ms=9000.0
        )
        refused, behind = self.entry(1), LineEntry(request=late)
        for entry in (behind, refused):
            self.line.arrive(entry, now_ms=4000.0)
        self.has_slot = True
        served = [entry for entry, _ in self.line.serve(now_ms=4000.0)]
        self.assertEqual(served, [behind])


class ArrivalsNoticeTests(unittest.TestCase):
    """Gateways of both versions read each other's notices."""

    def test_a_notice_without_arrivals_is_read(self):
        fields = ["gateway", FORMAT, "g", "dc-a", 1, 1, [], {}, {"models": 3}]
        notice = decoder.decode(msgspec.msgpack.encode(fields))
        self.assertEqual((notice.arrivals, notice.waiting), ({}, {"models": 3}))

    def test_absurd_figures_are_rejected(self):
        for figures in (
            {"models": {0: STEP_MAX_COUNT + 1}},
            {"models": {-1: 1}},
            {"models": {0: float("inf")}},
            {f"service-{number}": {0: 1} for number in range(65)},
        ):
            notice = GatewayNotice(
                FORMAT, "g", "dc-a", 1, 1, [], {}, {}, arrivals=figures
            )
            with self.assertRaises(msgspec.ValidationError):
                decoder.decode(encoder.encode(notice))


if __name__ == "__main__":
    unittest.main()
