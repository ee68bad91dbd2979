"""Tests that a group's ranks never mix maps in a step and that the group recovers."""

import random
import unittest
from unittest import mock

import logbook

from waxwinghold._agent._maps import member as member_module
from waxwinghold._agent._maps.leader import Leader
from waxwinghold._agent._maps.member import Member
from waxwinghold._messages.maps import MapOrder, MapOrderDone, OrderKind

from .map_fakes import World, run_world
from .maps_matrix import (
    FAULTS,
    HOLD_SEQUENCE,
    JOIN_MS,
    LEADER,
    MEMBER,
    STAGES,
    change,
    run_cell,
)

CHAOS_SEEDS = range(40)
# With this seed, maps are mixed unless members wait for late copies of orders.
LATE_COPIES_SEED = 48


class MajorityLeader(Leader):
    """A faulty leader, which continues once most agents have answered."""

    async def _order_all(self, kind, expert_map=None, *, step=None, limit_ms=None):
        self._new_orders(kind, expert_map, step)
        minority_count = (len(self._peers) - 1) // 2
        while True:
            self._check()
            for name in self._peers:
                self._send_order(name)
            await self._wait_for_answers(self._timing.retry_ms)
            done = [p for p in self._peers.values() if p.done and not p.done.reason]
            if len(done) >= len(self._peers) - minority_count:
                return


class KeepingMember(Member):
    """A faulty member, which keeps old maps loaded so that late orders find them."""

    async def _drop_other_maps(self, order, expert_map):
        return await self.engine.read_map()


async def return_at_once(member, order, ordered_ms):
    """Do not wait, as if no order could arrive a second time."""


async def resume_unchecked(member, order):
    """Let the engine continue without a check of the map that it uses."""
    await member.engine.hold_before(None)
    member._adopt(order, order.expert_map)


def replace_classes(**classes):
    """Replace the leader or the member with faulty classes."""
    return mock.patch.multiple("waxwinghold._agent._maps.coordinator", **classes)


async def late_order_scenario():
    """Send a switch order from an agent that was frozen and has been replaced."""
    world = World(names="abc")
    await world.sleep_ms(JOIN_MS)
    old = world.current[MEMBER]

    def on_event(process, what, detail):
        if process is old and what == "switch_map":
            old.pause()
        elif what == "received" and isinstance(detail, MapOrderDone):
            if detail.sequence == HOLD_SEQUENCE:
                world.cuts.add((LEADER, "a"))
        elif what == "sent" and isinstance(detail, MapOrder):
            is_to_member = detail.incarnation == old.coordinator.incarnations.number
            if detail.kind == OrderKind.SWITCH and is_to_member:
                # Kill the leader now, so that only the member knows of the switch.
                process.kill()

    world.on_event = on_event
    world.current[LEADER].spawn(change(world, LEADER, "m1"))
    await world.sleep_ms(1000)
    world.on_event = None
    world.cuts.clear()
    world.start(MEMBER)
    world.start(LEADER)
    await world.sleep_ms(6000)
    maps = world.maps_in_use()
    old.wake()
    await world.sleep_ms(4000)
    await world.close()
    return world, maps


async def chaos_scenario(seed):
    """Cause several faults at random moments during continual map changes."""
    world = World(names="abc", seed=seed, checks_orders=bool(seed % 2))
    await world.sleep_ms(JOIN_MS)
    choose = random.Random(seed)
    for number in range(6):
        name = choose.choice("abc")
        world.current[name].spawn(change(world, name, f"m{number}"))
        for _ in range(choose.randrange(3)):
            await world.sleep_ms(choose.choice([1, 5, 50, 210, 300]))
            fault = FAULTS[choose.choice(sorted(FAULTS))]
            leader, member = choose.sample("abc", 2)
            fault(world, world.current[leader], world.current[member])
        await world.sleep_ms(choose.choice([300, 1500, 4000]))
    await world.sleep_ms(12_000)
    previous_step = world.step
    await world.sleep_ms(1000)
    world.recovered = world.step - previous_step >= 40 and len(world.maps_in_use()) == 1
    await world.close()
    return world


def run_matrix(*, again=False, checks_orders=False):
    """Yield each cell's parameters, its world and whether its stage was reached."""
    for stage in STAGES:
        for fault in FAULTS:
            cell = {"stage": stage, "fault": fault, "checks_orders": checks_orders}
            yield cell, *run_world(lambda: run_cell(again=again, **cell))


class MapTests(unittest.TestCase):
    def setUp(self):
        handler = logbook.NullHandler()
        handler.push_application()
        self.addCleanup(handler.pop_application)

    def _check_matrix(self, **options):
        bad = [
            (cell, is_reached, world.mixed_count, world.recovered)
            for cell, world, is_reached in run_matrix(**options)
            if not is_reached or world.mixed_count or not world.recovered
        ]
        self.assertEqual(bad, [])

    def test_each_fault_at_each_stage(self):
        self._check_matrix(checks_orders=False)

    def test_each_fault_at_each_stage_with_engines_that_check_fencing_numbers(self):
        self._check_matrix(checks_orders=True)

    def test_each_fault_at_each_stage_and_again_in_recovery(self):
        self._check_matrix(checks_orders=False, again=True)

    def test_the_matrix_detects_a_leader_that_waits_only_for_a_majority(self):
        with replace_classes(Leader=MajorityLeader):
            caught = any(world.mixed_count for _, world, _ in run_matrix())
        self.assertTrue(caught)

    def test_random_faults_detect_a_member_that_resumes_unchecked(self):
        procedures = {OrderKind.RESUME: resume_unchecked}
        with (
            mock.patch.dict(member_module._PROCEDURES, procedures),
            mock.patch.object(Member, "_outlast_copies", return_at_once),
        ):
            worlds = [run_world(lambda: chaos_scenario(seed)) for seed in (0, 16)]
        self.assertTrue(all(world.mixed_count for world in worlds))

    def test_a_late_switch_order_does_not_find_its_map(self):
        world, maps = run_world(late_order_scenario)
        self.assertEqual((world.mixed_count, maps), (0, {"m0"}))

    def test_a_late_switch_order_is_detected_if_old_maps_stay_loaded(self):
        with replace_classes(Member=KeepingMember):
            world, _ = run_world(late_order_scenario)
        self.assertGreater(world.mixed_count, 0)

    def test_random_faults_at_random_moments(self):
        worlds = {seed: run_world(lambda: chaos_scenario(seed)) for seed in CHAOS_SEEDS}
        bad = [
            (seed, world.mixed_count, world.recovered)
            for seed, world in worlds.items()
            if world.mixed_count or not world.recovered
        ]
        self.assertEqual(bad, [])

    def test_an_engine_that_changes_its_map_by_itself_is_stopped(self):
        async def scenario():
            world = World(names="abc")
            await world.sleep_ms(JOIN_MS)
            await change(world, LEADER, "m1")
            world.engines[MEMBER].loaded.append("x")
            world.engines[MEMBER].map_id = "x"
            await world.sleep_ms(4000)
            await world.close()
            return world

        world = run_world(scenario)
        self.assertLess(world.mixed_count, 60)
        self.assertEqual(len(world.maps_in_use()), 1)

    def test_late_copies_of_orders_do_not_mix_maps(self):
        world = run_world(lambda: chaos_scenario(LATE_COPIES_SEED))
        self.assertEqual(world.mixed_count, 0)

    def test_a_member_that_does_not_outlast_copies_is_detected(self):
        with mock.patch.object(Member, "_outlast_copies", return_at_once):
            world = run_world(lambda: chaos_scenario(LATE_COPIES_SEED))
        self.assertGreater(world.mixed_count, 0)

    def test_a_group_without_any_map_starts_on_a_planned_one(self):
        async def scenario():
            world = World(names="abc", map_id="")
            await world.sleep_ms(5000)
            await world.close()
            return world

        world = run_world(scenario)
        self.assertGreater(world.step, 50)
        self.assertEqual(world.mixed_count, 0)
