"""Replays cold targets at many gateways, with notices that are late or lost."""

import unittest

from waxwinghold._decisions.cold_targets import (
    FIRST_LIST_MS,
    KNOWN_LIMIT_COUNT,
    KNOWN_MS,
    SHARE_RISE_MS,
    TARGETS_LIMIT_COUNT,
    ColdRule,
    ColdTargets,
    HeardShare,
    highest_per_second,
)
from waxwinghold._decisions.request_limits import issuer_of
from waxwinghold._gateway.notices import (
    AskPermitNotice,
    PermitNotice,
    decoder,
    encoder,
)
from waxwinghold._gateway.permits import Permits

from .support.gateway import FakeClock
from .test_decisions_request_limits import NOTICE_INTERVAL_MS
from .test_decisions_request_limits import World as LimitWorld
from .test_decisions_request_limits import _Gateway as LimitGateway

RULE = ColdRule(cold_ms=20_000.0, per_second=26.0)
NOW_MS = 1_000_000.0
BORN_MS = 1_700_000_000_000
# Settings of the platform: the bound in each second is rate x overrun + slack.
OVERRUN_RATIO = 1.5
SLACK_COUNT = 5
SECOND_MS = 1000.0
# Notices of a network in trouble, and of a usual one.
LOST_RATIO = 0.1
DELAY_LIMIT_MS = 300.0
USUAL_NETWORK = {"lost_ratio": 0.01, "delay_limit_ms": 30.0}
SILENCE_MS = 12_500.0  # Until 98 gateways drop a silent one.
# Shares of the rate that are used. In a network in trouble, many permits arrive after
# their end, or not at all.
USED_RATIO = 0.3
USUAL_USED_RATIO = 0.8


class _Gateway(LimitGateway):
    """A gateway that hears some of the others, and sends to the cold targets only.

    Attributes:
        is_holding: Whether it keeps the permits that it gets.
    """

    is_holding = False

    def serve(self):
        if not self.is_holding:
            super().serve()
        elif self.waiting_count:
            self.permits.want(list(self.world.targets))

    def start(self):
        super().start()
        world = self.world
        world.started_ms[self.ip] = world.clock.time_ms
        cold = ColdTargets()
        cold.configure({"s": RULE})
        self.permits = Permits(clock=world.clock, cold=cold)
        self.permits.listeners.append(self.serve)
        self.permits.connect(
            own_ip=self.ip,
            active_ips=lambda: world.heard(self.ip),
            send=self.send,
            seed_ips=world.seed_ips - {self.ip},
        )
        self.handlers = {
            AskPermitNotice: self.permits.on_ask,
            PermitNotice: self.permits.on_permit,
        }
        for target in world.targets:
            self.list_target(target)

    def list_target(self, target, *, written=1, left_ms=RULE.cold_ms):
        world = self.world
        self.permits.cold.record_listing(
            target,
            service="s",
            slots_count=12,
            born_ms=0,
            left_ms=left_ms,
            written=written,
            now_ms=world.clock.time_ms,
            wall_ms=BORN_MS,
        )

    def send(self, ip, notice):
        world = self.world
        if world.rng.random() < world.lost_ratio or not world.reaches(self.ip, ip):
            return
        data = encoder.encode(notice)
        delay_ms = world.rng.uniform(0.5, world.delay_limit_ms)
        world.after(delay_ms, lambda: world.deliver(self.ip, ip, data))


class World(LimitWorld):
    """Gateways and cold targets; gateways end, are cut off, start and restart."""

    gateway_type = _Gateway

    def __init__(
        self,
        *,
        gateways_count,
        seed=1,
        lost_ratio=LOST_RATIO,
        delay_limit_ms=DELAY_LIMIT_MS,
    ):
        self.lost_ratio, self.delay_limit_ms = lost_ratio, delay_limit_ms
        self.seed_ips = {f"10.0.0.{number}" for number in range(min(2, gateways_count))}
        self.started_ms = {}
        self.ended_ms = {}
        self.cut_ips = set()
        self.cut_ms = None
        super().__init__(
            gateways_count=gateways_count, targets={"t/1": None}, seed=seed
        )

    def heard(self, ip):
        """Return the other gateways that the one at ``ip`` counts as active."""
        now_ms = self.clock.time_ms
        # In the first interval after its start, it has heard nobody yet.
        if now_ms > NOW_MS and now_ms - self.started_ms[ip] < NOTICE_INTERVAL_MS:
            return []
        heard = []
        for other in self.gateways:
            silent_ms = self.ended_ms.get(other)
            if self.cut_ms is not None and not self.reaches(ip, other):
                silent_ms = self.cut_ms
            if other != ip and (silent_ms is None or now_ms < silent_ms + SILENCE_MS):
                heard.append(other)
        return heard

    def reaches(self, ip, other):
        return (ip in self.cut_ips) == (other in self.cut_ips)

    def cut(self, ips):
        self.cut_ips, self.cut_ms = set(ips), self.clock.time_ms

    def heal(self):
        self.cut_ips, self.cut_ms = set(), None

    def end(self, ip):
        self.ended_ms[ip] = self.clock.time_ms

    def deliver(self, sender_ip, ip, data):
        if ip in self.ended_ms:
            return
        notice = decoder.decode(data)
        handler = self.gateways[ip].handlers.get(type(notice))
        if handler is not None:
            handler(sender_ip, notice)

    def tell_version(self, ip):
        self.gateways[ip].permits.forget_ended()

    def record_request(self, gateway, target):
        if gateway.ip not in self.ended_ms:
            self.requests_ms[target].append(self.clock.time_ms)

    def issuer(self, target):
        return issuer_of(target, list(self.gateways))


class ReplayTests(unittest.TestCase):
    def world(self, *, gateways_count=98, calls_per_second=200.0, **options):
        world = World(gateways_count=gateways_count, **options)
        world.call(world.gateways, per_second=calls_per_second)
        return world

    def check_bound(self, world, *, target="t/1"):
        times_ms = sorted(world.requests_ms[target])
        bound_count = RULE.per_second * OVERRUN_RATIO + SLACK_COUNT
        first = 0
        for index, at_ms in enumerate(times_ms):
            while times_ms[first] <= at_ms - SECOND_MS:
                first += 1
            self.assertLessEqual(index - first + 1, bound_count, at_ms)

    def used_ratio(self, world, *, from_ms, to_ms, target="t/1"):
        count = sum(from_ms <= at_ms < to_ms for at_ms in world.requests_ms[target])
        return count / (RULE.per_second * (to_ms - from_ms) / SECOND_MS)

    def renew(self, world, *, every_ms=5000.0):
        """Let the target turn cold again and again."""
        writes = iter(range(2, 10_000))

        def turn_cold():
            written = next(writes)
            for gateway in list(world.gateways.values()):
                # The gateways hear of it at different times.
                delay_ms = world.rng.uniform(0.0, DELAY_LIMIT_MS)
                world.after(
                    delay_ms,
                    lambda gateway=gateway: gateway.list_target("t/1", written=written),
                )

        world.every(every_ms, turn_cold)

    def test_the_bound_holds_at_any_number_of_gateways(self):
        for gateways_count in (1, 7, 46, 98):
            for seed in (1, 2):
                with self.subTest(gateways_count=gateways_count, seed=seed):
                    world = self.world(gateways_count=gateways_count, seed=seed)
                    start_ms = world.clock.time_ms
                    world.run(18_000.0)
                    self.check_bound(world)
                    used = self.used_ratio(
                        world, from_ms=start_ms + 4000.0, to_ms=start_ms + 18_000.0
                    )
                    self.assertGreater(used, USED_RATIO)

    def test_the_rate_is_used_in_a_usual_network(self):
        for gateways_count in (1, 46, 98):
            with self.subTest(gateways_count=gateways_count):
                world = self.world(gateways_count=gateways_count, **USUAL_NETWORK)
                start_ms = world.clock.time_ms
                world.run(18_000.0)
                self.check_bound(world)
                used = self.used_ratio(
                    world, from_ms=start_ms + 4000.0, to_ms=start_ms + 18_000.0
                )
                self.assertGreater(used, USUAL_USED_RATIO)

    def test_without_permits_the_bound_is_exceeded(self):
        # Guards against a replay that could not fail.
        world = self.world(gateways_count=46)
        for gateway in world.gateways.values():
            gateway.permits.cold.configure({})
        world.run(5000.0)
        with self.assertRaises(AssertionError):
            self.check_bound(world)

    def test_the_bound_holds_when_the_issuer_is_lost(self):
        world = self.world()
        self.renew(world)
        world.run(8000.0)
        lost_ms = world.clock.time_ms
        world.end(world.issuer("t/1"))
        world.run(SILENCE_MS + 15_000.0)
        self.check_bound(world)
        # The next issuer takes over once the lost one is dropped.
        used = self.used_ratio(
            world,
            from_ms=lost_ms + SILENCE_MS + 5000.0,
            to_ms=lost_ms + SILENCE_MS + 15_000.0,
        )
        self.assertGreater(used, USED_RATIO)

    def test_the_bound_holds_when_the_issuer_restarts(self):
        world = self.world()
        self.renew(world)
        issuer = world.issuer("t/1")
        world.every(3000.0, lambda: world.restart(issuer))
        world.run(25_000.0)
        self.check_bound(world)

    def test_the_bound_holds_when_many_gateways_restart_at_once(self):
        # Each of them hears nobody for a moment, and would issue its own permits.
        world = self.world(**USUAL_NETWORK)
        self.renew(world)
        world.run(8000.0)
        for ip in list(world.gateways)[:40]:
            world.restart(ip)
        world.run(10_000.0)
        self.check_bound(world)

    def test_the_bound_holds_when_held_permits_are_used_at_once(self):
        world = self.world(calls_per_second=2000.0, **USUAL_NETWORK)
        for hold_ms in (200.0, 380.0, 800.0, 1500.0):
            self.set_holding(world, True)
            world.run(hold_ms)
            self.set_holding(world, False)
            world.run(1500.0)
        self.check_bound(world)
        self.assertGreater(self.used_ratio(world, **self.whole_run(world)), 0.0)

    def set_holding(self, world, is_holding):
        for gateway in world.gateways.values():
            gateway.is_holding = is_holding
            gateway.serve()

    def whole_run(self, world):
        return {"from_ms": NOW_MS, "to_ms": world.clock.time_ms}

    def test_the_bound_holds_when_a_gateway_starts_in_the_middle(self):
        world = self.world(gateways_count=45)
        self.renew(world)
        world.run(8000.0)
        for number in (200, 201):
            ip = f"10.0.0.{number}"
            world.gateways[ip] = _Gateway(world, ip)
            world.call([ip], per_second=50.0)
            world.run(6000.0)
        self.check_bound(world)

    def test_the_bound_holds_while_gateways_are_cut_off_and_afterwards(self):
        for seed in (1, 2, 3):
            with self.subTest(seed=seed):
                world = self.world(seed=seed, **USUAL_NETWORK)
                self.renew(world)
                world.run(8000.0)
                world.cut(list(world.gateways)[:33])
                world.run(SILENCE_MS + 15_000.0)
                world.heal()
                world.run(8000.0)
                self.check_bound(world)

    def test_the_bound_holds_when_a_target_turns_cold_again(self):
        world = self.world(gateways_count=60)
        self.renew(world, every_ms=7000.0)
        world.run(60_000.0)
        self.check_bound(world)
        self.assertGreater(
            self.used_ratio(
                world,
                from_ms=world.clock.time_ms - 50_000.0,
                to_ms=world.clock.time_ms,
            ),
            USED_RATIO,
        )


class ColdPermitTests(unittest.TestCase):
    def test_few_permits_are_saved_up_for_a_cold_target(self):
        # Those of half a second, as for named limits, could exceed the bound together
        # with those of the next second.
        clock, cold = FakeClock(), ColdTargets()
        cold.configure({"s": RULE})
        permits = Permits(clock=clock, cold=cold)
        permits.connect(own_ip="10.0.0.1", active_ips=list, send=None)
        cold.record_listing(
            "t/1",
            service="s",
            slots_count=12,
            born_ms=0,
            left_ms=RULE.cold_ms,
            written=1,
            now_ms=clock.now_ms(),
            wall_ms=BORN_MS,
        )
        permits.want(["t/1"])
        clock.time_ms += 5000.0
        used_count = 0
        while used_count < 20:
            permits.want(["t/1"])
            if not permits.may_send("t/1"):
                break
            permits.use("t/1")
            used_count += 1
        self.assertLessEqual(used_count, 3)


class ColdTargetTests(unittest.TestCase):
    def setUp(self):
        self.cold = ColdTargets()
        self.cold.configure({"s": RULE})

    def list_target(self, target="t/1", *, at_ms=NOW_MS, **fields):
        self.cold.record_listing(
            target,
            **{
                "service": "s",
                "slots_count": 6,
                "born_ms": 0,
                "left_ms": 0.0,
                "written": 1,
                "now_ms": at_ms,
                "wall_ms": BORN_MS + at_ms - NOW_MS,
                **fields,
            },
        )

    def left_ms(self, target="t/1", *, at_ms=NOW_MS):
        return self.cold.left_ms(target, now_ms=at_ms)

    def test_targets_of_the_first_list_are_cold_by_their_start_time(self):
        self.list_target("t/1", born_ms=BORN_MS - 5000)
        self.list_target("t/2", born_ms=BORN_MS - 25_000)
        self.list_target("t/3", born_ms=BORN_MS + 9000)  # Its clock is ahead.
        self.list_target("t/4")
        left_ms = [self.left_ms(f"t/{number}") for number in (1, 2, 3, 4)]
        self.assertEqual(left_ms, [15_000.0, 0.0, RULE.cold_ms, 0.0])

    def test_a_target_listed_for_the_first_time_is_cold(self):
        self.list_target("t/1")
        late_ms = NOW_MS + FIRST_LIST_MS
        self.list_target("t/2", at_ms=late_ms)
        self.list_target("t/1", at_ms=late_ms)
        self.assertEqual(self.left_ms("t/2", at_ms=late_ms), RULE.cold_ms)
        self.assertEqual(self.left_ms("t/1", at_ms=late_ms), 0.0)

    def test_a_target_that_is_listed_again_is_not_new(self):
        self.list_target()
        later_ms = NOW_MS + 60_000.0
        self.list_target(at_ms=later_ms)
        self.assertEqual(self.left_ms(at_ms=later_ms), 0.0)

    def test_a_target_is_cold_for_the_time_in_its_entry(self):
        self.list_target(left_ms=8000.0)
        self.assertEqual(self.left_ms(), 8000.0)
        # The same entry, read again.
        self.list_target(left_ms=8000.0, at_ms=NOW_MS + 5000)
        self.assertEqual(self.left_ms(at_ms=NOW_MS + 5000), 3000.0)
        self.assertEqual(self.left_ms(at_ms=NOW_MS + 8000), 0.0)
        self.list_target(left_ms=8000.0, at_ms=NOW_MS + 9000, written=2)
        self.assertEqual(self.left_ms(at_ms=NOW_MS + 9000), 8000.0)

    def test_a_later_entry_does_not_make_a_target_warm_early(self):
        self.list_target(left_ms=8000.0)
        self.list_target(left_ms=0.0, at_ms=NOW_MS + 1000, written=2)
        self.assertEqual(self.left_ms(at_ms=NOW_MS + 1000), 7000.0)

    def test_a_start_that_is_recorded_makes_a_listed_target_cold(self):
        self.list_target()
        self.cold.record_start("t/1", now_ms=NOW_MS)
        self.cold.record_start("unlisted/1", now_ms=NOW_MS)
        self.assertEqual(self.left_ms(), RULE.cold_ms)
        self.assertEqual(self.left_ms("unlisted/1"), 0.0)

    def test_without_a_rule_nothing_is_cold(self):
        self.cold.configure({})
        self.list_target(left_ms=8000.0, born_ms=BORN_MS)
        self.assertEqual(self.left_ms(), 0.0)
        self.assertFalse(self.cold.may_apply(now_ms=NOW_MS))
        self.assertIsNone(self.cold.per_second("t/1", now_ms=NOW_MS))
        # A rule that comes later applies to what was listed before.
        self.cold.configure({"s": RULE})
        self.assertEqual(self.left_ms(), RULE.cold_ms)

    def test_no_permit_is_needed_where_the_slots_keep_a_target_below_the_rate(self):
        self.list_target(left_ms=8000.0)
        self.assertEqual(self.cold.per_second("t/1", now_ms=NOW_MS), 26.0)
        for _ in range(200):
            self.cold.record_held("s", held_ms=1000.0)  # 24 a second at most.
        self.assertIsNone(self.cold.per_second("t/1", now_ms=NOW_MS))
        self.assertGreater(self.left_ms(), 0.0)
        for _ in range(200):
            self.cold.record_held("s", held_ms=500.0)  # 36 a second at most.
        self.assertEqual(self.cold.per_second("t/1", now_ms=NOW_MS), 26.0)

    def test_the_highest_rate_follows_from_slots_and_mean_time(self):
        self.assertEqual(highest_per_second(6, mean_held_ms=500.0), 36.0)
        self.assertEqual(highest_per_second(6, mean_held_ms=None), float("inf"))
        self.assertEqual(highest_per_second(6, mean_held_ms=0.0), float("inf"))

    def test_targets_are_remembered_in_bounded_space(self):
        for number in range(2 * TARGETS_LIMIT_COUNT):
            self.list_target(f"t{number}/1")
        self.assertEqual(len(self.cold._records), TARGETS_LIMIT_COUNT)


class HeardShareTests(unittest.TestCase):
    def test_both_sides_of_a_cut_get_no_more_than_the_whole(self):
        sides = HeardShare(), HeardShare()
        names = [f"g{number}" for number in range(10)]
        for share, own in zip(sides, ("g0", "g9")):
            others = [name for name in names if name != own]
            self.assertEqual(share.update(others, now_ms=0.0), 1.0)
        self.assertAlmostEqual(sides[0].update(names[1:3], now_ms=1.0), 0.3)
        self.assertAlmostEqual(sides[1].update(names[3:9], now_ms=1.0), 0.7)

    def test_a_share_rises_late_and_falls_at_once(self):
        share = HeardShare()
        share.update(["a", "b", "c"], now_ms=0.0)
        self.assertEqual(share.update(["a"], now_ms=1.0), 0.5)
        rising_ms = 1.0 + SHARE_RISE_MS
        self.assertEqual(share.update(["a", "b", "c"], now_ms=rising_ms - 1), 0.5)
        self.assertEqual(share.update(["a", "b", "c"], now_ms=rising_ms), 1.0)

    def test_processes_that_should_exist_count_as_known(self):
        share = HeardShare(expected=["a", "b", "c"], now_ms=0.0)
        self.assertEqual(share.update([], now_ms=1.0), 0.25)

    def test_ended_processes_are_forgotten_in_bounded_time_and_space(self):
        share = HeardShare()
        names = [f"g{number}" for number in range(2 * KNOWN_LIMIT_COUNT)]
        share.update(names, now_ms=0.0)
        self.assertLessEqual(len(share._heard_ms), KNOWN_LIMIT_COUNT)
        share.update([], now_ms=KNOWN_MS)
        self.assertEqual(share.update([], now_ms=KNOWN_MS + SHARE_RISE_MS), 1.0)
