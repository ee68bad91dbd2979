"""Tests gateways while the operator evacuates data centres."""

import asyncio

import logbook

from waxwinghold._decisions.target_choice import target_policy
from waxwinghold._decisions.waiting import queue_policy
from waxwinghold._gateway.admission_queue import AdmissionQueue
from waxwinghold._gateway.errors import (
    EvacuatedTargetsError,
    PausedTargetsError,
    WithdrawnTargetError,
)
from waxwinghold._gateway.model import TargetState
from waxwinghold._gateway.targets import TargetPool
from waxwinghold.platform.store import REVISIONS_PER_ERA_COUNT

from .support.gateway import FakeClock, GatewayFixture
from .support.gateway_fleet import GatewayFleet
from .support.loop_case import LoopCase
from .test_gateway_line import QueueCase, queued_request
from .test_gateway_path import PathCase
from .test_gateway_seats import listing
from .test_platform_store import WatchCase

BOUND_S = 5.0
REFUSED_BOUND_S = 8.0  # Below evacuation-ms + outer-ms, which is 11 s.
AT_ONCE_S = 0.3


class StoreTests(WatchCase):
    """Evacuation keys in the store."""

    def names_evacuated(self):
        return list(self.target_pool.evacuations)

    async def until_evacuated(self, *names):
        await self.until(lambda: self.names_evacuated() == list(names))

    async def begin(self):
        self.put_worker("i-1", zone="dc-a")
        self.put_worker("i-2", zone="dc-b")
        self.start()
        await self.until(lambda: self.names() == {"i-1", "i-2"})

    def accepting(self):
        now_ms = self.watcher._clock.now_ms()
        return {
            target.listing.name
            for target in self.target_pool
            if target.accepts_requests(now_ms=now_ms)
        }

    async def test_keys_are_read_at_the_start_and_watched(self):
        self.store.put("op/evacuate/dc-a", {})
        await self.begin()
        self.assertEqual(self.names_evacuated(), ["dc-a"])
        self.assertEqual(self.accepting(), {"i-2"})
        self.store.put("op/evacuate/dc-b", b"not an object")
        await self.until_evacuated("dc-a", "dc-b")
        self.assertEqual(self.accepting(), set())
        self.store.delete("op/evacuate/dc-a")
        await self.until_evacuated("dc-b")
        self.assertEqual(self.accepting(), {"i-1"})

    async def test_evacuations_cost_no_further_call_to_the_store(self):
        self.store.put("op/evacuate/dc-a", {})
        await self.begin()
        ranges = [path for path in self.store.calls if "kv-range" in path]
        self.assertEqual(len(ranges), 2)

    async def test_odd_keys_are_logged_once(self):
        with logbook.TestHandler() as logs:
            for key in ("op/evacuate/", "op/evacuate/dc-a/x", "op/evacuate/dc-z"):
                self.store.put(key, {})
            await self.begin()
            for key in ("op/evacuate/", "op/evacuate/dc-a/x", "op/evacuate/dc-z"):
                self.store.put(key, {})
            self.store.put("op/evacuate/dc-b", {})
            await self.until_evacuated("dc-b", "dc-z")
            lines = [record.message for record in logs.records]
        self.assertEqual(lines.count("malformed evacuation key ignored"), 2)
        self.assertEqual(
            lines.count("evacuated data centre has no listed target"), 1, lines
        )
        self.put_worker("i-3", zone="dc-z")
        await self.until(lambda: "i-3" in self.names())
        self.assertEqual(self.accepting(), {"i-1"})

    async def test_beginning_and_end_are_logged(self):
        with logbook.TestHandler() as logs:
            await self.begin()
            self.store.put("op/evacuate/dc-b", {})
            await self.until_evacuated("dc-b")
            self.store.delete("op/evacuate/dc-b")
            await self.until_evacuated()
            lines = [
                (record.message, record.extra["data_centre"])
                for record in logs.records
                if record.message.startswith("evacuation")
            ]
        self.assertEqual(
            lines,
            [
                ("evacuation of a data centre began", "dc-b"),
                ("evacuation of a data centre ended", "dc-b"),
            ],
        )

    async def test_a_read_after_the_history_is_gone_replaces_the_set(self):
        self.store.put("op/evacuate/dc-a", {})
        await self.begin()
        self.store.fault = "busy"
        await asyncio.sleep(0.2)
        self.store.delete("op/evacuate/dc-a")
        self.store.put("op/evacuate/dc-b", {})
        self.store.forget_history()
        await asyncio.sleep(0.5)
        self.assertEqual(self.names_evacuated(), ["dc-a"])  # The last set holds.
        self.store.fault = ""
        await self.until_evacuated("dc-b")

    async def test_an_evacuation_that_the_store_lost_holds(self):
        await self.begin()
        copy = self.store.snapshot()
        self.store.put("op/evacuate/dc-a", {})
        await self.until_evacuated("dc-a")
        self.store.restore(copy)
        await self.until(lambda: self.watcher._era == 2)
        await self.until(lambda: self.watcher._revision is not None)
        self.assertEqual(self.names_evacuated(), ["dc-a"])
        self.store.delete("op/evacuate/dc-a")
        await self.until_evacuated()

    async def test_an_evacuation_that_ended_does_not_return_with_the_copy(self):
        self.store.put("op/evacuate/dc-a", {})
        await self.begin()
        copy = self.store.snapshot()
        self.store.delete("op/evacuate/dc-a")
        await self.until_evacuated()
        self.store.restore(copy)
        await self.until(lambda: self.watcher._era == 2)
        await self.until(lambda: self.watcher._revision is not None)
        self.assertEqual(self.names_evacuated(), [])
        self.store.put("op/evacuate/dc-a", {})
        await self.until_evacuated("dc-a")


class PassedOnEvacuationTests(WatchCase):
    async def test_changes_that_another_gateway_passes_on_are_applied(self):
        self.put_worker("i-1")
        self.start()
        await self.until(lambda: self.names() == {"i-1"})
        position = REVISIONS_PER_ERA_COUNT + 1
        self.store.put("op/evacuate/dc-a", {})
        answer = await self.answer(1)
        self.watcher.apply_changes(answer, at=position)
        self.assertTrue(self.target_pool.evacuations.has("dc-a"))


class QueueTests(QueueCase):
    def setUp(self):
        self.clock = FakeClock()
        self.target_pool = TargetPool(clock=self.clock)
        self.target_pool.replace([listing("w0"), listing("w1", data_centre="dc-b")])
        self.queue = AdmissionQueue(
            clock=self.clock,
            service="models",
            target_pool=self.target_pool,
            selection_policy=target_policy.make("least_held", data_centre="dc-a"),
            admission_policy=queue_policy.make("on_time_first"),
        )
        self.target_pool.listeners.append(self.queue.serve_queued)

    def evacuate(self, *names):
        listed = dict.fromkeys(names, 1)
        self.target_pool.evacuations.replace(listed, now_ms=self.clock.now_ms())
        self.target_pool.notify_listeners()

    async def assert_rejected(self, error_type, *, last_chance=False, **options):
        request = queued_request(self.clock.now_ms(), last_chance=last_chance)
        with self.assertRaises(error_type) as caught:
            async with asyncio.timeout(AT_ONCE_S):
                await self.queue.acquire(request, **{"tried": frozenset(), **options})
        self.assertGreater(caught.exception.retry_after_ms, 0.0)

    def pause(self, name):
        self.target_pool.signals.record_pause(
            self.target_pool.get(name).incarnation,
            pause_ms=500.0,
            now_ms=self.clock.now_ms(),
        )

    async def test_targets_of_an_evacuated_data_centre_are_not_chosen(self):
        self.evacuate("dc-a")
        for _ in range(3):
            slot = await self.queue.acquire(
                queued_request(self.clock.now_ms()), tried=frozenset()
            )
            self.assertEqual(slot.target.listing.name, "w1")

    async def test_requests_are_rejected_at_once_if_all_targets_are_evacuated(self):
        # Requests with a last chance would wait for a closed service.
        self.evacuate("dc-a", "dc-b")
        for last_chance in (False, True):
            await self.assert_rejected(EvacuatedTargetsError, last_chance=last_chance)

    async def test_the_targets_that_a_request_was_sent_to_do_not_count(self):
        self.evacuate("dc-b")
        await self.assert_rejected(EvacuatedTargetsError, tried=frozenset({"w0"}))

    async def test_a_target_that_leaves_is_no_remaining_target(self):
        self.target_pool.replace(
            [
                listing("w0", state=TargetState.LEAVING),
                listing("w1", data_centre="dc-b"),
            ]
        )
        self.evacuate("dc-b")
        await self.assert_rejected(EvacuatedTargetsError, last_chance=True)

    async def test_a_remaining_target_that_pauses_is_named_as_the_reason(self):
        self.evacuate("dc-b")
        self.pause("w0")
        await self.assert_rejected(PausedTargetsError)

    async def test_waiting_requests_are_rejected_when_the_evacuation_begins(self):
        self.fill()
        waiting = await self.begin(self.queue)
        self.evacuate("dc-a")
        await asyncio.sleep(0)
        self.assertFalse(waiting.done())
        self.evacuate("dc-a", "dc-b")
        with self.assertRaises(EvacuatedTargetsError):
            await waiting

    async def test_waiting_requests_are_served_at_once_when_the_evacuation_ends(self):
        self.evacuate("dc-b")
        target = self.target_pool.get("w0")
        for _ in range(target.listing.slots_count):
            target.acquire_slot()
        waiting = await self.begin(self.queue)
        self.assertFalse(waiting.done())
        self.evacuate()
        slot = await waiting
        self.assertEqual(slot.target.listing.name, "w1")

    def fill(self):
        for target in self.target_pool:
            for _ in range(target.listing.slots_count):
                target.acquire_slot()


class SendTests(PathCase):
    def evacuate_while_connecting(self, gateway, connections):
        acquire = connections.acquire

        async def acquire_late(**options):
            connection = await acquire(**options)
            gateway.published.record_evacuations({"dc-a": 10_000})
            return connection

        connections.acquire = acquire_late

    async def test_the_check_just_before_a_send_holds_the_request_back(self):
        # The evacuation begins while the connection is opened.
        fixture = GatewayFixture(behaviours=("whole", "whole"))
        await self.enterAsyncContext(fixture.open())
        for target in fixture.gateway.target_pool:
            self.evacuate_while_connecting(fixture.gateway, target.connections)
        logs = logbook.TestHandler()
        logs.push_application()
        self.addCleanup(logs.pop_application)
        status, headers, _ = await fixture.call("/safe/a")
        self.assertEqual(status, 503)
        self.assertGreater(float(headers["Retry-After"]), 0.0)
        for worker in fixture.workers:
            self.assertEqual(worker.requests, [])
        codes = [record.extra.get("code") for record in logs.records]
        self.assertIn(WithdrawnTargetError.code, codes)
        self.assertIn(EvacuatedTargetsError.code, codes)

    async def test_a_running_request_is_finished(self):
        fixture = GatewayFixture(behaviours=("stream",))
        await self.enterAsyncContext(fixture.open())
        fixture.workers[0].event_ms = 100.0
        task = asyncio.create_task(fixture.call("/stream/a", method="POST"))
        async with asyncio.timeout(3):
            while not fixture.workers[0].requests:
                await asyncio.sleep(0.01)
        fixture.store.put("op/evacuate/dc-a", {})
        status, _, body = await task
        self.assertEqual(status, 200)
        self.assertIsNotNone(body)


class FleetTests(LoopCase):
    async def open_fleet(self):
        fleet = GatewayFleet(
            gateways_count=4,
            workers_count=2,
            data_centres=["dc-a", "dc-a", "dc-b", "dc-b"],
            worker_data_centres=["dc-a", "dc-b"],
        )
        return await self.enterAsyncContext(fleet.open())

    def knowing(self, fleet, name):
        return {
            index
            for index, gateway in enumerate(fleet.gateways)
            if gateway.target_pool.evacuations.has(name)
        }

    async def until_known(self, fleet, name, *, by, limit_s):
        async with asyncio.timeout(limit_s):
            while self.knowing(fleet, name) != set(by):
                await asyncio.sleep(0.01)

    async def test_no_gateway_sends_to_an_evacuated_data_centre(self):
        fleet = await self.open_fleet()
        fleet.store.put("op/evacuate/dc-b", {})
        await self.until_known(fleet, "dc-b", by=range(4), limit_s=BOUND_S)
        fleet.workers[1].requests.clear()
        for index in range(4):
            status, _, _ = await fleet.call(index, "/safe/a")
            self.assertEqual(status, 200)
        self.assertEqual(fleet.workers[1].requests, [])
        self.assertEqual(len(fleet.workers[0].requests), 4)
        fleet.store.delete("op/evacuate/dc-b")
        await self.until_known(fleet, "dc-b", by=(), limit_s=BOUND_S)

    async def test_a_cut_data_centre_learns_of_an_evacuation_when_it_is_back(self):
        fleet = await self.open_fleet()
        fleet.cut_off(2, 3)
        fleet.store.put("op/evacuate/dc-a", {})
        await self.until_known(fleet, "dc-a", by=(0, 1), limit_s=BOUND_S)
        fleet.heal()
        await self.until_known(fleet, "dc-a", by=range(4), limit_s=BOUND_S)

    async def test_readers_that_the_store_refuses_learn_from_another_gateway(self):
        # The reader of a data centre asked nobody else while its own calls failed.
        fleet = await self.open_fleet()
        readers = [
            index
            for index, gateway in enumerate(fleet.gateways)
            if gateway.readers._reader() == fleet.ips[index]
        ]
        self.assertEqual(len(readers), 2)
        fleet.cut_store(*readers)
        fleet.store.put("op/evacuate/dc-b", {})
        await self.until_known(fleet, "dc-b", by=range(4), limit_s=REFUSED_BOUND_S)
        fleet.store.delete("op/evacuate/dc-b")
        await self.until_known(fleet, "dc-b", by=(), limit_s=REFUSED_BOUND_S)
