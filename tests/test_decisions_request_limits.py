"""Replays targets that name a limit to gateways with many and with few callers."""

import heapq
import itertools
import random
import unittest

from waxwinghold._decisions.request_limits import (
    ASK_INTERVAL_MS,
    LIFETIME_MS,
    PER_SECOND_LIMIT,
    TARGETS_LIMIT_COUNT,
    PermitIssuer,
    RequestLimits,
    ReturnTimes,
    issuer_of,
    may_wait,
    read_limit,
)
from waxwinghold._gateway.limit_exchange import LimitExchange
from waxwinghold._gateway.notices import (
    AskLimitsNotice,
    AskPermitNotice,
    LimitsNotice,
    PermitNotice,
    decoder,
    encoder,
)
from waxwinghold._gateway.permits import Permits

from .support.gateway import FakeClock

TRANSIT_MS = 1.5
ANSWER_MS = 300.0
NOTICE_INTERVAL_MS = 800.0
CONTACT_MS = 3000.0
WINDOW_MS = 4000.0
USED_RATIO = 0.85
LINK_LIMIT_BYTES_PER_SECOND = 11 * 1024  # What a gateway may spend on control.


def bound_count(per_second):
    return 1.5 * per_second * WINDOW_MS / 1000 + 5


class _Gateway:
    def __init__(self, world, ip):
        self.world = world
        self.ip = ip
        self.sent_bytes = 0
        self.waiting_count = 0
        self.start()

    def start(self):
        clock = self.world.clock
        self.permits = Permits(clock=clock)
        self.permits.listeners.append(self.serve)
        self.permits.connect(own_ip=self.ip, active_ips=self._others, send=self.send)
        self.exchange = LimitExchange(
            clock=clock, limits=self.permits.limits, send=self.send
        )
        self.handlers = {
            AskPermitNotice: self.permits.on_ask,
            PermitNotice: self.permits.on_permit,
            AskLimitsNotice: self.exchange.on_ask,
            LimitsNotice: self.exchange.on_told,
        }

    def _others(self):
        return [ip for ip in self.world.gateways if ip != self.ip]

    def send(self, ip, notice):
        data = encoder.encode(notice)
        self.sent_bytes += len(data)
        self.world.after(TRANSIT_MS, lambda: self.world.deliver(self.ip, ip, data))

    def arrive(self):
        self.waiting_count += 1
        self.serve()

    def serve(self):
        """Send what waits, and drop it if it cannot be sent now."""
        while self.waiting_count:
            targets = list(self.world.targets)
            self.permits.want([t for t in targets if not self.permits.may_send(t)])
            usable = [target for target in targets if self.permits.may_send(target)]
            if not usable:
                if all(self.permits.wait_ms(target) for target in targets):
                    self.world.rejected_count += self.waiting_count
                    self.waiting_count = 0
                return
            self.waiting_count -= 1
            target = self.world.rng.choice(usable)
            self.permits.use(target)
            self.world.record_request(self, target)


class World:
    """Gateways, and targets that name limits, on a clock of their own.

    Attributes:
        targets: The limit of each target, by its name and incarnation; ``None`` if it
            names none.
        requests_ms: When each target got its requests.
    """

    gateway_type = _Gateway

    def __init__(self, *, gateways_count, targets, seed=1):
        self.rng = random.Random(seed)
        self.clock = FakeClock()
        self.targets = dict(targets)
        self.requests_ms = {target: [] for target in targets}
        self._events = []
        self._numbers = itertools.count()
        self.gateways = {}
        for number in range(gateways_count):
            ip = f"10.0.0.{number}"
            self.gateways[ip] = self.gateway_type(self, ip)
        self.rejected_count = 0
        for ip in self.gateways:
            self.after(
                self.rng.uniform(0.0, NOTICE_INTERVAL_MS),
                lambda ip=ip: self.every(
                    NOTICE_INTERVAL_MS, lambda: self.tell_version(ip)
                ),
            )

    def after(self, delay_ms, run):
        at_ms = self.clock.time_ms + delay_ms
        heapq.heappush(self._events, (at_ms, next(self._numbers), run))

    def every(self, interval_ms, run):
        def again():
            run()
            self.after(interval_ms, again)

        self.after(interval_ms, again)

    def call(self, ips, *, per_second):
        """Let callers come to some gateways, at random times."""
        ips = list(ips)

        def arrive():
            self.gateways[self.rng.choice(ips)].arrive()
            self.after(self.rng.expovariate(per_second / 1000), arrive)

        self.after(0.0, arrive)

    def run(self, for_ms):
        end_ms = self.clock.time_ms + for_ms
        while self._events and self._events[0][0] <= end_ms:
            self.clock.time_ms, _, run = heapq.heappop(self._events)
            run()
        self.clock.time_ms = end_ms

    def deliver(self, sender_ip, ip, data):
        gateway = self.gateways[ip]
        notice = decoder.decode(data)
        gateway.handlers[type(notice)](sender_ip, notice)

    def tell_version(self, ip):
        version = self.gateways[ip].exchange.version()
        for gateway in self.gateways.values():
            if gateway.ip != ip:
                gateway.exchange.on_version(ip, version)

    def record_request(self, gateway, target):
        self.requests_ms[target].append(self.clock.time_ms)
        permits = gateway.permits

        def answer():
            permits.limits.record(
                target,
                per_second=self.targets[target],
                now_ms=self.clock.time_ms,
            )

        self.after(ANSWER_MS, answer)

    def restart(self, ip):
        self.gateways[ip].start()


class LimitReplayTests(unittest.TestCase):
    def check_windows(self, world, target, *, per_second, from_ms):
        times_ms = [at_ms for at_ms in world.requests_ms[target] if at_ms >= from_ms]
        for index, at_ms in enumerate(times_ms):
            count = sum(other < at_ms + WINDOW_MS for other in times_ms[index:])
            self.assertLessEqual(count, bound_count(per_second))

    def used_ratio(self, world, target, *, per_second, from_ms, for_ms):
        times_ms = [
            at_ms
            for at_ms in world.requests_ms[target]
            if from_ms <= at_ms < from_ms + for_ms
        ]
        return len(times_ms) / (per_second * for_ms / 1000)

    def check(self, *, gateways_count, callers_count, per_second, calls_per_second):
        world = World(gateways_count=gateways_count, targets={"t/1": per_second})
        ips = list(world.gateways)[:callers_count]
        world.call(ips, per_second=calls_per_second)
        from_ms = world.clock.time_ms + CONTACT_MS
        for_ms = 40_000.0
        world.run(CONTACT_MS + for_ms)
        self.check_windows(world, "t/1", per_second=per_second, from_ms=from_ms)
        used = self.used_ratio(
            world, "t/1", per_second=per_second, from_ms=from_ms, for_ms=for_ms
        )
        self.assertGreaterEqual(used, USED_RATIO)
        self.assertLessEqual(used, 1.1)

    def test_98_gateways_share_a_limit_of_1_a_second(self):
        self.check(
            gateways_count=98, callers_count=98, per_second=1.0, calls_per_second=20
        )

    def test_2_of_98_gateways_use_a_limit_of_1_a_second_whole(self):
        self.check(
            gateways_count=98, callers_count=2, per_second=1.0, calls_per_second=20
        )

    def test_7_gateways_share_a_limit_of_40_a_second(self):
        self.check(
            gateways_count=7, callers_count=7, per_second=40.0, calls_per_second=100
        )

    def test_a_gateway_alone_keeps_a_limit(self):
        self.check(
            gateways_count=1, callers_count=1, per_second=2.0, calls_per_second=10
        )

    def test_restarted_gateways_give_out_no_permit_twice(self):
        world = World(gateways_count=7, targets={"t/1": 2.0})
        world.call(world.gateways, per_second=30)
        ips = itertools.cycle(world.gateways)
        world.every(1000.0, lambda: world.restart(next(ips)))
        from_ms = world.clock.time_ms + CONTACT_MS
        world.run(40_000.0)
        # A gateway that restarts sends once before it knows the limit.
        self.check_windows(world, "t/1", per_second=2.0 + 1.0, from_ms=from_ms)

    def test_a_limit_that_changes_is_kept_and_used(self):
        world = World(gateways_count=7, targets={"t/1": 4.0})
        world.call(world.gateways, per_second=30)
        for per_second in (4.0, 0.5, 2.0):
            world.targets["t/1"] = per_second
            from_ms = world.clock.time_ms + CONTACT_MS
            world.run(CONTACT_MS + 30_000.0)
            with self.subTest(per_second=per_second):
                self.check_windows(world, "t/1", per_second=per_second, from_ms=from_ms)
                used = self.used_ratio(
                    world,
                    "t/1",
                    per_second=per_second,
                    from_ms=from_ms,
                    for_ms=30_000.0,
                )
                self.assertGreaterEqual(used, USED_RATIO)
            world.requests_ms["t/1"].clear()

    def test_a_limit_that_ends_is_forgotten_everywhere(self):
        world = World(gateways_count=7, targets={"t/1": 2.0})
        world.call(world.gateways, per_second=30)
        world.run(10_000.0)
        world.targets["t/1"] = None
        world.run(LIFETIME_MS)
        world.rejected_count = 0
        world.run(5000.0)
        self.assertEqual(world.rejected_count, 0)
        for gateway in world.gateways.values():
            limits = gateway.permits.limits
            self.assertIsNone(limits.per_second("t/1", now_ms=world.clock.time_ms))

    def test_a_successor_of_a_target_has_no_limit(self):
        limits = RequestLimits()
        limits.record("t/1", per_second=1.0, now_ms=0.0)
        self.assertEqual(limits.per_second("t/1", now_ms=1.0), 1.0)
        self.assertIsNone(limits.per_second("t/2", now_ms=1.0))

    def test_limits_spread_to_98_gateways_in_bounded_time_and_bytes(self):
        world = World(gateways_count=98, targets={})
        names = [f"i-{number:010x}/1700000000000" for number in range(134)]
        for number, name in enumerate(names):
            gateway = world.gateways[f"10.0.0.{number % 98}"]
            gateway.permits.limits.record(
                name, per_second=1.5, now_ms=world.clock.time_ms
            )
        world.run(8000.0)
        known = {
            gateway.permits.limits.limited_count(now_ms=world.clock.time_ms)
            for gateway in world.gateways.values()
        }
        self.assertEqual(known, {len(names)})
        sent_bytes = max(gateway.sent_bytes for gateway in world.gateways.values())
        for gateway in world.gateways.values():
            gateway.sent_bytes = 0
        self.assertLess(sent_bytes / 8.0, 2 * LINK_LIMIT_BYTES_PER_SECOND)
        world.run(1500.0)
        sent_bytes = max(gateway.sent_bytes for gateway in world.gateways.values())
        self.assertEqual(sent_bytes, 0)


class LimitTests(unittest.TestCase):
    def setUp(self):
        self.limits = RequestLimits()

    def test_nonsense_is_no_limit(self):
        for text in ("", "soon", "-1", "nan", "inf", "1e999", "1,5", "9" * 400, "\xff"):
            with self.subTest(text=text), self.assertRaises(ValueError):
                read_limit(text)
        self.assertEqual(read_limit(" 1.25 "), 1.25)
        self.limits.record("t/1", per_second=2 * PER_SECOND_LIMIT, now_ms=0.0)
        self.assertIsNone(self.limits.per_second("t/1", now_ms=0.0))

    def test_the_later_of_two_answers_counts(self):
        self.limits.record("t/1", per_second=2.0, now_ms=1000.0)
        self.limits.merge_records([("t/1", 9.0, 500)], now_ms=1200.0)
        self.assertEqual(self.limits.per_second("t/1", now_ms=1200.0), 2.0)
        self.limits.merge_records([("t/1", None, 100)], now_ms=1200.0)
        self.assertIsNone(self.limits.per_second("t/1", now_ms=1200.0))
        self.limits.merge_records([("t/1", 2.0, 300)], now_ms=1300.0)
        self.assertIsNone(self.limits.per_second("t/1", now_ms=1300.0))

    def test_a_limit_is_forgotten_in_bounded_time_and_space(self):
        for number in range(2 * TARGETS_LIMIT_COUNT):
            self.limits.record(f"t{number}/1", per_second=1.0, now_ms=0.0)
        self.assertEqual(len(self.limits), TARGETS_LIMIT_COUNT)
        self.assertNotEqual(self.limits.version(now_ms=0.0), 0)
        self.assertEqual(self.limits.version(now_ms=LIFETIME_MS), 0)
        self.assertEqual(len(self.limits), 0)

    def test_what_others_tell_does_not_prolong_a_limit(self):
        other = RequestLimits()
        self.limits.record("t/1", per_second=1.0, now_ms=0.0)
        for now_ms in (8000.0, 16_000.0, 24_000.0):
            other.merge_records(self.limits.records(now_ms=now_ms), now_ms=now_ms)
            self.limits.merge_records(other.records(now_ms=now_ms), now_ms=now_ms)
        self.assertIsNone(self.limits.per_second("t/1", now_ms=24_000.0))
        self.assertIsNone(other.per_second("t/1", now_ms=24_000.0))

    def test_unusable_records_are_left_out(self):
        records = [("t/1", -1.0, 0), ("t/2", float("inf"), 0), ("t/3", 1.0, -5)]
        self.limits.merge_records(records, now_ms=0.0)
        self.assertEqual(len(self.limits), 0)

    def test_a_limit_of_0_gives_no_permit(self):
        issuer = PermitIssuer()
        for now_ms in (0.0, 5000.0, 1e6):
            wait_ms = issuer.issue("t/1", per_second=0.0, now_ms=now_ms)
            self.assertGreater(wait_ms, 0.0)

    def test_the_wait_for_a_permit_is_honest(self):
        issuer = PermitIssuer()
        wait_ms = issuer.issue("t/1", per_second=2.0, now_ms=0.0)
        self.assertGreater(
            issuer.issue("t/1", per_second=2.0, now_ms=0.9 * wait_ms), 0.0
        )
        self.assertEqual(issuer.issue("t/1", per_second=2.0, now_ms=wait_ms), 0.0)

    def test_callers_come_back_one_after_the_other(self):
        times, rng = ReturnTimes(), random.Random(1)
        retries_ms = [
            times.retry_after_ms(wait_ms=200.0, per_second=2.0, now_ms=0.0, rng=rng)
            for _ in range(8)
        ]
        self.assertGreaterEqual(retries_ms[0], 200.0)
        for earlier_ms, later_ms in itertools.pairwise(retries_ms):
            self.assertGreater(later_ms, earlier_ms)

    def test_a_request_waits_only_if_a_permit_is_likely_in_time(self):
        fields = {"per_second": 10.0, "start_until_ms": 400.0, "now_ms": 0.0}
        self.assertTrue(may_wait(wait_ms=50.0, ahead_count=2, **fields))
        self.assertFalse(may_wait(wait_ms=50.0, ahead_count=4, **fields))
        self.assertFalse(may_wait(wait_ms=500.0, ahead_count=0, **fields))

    def test_gateways_that_know_the_same_ones_choose_the_same_issuer(self):
        ips = [f"10.0.0.{number}" for number in range(98)]
        issuers = {issuer_of(f"t{number}/1", ips) for number in range(500)}
        self.assertGreater(len(issuers), 90)
        self.assertEqual(issuer_of("t/1", ips), issuer_of("t/1", ips[::-1]))


class ForgedPermitTests(unittest.TestCase):
    def setUp(self):
        self.clock = FakeClock()
        self.sent = []
        self.permits = Permits(clock=self.clock)
        self.permits.connect(
            own_ip="10.0.0.1",
            active_ips=lambda: ["10.0.0.2"],
            send=lambda ip, notice: self.sent.append((ip, notice)),
        )
        number = next(
            number
            for number in itertools.count()
            if issuer_of(f"t{number}/1", ["10.0.0.1", "10.0.0.2"]) == "10.0.0.2"
        )
        self.target = f"t{number}/1"
        self.permits.limits.record(
            self.target, per_second=1.0, now_ms=self.clock.time_ms
        )
        self.permits.want([self.target])

    def answer(self, ip, *, echo):
        self.permits.on_permit(ip, PermitNotice(format=5, echo=echo, wait_ms=0.0))
        return self.permits.may_send(self.target)

    def test_a_permit_that_nobody_asked_for_is_ignored(self):
        ip, question = self.sent[0]
        self.assertEqual(ip, "10.0.0.2")
        self.assertFalse(self.answer("10.0.0.2", echo=question.nonce + 1))
        self.assertFalse(self.answer("10.0.0.3", echo=question.nonce))

    def test_a_permit_counts_once(self):
        nonce = self.sent[0][1].nonce
        self.assertTrue(self.answer("10.0.0.2", echo=nonce))
        self.permits.use(self.target)
        self.assertFalse(self.answer("10.0.0.2", echo=nonce))

    def test_a_silent_issuer_does_not_make_requests_wait(self):
        self.assertEqual(self.permits.wait_ms(self.target), 0.0)
        self.clock.time_ms += ASK_INTERVAL_MS
        self.permits.want([self.target])
        self.assertEqual(len(self.sent), 2)
        self.assertGreater(self.permits.wait_ms(self.target), 0.0)
        self.assertTrue(self.answer("10.0.0.2", echo=self.sent[1][1].nonce))
        self.assertEqual(self.permits.wait_ms(self.target), 0.0)

    def test_a_question_of_no_gateway_gets_no_answer(self):
        ask = AskPermitNotice(format=5, nonce=1, target="x/1", per_second=1.0)
        self.permits.on_ask("10.0.0.9", ask)
        self.assertEqual(len(self.sent), 1)
