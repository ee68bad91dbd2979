"""Tests of gateways whose targets one whole request crashes, again and again."""

import asyncio

from .support.gateway_fleet import GatewayFleet
from .support.loop_case import LoopCase

CRASHING_PATH = "/safe/crashing"
RESTART_MS = 100.0
CRASHES_LIMIT_COUNT = 3
ROUNDS_COUNT = 8


class CrashingRequestTests(LoopCase):
    async def open_fleet(self):
        fleet = GatewayFleet(
            gateways_count=1,
            workers_count=3,
            crash_path=CRASHING_PATH,
            restart_ms=RESTART_MS,
        )
        return await self.enterAsyncContext(fleet.open())

    async def send(self, fleet):
        """Send the request once all targets are back; return the status."""
        await asyncio.sleep(5 * RESTART_MS / 1000)
        await fleet.wait_ready()
        status, _, _ = await fleet.call(0, CRASHING_PATH)
        return status

    def set_failing(self, fleet, *, is_failing):
        """Let the workers answer the request with an error instead of running it."""
        for worker in fleet.workers:
            worker.crash_path = "" if is_failing else CRASHING_PATH
            worker.behaviour = "failing" if is_failing else "whole"

    async def test_an_error_answer_does_not_clear_a_request_that_crashes_targets(self):
        # Each error answer let three more targets crash under the request.
        fleet = await self.open_fleet()
        await self.send(fleet)
        self.set_failing(fleet, is_failing=True)
        self.assertEqual(await self.send(fleet), 500)
        self.set_failing(fleet, is_failing=False)
        for _ in range(ROUNDS_COUNT):
            await self.send(fleet)
        self.assertLessEqual(len(fleet.crash_times_s()), CRASHES_LIMIT_COUNT)
