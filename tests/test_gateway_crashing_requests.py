"""Tests of gateways whose targets one whole request crashes, again and again."""

import asyncio
from unittest import mock

from .support.gateway_fleet import GatewayFleet
from .support.loop_case import LoopCase

CRASHING_PATH = "/safe/crashing"
RESTART_MS = 100.0
CRASHES_LIMIT_COUNT = 3
ROUNDS_COUNT = 8
COPIES_COUNT = 4
ROUND_S = 0.5  # Gateways tell each other of crashes meanwhile.


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


class CopiesAtOnceTests(LoopCase):
    """A request that came four times at once crashed targets without end."""

    async def open_fleet(self, *, gateways_count, **worker):
        fleet = GatewayFleet(gateways_count=gateways_count, workers_count=12, **worker)
        return await self.enterAsyncContext(fleet.open())

    async def check(self, *, gateways_count):
        fleet = await self.open_fleet(
            gateways_count=gateways_count,
            crash_path=CRASHING_PATH,
            restart_ms=RESTART_MS,
        )
        for _ in range(ROUNDS_COUNT):
            await asyncio.gather(
                *(
                    fleet.call(number % gateways_count, CRASHING_PATH)
                    for number in range(COPIES_COUNT)
                )
            )
            await asyncio.sleep(ROUND_S)
            await fleet.wait_ready()
        # Each copy is sent twice at most before any gateway knows of a crash.
        self.assertLessEqual(len(fleet.crash_times_s()), 2 * COPIES_COUNT)
        for number in range(gateways_count):
            status, _, _ = await fleet.call(number, CRASHING_PATH)
            self.assertEqual(status, 502)
            status, _, _ = await fleet.call(number, "/safe/sound")
            self.assertEqual(status, 200)

    async def test_it_is_refused_at_one_gateway(self):
        await self.check(gateways_count=1)

    async def test_it_is_refused_at_several_gateways(self):
        await self.check(gateways_count=3)

    async def test_copies_of_a_suspected_request_run_one_after_the_other(self):
        fleet = await self.open_fleet(gateways_count=1, behaviour="slow", event_ms=40.0)
        (gateway,) = fleet.gateways
        with mock.patch.object(gateway.suspects, "_repeated_contents", _EveryDigest()):
            outcomes = await asyncio.gather(
                *(fleet.call(0, "/safe/a") for _ in range(COPIES_COUNT))
            )
        self.assertEqual(
            sorted(status for status, _, _ in outcomes), [200, 503, 503, 503]
        )
        for status, _, headers in outcomes:
            if status == 503:
                self.assertEqual(float(headers["Retry-After"]), 1.0)
        self.assertEqual(sum(len(worker.runs) for worker in fleet.workers), 1)
        status, _, _ = await fleet.call(0, "/safe/a")
        self.assertEqual(status, 200)


class _EveryDigest:
    """Stands for a set that holds each digest."""

    def __and__(self, digests):
        return frozenset(digests)
