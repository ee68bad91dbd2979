"""Requests that crash their targets, and the other requests running there."""

import asyncio

from waxwinghold._decisions.crash_suspects import (
    CRASHES_LIMIT_COUNT as PROMPT_CRASHES_LIMIT_COUNT,
)
from waxwinghold._entry.callers import PREFIX_BYTES
from waxwinghold._entry.process import CRASH_INTERVAL_MS
from waxwinghold._keys import content_digest

from .support.case import FleetCase
from .support.fleet import THREE_WORKERS, TWO_ENGINES, until

POISON = b"poison pill"
NEIGHBOURS_COUNT = 4
CRASHES_LIMIT_COUNT = 2
ROUNDS_LIMIT_COUNT = 6


class CrashersTest(FleetCase):
    async def start_workers(self):
        """Return a fleet whose workers crash on the body ``POISON``."""
        fleet = await self.start_fleet(
            targets=THREE_WORKERS, deadline_ms=8000, step_ms=200
        )
        self.arm(fleet)
        return fleet

    def arm(self, fleet):
        """Make every worker crash on the body ``POISON``."""
        for target in fleet.targets.values():
            target.set_faults(crash_marker=POISON.decode())

    def crashes_count(self, fleet):
        """Return the number of crashes of all workers, including replaced ones."""
        standins = [
            standin for target in fleet.targets.values() for standin in target.standins
        ]
        return sum(standin.crashes_count for standin in standins)

    async def crash_until_known(self, fleet, caller, beginning):
        """Send prompts with a beginning until an entry has seen enough crashes.

        A round gives one crash or two: on a busy machine the second target may not
        have shown in time that it is healthy.
        """
        suspects = fleet.entries["entry-a"].process.crash_suspects
        known_count = 0
        for number in range(ROUNDS_LIMIT_COUNT):
            self.assertEqual(0, suspects.blocked_count)
            self.arm(fleet)
            await caller.stream("entry-a", f"{beginning} {number}", 4)
            await fleet.restore()
            await asyncio.sleep(CRASH_INTERVAL_MS / 1000)
            known_count = len({lost.target for lost in suspects.lost_requests()})
            if known_count >= PROMPT_CRASHES_LIMIT_COUNT:
                break
        self.assertEqual(PROMPT_CRASHES_LIMIT_COUNT, known_count)

    async def test_a_crashing_request_is_rejected_everywhere_after_two_crashes(self):
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

    async def test_an_error_of_a_target_does_not_clear_a_suspect(self):
        # An error without a run let the request crash two more targets.
        fleet = await self.start_fleet(targets=THREE_WORKERS, deadline_ms=8000)
        suspects = fleet.entries["entry-a"].process.suspects
        digest = content_digest(service="booking", call="stock", body=POISON)
        suspects.record_crash(digest, target="worker/1", alone=False)
        for target in fleet.targets.values():
            target.set_faults(fails=True)
        failed = await fleet.caller().call("entry-a", "stock", POISON)
        self.assertEqual(500, failed.status)
        self.assertTrue(suspects.is_suspect(digest))
        for target in fleet.targets.values():
            target.set_faults(fails=False)
        self.assert_answered(await fleet.caller().call("entry-a", "stock", POISON))
        self.assertFalse(suspects.is_suspect(digest))

    async def test_requests_beside_a_crashing_one_are_answered(self):
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

    async def test_prompts_with_a_beginning_that_crashes_are_rejected_everywhere(self):
        fleet = await self.start_fleet(targets=TWO_ENGINES, deadline_ms=8000)
        caller = fleet.caller()
        beginning = POISON.decode().ljust(PREFIX_BYTES, "!")
        await self.crash_until_known(fleet, caller, beginning)
        self.assertEqual(
            1, fleet.entries["entry-a"].process.crash_suspects.blocked_count
        )
        crashes_count = self.crashes_count(fleet)
        self.arm(fleet)
        for number, entry in enumerate(("entry-a", "entry-b")):
            again = await caller.stream(entry, f"{beginning} other {number}", 4)
            self.assertEqual("crashing_prompt", again.code)
        self.assertEqual(crashes_count, self.crashes_count(fleet))
        self.assert_answered(await caller.stream("entry-b", "a sound prompt", 4))
