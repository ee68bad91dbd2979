"""The stand-in service shows doubled runs; the weight store keeps its rate."""

import asyncio
import time

import aiohttp

from tests.standin_client import StandInTestCase, running
from waxwinghold_standins.engine import Engine
from waxwinghold_standins.service import PlainService
from waxwinghold_standins.weights import WeightStore


class ServiceTests(StandInTestCase):
    async def service(self, **options):
        service = PlainService(call_ms=1.0, **options)
        await service.start()
        self.addAsyncCleanup(service.stop)
        return service

    async def call(self, service, request_id, **body):
        headers = {"Waxwing-Request-Id": request_id, "Waxwing-Customer": "c"}
        url = f"{service.url}/calls/hold"
        return await self.post(url, body, headers=headers)

    async def test_every_run_is_counted_by_call_and_request(self):
        service = await self.service()
        for request_id in ("r1", "r1", "r2"):
            status, answer = await self.call(service, request_id)
        self.assertEqual((status, answer["customer"]), (200, "c"))
        _, effects = await self.get(f"{service.url}/effects")
        self.assertEqual(effects, {"hold": {"r1": 2, "r2": 1}})

    async def test_a_lost_answer_leaves_its_effect(self):
        service = await self.service()
        await self.fault(service.url, drop_after_count=0)
        with self.assertRaises(aiohttp.ClientError):
            await self.call(service, "r")
        self.assertEqual(service.effects["hold"]["r"], 1)

    async def test_refused_and_crashing_calls_have_no_effect(self):
        service = await self.service()
        await self.fault(service.url, refuse=True)
        self.assertEqual((await self.call(service, "r"))[0], 503)
        await self.fault(service.url, refuse=False, crash_marker="poison")
        with self.assertRaises(aiohttp.ClientError):
            await self.call(service, "r", item="poison")
        self.assertFalse(service.effects)

    async def test_silence_holds_the_answer_of_a_call_in_flight(self):
        service = await self.service()
        await self.fault(service.url, stalled=True)
        async with aiohttp.ClientSession() as other:
            url = f"{service.url}/calls/hold"
            call = self.post(url, {}, session=other)
            async with running(call) as silenced:
                await asyncio.sleep(0.05)
                await self.fault(service.url, silence=True, stalled=False)
                await asyncio.wait([silenced], timeout=0.2)
                self.assertFalse(silenced.done())
        self.assertEqual(service.effects["hold"][""], 1)
        async with aiohttp.ClientSession() as fresh:
            async with fresh.get(f"{service.url}/health") as response:
                self.assertEqual(response.status, 200)


class WeightStoreTests(StandInTestCase):
    async def test_all_readers_share_one_rate(self):
        store = WeightStore(rate_bytes_per_s=1_000_000)
        await store.start()
        self.addAsyncCleanup(store.stop)
        begun_s = time.monotonic()
        sizes = await asyncio.gather(*(self.read(store, part) for part in range(3)))
        elapsed_s = time.monotonic() - begun_s
        self.assertEqual(sizes, [100_000] * 3)
        self.assertGreaterEqual(elapsed_s, 0.29)
        _, served = await self.get(f"{store.url}/_control/served")
        self.assertEqual(served["served_bytes"], 300_000)
        self.assertEqual(served["parts"]["m/v1/2"], 1)

    async def test_an_engine_reads_only_experts_that_it_lacks(self):
        store = WeightStore(rate_bytes_per_s=100_000)
        await store.start()
        self.addAsyncCleanup(store.stop)
        loading = {"weights_url": store.url, "model": "m", "expert_bytes": 5000}
        engine = Engine(loading=loading)
        async with engine.serving() as url:
            for map_id, experts in (("m2", ["1", "2"]), ("m3", ["2", "3"])):
                order = {"map_id": map_id, "experts": experts}
                await self.send_order(url, "load_experts", **order)
                self.assertNotIn(map_id, engine.rank.maps.loaded)
                await self.until(lambda: map_id in engine.rank.maps.loaded)
        expected = {f"m/v1/expert-{number}": 1 for number in (1, 2, 3)}
        self.assertEqual(store.parts, expected)
        self.assertEqual(store.served_bytes, 15_000)

    async def read(self, store, part):
        url = f"{store.url}/weights/m/v1/{part}?bytes=100000"
        async with self.session.get(url) as response:
            return len(await response.read())
