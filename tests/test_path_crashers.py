"""Requests that crash their targets, and the neighbours that they harm."""

import asyncio

from .support.case import FleetCase
from .support.fleet import THREE_WORKERS, until

POISON = b"poison pill"
NEIGHBOURS_COUNT = 4
CRASHES_LIMIT_COUNT = 2


class CrashersTest(FleetCase):
    async def start_workers(self):
        """Return a fleet whose workers crash on the poison."""
        fleet = await self.start_fleet(
            targets=THREE_WORKERS, deadline_ms=8000, step_ms=200
        )
        self.arm(fleet)
        return fleet

    def arm(self, fleet):
        """Let every worker crash on the poison."""
        for target in fleet.targets.values():
            target.set_faults(crash_marker=POISON.decode())

    def crashes_count(self, fleet):
        """Return how many workers have crashed, over all of their lives."""
        lives = [life for target in fleet.targets.values() for life in target.standins]
        return sum(life.crashes_count for life in lives)

    async def test_it_stops_after_two_targets_and_is_then_refused_everywhere(self):
        fleet = await self.start_workers()
        caller = fleet.caller()
        first = await caller.call("entry-a", "stock", POISON)
        self.assertFalse(first.ok)
        self.assertEqual(CRASHES_LIMIT_COUNT, self.crashes_count(fleet))
        await fleet.restore()
        self.arm(fleet)
        for entry in ("entry-b", "entry-a", "entry-b"):
            again = await caller.call(entry, "stock", POISON)
            self.assertEqual("crashes_targets", again.code)
            self.assertLess(again.elapsed_ms, 500)
        self.assertEqual(CRASHES_LIMIT_COUNT, self.crashes_count(fleet))

    async def test_neighbours_are_answered_and_not_condemned(self):
        fleet = await self.start_workers()
        caller = fleet.caller()
        bodies = [b"neighbour %d" % number for number in range(NEIGHBOURS_COUNT)]
        neighbours = [
            asyncio.create_task(caller.call("entry-a", "stock", body))
            for body in bodies
        ]
        agents = [node.process for node in fleet.agents.values()]
        await until(
            lambda: sum(agent.runner.running_count for agent in agents) >= 2,
            limit_s=2,
            what="running neighbours",
        )
        poison = await caller.call("entry-a", "stock", POISON)
        self.assertFalse(poison.ok)
        for outcome in await asyncio.gather(*neighbours):
            self.assert_answered(outcome)
        self.assertLessEqual(self.crashes_count(fleet), CRASHES_LIMIT_COUNT)
        await fleet.restore()
        for body in bodies:
            self.assert_answered(await caller.call("entry-b", "stock", body))
