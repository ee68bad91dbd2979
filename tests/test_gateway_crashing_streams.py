"""Tests of gateways whose targets a request crashes after it began to answer it."""

import asyncio

from waxwinghold_standins.fleet_store import worker_entry

from .support.gateway_fleet import GatewayFleet
from .support.loop_case import LoopCase

RESTART_MS = 100.0
CRASHES_LIMIT_COUNT = 3
ROUNDS_COUNT = 6
ROUND_S = 0.5  # Gateways tell each other of crashes meanwhile.


class CrashingStreamTests(LoopCase):
    """The first event of each run cleared the request of the crashes before it."""

    async def crash(self, path, *, gateways_count=1, events_count=1):
        """Send a request for ``path``, which crashes targets, again and again."""
        fleet = GatewayFleet(
            gateways_count=gateways_count,
            workers_count=6,
            behaviour="stream",
            crash_path=path,
            crash_events_count=events_count,
            restart_ms=RESTART_MS,
        )
        async with fleet.open():
            for number in range(ROUNDS_COUNT):
                await fleet.call(number % gateways_count, path)
                await asyncio.sleep(ROUND_S)
                await fleet.wait_ready()
            status, _, _ = await fleet.call(0, path)
            self.assertEqual(status, 502)
            return len(fleet.crash_times_s())

    async def test_a_stream_that_may_be_resumed(self):
        crashes_count = await self.crash("/stream/crashing")
        self.assertEqual(crashes_count, CRASHES_LIMIT_COUNT)

    async def test_a_stream_that_crashes_them_with_its_last_event(self):
        crashes_count = await self.crash("/stream/crashing", events_count=5)
        self.assertEqual(crashes_count, CRASHES_LIMIT_COUNT)

    async def test_a_stream_that_may_run_once_only(self):
        crashes_count = await self.crash("/once/crashing")
        self.assertEqual(crashes_count, CRASHES_LIMIT_COUNT)

    async def test_an_answer_that_breaks_off_in_its_body(self):
        crashes_count = await self.crash("/safe/crashing")
        self.assertEqual(crashes_count, CRASHES_LIMIT_COUNT)

    async def test_a_stream_at_changing_gateways(self):
        crashes_count = await self.crash("/stream/crashing", gateways_count=3)
        self.assertEqual(crashes_count, CRASHES_LIMIT_COUNT)


class CutOffStreamTests(LoopCase):
    """Sound streams that targets end without a crash of their own are no suspects.

    A rank cuts off its streams as its group has lost another rank.
    """

    async def open_fleet(self, **worker):
        fleet = GatewayFleet(gateways_count=1, workers_count=6, **worker)
        return await self.enterAsyncContext(fleet.open())

    async def test_a_stream_that_was_cut_off_again_and_again_is_served(self):
        fleet = await self.open_fleet(behaviour="stream_cut")
        for path in ("/stream/a", "/once/a"):
            for _ in range(ROUNDS_COUNT):
                await fleet.call(0, path)
            self.assertEqual(fleet.gateways[0].suspects.lost_requests(), [])
        for worker in fleet.workers:
            worker.behaviour = "stream"
        for path in ("/stream/a", "/once/a"):
            status, body, _ = await fleet.call(0, path)
            self.assertEqual((status, body.count(b"id: ")), (200, 5))

    async def test_a_stream_whose_targets_left_while_it_ran_is_served(self):
        fleet = await self.open_fleet(behaviour="stream_halted")
        for worker in fleet.workers[:3]:
            call = asyncio.create_task(fleet.call(0, "/once/a"))
            while not (running := [w for w in fleet.workers if w.runs]):
                await asyncio.sleep(0.01)
            (worker,) = running
            entry = worker_entry(
                service="models", address=worker.address, state="draining"
            )
            fleet.store.put(f"servers/{worker.name}", entry)
            target = fleet.gateways[0].target_pool.get(worker.name)
            while not target.is_leaving(now_ms=fleet.gateways[0].clock.now_ms()):
                await asyncio.sleep(0.01)
            worker.runs.clear()
            await worker.stop()
            await call
        self.assertEqual(fleet.gateways[0].suspects.lost_requests(), [])
        for worker in fleet.workers:
            worker.behaviour = "stream"
        status, body, _ = await fleet.call(0, "/once/a")
        self.assertEqual((status, body.count(b"id: ")), (200, 5))
