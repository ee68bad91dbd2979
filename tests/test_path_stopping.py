"""Leaving targets, and planned stops that cut off nothing."""

import asyncio

from .support.case import FleetCase
from .support.fleet import TWO_ENGINES, TWO_WORKERS, until
from .test_path_once import key_of
from .test_path_streams import TOKENS_COUNT, expected

LEAVING_LIMIT_S = 3.0
CALLS_COUNT = 20


def busy_agents(fleet):
    """Return the names of the agents whose targets run something."""
    return [
        name
        for name, agent in fleet.agents.items()
        if agent.process.runner.running_count
    ]


class LeavingTest(FleetCase):
    async def assert_left_alone(self, fleet, name):
        """Fail if ``name`` gets work later than the stated bound."""
        caller = fleet.caller()
        target = fleet.targets[name]
        await asyncio.sleep(LEAVING_LIMIT_S)
        before = target.effects_count("stock")
        for number in range(CALLS_COUNT):
            for entry in ("entry-a", "entry-b"):
                outcome = await caller.call(entry, "stock", b"%d" % number)
                self.assert_answered(outcome)
            _, home = await key_of(caller, "entry-a")
            self.assertNotEqual(name, home)
        self.assertEqual(before, target.effects_count("stock"))

    async def test_a_target_whose_agent_leaves_gets_nothing_new(self):
        fleet = await self.start_fleet(targets=TWO_WORKERS, step_ms=4000)
        caller = fleet.caller()
        held = asyncio.create_task(caller.call("entry-a", "note", b"long"))
        # Either of two idle targets may get the call.
        running = []
        await until(
            lambda: running.extend(busy_agents(fleet)) or running,
            limit_s=2,
            what="a long call",
        )
        (leaving,) = running
        for name, target in fleet.targets.items():
            if name != leaving:
                target.standin.call_ms = 5.0
        fleet.agents[leaving].process.drain(reason="a planned stop", by="test")
        await self.assert_left_alone(fleet, leaving)
        await held

    async def test_a_target_that_only_the_list_calls_leaving_gets_nothing_new(self):
        fleet = await self.start_fleet(targets=TWO_WORKERS)
        settings = fleet.agents["booking-a"].settings
        fleet.platform.publish_hosts(
            [
                {
                    "name": "booking-a",
                    "role": "agent",
                    "data_centre": "nadi",
                    "address": settings.link_address,
                    "public_key": settings.link_public_key,
                    "state": "leaving",
                }
            ]
        )
        await self.assert_left_alone(fleet, "booking-a")


class StoppingTest(FleetCase):
    async def stream_through_drain(self, fleet, process):
        """Return the outcome of a stream in whose midst ``process`` drains."""
        begun = asyncio.Event()
        task = asyncio.create_task(
            fleet.caller().stream(
                "entry-a", "p", TOKENS_COUNT, on_event=lambda events, _: begun.set()
            )
        )
        await begun.wait()
        process.drain(reason="a planned stop", by="test")
        return await task

    async def test_draining_agents_and_entries_finish_their_streams(self):
        for role, name in (("agents", "fitting-a"), ("entries", "entry-a")):
            with self.subTest(role=role):
                fleet = await self.start_fleet(
                    targets=TWO_ENGINES, deadline_ms=10_000, step_ms=20
                )
                node = getattr(fleet, role)[name]
                outcome = await self.stream_through_drain(fleet, node.process)
                self.assert_answered(outcome)
                self.assertEqual(expected("p"), outcome.events)
                async with asyncio.timeout(5):
                    await node.wait_until_ended()

    async def test_a_draining_entry_refuses_new_calls_as_not_run(self):
        fleet = await self.start_fleet(targets=TWO_WORKERS, step_ms=1500)
        caller = fleet.caller()
        held = asyncio.create_task(caller.call("entry-a", "note", b"long"))
        await asyncio.sleep(0.2)
        fleet.entries["entry-a"].process.drain(reason="a planned stop", by="test")
        await asyncio.sleep(0.3)
        refused = await caller.call("entry-a", "note", b"new")
        self.assertEqual(("draining", "not_run"), (refused.code, refused.ran))
        self.assert_answered(await held)
        self.assertEqual(1, fleet.effects_count("note"))

    async def test_a_stream_longer_than_the_bound_is_cut_visibly(self):
        fleet = await self.start_fleet(
            targets=TWO_ENGINES,
            deadline_ms=20_000,
            step_ms=100,
            entry_options={"drain_limit_ms": 1000},
        )
        process = fleet.entries["entry-a"].process
        outcome = await self.stream_through_drain(fleet, process)
        self.assertFalse(outcome.ok)
        self.assertFalse(outcome.end_received)
        self.assertEqual(expected("p")[: len(outcome.events)], outcome.events)
