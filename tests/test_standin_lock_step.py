"""Ranks in lock-step: nobody steps while one may not."""

import asyncio

from tests.standin_client import StandInTestCase, generate_body, read_events
from waxwinghold_standins.engine import whole_text
from waxwinghold_standins.lock_step import LockStepGroup


class LockStepTests(StandInTestCase):
    async def group(self, **options):
        options = {"ranks_count": 3, "step_ms": 2.0, "checks_orders": False} | options
        group = LockStepGroup(**options)
        await group.start()
        self.addAsyncCleanup(group.stop)
        return group

    async def order_all(self, group, order, **fields):
        for url in group.urls:
            status, answer = await self.send_order(url, order, **fields)
            self.assertEqual(status, 200, answer)

    async def assert_stands(self, group):
        step = group.steps.step
        await asyncio.sleep(0.05)
        self.assertEqual(group.steps.step, step)

    async def assert_goes_on(self, group):
        step = group.steps.step
        await self.until(lambda: group.steps.step > step + 3)

    async def test_no_step_runs_while_one_rank_is_held(self):
        group = await self.group()
        held_step = group.steps.step + 5
        await self.send_order(group.urls[1], "hold_before", step=held_step)
        await self.until(lambda: group.steps.step == held_step - 1)
        await self.assert_stands(group)
        _, answer = await self.get(f"{group.urls[0]}/health")
        self.assertEqual(answer["step"], held_step - 1)
        await self.send_order(group.urls[1], "hold_before", step=None)
        await self.assert_goes_on(group)

    async def test_no_step_runs_while_one_rank_stalls(self):
        group = await self.group()
        await self.fault(group.urls[2], stalled=True)
        await self.assert_stands(group)
        await self.fault(group.urls[2], stalled=False)
        await self.assert_goes_on(group)

    async def test_a_held_switch_runs_no_mixed_step(self):
        group = await self.group()
        await self.order_all(group, "load_experts", experts=[1, 2], map_id="m2")
        step = group.steps.step + 5
        await self.order_all(group, "hold_before", step=step)
        await self.until(lambda: group.steps.step == step - 1)
        await self.order_all(group, "switch_map", map_id="m2", step=step)
        await self.order_all(group, "drop_map", map_id="initial")
        await self.assert_stands(group)
        await self.order_all(group, "hold_before", step=None)
        await self.assert_goes_on(group)
        _, answer = await self.get(f"{group.urls[0]}/steps")
        self.assertEqual(answer["mixed_count"], 0)
        maps = [record.map_ids[0] for record in group.steps.records]
        self.assertEqual(maps.index("m2") + 1, step)
        _, answer = await self.get(f"{group.urls[0]}/map")
        self.assertEqual((answer["map_id"], answer["loaded"]), ("m2", ["m2"]))

    async def test_a_careless_switch_shows_as_mixed_steps(self):
        group = await self.group()
        await self.send_order(group.urls[0], "load_experts", experts=[1], map_id="m2")
        await self.send_order(group.urls[0], "switch_map", map_id="m2", step=0)
        await self.until(lambda: group.mixed_steps)
        _, answer = await self.get(f"{group.urls[2]}/steps")
        maps = answer["mixed"][0]["map_ids"]
        self.assertEqual(maps, ["m2", "initial", "initial"])

    async def test_a_map_is_switched_to_only_when_it_is_loaded(self):
        group = await self.group(loading={"load_expert_ms": 20.0})
        url = group.urls[0]
        await self.send_order(url, "load_experts", experts=[1, 2], map_id="m2")
        status, answer = await self.send_order(url, "switch_map", map_id="m2", step=9)
        self.assertEqual(status, 422)
        self.assertIn('"m2"', answer["reason"])
        await self.until(lambda: "m2" in group.engines[0].rank.maps.loaded)
        status, _ = await self.send_order(url, "switch_map", map_id="m2", step=10**9)
        self.assertEqual(status, 200)
        await self.send_order(url, "load_experts", experts=[2, 3], map_id="m3")
        self.assertEqual(group.engines[0].order_handler.loader.experts_loaded_count, 3)

    async def test_a_replaced_rank_steps_only_once_it_knows_a_map(self):
        group = await self.group()
        body = generate_body("r", max_tokens=300)
        async with self.session.post(f"{group.urls[0]}/generate", json=body) as answer:
            await read_events(answer, count=3)
            await group.kill_rank(1)
            await self.assert_stands(group)
            await group.replace_rank(1)
            await self.assert_stands(group)
            url = group.urls[1]
            await self.send_order(url, "load_experts", experts=[], map_id="initial")
            await self.send_order(url, "switch_map", map_id="initial", step=0)
            await self.assert_goes_on(group)
            tokens, length = await read_events(answer)
        self.assertEqual(length, 300)
        self.assertTrue("".join(tokens.values()) in whole_text("a prompt", "v1", 300))
        self.assertEqual(group.mixed_steps, [])

    async def test_the_slowest_rank_sets_the_pace(self):
        group = await self.group()
        await self.fault(group.urls[1], step_ms=60.0)
        await self.until(lambda: group.steps.records)
        step = group.steps.step
        await asyncio.sleep(0.2)
        self.assertLessEqual(group.steps.step - step, 5)

    async def test_a_map_in_use_is_not_dropped(self):
        group = await self.group(step_ms=20.0)
        await self.order_all(group, "load_experts", experts=[1], map_id="m2")
        step = group.steps.step + 10
        await self.order_all(group, "hold_before", step=step)
        await self.order_all(group, "switch_map", map_id="m2", step=step)
        for map_id in ("initial", "m2"):
            status, _ = await self.send_order(group.urls[0], "drop_map", map_id=map_id)
            self.assertEqual(status, 422)
        _, answer = await self.get(f"{group.urls[0]}/map")
        self.assertEqual(answer["map_id"], "initial")
        await self.until(lambda: group.steps.step == step - 1)
        _, answer = await self.get(f"{group.urls[0]}/map")
        self.assertEqual(answer["map_id"], "m2")
