"""Targets that are leaving, and planned stops that finish requests in flight."""

import asyncio

from .support.case import FleetCase
from .support.fleet import TWO_ENGINES, TWO_WORKERS, until
from .test_path_once import key_of
from .test_path_streams import TOKENS_COUNT, expected

LEAVING_LIMIT_S = 3.0
CALLS_COUNT = 20


def busy_agents(fleet):
    """Return the names of the agents whose targets are running a request."""
    return [
        name
        for name, agent in fleet.agents.items()
        if agent.process.runner.running_count
    ]


class LeavingTest(FleetCase):
    async def assert_no_new_requests(self, fleet, name):
        """Fail if target ``name`` gets a request after ``LEAVING_LIMIT_S``."""
        caller = fleet.caller()
        target = fleet.targets[name]
        await asyncio.sleep(LEAVING_LIMIT_S)
        previous_count = target.effects_count("stock")
        for number in range(CALLS_COUNT):
            for entry in ("entry-a", "entry-b"):
                outcome = await caller.call(entry, "stock", b"%d" % number)
                self.assert_answered(outcome)
            _, key_owner = await key_of(caller, "entry-a")
            self.assertNotEqual(name, key_owner)
        self.assertEqual(previous_count, target.effects_count("stock"))

    async def test_a_target_whose_agent_drains_gets_no_new_requests(self):
        fleet = await self.start_fleet(targets=TWO_WORKERS, step_ms=4000)
        caller = fleet.caller()
        long_call = asyncio.create_task(caller.call("entry-a", "note", b"long"))
        # Either of two idle targets may get the call.
        busy_names = []
        await until(
            lambda: busy_names.extend(busy_agents(fleet)) or busy_names,
            limit_s=2,
            what="a long call",
        )
        (leaving,) = busy_names
        for name, target in fleet.targets.items():
            if name != leaving:
                target.standin.call_ms = 5.0
        fleet.agents[leaving].process.drain(reason="a planned stop", by="test")
        await self.assert_no_new_requests(fleet, leaving)
        await long_call

    async def test_a_target_that_the_host_list_calls_leaving_gets_no_new_requests(self):
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
        await self.assert_no_new_requests(fleet, "booking-a")


class StoppingTest(FleetCase):
    async def stream_through_drain(self, fleet, process):
        """Return the outcome of a stream; drain ``process`` after its first event."""
        started = asyncio.Event()
        task = asyncio.create_task(
            fleet.caller().stream(
                "entry-a", "p", TOKENS_COUNT, on_event=lambda events, _: started.set()
            )
        )
        await started.wait()
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

    async def test_a_draining_entry_rejects_new_calls_as_not_run(self):
        fleet = await self.start_fleet(targets=TWO_WORKERS, step_ms=1500)
        caller = fleet.caller()
        long_call = asyncio.create_task(caller.call("entry-a", "note", b"long"))
        await asyncio.sleep(0.2)
        fleet.entries["entry-a"].process.drain(reason="a planned stop", by="test")
        await asyncio.sleep(0.3)
        rejected = await caller.call("entry-a", "note", b"new")
        self.assertEqual(("draining", "not_run"), (rejected.code, rejected.ran))
        self.assert_answered(await long_call)
        self.assertEqual(1, fleet.effects_count("note"))

    async def test_a_stream_beyond_the_drain_limit_is_cut_visibly(self):
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
