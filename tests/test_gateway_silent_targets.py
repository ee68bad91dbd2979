"""Tests of requests whose target falls silent for a while and goes on."""

import asyncio

import logbook

from .support.gateway import GatewayFixture, configuration
from .support.loop_case import LoopCase

# A second or so, and longer than the silence after which another target is tried.
PAUSE_S = 1.4
AVOID_MS = 300.0


class SpentBudget:
    """A retry budget that allows no retry."""

    def record_first_send(self, *, now_ms, gateways_count):
        pass

    def try_spend(self, *, now_ms, gateways_count):
        return False


class SilentTargetCase(LoopCase):
    async def fixture(self, *behaviours):
        """Return a fixture whose first request goes to the first of its workers."""
        fixture = GatewayFixture(behaviours=behaviours)
        await self.enterAsyncContext(fixture.open())
        fixture.workers[0].pause_s = PAUSE_S
        now_ms = fixture.gateway.clock.now_ms()
        for worker in fixture.workers[1:]:
            target = fixture.gateway.target_pool.get(worker.name)
            target.avoid(now_ms=now_ms, pause_ms=AVOID_MS)
        return fixture

    def assert_whole(self, outcome, *, events_count=5):
        status, _, body = outcome
        self.assertEqual(status, 200)
        self.assertIsNotNone(body, "the stream was cut off")
        ids = [line for line in body.split(b"\n") if line.startswith(b"id:")]
        expected = [b"id: %d" % number for number in range(1, events_count + 1)]
        self.assertEqual(ids, expected)

    def assert_nothing_in_flight(self, fixture):
        counts = [target.in_flight_count for target in fixture.gateway.target_pool]
        self.assertEqual(counts, [0] * len(counts))


class CutStreamTests(SilentTargetCase):
    """A stream was cut off for silence before another target went on with it."""

    async def test_a_stream_is_not_cut_when_the_other_target_rejects_it(self):
        fixture = await self.fixture("stream_paused", "shed")
        self.assert_whole(await fixture.call("/stream/a", method="POST"))
        self.assertGreater(len(fixture.workers[1].requests), 0)
        self.assert_nothing_in_flight(fixture)

    async def test_a_stream_is_not_cut_when_the_other_target_loses_it(self):
        fixture = await self.fixture("stream_paused", "reset")
        self.assert_whole(await fixture.call("/stream/a", method="POST"))
        self.assertEqual(len(fixture.workers[1].requests), 1)
        self.assert_nothing_in_flight(fixture)

    async def test_a_stream_is_not_cut_when_the_retry_budget_is_spent(self):
        fixture = await self.fixture("stream_paused", "stream")
        fixture.gateway.budget = lambda service: SpentBudget()
        self.assert_whole(await fixture.call("/stream/a", method="POST"))
        self.assertEqual(fixture.workers[1].requests, [])

    async def test_a_stream_is_not_cut_when_its_key_is_revoked_meanwhile(self):
        fixture = await self.fixture("stream_paused", "stream")
        call = asyncio.create_task(fixture.call("/stream/a", method="POST"))
        await asyncio.sleep(0.3)
        other = [{"name": "another", "api-keys": ["another-key"], "priority": 1}]
        fixture.store.put("op/config", configuration(version=2, tenants=other))
        self.assert_whole(await call)
        self.assertEqual(fixture.workers[1].requests, [])

    async def test_a_stream_is_not_cut_when_every_other_slot_is_taken(self):
        fixture = await self.fixture("stream_paused", "stream")
        other = fixture.gateway.target_pool.get("w1")
        for _ in range(other.listing.slots_count):
            other.acquire_slot()
        self.assert_whole(await fixture.call("/stream/a", method="POST"))
        self.assertEqual(fixture.workers[1].requests, [])

    async def test_a_stream_of_a_slow_rank_is_not_cut_when_another_rejects_it(self):
        fixture = await self.fixture("stream", "shed")
        fixture.workers[0].event_ms = 150.0
        pool = fixture.gateway.target_pool
        pool.relative_pace = lambda target: 5.0 if target.listing.name == "w0" else 1.0
        self.assert_whole(await fixture.call("/stream/a", method="POST"))
        self.assertGreater(len(fixture.workers[1].requests), 0)
        self.assert_nothing_in_flight(fixture)

    async def test_a_lookup_gets_the_answer_of_its_silent_target(self):
        # Its answer was given up although the other target rejects the lookup.
        fixture = await self.fixture("slow", "shed")
        fixture.workers[0].event_ms = 260.0
        status, _, body = await fixture.call("/safe/a", Deadline_Ms="2000")
        self.assertEqual((status, body), (200, fixture.workers[0].body))
        self.assertGreater(len(fixture.workers[1].requests), 0)

    async def test_a_stream_that_fails_before_its_first_event_is_refused_not_cut(self):
        # The head alone was passed on, so that only a reset could show the failure.
        fixture = await self.fixture("stream_unframed_empty")
        status, _, body = await fixture.call("/once/a", method="POST")
        self.assertEqual(status, 502)
        self.assertIsNotNone(body)


class TakenOverStreamTests(SilentTargetCase):
    """Whichever target goes on first finishes the stream, and it alone."""

    async def test_a_dead_target_s_stream_goes_on_at_the_other(self):
        fixture = await self.fixture("stream_halted", "stream")
        self.assert_whole(await fixture.call("/stream/a", method="POST"))
        self.assertEqual(len(fixture.workers[1].runs), 1)
        self.assert_nothing_in_flight(fixture)

    async def test_a_stream_that_sends_bytes_but_no_events_goes_on_at_the_other(self):
        # Each byte restarted the wait for the next one, so that the stream stood still
        # until its deadline and nothing was tried beside it.
        fixture = await self.fixture("stream_dribbled", "stream")
        async with asyncio.timeout(3.0):
            outcome = await fixture.call("/stream/a", method="POST")
        self.assert_whole(outcome)
        self.assertEqual(len(fixture.workers[1].runs), 1)
        self.assert_nothing_in_flight(fixture)

    async def test_a_stream_that_goes_on_first_wins_over_its_replacement(self):
        fixture = await self.fixture("stream_paused", "stream")
        fixture.workers[1].event_ms = 600.0
        self.assert_whole(await fixture.call("/stream/a", method="POST"))
        self.assertEqual(len(fixture.workers[1].runs), 1)
        self.assert_nothing_in_flight(fixture)

    async def test_both_sends_end_when_the_caller_leaves(self):
        fixture = await self.fixture("stream_halted", "stream")
        fixture.workers[1].event_ms = 5000.0
        call = asyncio.create_task(fixture.call("/stream/a", method="POST"))
        async with asyncio.timeout(3.0):
            while not fixture.workers[1].runs:
                await asyncio.sleep(0.01)
        call.cancel()
        async with asyncio.timeout(0.5):
            while any(target.in_flight_count for target in fixture.gateway.target_pool):
                await asyncio.sleep(0.01)

    async def test_a_stream_runs_on_no_more_targets_than_its_route_allows(self):
        fixture = await self.fixture("stream_paused", "reset", "reset")
        self.assert_whole(await fixture.call("/stream/a", method="POST"))
        ran = [worker for worker in fixture.workers if worker.runs]
        self.assertEqual(len(ran), 2)


class CutAnswerLogTests(SilentTargetCase):
    async def test_a_cut_answer_is_logged_and_counted(self):
        fixture = await self.fixture("stream_cut")
        with logbook.TestHandler().applicationbound() as logs:
            _, _, body = await fixture.call("/once/a", method="POST")
        self.assertIsNone(body)
        failed = [line for line in logs.records if line.message == "request failed"]
        self.assertEqual([line.extra["cut"] for line in failed], [True])
        metrics = fixture.gateway.metrics.render().decode()
        self.assertIn('waxwinghold_cut_answers_total{label="connection_lost"', metrics)
