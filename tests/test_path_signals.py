"""Targets that announce that they leave, and targets that ask for a pause."""

import asyncio

from waxwinghold._decisions.request_limits import BURST_MIN_COUNT

from .support.case import FleetCase
from .support.fleet import THREE_WORKERS, TWO_ENGINES, TWO_WORKERS, until

# Health checks tell an agent nothing within a test: only answers to requests do.
NO_HEALTH_CHECKS = {"health_interval_ms": 60_000}
PAUSE_MS = 1500.0
LIMIT_PER_SECOND = 1.0


class SignalsCase(FleetCase):
    def runs_count(self, fleet, name):
        standin = fleet.targets[name].standin
        return sum(sum(runs.values()) for runs in standin.effects.values())

    def agent(self, fleet, name):
        return fleet.agents[name].process

    async def call_many(self, caller, *, count, call="stock"):
        """Return the outcomes of calls that alternate between both entries."""
        return [
            await caller.call(f"entry-{'ab'[number % 2]}", call, b"%d" % number)
            for number in range(count)
        ]


class LimitedTargetTests(SignalsCase):
    def limit(self, fleet, *names):
        for name in names:
            fleet.targets[name].set_faults(limit_per_second=LIMIT_PER_SECOND)

    async def test_calls_over_a_target_s_limit_go_to_the_other_one(self):
        # The target got half of all calls, whatever limit it named.
        fleet = await self.start_fleet(targets=TWO_WORKERS)
        caller = fleet.caller()
        self.limit(fleet, "booking-a")
        await until(
            lambda: self.agent(fleet, "booking-a").announcements.limit_per_second,
            limit_s=3,
            what="the agent to hear of the limit",
        )
        began_s = asyncio.get_running_loop().time()
        runs_count = self.runs_count(fleet, "booking-a")
        for outcome in await self.call_many(caller, count=40):
            self.assert_answered(outcome)
        elapsed_s = asyncio.get_running_loop().time() - began_s
        runs_count = self.runs_count(fleet, "booking-a") - runs_count
        self.assertLessEqual(runs_count, LIMIT_PER_SECOND * elapsed_s + BURST_MIN_COUNT)

    async def test_calls_over_all_limits_are_rejected_at_once_and_have_not_run(self):
        fleet = await self.start_fleet(targets=TWO_WORKERS)
        caller = fleet.caller()
        self.limit(fleet, "booking-a", "booking-b")
        for name in TWO_WORKERS:
            await until(
                lambda name=name: self.agent(
                    fleet, name
                ).announcements.limit_per_second,
                limit_s=3,
                what="the agents to hear of the limits",
            )
        outcomes = await self.call_many(caller, count=20)
        rejected = [outcome for outcome in outcomes if not outcome.ok]
        self.assertGreater(len(rejected), 0)
        for outcome in rejected:
            self.assertEqual("not_run", outcome.ran)
            self.assertLess(outcome.elapsed_ms, 500)
            self.assertGreater(float(outcome.header("Retry-After")), 0)


class LeavingTargetTests(SignalsCase):
    async def test_a_target_that_announces_it_in_an_answer_gets_no_further_call(self):
        fleet = await self.start_fleet(
            targets=TWO_WORKERS, agent_options=NO_HEALTH_CHECKS
        )
        caller = fleet.caller()
        fleet.targets["booking-a"].set_faults(leaving=True)
        async with asyncio.timeout(5):
            while not self.runs_count(fleet, "booking-a"):
                self.assert_answered(await caller.call("entry-a", "stock", b"x"))
        runs_count = self.runs_count(fleet, "booking-a")
        for outcome in await self.call_many(caller, count=20):
            self.assert_answered(outcome)
        self.assertEqual(runs_count, self.runs_count(fleet, "booking-a"))
        self.assertTrue(self.agent(fleet, "booking-a").monitor.healthy)

    async def test_its_successor_at_the_same_address_is_welcome(self):
        fleet = await self.start_fleet(targets={"booking-a": "nadi"})
        caller = fleet.caller()
        target = fleet.targets["booking-a"]
        target.set_faults(leaving=True)
        entry = fleet.entries["entry-a"].process
        await until(
            lambda: not entry.target_pool.targets["booking-a"].takes_work,
            limit_s=3,
            what="the entry to hear that the target leaves",
        )
        rejected = await caller.call("entry-a", "stock", b"x")
        self.assertEqual(("no_target", "not_run"), (rejected.code, rejected.ran))
        await target.kill()
        await target.start()
        await until(
            lambda: entry.target_pool.targets["booking-a"].takes_work
            and entry.target_pool.targets["booking-a"].candidate.healthy,
            limit_s=3,
            what="the entry to use the successor",
        )
        self.assert_answered(await caller.call("entry-a", "stock", b"x"))

    async def test_streams_of_a_leaving_engine_end_there_and_new_ones_go_elsewhere(
        self,
    ):
        fleet = await self.start_fleet(
            targets=TWO_ENGINES, deadline_ms=8000, step_ms=20
        )
        caller = fleet.caller()
        engine = fleet.targets["fitting-a"].standin
        streams = [
            asyncio.create_task(caller.stream("entry-a", f"p{number}", 40))
            for number in range(6)
        ]
        await until(lambda: engine.runs, limit_s=3, what="a stream at the engine")
        fleet.targets["fitting-a"].set_faults(leaving=True)
        agent = self.agent(fleet, "fitting-a")
        await until(
            lambda: agent.announcements.is_leaving,
            limit_s=3,
            what="the agent to hear that its engine leaves",
        )
        runs = dict(engine.runs)
        for number in range(8):
            self.assert_answered(await caller.stream("entry-b", f"q{number}", 2))
        for outcome in await asyncio.gather(*streams):
            self.assert_answered(outcome)
        self.assertEqual(runs, engine.runs)


class PausedTargetTests(SignalsCase):
    def pause(self, fleet, *names, pause_ms=PAUSE_MS):
        for name in names:
            fleet.targets[name].set_faults(pause_ms=pause_ms)

    async def test_a_target_that_asked_for_a_pause_gets_no_call_until_its_end(self):
        fleet = await self.start_fleet(targets=THREE_WORKERS)
        caller = fleet.caller()
        standin = fleet.targets["booking-a"].standin
        self.pause(fleet, "booking-a")
        async with asyncio.timeout(5):
            while not standin.rejected_count:
                self.assert_answered(await caller.call("entry-a", "stock", b"x"))
        paused_s = asyncio.get_running_loop().time()
        self.pause(fleet, "booking-a", pause_ms=None)
        while asyncio.get_running_loop().time() < paused_s + 0.8 * PAUSE_MS / 1000:
            for outcome in await self.call_many(caller, count=4):
                self.assert_answered(outcome)
        self.assertEqual(1, standin.rejected_count)
        self.assertEqual(0, self.runs_count(fleet, "booking-a"))
        self.assertTrue(self.agent(fleet, "booking-a").monitor.healthy)
        async with asyncio.timeout(5):
            while not self.runs_count(fleet, "booking-a"):
                await self.call_many(caller, count=4)
        self.assertGreaterEqual(
            asyncio.get_running_loop().time() - paused_s, 0.95 * PAUSE_MS / 1000
        )

    async def test_if_all_targets_pause_callers_hear_at_once_when_the_first_is_back(
        self,
    ):
        fleet = await self.start_fleet(targets=TWO_WORKERS, deadline_ms=8000)
        caller = fleet.caller()
        self.pause(fleet, "booking-a", "booking-b", pause_ms=4000.0)
        standins = [target.standin for target in fleet.targets.values()]
        async with asyncio.timeout(5):
            while not all(standin.rejected_count for standin in standins):
                await caller.call("entry-a", "stock", b"x")
        outcomes = [await caller.call("entry-a", "stock", b"x") for _ in range(8)]
        for outcome in outcomes:
            self.assertEqual(
                ("targets_paused", "not_run", 503),
                (outcome.code, outcome.ran, outcome.status),
            )
            self.assertLess(outcome.elapsed_ms, 500)
            self.assertIn(outcome.header("Retry-After"), {"3", "4", "5"})
        self.assertEqual([1, 1], [standin.rejected_count for standin in standins])

    async def test_a_call_with_a_key_that_the_target_rejected_has_not_run(self):
        fleet = await self.start_fleet(targets={"booking-a": "nadi"})
        caller = fleet.caller()
        key = await caller.key("entry-a")
        self.pause(fleet, "booking-a")
        outcome = await caller.call("entry-a", "hold", b"x", key=key)
        self.assertEqual(("target_paused", "not_run"), (outcome.code, outcome.ran))
        self.assertEqual(0, self.runs_count(fleet, "booking-a"))
        again = await caller.call("entry-a", "hold", b"x", key=key)
        self.assertEqual("not_run", again.ran)
        self.assertIsNone(await caller.key("entry-a"))

    async def test_nonsense_pauses_promise_nothing_and_are_counted(self):
        fleet = await self.start_fleet(targets={"booking-a": "nadi"})
        caller = fleet.caller()
        for nonsense in ("soon", "-1", "nan", "inf", "1e999"):
            fleet.targets["booking-a"].set_faults(pause_ms=nonsense)
            outcome = await caller.call("entry-a", "stock", b"x")
            self.assertEqual(503, outcome.status)
            self.assertEqual("", outcome.code)
        fleet.targets["booking-a"].set_faults(pause_ms=None)
        self.assert_answered(await caller.call("entry-a", "stock", b"x"))
        counts = self.agent(fleet, "booking-a").metrics.summary()["counts"]
        self.assertEqual(5, counts["malformed_signals"])
