"""Tests that the stand-in engine behaves as the product expects of an engine."""

import asyncio

import aiohttp

from tests.standin_client import (
    StandInTestCase,
    generate_body,
    read_events,
    running,
)
from waxwinghold_standins.engine import Engine, prefix_digest, token_text, whole_text


class EngineTestCase(StandInTestCase):
    async def engine(self, **options):
        engine = Engine(**{"step_ms": 2.0} | options)
        await engine.start()
        self.addAsyncCleanup(engine.stop)
        return engine

    async def generate(self, engine, request_id, **fields):
        body = generate_body(request_id, **fields)
        async with self.session.post(f"{engine.url}/generate", json=body) as response:
            self.assertEqual(response.status, 200)
            return await read_events(response)


class AnswerTests(EngineTestCase):
    async def test_tokens_differ_by_prompt_version_and_index(self):
        variants = [("p", "v1", 0), ("p", "v1", 1), ("p", "v2", 0), ("q", "v1", 0)]
        self.assertEqual(len({token_text(*variant) for variant in variants}), 4)

    async def test_a_stream_resumed_while_open_gives_the_same_answer(self):
        engine = await self.engine(step_ms=10.0)
        body = generate_body("r", max_tokens=8)
        async with self.session.post(f"{engine.url}/generate", json=body) as first:
            head, _ = await read_events(first, count=3)
            stream = f"{engine.url}/requests/r/stream?offset=3"
            async with self.session.get(stream) as second:
                tail, length = await read_events(second)
            rest, first_length = await read_events(first)
        text = "".join((head | tail)[offset] for offset in range(8))
        self.assertEqual(text, whole_text("a prompt", "v1", 8))
        self.assertEqual(rest, tail)
        self.assertEqual((length, first_length), (8, 8))
        self.assertEqual(engine.runs, {"r": 1})

    async def test_another_engine_continues_after_the_given_tokens(self):
        first, second = await self.engine(), await self.engine()
        whole, _ = await self.generate(first, "r", max_tokens=6)
        given = [whole[0], whole[1]]
        rest, length = await self.generate(second, "r", max_tokens=6, given=given)
        self.assertEqual(rest, {offset: whole[offset] for offset in range(2, 6)})
        self.assertEqual(length, 6)

    async def test_the_answer_depends_on_the_version_at_its_start(self):
        engine = await self.engine()
        before, _ = await self.generate(engine, "a", max_tokens=1)
        await self.send_order(engine.url, "load_model", version="v2")
        after, _ = await self.generate(engine, "b", max_tokens=1)
        self.assertEqual(before, {0: token_text("a prompt", "v1", 0)})
        self.assertEqual(after, {0: token_text("a prompt", "v2", 0)})

    async def test_a_running_request_id_is_rejected_and_not_run_twice(self):
        engine = await self.engine(step_ms=1000.0)
        async with running(self.generate(engine, "r")):
            await self.until(lambda: "r" in engine.runs)
            status, answer = await self.post(
                f"{engine.url}/generate", generate_body("r")
            )
        self.assertEqual(status, 409)
        self.assertIn('"r"', answer["reason"])
        self.assertEqual(engine.runs, {"r": 1})

    async def test_a_rejected_body_names_the_invalid_key(self):
        engine = await self.engine()
        invalid = {"prompt": 3, "max_tokens": "x", "given": [1], "priority": None}
        for key, value in invalid.items():
            body = generate_body("r") | {key: value}
            status, answer = await self.post(f"{engine.url}/generate", body)
            self.assertEqual(status, 400, key)
            self.assertIn(f'"{key}"', answer["reason"])


class BatchTests(EngineTestCase):
    async def test_cancelling_aborts_the_stream_and_frees_the_slot(self):
        engine = await self.engine(slots_count=1)
        async with running(self.generate(engine, "long", max_tokens=10_000)) as long:
            await self.until(lambda: engine.rank.running)
            url = f"{engine.url}/requests/long"
            async with self.session.delete(url) as response:
                self.assertEqual(response.status, 204)
            _, length = await self.generate(engine, "next")
            self.assertEqual(length, 5)
            with self.assertRaises(aiohttp.ClientError):
                await long
        _, answer = await self.get(url)
        self.assertEqual(answer["state"], "cancelled")

    async def test_waiting_requests_run_by_priority_then_arrival(self):
        engine = await self.engine(slots_count=1)
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.generate(engine, "first", max_tokens=30))
            await self.until(lambda: engine.rank.running)
            for name, priority in (("low", 5), ("early", 1), ("later", 1), ("top", 0)):
                request = self.generate(engine, name, max_tokens=1, priority=priority)
                tasks.create_task(request)
                await self.until(lambda: name in engine.runs)
        ended = engine.rank.generations.values()
        request_ids = [
            generation.request_id
            for generation in sorted(ended, key=lambda item: item.ended_ms)
        ]
        self.assertEqual(request_ids, ["first", "top", "early", "later", "low"])

    async def test_a_larger_batch_takes_a_longer_step(self):
        engine = await self.engine(step_per_request_ms=3.0)
        self.assertEqual(engine.rank.duration_ms(), 2.0)
        async with running(self.generate(engine, "r", max_tokens=1000)):
            await self.until(lambda: engine.rank.running)
            self.assertEqual(engine.rank.duration_ms(), 5.0)


class CacheTests(EngineTestCase):
    async def test_a_cached_prefix_shortens_the_prefill(self):
        engine = await self.engine(step_ms=1.0, prefill_ms=20.0)
        for request_id in ("cold", "warm"):
            await self.generate(engine, request_id, max_tokens=1)
        cold, warm = engine.rank.generations.values()
        self.assertEqual(engine.rank.prefixes.hits_count, 1)
        self.assertGreaterEqual(engine.steps.step, 22)
        self.assertLess(warm.ended_ms - cold.ended_ms, 20)

    async def test_cache_events_are_delayed_have_gaps_and_include_evictions(self):
        engine = await self.engine(
            prefixes_limit_count=1, events_gap_every_count=3, events_lag_ms=40_000
        )
        for prompt in ("one", "two", "three"):
            await self.generate(engine, prompt, prompt=prompt, max_tokens=1)
        url = f"{engine.url}/cache_events?after=1"
        self.assertEqual(await self.get(url), (200, {"events": []}))
        engine.rank.cache_events.lag_ms = 0
        _, answer = await self.get(url)
        events = [
            (event["sequence"], event["kind"], event["prefix"])
            for event in answer["events"]
        ]
        expected = [
            (2, "stored", prefix_digest("two")),
            (4, "stored", prefix_digest("three")),
            (5, "evicted", prefix_digest("two")),
        ]
        self.assertEqual(events, expected)

    async def test_kv_cache_is_copied_to_another_engine(self):
        source, destination = await self.engine(), await self.engine()
        await self.generate(source, "r")
        path = f"/kv/{prefix_digest('a prompt')}"
        async with self.session.get(source.url + path) as response:
            content = await response.read()
        async with self.session.put(destination.url + path, data=content) as response:
            self.assertEqual(response.status, 204)
        await self.generate(destination, "r")
        self.assertEqual(destination.rank.prefixes.hits_count, 1)

    async def test_load_reports_are_delayed(self):
        engine = await self.engine(load_lag_ms=300.0)
        async with running(self.generate(engine, "r", max_tokens=1000)):
            await self.until(lambda: engine.rank.running)
            _, old = await self.get(f"{engine.url}/load")
            self.assertEqual((old["running_count"], old["age_ms"]), (0, 300))
            await asyncio.sleep(0.35)
            _, new = await self.get(f"{engine.url}/load")
            self.assertEqual(new["running_count"], 1)


class OrderTests(EngineTestCase):
    async def test_an_outdated_fence_is_rejected_if_checked(self):
        engine = await self.engine(checks_orders=True)
        await self.send_order(engine.url, "set_role", fence=7, role="new")
        status, answer = await self.send_order(
            engine.url, "set_role", fence=6, role="old"
        )
        self.assertEqual((status, answer["fence"]), (409, 7))
        self.assertEqual(engine.rank.role, "new")

    async def test_an_outdated_fence_is_accepted_if_not_checked(self):
        engine = await self.engine(checks_orders=False)
        await self.send_order(engine.url, "set_role", fence=7, role="new")
        status, _ = await self.send_order(engine.url, "set_role", fence=6, role="old")
        self.assertEqual((status, engine.rank.role), (200, "old"))

    async def test_an_adapter_is_usable_only_once_it_is_loaded(self):
        engine = await self.engine()
        body = generate_body("r", adapter="care")
        status, _ = await self.post(f"{engine.url}/generate", body)
        self.assertEqual(status, 400)
        await self.send_order(engine.url, "load_adapter", adapter="care")
        _, length = await self.generate(engine, "r", adapter="care")
        self.assertEqual(length, 5)

    async def test_invalid_orders_change_nothing(self):
        engine = await self.engine()
        for fields in ({"order": "x"}, {"order": "set_role", "role": 1}):
            document = {"fence": 9} | fields
            status, _ = await self.post(f"{engine.url}/orders", document)
            self.assertEqual(status, 400)
        self.assertEqual(engine.order_handler.fence, 0)


class FaultTests(EngineTestCase):
    async def test_silence_affects_open_connections_but_not_new_ones(self):
        engine = await self.engine(step_ms=10.0)
        body = generate_body("r", max_tokens=10)
        async with self.session.post(f"{engine.url}/generate", json=body) as stream:
            head, _ = await read_events(stream, count=2)
            await self.fault(engine.url, silence=True)
            with self.assertRaises(TimeoutError):
                async with asyncio.timeout(0.25):
                    await read_events(stream)
            async with aiohttp.ClientSession() as new_session:
                url = f"{engine.url}/requests/r/stream?offset=2"
                async with new_session.get(url) as resumed:
                    _, length = await read_events(resumed)
        self.assertEqual(length, 10)

    async def test_a_stall_stops_tokens_and_shows_in_health(self):
        engine = await self.engine()
        await self.fault(engine.url, stalled=True)
        async with running(self.generate(engine, "r")) as answer:
            await asyncio.sleep(0.3)
            _, health = await self.get(f"{engine.url}/health")
            self.assertFalse(health["steps_running"])
            self.assertEqual(health["step"], 0)
            await self.fault(engine.url, stalled=False)
            self.assertEqual((await answer)[1], 5)

    async def test_a_dropped_stream_fails_for_the_caller(self):
        engine = await self.engine()
        await self.fault(engine.url, drop_after_count=2)
        with self.assertRaises(aiohttp.ClientError):
            await self.generate(engine, "r")

    async def test_a_prompt_with_the_crash_marker_crashes_the_engine(self):
        engine = await self.engine()
        await self.fault(engine.url, crash_marker="poison")
        async with running(self.generate(engine, "r", max_tokens=1000)) as unmarked:
            await self.until(lambda: engine.rank.running)
            with self.assertRaises(aiohttp.ClientError):
                await self.generate(engine, "x", prompt="a poison pill")
            with self.assertRaises(aiohttp.ClientError):
                await unmarked
        with self.assertRaises(aiohttp.ClientConnectorError):
            await self.generate(engine, "y")
        self.assertEqual(engine.crashes_count, 1)

    async def test_rejected_requests_do_not_run(self):
        engine = await self.engine()
        await self.fault(engine.url, refuse=True)
        status, _ = await self.post(f"{engine.url}/generate", generate_body("r"))
        self.assertEqual((status, engine.runs), (503, {}))

    async def test_an_unknown_fault_is_rejected(self):
        engine = await self.engine()
        url = f"{engine.url}/_control/fault"
        status, answer = await self.post(url, {"stall": True})
        self.assertEqual(status, 400)
        self.assertIn('"stall"', answer["reason"])
