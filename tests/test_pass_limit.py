"""Tests of the limit of running requests that keeps the passes of a group short."""

import math
import random
import unittest

import logbook
import msgspec

from waxwinghold._decisions.pass_limit import (
    LATE_ROOM_RATIO,
    PassGoal,
    PassMeter,
    may_take,
)
from waxwinghold._decisions.target_choice import Turns, target_policy
from waxwinghold._gateway.admission_queue import service_state
from waxwinghold._gateway.model import (
    Configuration,
    RequestKind,
    Route,
    Service,
    ServiceShare,
)
from waxwinghold._gateway.notices import FORMAT, GroupNotice
from waxwinghold._gateway.published_state import PublishedState
from waxwinghold._gateway.targets import TargetPool

from .support.gateway import FakeClock
from .test_gateway_seats import SLOTS_COUNT, listing, rank_notice

BASE_MS = 34.0
SLOPE_MS = 0.6
GOAL = PassGoal(gap_goal_ms=120.0, base_ms=BASE_MS)
NOTICE_INTERVAL_MS = 130.0
GROUP_SLOTS_COUNT = 160


def steps(meter, *, running_count, from_ms=0.0, length_ms=3000.0, slope_ms=SLOPE_MS):
    """Record the notices of a group with a constant number of running requests."""
    pass_ms = BASE_MS + slope_ms * running_count
    now_ms = from_ms
    while now_ms <= from_ms + length_ms:
        step = int(now_ms / pass_ms)
        meter.record(step=step, running_count=running_count, now_ms=now_ms)
        now_ms += NOTICE_INTERVAL_MS
    return now_ms - NOTICE_INTERVAL_MS


class MeterTests(unittest.TestCase):
    def limit(self, meter, now_ms, *, goal=GOAL):
        return meter.limit_count(
            goal=goal, slots_count=GROUP_SLOTS_COUNT, now_ms=now_ms
        )

    def test_the_limit_is_where_the_mean_pass_is_three_quarters_of_the_goal(self):
        for running_count in (45, 89, 130):
            with self.subTest(running_count=running_count):
                meter = PassMeter()
                now_ms = steps(meter, running_count=running_count)
                exact = (0.75 * 120 - BASE_MS) / SLOPE_MS
                self.assertAlmostEqual(
                    self.limit(meter, now_ms), exact, delta=0.06 * exact
                )

    def test_there_is_no_limit_before_passes_were_measured(self):
        meter = PassMeter()
        now_ms = steps(meter, running_count=130, length_ms=300.0)
        self.assertIsNone(self.limit(meter, now_ms))

    def test_there_is_no_limit_without_a_goal(self):
        meter = PassMeter()
        now_ms = steps(meter, running_count=130)
        self.assertIsNone(self.limit(meter, now_ms, goal=None))

    def test_an_old_measurement_gives_no_limit(self):
        meter = PassMeter()
        now_ms = steps(meter, running_count=130)
        self.assertIsNotNone(self.limit(meter, now_ms + 1000.0))
        self.assertIsNone(self.limit(meter, now_ms + 6000.0))

    def test_a_limit_leaves_more_than_half_of_the_slots_in_use(self):
        meter = PassMeter()
        now_ms = steps(meter, running_count=80, slope_ms=0.7)
        self.assertEqual(self.limit(meter, now_ms), 88)

    def test_a_group_that_is_late_in_any_case_has_no_limit(self):
        meter = PassMeter()
        # At 0.8 ms, 88 requests make passes of 104 ms. The longest pause of a stream is
        # a fifth longer than the mean pass, so that nearly all are late.
        for slope_ms in (0.8, 1.2):
            with self.subTest(slope_ms=slope_ms):
                meter = PassMeter()
                now_ms = steps(meter, running_count=80, slope_ms=slope_ms)
                self.assertIsNone(self.limit(meter, now_ms))

    def test_stalls_and_idle_times_do_not_count_as_long_passes(self):
        meter = PassMeter()
        now_ms = steps(meter, running_count=89)
        before = self.limit(meter, now_ms)
        meter.record(step=10**6, running_count=89, now_ms=now_ms + 2000.0)
        self.assertEqual(self.limit(meter, now_ms + 2000.0), before)
        for number in range(4):
            meter.record(
                step=10**6, running_count=0, now_ms=now_ms + 2000.0 + 100.0 * number
            )
        meter.record(step=10**6 + 1, running_count=20, now_ms=now_ms + 2500.0)
        self.assertEqual(self.limit(meter, now_ms + 2500.0), before)

    def test_a_forged_step_is_not_measured(self):
        meter = PassMeter()
        now_ms = steps(meter, running_count=89)
        before = self.limit(meter, now_ms)
        meter.record(step=2**53, running_count=89, now_ms=now_ms + 10.0)
        self.assertEqual(self.limit(meter, now_ms + 10.0), before)
        now_ms = steps(meter, running_count=130, from_ms=now_ms + 130.0)
        exact = (0.75 * 120 - BASE_MS) / SLOPE_MS
        self.assertAlmostEqual(self.limit(meter, now_ms), exact, delta=0.06 * exact)


class MayTakeTests(unittest.TestCase):
    """What one of 60 gateways does with the room that all of them see."""

    def takes(self, room_count, *, own_change_count=0, position=0, wall_ms=0):
        turns = Turns(position=lambda: position, count=lambda: 60)
        return may_take(
            room_count=room_count,
            limit_count=100,
            own_change_count=own_change_count,
            gateways_count=60,
            is_drawn=lambda count: turns.is_drawn("g", count, wall_ms=wall_ms),
        )

    def test_a_full_group_gets_no_request(self):
        self.assertFalse(self.takes(0))
        self.assertFalse(self.takes(0, own_change_count=-2))

    def test_a_gateway_replaces_its_own_requests(self):
        self.assertTrue(self.takes(1, own_change_count=-1))

    def test_a_gateway_waits_for_no_turn_while_there_is_ample_room(self):
        for position in range(60):
            self.assertTrue(self.takes(40, position=position))

    def test_the_less_room_there_is_the_fewer_gateways_take_some(self):
        for wall_ms in range(0, 1000, 100):
            for room_count, drawn_count in ((1, 2), (5, 10), (10, 20), (30, 60)):
                taken = sum(
                    self.takes(room_count, position=position, wall_ms=wall_ms)
                    for position in range(60)
                )
                self.assertEqual(taken, drawn_count)

    def test_one_gateway_does_not_take_all_room_at_once(self):
        self.assertTrue(self.takes(40, own_change_count=1))
        self.assertFalse(self.takes(40, own_change_count=2))

    def test_each_gateway_gets_its_turn(self):
        for position in range(60):
            turns = [
                self.takes(10, position=position, wall_ms=100 * number)
                for number in range(200)
            ]
            self.assertGreater(sum(turns), 2)


class PassGoalTests(unittest.TestCase):
    """Which services have a limit, by the configuration."""

    def goals(self, *, gap_goals_ms=(), grouped=True, pass_base_ms=BASE_MS):
        service = Service(
            name="models",
            connections_limit_count=10,
            grouped=grouped,
            pass_base_ms=pass_base_ms,
        )
        routes = [
            Route(
                name=f"r{number}",
                host="h",
                prefix=f"/{number}/",
                kind=RequestKind.STREAM,
                shares=(ServiceShare(service="models"),),
                timeout_ms=8000.0,
                latency_goal_ms=400.0,
                gap_goal_ms=gap_goal_ms,
            )
            for number, gap_goal_ms in enumerate(gap_goals_ms)
        ]
        configuration = Configuration(
            version=1, routes=tuple(routes), services={"models": service}
        )
        pool = TargetPool(clock=FakeClock())
        pool.limits_passes = True
        published = PublishedState(clock=FakeClock(), target_pool=pool, grace_ms=0.0)
        published.apply_configuration(configuration)
        return pool.pass_goals

    def test_the_lowest_goal_of_all_routes_counts(self):
        goals = self.goals(gap_goals_ms=(200.0, 0.0, 120.0, 150.0))
        self.assertEqual(goals, {"models": GOAL})

    def test_a_service_without_groups_or_goals_has_no_limit(self):
        self.assertEqual(self.goals(gap_goals_ms=(120.0,), grouped=False), {})
        self.assertEqual(self.goals(gap_goals_ms=(0.0, -1.0)), {})
        self.assertEqual(self.goals(), {})


class GroupCase(unittest.TestCase):
    """A group of four ranks whose passes lengthen as in the measurements."""

    RANKS_COUNT = 4
    RUNNING_COUNT = 16
    SLOPE_MS = 4.0  # As many ranks as this need fewer requests for a long pass.

    def setUp(self):
        self.clock = FakeClock()
        self.pool = TargetPool(clock=self.clock)
        self.pool.replace([listing(f"w{number}") for number in range(self.RANKS_COUNT)])
        self.pool.pass_goals = {"models": GOAL}
        self.sequence = 0
        for number in range(self.RANKS_COUNT):
            self.pool.update_rank(rank_notice(number, running=0))

    def notify(self, running_count, *, length_ms=130.0):
        """Send the notices of the next ``length_ms`` with equal loads of all ranks."""
        pass_ms = BASE_MS + self.SLOPE_MS * running_count
        end_ms = self.clock.time_ms + length_ms
        while self.clock.time_ms < end_ms:
            self.clock.time_ms += NOTICE_INTERVAL_MS
            self.sequence += 1
            base, more = divmod(running_count, self.RANKS_COUNT)
            ranks = [
                (rank, 0, base + (rank < more), 0, 10)
                for rank in range(self.RANKS_COUNT)
            ]
            notice = GroupNotice(
                format=FORMAT,
                started_ms=1,
                sequence=self.sequence,
                group="g",
                epoch=1,
                is_open=True,
                step=int(self.clock.time_ms / pass_ms),
                ranks=ranks,
            )
            self.pool.update_group(notice)

    def state(self):
        targets = self.pool.of_service("models")
        return service_state(targets, now_ms=self.clock.now_ms())

    def choose(self):
        policy = target_policy.make(
            "least_held", data_centre="dc-a", rng=random.Random(1)
        )
        return policy.choose(
            self.pool.of_service("models"),
            tried=frozenset(),
            now_ms=self.clock.now_ms(),
        )


class GroupTests(GroupCase):
    def test_a_group_at_its_limit_has_no_free_slot(self):
        self.notify(self.RUNNING_COUNT, length_ms=3000.0)
        limit_count = self.pool.get("w0").progress.limit_count
        self.assertLess(limit_count, self.RUNNING_COUNT + 1)
        now_ms = self.clock.now_ms()
        for target in self.pool:
            self.assertLessEqual(target.free_slots_count(now_ms=now_ms), 0)
        self.assertIsNone(self.choose())
        self.assertEqual(self.state().free_ratio, 0.0)
        self.assertEqual(self.state().slots_count, limit_count)

    def test_late_requests_leave_a_part_of_the_limit_free(self):
        self.notify(self.RUNNING_COUNT, length_ms=3000.0)
        self.notify(10)
        limit_count = self.pool.get("w0").progress.limit_count
        self.assertEqual(self.state().slots_count, limit_count)
        self.assertAlmostEqual(
            self.state().free_ratio,
            (limit_count - 10 - math.ceil(LATE_ROOM_RATIO * limit_count)) / limit_count,
        )
        self.assertIsNotNone(self.choose())

    def test_requests_sent_since_the_last_notice_count(self):
        self.notify(self.RUNNING_COUNT, length_ms=3000.0)
        self.notify(10)
        now_ms = self.clock.now_ms()
        progress = self.pool.get("w0").progress
        room_count = progress.room_count(now_ms=now_ms)
        for _ in range(room_count):
            self.choose().acquire_slot()
        self.assertEqual(progress.room_count(now_ms=now_ms), 0)
        self.assertIsNone(self.choose())
        self.pool.get("w0").release_slot()
        self.assertEqual(progress.room_count(now_ms=now_ms), 1)
        self.clock.time_ms += 50.0
        self.notify(12)
        self.assertEqual(progress.own_change_count, 0)
        self.assertEqual(progress.running_count, 12)

    def test_a_group_without_a_goal_uses_all_slots(self):
        self.pool.pass_goals = {}
        self.notify(self.RUNNING_COUNT, length_ms=3000.0)
        self.assertEqual(self.state().slots_count, self.RANKS_COUNT * SLOTS_COUNT)
        self.assertIsNotNone(self.choose())

    def test_there_is_no_limit_without_notices(self):
        self.notify(self.RUNNING_COUNT, length_ms=3000.0)
        self.clock.time_ms += 1100.0
        self.assertIsNone(
            self.pool.get("w0").progress.room_count(now_ms=self.clock.now_ms())
        )

    def test_a_forged_count_of_one_rank_does_not_fill_the_group(self):
        self.notify(self.RUNNING_COUNT, length_ms=3000.0)
        self.notify(4)
        notice = rank_notice(0, sequence=9, running=2**53)
        self.pool.update_rank(msgspec.structs.replace(notice, started_ms=2))
        self.assertLessEqual(self.pool.get("w0").progress.running_count, 10)

    def test_a_limit_that_comes_and_goes_is_logged_once_a_second(self):
        with logbook.TestHandler().applicationbound() as logs:
            for number in range(60):
                self.pool.pass_goals = {"models": GOAL} if number % 2 else {}
                self.notify(self.RUNNING_COUNT)
        lines = [
            record.message
            for record in logs.records
            if record.message.startswith("group limit")
        ]
        self.assertIn("group limit begins", lines)
        self.assertIn("group limit ends", lines)
        self.assertLessEqual(len(lines), 60 * NOTICE_INTERVAL_MS / 1000 + 1)

    def test_the_gauges_show_the_limit_and_the_pass(self):
        self.assertEqual(self.pool.lowest_running_limit(), 0)
        self.assertEqual(self.pool.longest_pass_ms(), 0)
        self.notify(self.RUNNING_COUNT, length_ms=3000.0)
        self.assertGreater(self.pool.lowest_running_limit(), 0)
        pass_ms = BASE_MS + self.SLOPE_MS * self.RUNNING_COUNT
        self.assertAlmostEqual(
            self.pool.longest_pass_ms(), pass_ms, delta=0.2 * pass_ms
        )

    def test_a_new_epoch_begins_with_new_counts(self):
        self.notify(self.RUNNING_COUNT, length_ms=3000.0)
        for number in range(self.RANKS_COUNT):
            notice = rank_notice(number, sequence=9, running=1, step=1)
            self.pool.update_rank(
                msgspec.structs.replace(notice, started_ms=2, epoch=2)
            )
        self.assertEqual(self.pool.get("w0").progress.running_count, self.RANKS_COUNT)
