"""Tests of gateways whose targets name a limit on the requests that they take."""

import asyncio
import itertools

from .support.gateway import GatewayFixture
from .support.gateway_fleet import GatewayFleet
from .support.loop_case import LoopCase

PATH = "/safe/a"
LIMIT_PER_SECOND = 2.0
# The bound on what a target may get in any window, from some time after it first named
# its limit.
CONTACT_S = 1.0
WINDOW_S = 4.0
BOUND_COUNT = 1.5 * LIMIT_PER_SECOND * WINDOW_S + 5
INTERVAL_S = 0.05
RUN_S = 7.0
USED_RATIO = 0.8
AT_ONCE_S = 0.3


class LimitTests(LoopCase):
    async def open_fleet(self, *, limited_count=3):
        fleet = GatewayFleet(gateways_count=3, workers_count=3)
        for worker in fleet.workers[:limited_count]:
            worker.limit_text = str(LIMIT_PER_SECOND)
        return await self.enterAsyncContext(fleet.open())

    async def call(self, fleet, index):
        loop = asyncio.get_running_loop()
        sent_s = loop.time()
        status, _, headers = await fleet.call(index, PATH)
        return status, headers.get("Retry-After"), loop.time() - sent_s

    async def send_steadily(self, fleet):
        """Send requests to the gateways in turn; return their outcomes."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + RUN_S
        tasks = []
        for index in itertools.cycle(range(len(fleet.gateways))):
            if loop.time() >= end_s:
                return await asyncio.gather(*tasks)
            tasks.append(asyncio.create_task(self.call(fleet, index)))
            await asyncio.sleep(INTERVAL_S)

    def check_windows(self, worker):
        """Check what the worker got in each window of the bound."""
        arrivals_s = [request.arrived_s for request in worker.requests]
        late_s = [at_s for at_s in arrivals_s if at_s >= arrivals_s[0] + CONTACT_S]
        for at_s in late_s:
            count = sum(at_s <= other_s < at_s + WINDOW_S for other_s in late_s)
            self.assertLessEqual(count, BOUND_COUNT)

    async def test_targets_get_no_more_and_no_less_than_the_limit_that_they_name(self):
        # Each target got 28 requests in 4 s, 17 were allowed.
        fleet = await self.open_fleet()
        outcomes = await self.send_steadily(fleet)
        for worker in fleet.workers:
            self.check_windows(worker)
            used_count = LIMIT_PER_SECOND * RUN_S * USED_RATIO
            self.assertGreaterEqual(len(worker.requests), used_count)
        rejected = [outcome for outcome in outcomes if outcome[0] != 200]
        self.assertGreater(len(rejected), 0)
        for status, retry_after, held_s in rejected:
            self.assertEqual(status, 503)
            self.assertGreater(float(retry_after), 0.0)
            self.assertLess(held_s, AT_ONCE_S)

    async def test_requests_over_a_limit_go_to_other_targets(self):
        fleet = await self.open_fleet(limited_count=1)
        outcomes = await self.send_steadily(fleet)
        self.check_windows(fleet.workers[0])
        self.assertEqual({status for status, _, _ in outcomes}, {200})


class NamedLimitTests(LoopCase):
    """One gateway and one worker that names a limit in some of its answers."""

    async def open_gateway(self):
        fixture = GatewayFixture(behaviours=["whole"])
        return await self.enterAsyncContext(fixture.open())

    async def limit_after(self, fixture, *, text, behaviour="whole"):
        """Return the limit in force after an answer that names ``text``."""
        worker = fixture.workers[0]
        worker.limit_text, worker.behaviour = text, behaviour
        runs_count = len(worker.requests)
        while len(worker.requests) == runs_count:
            await fixture.call(PATH)
            await asyncio.sleep(0.02)
        gateway = fixture.gateway
        (target,) = gateway.target_pool
        return gateway.target_pool.permits.limits.per_second(
            target.incarnation, now_ms=gateway.clock.now_ms()
        )

    async def test_a_limit_holds_until_a_run_without_one(self):
        fixture = await self.open_gateway()
        self.assertIsNone(await self.limit_after(fixture, text=""))
        self.assertEqual(await self.limit_after(fixture, text="20"), 20.0)
        self.assertEqual(await self.limit_after(fixture, text="12.5"), 12.5)
        for nonsense in ("soon", "-3", "nan", "1e999", "1,5"):
            with self.subTest(nonsense=nonsense):
                self.assertEqual(await self.limit_after(fixture, text=nonsense), 12.5)
        self.assertEqual(fixture.gateway.codec.malformed_count, 5)
        failing = await self.limit_after(fixture, text="", behaviour="failing")
        self.assertEqual(failing, 12.5)
        self.assertIsNone(await self.limit_after(fixture, text=""))

    async def test_a_rejection_may_name_a_limit_too(self):
        fixture = await self.open_gateway()
        limit = await self.limit_after(fixture, text="15", behaviour="shed")
        self.assertEqual(limit, 15.0)

    async def test_a_successor_under_the_same_name_has_no_limit(self):
        fixture = await self.open_gateway()
        self.assertEqual(await self.limit_after(fixture, text="0"), 0.0)
        status, headers, _ = await fixture.call(PATH)
        self.assertEqual(status, 503)
        self.assertGreater(float(headers["Retry-After"]), 0.0)
        worker = fixture.workers[0]
        worker.limit_text = ""
        fixture.register_worker(worker, born=1_700_000_000_001)
        async with asyncio.timeout(5.0):
            while (await fixture.call(PATH))[0] != 200:
                await asyncio.sleep(0.02)
