"""Tests gateways whose targets turn cold."""

import asyncio
import itertools

import logbook
import msgspec

from waxwinghold._decisions.cold_targets import FIRST_LIST_MS, ColdRule
from waxwinghold._decisions.target_choice import target_policy
from waxwinghold._decisions.waiting import queue_policy
from waxwinghold._gateway.admission_queue import AdmissionQueue, service_state
from waxwinghold._gateway.errors import LimitedTargetsError
from waxwinghold._gateway.model import Service
from waxwinghold._gateway.published_state import PublishedState
from waxwinghold._gateway.targets import TargetPool

from .support.gateway import FakeClock, configuration
from .support.gateway_fleet import GatewayFleet
from .support.loop_case import LoopCase
from .test_gateway_line import QueueCase, queued_request
from .test_gateway_seats import listing, rank_notice

PER_SECOND = 4.0
COLD_MS = 20_000.0
# rate x overrun + slack of the platform's settings.
BOUND_COUNT = 1.5 * PER_SECOND + 5
INTERVAL_S = 0.01
RUN_S = 5.0


class ColdCase(QueueCase):
    """A queue with a cold target w0 and a warm target w1."""

    def setUp(self):
        self.clock = FakeClock(now_ms=1_700_000_000_000.0)
        self.born_ms = self.clock.wall_ms()
        self.target_pool = TargetPool(clock=self.clock)
        self.configure(PER_SECOND)
        self.put("w0", "w1", cold=("w0",))
        self.queue = AdmissionQueue(
            clock=self.clock,
            service="models",
            target_pool=self.target_pool,
            selection_policy=target_policy.make("least_held", data_centre="dc-a"),
            admission_policy=queue_policy.make("on_time_first"),
        )
        self.target_pool.listeners.append(self.queue.serve_queued)

    def configure(self, per_second, *, service="models"):
        self.target_pool.cold_tracking.configure(
            {
                service: Service(
                    name=service,
                    connections_limit_count=0,
                    cold_ms=COLD_MS,
                    cold_per_second=per_second,
                )
            }
        )

    def put(self, *names, cold=(), born_ms=1):
        self.target_pool.replace(
            [
                listing(name, born_ms=self.born_ms if name in cold else born_ms)
                for name in names
            ]
        )

    def cold_names(self):
        now_ms = self.clock.now_ms()
        return [
            target.listing.name
            for target in self.target_pool
            if target.is_cold(now_ms=now_ms)
        ]

    async def acquire(self, **options):
        request = queued_request(self.clock.now_ms(), **options)
        return await self.queue.acquire(request, tried=frozenset())


class ChoiceTests(ColdCase):
    async def test_at_equal_load_a_warm_target_is_chosen_first(self):
        self.configure(1e6)
        self.target_pool.cold_tracking.cold.record_held("models", held_ms=1000.0)
        now_ms = self.clock.now_ms()  # No permit is needed.
        self.assertTrue(self.target_pool.get("w0").is_usable(now_ms=now_ms))
        for _ in range(20):
            slot = await self.acquire()
            self.assertEqual(slot.target.listing.name, "w1")
            self.queue.release(slot)

    async def test_at_less_load_a_cold_target_is_chosen_with_a_permit(self):
        names = []
        for _ in range(8):
            self.clock.time_ms += 300
            names.append((await self.acquire()).target.listing.name)
        self.assertEqual(sorted(names), ["w0"] * 4 + ["w1"] * 4)

    async def test_no_permit_is_asked_for_while_a_warm_target_has_no_more_load(self):
        wanted = []
        self.target_pool.permits.want = wanted.extend
        await self.acquire()
        self.assertEqual(wanted, [])
        await self.acquire()
        self.assertEqual(wanted, [self.target_pool.get("w0").incarnation])

    async def test_the_lower_of_two_limits_applies(self):
        permits = self.target_pool.permits
        target = self.target_pool.get("w0").incarnation
        for named, expected in ((1.0, 1.0), (9.0, PER_SECOND)):
            permits.limits.record(target, per_second=named, now_ms=self.clock.now_ms())
            self.assertEqual(permits.expected_per_second([target]), expected)

    async def test_without_a_rate_in_the_configuration_nothing_changes(self):
        self.configure(0.0)
        self.assertFalse(self.target_pool.permits.has_limits)
        self.assertEqual(self.cold_names(), [])
        names = set()
        for _ in range(6):
            names.add((await self.acquire()).target.listing.name)
        self.assertEqual(names, {"w0", "w1"})


class ServiceStateTests(ColdCase):
    async def asyncSetUp(self):
        self.put("w0", "w1", cold=("w0", "w1"), born_ms=1)
        self.assertEqual(sorted(self.cold_names()), ["w0", "w1"])

    def state(self):
        targets = self.target_pool.of_service("models")
        return service_state(targets, now_ms=self.clock.now_ms())

    async def test_a_service_of_cold_targets_is_neither_closed_nor_stalled(self):
        targets = list(self.target_pool)
        now_ms = self.clock.now_ms()
        self.assertFalse(any(target.is_usable(now_ms=now_ms) for target in targets))
        state = self.state()
        self.assertFalse(state.stalled)
        self.assertFalse(state.closed)
        self.assertEqual(state.free_ratio, 1.0)

    async def test_a_service_whose_cold_targets_make_no_step_is_stalled(self):
        for target in self.target_pool:
            target.avoid(now_ms=self.clock.now_ms(), pause_ms=60_000.0)
        self.assertTrue(self.state().stalled)

    async def test_late_requests_get_permits_too(self):
        # They did not ask for one, as the service counted as without slots.
        self.clock.time_ms += 300
        for target in self.target_pool:
            self.target_pool.permits.want([target.incarnation])
        self.clock.time_ms += 1000
        request = queued_request(self.clock.now_ms() - 5000, last_chance=True)
        slot = await self.queue.acquire(request, tried=frozenset())
        self.assertIsNotNone(slot.target)

    async def test_requests_beyond_the_rate_are_rejected_with_a_time_to_return(self):
        tasks = []
        for _ in range(20):
            self.clock.time_ms += 10
            tasks.append(await self.begin(self.queue))
        await asyncio.sleep(0)
        errors = [task.exception() for task in tasks if task.done()]
        rejections = [error for error in errors if error is not None]
        self.assertGreater(len(rejections), 10)
        for error in rejections:
            self.assertIsInstance(error, LimitedTargetsError)
            self.assertGreater(error.retry_after_ms, 0.0)


class TurnTests(ColdCase):
    def setUp(self):
        super().setUp()
        self.logs = logbook.TestHandler()
        self.logs.push_application()
        self.addCleanup(self.logs.pop_application)

    def lines(self):
        return [
            (record.extra["target"], record.extra["reason"], record.extra["cold_ms"])
            for record in self.logs.records
            if record.message == "target turned cold"
        ]

    async def test_a_target_listed_for_the_first_time_is_cold_and_logged_once(self):
        self.clock.time_ms += FIRST_LIST_MS
        for _ in range(3):
            self.put("w0", "w1", "w2", cold=("w0",))
        self.assertIn("w2", self.cold_names())
        self.assertEqual(self.lines(), [("w2", "listed", COLD_MS)])
        self.clock.time_ms += COLD_MS
        self.assertEqual(self.cold_names(), [])

    async def test_a_target_with_a_new_start_time_is_cold(self):
        self.clock.time_ms += FIRST_LIST_MS
        self.put("w0", "w1", cold=("w0",), born_ms=2)
        self.assertIn("w1", self.cold_names())

    async def test_targets_are_cold_after_the_evacuation_of_their_data_centre(self):
        published = PublishedState(
            clock=self.clock, target_pool=self.target_pool, grace_ms=2000.0
        )
        published.record_evacuations({"dc-a": 1, "dc-b": 2})
        published.record_evacuations({"dc-b": None})
        self.assertEqual(self.cold_names(), ["w0"])
        self.clock.time_ms += COLD_MS
        published.record_evacuations({"dc-a": None})
        self.assertEqual(sorted(self.cold_names()), ["w0", "w1"])
        self.assertIn(("w1", "evacuated", COLD_MS), self.lines())

    async def test_a_start_that_the_agent_of_its_own_host_tells_makes_it_cold(self):
        self.tell_start(sequence=1, sender_ip="10.9.9.9")
        self.assertEqual(self.cold_names(), ["w0"])
        self.tell_start(sequence=2, sender_ip="127.0.0.1")
        self.assertEqual(sorted(self.cold_names()), ["w0", "w1"])
        self.clock.time_ms += COLD_MS
        self.tell_start(sequence=3, sender_ip="127.0.0.1")
        self.assertEqual(self.cold_names(), [])

    def tell_start(self, *, sequence, sender_ip):
        notice = rank_notice(1, sequence=sequence)
        notice = msgspec.structs.replace(notice, born_ms=5)
        self.target_pool.update_rank(notice, sender_ip=sender_ip)

    async def test_the_gauge_counts_the_cold_targets_that_are_listed(self):
        tracking = self.target_pool.cold_tracking
        self.assertEqual(tracking.count(self.target_pool), 1)
        self.put("w1")
        self.assertEqual(tracking.count(self.target_pool), 0)


class RuleTests(ColdCase):
    async def test_a_service_without_a_rate_has_no_rule(self):
        self.configure(0.0)
        self.assertFalse(self.target_pool.cold_tracking.cold.is_configured)
        self.configure(2.0)
        rules = self.target_pool.cold_tracking.cold._rules
        self.assertEqual(rules["models"], ColdRule(cold_ms=COLD_MS, per_second=2.0))


class FleetTests(LoopCase):
    """Gateways and workers over loopback."""

    def service(self):
        return {
            "name": "models",
            "max-conns": 50,
            "cold-s": COLD_MS / 1000,
            "cold-per-s": PER_SECOND,
        }

    async def open_fleet(self):
        fleet = GatewayFleet(gateways_count=3, workers_count=3)
        await self.enterAsyncContext(fleet.open())
        fleet.store.put(
            "op/config", configuration(version=2, services=[self.service()])
        )
        return fleet

    async def until_cold(self, fleet, *, count):
        async with asyncio.timeout(5):
            while {
                gateway.target_pool.cold_tracking.count(gateway.target_pool)
                for gateway in fleet.gateways
            } != {count}:
                await asyncio.sleep(0.01)

    def put_cold(self, fleet, worker):
        worker.requests.clear()
        address = worker.address
        fleet.store.put(
            f"servers/{worker.name}",
            {
                "service": "models",
                "address": f"{address[0]}:{address[1]}",
                "zone": "dc-a",
                "slots": 6,
                "state": "ready",
                "cold-left-ms": COLD_MS,
            },
        )

    async def send_steadily(self, fleet):
        loop = asyncio.get_running_loop()
        end_s = loop.time() + RUN_S
        tasks = []
        for index in itertools.cycle(range(len(fleet.gateways))):
            if loop.time() >= end_s:
                return await asyncio.gather(*tasks)
            tasks.append(asyncio.create_task(fleet.call(index, "/safe/a")))
            await asyncio.sleep(INTERVAL_S)

    def peak_count(self, worker):
        """Return the highest number of requests in a second at a worker."""
        arrivals_s = [request.arrived_s for request in worker.requests]
        return max(
            sum(at_s <= other_s < at_s + 1.0 for other_s in arrivals_s)
            for at_s in arrivals_s
        )

    async def test_cold_targets_get_no_more_than_their_rate(self):
        fleet = await self.open_fleet()
        for worker in fleet.workers:
            self.put_cold(fleet, worker)
        await self.until_cold(fleet, count=3)
        outcomes = await self.send_steadily(fleet)
        for worker in fleet.workers:
            self.assertLessEqual(self.peak_count(worker), BOUND_COUNT)
            self.assertGreater(len(worker.requests), RUN_S * PER_SECOND / 2)
        rejected = [outcome for outcome in outcomes if outcome[0] != 200]
        self.assertGreater(len(rejected), 0)
        for status, _, headers in rejected:
            self.assertEqual(status, 503)
            self.assertGreater(float(headers["Retry-After"]), 0.0)

    async def test_a_cold_target_beside_warm_ones_rejects_nobody(self):
        fleet = await self.open_fleet()
        self.put_cold(fleet, fleet.workers[0])
        await self.until_cold(fleet, count=1)
        outcomes = await self.send_steadily(fleet)
        self.assertEqual({status for status, _, _ in outcomes}, {200})
        if fleet.workers[0].requests:
            self.assertLessEqual(self.peak_count(fleet.workers[0]), BOUND_COUNT)
