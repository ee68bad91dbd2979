"""Tests of gateways whose targets one part of a prompt crashes."""

import asyncio
import itertools

from .support.gateway_fleet import GatewayFleet
from .support.loop_case import LoopCase

CRASHING_PART = "c0ffee"
COMMON_PART = "abcd01"
CONTACT_S = 3.0  # Within this time after the fifth crash all gateways have to act.
CRASHES_COUNT = 5
LATE_ARRIVALS_LIMIT_COUNT = 3


class CrashingPartTests(LoopCase):
    async def open_fleet(self, **options):
        fleet = GatewayFleet(
            workers_count=8,
            behaviour="stream",
            crash_part=CRASHING_PART,
            **options,
        )
        return await self.enterAsyncContext(fleet.open())

    async def send(self, fleet, *, parts, interval_s, for_s):
        """Send requests to the gateways in turn; return the tasks."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + for_s
        tasks = []
        for index in itertools.cycle(range(len(fleet.gateways))):
            if loop.time() >= end_s:
                return tasks
            prompt = (COMMON_PART, f"{len(tasks):x}", *parts)
            tasks.append(asyncio.create_task(fleet.stream(index, *prompt)))
            await asyncio.sleep(interval_s)

    async def test_requests_with_a_part_that_crashes_targets_stop_reaching_them(self):
        # Requests with the part, no two alike, were sent on by every gateway.
        await self.check_part()

    async def test_the_same_for_a_part_that_crashes_them_after_the_first_event(self):
        # Each first event cleared the part of all crashes before it.
        await self.check_part(crash_events_count=1)

    async def check_part(self, **worker):
        fleet = await self.open_fleet(gateways_count=3, **worker)
        sound, crashing = await asyncio.gather(
            self.send(fleet, parts=(), interval_s=0.04, for_s=7.0),
            self.send(fleet, parts=(CRASHING_PART,), interval_s=0.15, for_s=7.0),
        )
        await asyncio.gather(*crashing)
        crashes_s = fleet.crash_times_s()
        if len(crashes_s) >= CRASHES_COUNT:
            from_s = crashes_s[CRASHES_COUNT - 1] + CONTACT_S
            late = [at for at in fleet.arrivals(CRASHING_PART) if at > from_s]
            self.assertLessEqual(len(late), LATE_ARRIVALS_LIMIT_COUNT)
        answered = [body for _, body in await asyncio.gather(*sound[-50:]) if body]
        self.assertGreater(len(answered), 25)
        await asyncio.gather(*sound)

    async def test_a_restarted_gateway_learns_what_the_others_block(self):
        # After a rolling restart each gateway sent such requests on again.
        fleet = await self.open_fleet(gateways_count=3)
        async with asyncio.timeout(CONTACT_S * 3):
            blocked = set()
            while len(blocked) < len(fleet.gateways):
                for index in range(len(fleet.gateways)):
                    status, _ = await fleet.stream(index, COMMON_PART, CRASHING_PART)
                    if status == 502:
                        blocked.add(index)
                    await asyncio.sleep(0.15)
        crashes_count = len(fleet.crash_times_s())
        for index in range(len(fleet.gateways)):
            await fleet.stop_gateway(index)
            fleet.start_gateway(index)
            await fleet.wait_ready()
            await asyncio.sleep(0.5)
        for index in range(len(fleet.gateways)):
            status, _ = await fleet.stream(index, COMMON_PART, "c", CRASHING_PART)
            self.assertEqual(status, 502)
        self.assertEqual(len(fleet.crash_times_s()), crashes_count)
