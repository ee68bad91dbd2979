"""Connections that go silent, and slow work that must not be cut."""

import asyncio

from .support.case import FleetCase
from .support.fleet import SILENCE_MS, TWO_ENGINES, TWO_WORKERS, until
from .test_path_streams import TOKENS_COUNT, expected

# Silence, the pause before a new connection, its greeting and a busy machine.
REPLACED_LIMIT_S = SILENCE_MS / 1000 + 0.25 + 1.5


class SilenceTest(FleetCase):
    async def stream_and(self, fleet, act):
        """Return a stream's outcome; ``act`` is called at its third event."""
        begun = asyncio.Event()
        task = asyncio.create_task(
            fleet.caller().stream(
                "entry-a",
                "p",
                TOKENS_COUNT,
                on_event=lambda events, _: len(events) > 2 and begun.set(),
            )
        )
        await begun.wait()
        act()
        return await task

    async def test_a_silent_link_is_replaced_within_its_bound(self):
        fleet = await self.start_fleet(targets=TWO_WORKERS)
        link = fleet.entries["entry-a"].process.target_pool.targets["booking-a"].link
        fleet.wires["entry-a", "booking-a"].silence()
        await until(lambda: not link.up, limit_s=REPLACED_LIMIT_S, what="its end")
        await until(lambda: link.up, limit_s=REPLACED_LIMIT_S, what="a new one")

    async def test_a_stream_survives_a_silent_link(self):
        fleet = await self.start_fleet(
            targets=TWO_ENGINES, deadline_ms=10_000, step_ms=15
        )

        def silence():
            fleet.wires["entry-a", "fitting-a"].silence()
            fleet.wires["entry-a", "fitting-b"].silence()

        outcome = await self.stream_and(fleet, silence)
        self.assert_answered(outcome)
        self.assertEqual(expected("p"), outcome.events)

    async def test_a_stream_survives_a_silent_connection_to_its_engine(self):
        fleet = await self.start_fleet(
            targets=TWO_ENGINES, deadline_ms=10_000, step_ms=15
        )

        def silence():
            for target in fleet.targets.values():
                target.standin.silence()

        outcome = await self.stream_and(fleet, silence)
        self.assert_answered(outcome)
        self.assertEqual(expected("p"), outcome.events)
        runs = [engine.standin.runs for engine in fleet.targets.values()]
        self.assertEqual([1], [n for counts in runs for n in counts.values()])

    async def test_slow_but_living_work_is_not_cut_off(self):
        fleet = await self.start_fleet(
            targets=TWO_ENGINES, deadline_ms=20_000, step_ms=800
        )
        outcome = await fleet.caller().send(
            "entry-a",
            "POST",
            "/v1/services/fitting/calls/advice",
            body=b'{"prompt": "p", "max_tokens": 4}',
        )
        self.assert_answered(outcome)
        runs = [engine.standin.runs for engine in fleet.targets.values()]
        self.assertEqual([1], [n for counts in runs for n in counts.values()])
