"""Tests of slow requests that are sent to a second target."""

import asyncio
import contextlib
import dataclasses
from types import SimpleNamespace
from unittest import mock

import logbook

from waxwinghold._decisions.retry_budget import Unlimited
from waxwinghold._gateway.model import RequestKind
from waxwinghold_standins._raw_http import answer_bytes, reset_connection
from waxwinghold_standins.fleet_worker import http_chunk, stream_event

from .support.gateway import GatewayFixture, configuration, standard_routes
from .test_gateway_silent_targets import SilentTargetCase, SpentBudget

# The other targets may be used again before the copy is due.
AVOID_MS = 40.0
DELAY_MS = 90.0
TYPICAL_MS = 44.0
DELAYS_COUNT = 60
FIRST_SENDS_COUNT = 200
RATIO = 0.05
# The past that a test gives its gateway must not end with a window during the test.
WINDOW_S = 1e7


class SecondCopyCase(SilentTargetCase):
    async def fixture(self, *behaviours, ratio=RATIO, **settings):
        """Return a fixture whose first request goes to the first worker."""
        fixture = GatewayFixture(
            behaviours=behaviours,
            second_copies_ratio=ratio,
            second_copies_window_s=WINDOW_S,
            **settings,
        )
        await self.enterAsyncContext(fixture.open())
        for worker in fixture.workers:
            worker.event_ms = 5.0
        budget = Unlimited(ratio=0.0, slack_count=0.0, window_ms=1.0)
        fixture.gateway.budget = lambda service: budget
        self.prepare(fixture)
        return fixture

    def prepare(
        self,
        fixture,
        *,
        first_sends_count=FIRST_SENDS_COUNT,
        delays_count=DELAYS_COUNT,
    ):
        """Give the gateway its recent past, and let it choose the first worker."""
        gateway = fixture.gateway
        self.choose_first(fixture)
        copies = gateway.second_copies("models")
        if copies is None:
            return
        times = {"now_ms": gateway.clock.now_ms(), "wall_ms": gateway.clock.wall_ms()}
        for _ in range(first_sends_count):
            copies.limit.record_first_send(**times)
        for route in gateway.published.table.configuration.routes:
            kind = (route.kind, route.latency_goal_ms)
            for number in range(delays_count):
                delay_ms = TYPICAL_MS if number % 10 else DELAY_MS
                copies.delays.record(kind, delay_ms, now_ms=times["now_ms"])

    def choose_first(self, fixture):
        now_ms = fixture.gateway.clock.now_ms()
        for worker in fixture.workers[1:]:
            target = fixture.gateway.target_pool.get(worker.name)
            target.avoid(now_ms=now_ms, pause_ms=AVOID_MS)

    async def until(self, condition):
        async with asyncio.timeout(3.0):
            while not condition():
                await asyncio.sleep(0.002)

    def counts(self, fixture):
        """Return the counters of copies, without labels of kinds."""
        counts = fixture.gateway.metrics.summary()["counts"]
        prefix = "second_copies_"
        return {
            name.removeprefix(prefix): count
            for name, count in counts.items()
            if name.startswith(prefix)
        }


def answering_late(worker, delay_s, answer):
    """Let ``worker`` run each request and call ``answer(request, writer)`` later."""

    async def respond(request, writer):
        headers = worker.record_run(request)
        await asyncio.sleep(delay_s)
        return await answer(headers, writer)

    worker._answer_late = respond
    worker.behaviour = "late"


def streaming_without_ids(worker, first_s):
    """Return an answer of five events, the first of them after ``first_s``."""

    async def answer(headers, writer):
        headers = [*headers, ("Transfer-Encoding", "chunked")]
        writer.write(answer_bytes(200, headers, with_length=False))
        for pause_s in (first_s, 0.06, 0.06, 0.06, 0.06):
            await asyncio.sleep(pause_s)
            writer.write(http_chunk(b"data: " + worker.name.encode() + b"\n\n"))
        writer.write(b"0\r\n\r\n")
        return True

    return answer


async def reset(headers, writer):
    reset_connection(writer)
    return False


async def garble(headers, writer):
    writer.write(b"\x00\x01 no answer at all\r\n\r\n")
    return True


async def fail(headers, writer):
    writer.write(answer_bytes(500, headers, b"failed"))
    return True


class WinnerTests(SecondCopyCase):
    """The first answer counts, and nothing else reaches the caller."""

    async def test_a_slow_request_is_answered_by_another_target(self):
        fixture = await self.fixture("silent", "whole")
        async with asyncio.timeout(0.6):
            status, _, body = await fixture.call("/safe/a")
        self.assertEqual((status, body), (200, fixture.workers[1].body))
        self.assert_nothing_in_flight(fixture)
        self.assertEqual(self.counts(fixture), {"sent.safe": 1, "won": 1})

    async def test_the_first_target_wins_if_it_answers_before_the_copy(self):
        fixture = await self.fixture("slow", "silent")
        fixture.workers[0].event_ms = 40.0
        status, _, body = await fixture.call("/safe/a")
        self.assertEqual((status, body), (200, fixture.workers[0].body))
        self.assertEqual(len(fixture.workers[1].runs), 1)
        self.assert_nothing_in_flight(fixture)
        self.assertEqual(self.counts(fixture), {"sent.safe": 1, "lost": 1})

    async def test_a_fast_request_gets_no_copy(self):
        fixture = await self.fixture("whole", "whole")
        await fixture.call("/safe/a")
        await asyncio.sleep(2 * DELAY_MS / 1000)
        self.assertEqual(fixture.workers[1].requests, [])
        self.assertEqual(self.counts(fixture), {})

    async def test_no_event_of_the_loser_reaches_the_caller(self):
        # A naive form passed on what both targets sent.
        fixture = await self.fixture("stream", "stream")
        first, second = fixture.workers
        first.event_ms, second.event_ms = 150.0, 20.0
        self.assert_whole(await fixture.call("/stream/a", method="POST"))
        self.assertEqual((len(first.runs), len(second.runs)), (1, 1))
        self.assert_nothing_in_flight(fixture)

    async def test_events_without_ids_come_from_one_target(self):
        # Events with ids that the caller has are dropped in any case.
        fixture = await self.fixture("late", "late")
        for worker, first_s in zip(fixture.workers, (0.16, 0.02)):
            answering_late(worker, 0.0, streaming_without_ids(worker, first_s))
        _, _, body = await fixture.call("/stream/a", method="POST")
        self.assertEqual(body, b"data: w1\n\n" * 5)

    async def test_a_head_alone_does_not_win(self):
        # A target sends the head of a stream before it begins to work.
        fixture = await self.fixture("stream", "stream")
        first, second = fixture.workers
        first.event_ms, second.event_ms = 160.0, 2000.0
        self.assert_whole(await fixture.call("/stream/a", method="POST"))
        self.assertEqual(len(second.runs), 1)
        self.assertEqual(self.counts(fixture), {"sent.stream": 1, "lost": 1})

    async def test_a_stream_with_an_event_gets_no_copy(self):
        fixture = await self.fixture("stream", "stream")
        fixture.workers[0].event_ms = 60.0
        self.assert_whole(await fixture.call("/stream/a", method="POST"))
        self.assertEqual(fixture.workers[1].requests, [])

    async def test_events_sent_at_the_same_moment_are_passed_on_once(self):
        fixture = await self.fixture("late", "late")
        gate = asyncio.Event()
        self.addCleanup(gate.set)

        async def stream(headers, writer):
            headers = [*headers, ("Transfer-Encoding", "chunked")]
            writer.write(answer_bytes(200, headers, with_length=False))
            await gate.wait()
            events = b"".join(stream_event(number) for number in range(1, 6))
            writer.write(http_chunk(events) + b"0\r\n\r\n")
            return True

        for worker in fixture.workers:
            answering_late(worker, 0.0, stream)
        call = asyncio.create_task(fixture.call("/stream/a", method="POST"))
        await self.until(lambda: fixture.workers[1].runs)
        gate.set()
        self.assert_whole(await call)
        self.assert_nothing_in_flight(fixture)

    async def test_both_sends_have_the_request_s_id(self):
        fixture = await self.fixture("silent", "whole")
        await fixture.call("/safe/a", request_id="r-7")
        ids = [worker.runs for worker in fixture.workers]
        self.assertEqual(ids, [["r-7"], ["r-7"]])


class LoserTests(SecondCopyCase):
    async def test_the_loser_s_connection_is_not_used_again(self):
        # The loser's late answer would be taken for that of the next request.
        fixture = await self.fixture("slow", "whole")
        first = fixture.workers[0]
        await fixture.call("/safe/a")
        first.event_ms = 60.0
        self.prepare(fixture)
        pool = fixture.gateway.target_pool.get("w0").connections
        acquired = []
        acquire = pool.acquire

        async def recorded(**arguments):
            acquired.append(await acquire(**arguments))
            return acquired[-1]

        pool.acquire = recorded
        await fixture.call("/safe/b", request_id="r-2")
        self.assertEqual(len(acquired), 1)
        self.assertFalse(acquired[0].reusable)
        self.assertEqual(pool._idle, [])

    async def test_the_slots_of_both_are_counted_until_their_ends(self):
        fixture = await self.fixture("silent", "stream")
        fixture.workers[1].event_ms = 100.0
        call = asyncio.create_task(fixture.call("/stream/a", method="POST"))
        await self.until(lambda: fixture.workers[1].runs)
        pool = fixture.gateway.target_pool
        in_flight = [pool.get(name).in_flight_count for name in ("w0", "w1")]
        self.assertEqual(in_flight, [1, 1])
        self.assert_whole(await call)
        self.assert_nothing_in_flight(fixture)

    async def test_the_loser_s_connection_ends_when_its_slot_is_free(self):
        # The slot was free while the target still worked on the request.
        fixture = await self.fixture("silent", "stream")
        fixture.workers[1].event_ms = 40.0
        target = fixture.gateway.target_pool.get("w0")
        open_at_release = []
        release_slot = target.release_slot

        def release():
            open_at_release.append(connections[0]._transport.is_closing())
            release_slot()

        connections = []
        acquire = target.connections.acquire

        async def recorded(**arguments):
            connections.append(await acquire(**arguments))
            return connections[-1]

        target.connections.acquire = recorded
        target.release_slot = release
        self.assert_whole(await fixture.call("/stream/a", method="POST"))
        self.assertEqual(open_at_release, [True])

    async def test_a_slow_answer_is_no_failure_of_its_target(self):
        fixture = await self.fixture("silent", "whole")
        await fixture.call("/safe/a")
        target = fixture.gateway.target_pool.get("w0")
        self.assertEqual(target.failures_in_a_row, 0)
        self.assertEqual(target.failure_ratio, 0.0)
        self.assertLessEqual(target.avoid_until_ms, fixture.gateway.clock.now_ms())

    async def test_a_copy_cancelled_before_its_task_began_frees_its_slot(self):
        # The task took over the slot only when it first ran.
        fixture = await self.fixture("slow", "whole")
        gateway = fixture.gateway
        queue = gateway.admission_queue("models")
        try_acquire = queue.try_acquire
        calls = []

        def acquire_and_cancel(request, *, tried):
            slot = try_acquire(request, tried=tried)
            calls[0].cancel()
            return slot

        queue.try_acquire = acquire_and_cancel
        serve = gateway.serve

        async def recorded_serve(call, answer):
            calls.append(asyncio.current_task())
            await serve(call, answer)

        gateway.serve = recorded_serve
        fixture.workers[0].event_ms = 100.0
        with contextlib.suppress(Exception):
            async with asyncio.timeout(1.0):
                await fixture.call("/safe/a", method="POST")
        self.assertEqual(len(calls), 1)
        self.assertEqual(fixture.workers[1].requests, [])
        self.assert_nothing_in_flight(fixture)


class FailureTests(SecondCopyCase):
    async def test_a_request_whose_sends_are_both_lost_has_failed(self):
        # The caller waited for a send that had ended, or got the request run thrice.
        for lose in (reset, garble):
            with self.subTest(lose=lose.__name__):
                fixture = await self.fixture("late", "late", "whole")
                answering_late(fixture.workers[0], 0.25, lose)
                answering_late(fixture.workers[1], 0.05, lose)
                third = fixture.gateway.target_pool.get("w2")
                third.avoid(now_ms=fixture.gateway.clock.now_ms(), pause_ms=200.0)
                async with asyncio.timeout(2.0):
                    status, _, _ = await fixture.call("/safe/a")
                self.assertEqual(status, 502)
                self.assertEqual(fixture.runs_count(), 2)
                self.assert_nothing_in_flight(fixture)
                self.assertEqual(self.counts(fixture), {"sent.safe": 1, "failed": 1})

    async def test_an_error_answer_is_passed_on_if_the_other_send_is_lost(self):
        for first, second in ((fail, reset), (reset, fail)):
            with self.subTest(first=first.__name__):
                fixture = await self.fixture("late", "late")
                answering_late(fixture.workers[0], 0.2, first)
                answering_late(fixture.workers[1], 0.05, second)
                status, _, body = await fixture.call("/safe/a")
                self.assertEqual((status, body), (500, b"failed"))
                self.assert_nothing_in_flight(fixture)

    async def test_an_error_answer_to_the_copy_does_not_end_the_first_send(self):
        fixture = await self.fixture("slow", "failing")
        fixture.workers[0].event_ms = 50.0
        status, _, body = await fixture.call("/safe/a")
        self.assertEqual((status, body), (200, fixture.workers[0].body))
        self.assertEqual(len(fixture.workers[1].runs), 1)

    async def test_an_error_answer_of_the_first_does_not_end_the_copy(self):
        fixture = await self.fixture("late", "slow")
        answering_late(fixture.workers[0], 0.12, fail)
        fixture.workers[1].event_ms = 40.0
        status, _, body = await fixture.call("/safe/a")
        self.assertEqual((status, body), (200, fixture.workers[1].body))
        self.assertEqual(self.counts(fixture), {"sent.safe": 1, "won": 1})

    async def test_a_lost_copy_does_not_end_the_first_send(self):
        # Nor is a third send begun beside the first one.
        fixture = await self.fixture("slow", "late", "whole")
        fixture.workers[0].event_ms = 70.0
        answering_late(fixture.workers[1], 0.08, reset)
        third = fixture.gateway.target_pool.get("w2")
        third.avoid(now_ms=fixture.gateway.clock.now_ms(), pause_ms=120.0)
        status, _, body = await fixture.call("/safe/a")
        self.assertEqual((status, body), (200, fixture.workers[0].body))
        self.assertEqual(fixture.runs_count(), 2)

    async def test_a_rejected_copy_does_not_count_as_a_run(self):
        fixture = await self.fixture("late", "shed", "whole")
        answering_late(fixture.workers[0], 0.25, reset)
        third = fixture.gateway.target_pool.get("w2")
        third.avoid(now_ms=fixture.gateway.clock.now_ms(), pause_ms=200.0)
        status, _, body = await fixture.call("/safe/a")
        self.assertEqual((status, body), (200, fixture.workers[2].body))

    async def test_both_sends_end_when_the_caller_leaves(self):
        fixture = await self.fixture("silent", "silent")
        call = asyncio.create_task(fixture.call("/safe/a"))
        await self.until(lambda: fixture.workers[1].runs)
        call.cancel()
        pool = fixture.gateway.target_pool
        await self.until(lambda: not any(target.in_flight_count for target in pool))
        await self.until(lambda: "cancelled" in self.counts(fixture))

    async def test_no_copy_is_sent_for_a_caller_that_has_left(self):
        fixture = await self.fixture("silent", "whole")
        call = asyncio.create_task(fixture.call("/safe/a"))
        await self.until(lambda: fixture.workers[0].runs)
        call.cancel()
        await asyncio.sleep(2 * DELAY_MS / 1000)
        self.assertEqual(fixture.workers[1].requests, [])
        self.assertEqual(self.counts(fixture), {})

    async def test_no_copy_is_sent_once_the_gateway_stops(self):
        fixture = await self.fixture("slow", "whole")
        fixture.workers[0].event_ms = 40.0
        call = asyncio.create_task(fixture.call("/safe/a"))
        await self.until(lambda: fixture.workers[0].runs)
        fixture.gateway._begin_stop()
        status, _, body = await call
        self.assertEqual((status, body), (200, fixture.workers[0].body))
        self.assertEqual(fixture.workers[1].requests, [])
        self.assertEqual(self.counts(fixture), {"withheld.stopping": 1})

    async def test_a_gateway_that_is_closed_ends_both_sends(self):
        fixture = await self.fixture("silent", "silent")
        call = asyncio.create_task(fixture.call("/safe/a"))
        await self.until(lambda: fixture.workers[1].runs)
        targets = list(fixture.gateway.target_pool)
        await fixture.stop_gateway()
        await asyncio.gather(call, return_exceptions=True)
        await self.until(lambda: not any(target.in_flight_count for target in targets))

    async def test_a_reload_in_between_takes_effect_at_once(self):
        fixture = await self.fixture("slow", "whole")
        fixture.workers[0].event_ms = 40.0
        gateway = fixture.gateway
        call = asyncio.create_task(fixture.call("/safe/a"))
        await self.until(lambda: fixture.workers[0].runs)
        changed = dataclasses.replace(gateway.settings, second_copies_ratio=0.0)
        gateway._settings_file = SimpleNamespace(
            reload=lambda: changed, changed=lambda: False
        )
        gateway._reload()
        status, _, body = await call
        self.assertEqual((status, body), (200, fixture.workers[0].body))
        self.assertEqual(self.counts(fixture), {"withheld.off": 1})

    async def test_a_reload_does_not_allow_copies_anew(self):
        fixture = await self.fixture("silent", "whole", ratio=1 / FIRST_SENDS_COUNT)
        gateway = fixture.gateway
        await fixture.call("/safe/a")
        settings = gateway.settings
        gateway._settings_file = SimpleNamespace(
            reload=lambda: settings, changed=lambda: False
        )
        budget = gateway.budget
        gateway._reload()
        gateway.budget = budget
        self.choose_first(fixture)
        fixture.workers[0].behaviour = "slow"
        fixture.workers[0].event_ms = 40.0
        await fixture.call("/safe/a", request_id="r-2")
        self.assertEqual(
            self.counts(fixture), {"sent.safe": 1, "won": 1, "withheld.limit": 1}
        )

    async def test_no_copy_is_sent_to_a_target_that_named_a_limit_in_between(self):
        fixture = await self.fixture("slow", "whole")
        fixture.workers[0].event_ms = 40.0
        gateway = fixture.gateway
        call = asyncio.create_task(fixture.call("/safe/a"))
        await self.until(lambda: fixture.workers[0].runs)
        target = gateway.target_pool.get("w1")
        permits = gateway.target_pool.permits
        now_ms = gateway.clock.now_ms()
        permits.limits.record(target.incarnation, per_second=10.0, now_ms=now_ms)
        # Any request may use the permit, but not one that another target has.
        permits._held.add(target.incarnation, now_ms=now_ms)
        status, _, body = await call
        self.assertEqual((status, body), (200, fixture.workers[0].body))
        self.assertEqual(fixture.workers[1].requests, [])
        self.assertEqual(self.counts(fixture), {"withheld.no_target": 1})

    async def test_no_copy_is_sent_to_a_target_that_leaves_or_pauses(self):
        for signal in ("record_leaving", "record_pause"):
            with self.subTest(signal=signal):
                fixture = await self.fixture("slow", "whole")
                fixture.workers[0].event_ms = 40.0
                gateway = fixture.gateway
                target = gateway.target_pool.get("w1")
                call = asyncio.create_task(fixture.call("/safe/a"))
                await self.until(lambda: fixture.workers[0].runs)
                pause = {"pause_ms": 900.0} if signal == "record_pause" else {}
                getattr(gateway.target_pool.signals, signal)(
                    target.incarnation, now_ms=gateway.clock.now_ms(), **pause
                )
                await call
                self.assertEqual(fixture.workers[1].requests, [])

    async def test_no_copy_is_sent_after_the_key_was_revoked(self):
        fixture = await self.fixture("slow", "whole")
        fixture.workers[0].event_ms = 60.0
        call = asyncio.create_task(fixture.call("/safe/a"))
        await self.until(lambda: fixture.workers[0].runs)
        other = [{"name": "another", "api-keys": ["another-key"], "priority": 1}]
        fixture.store.put("op/config", configuration(version=2, tenants=other))
        status, _, body = await call
        self.assertEqual((status, body), (200, fixture.workers[0].body))
        self.assertEqual(fixture.workers[1].requests, [])
        self.assertEqual(self.counts(fixture), {"withheld.unknown_key": 1})


class EligibleRequestTests(SecondCopyCase):
    async def test_requests_that_may_run_only_once_are_not_copied(self):
        for path in ("/unsafe/a", "/once/a"):
            with self.subTest(path=path):
                fixture = await self.fixture("slow", "whole")
                fixture.workers[0].event_ms = 40.0
                await fixture.call(path, method="POST")
                self.assertEqual(fixture.runs_count(), 1)
                self.assertEqual(self.counts(fixture), {})

    async def test_a_request_whose_route_allows_one_target_is_not_copied(self):
        fixture = await self.fixture("slow", "whole")
        fixture.workers[0].event_ms = 40.0
        routes = [{**route, "max-attempts": 1} for route in standard_routes()]
        fixture.store.put("op/config", configuration(version=2, routes=routes))
        await asyncio.sleep(0.1)
        self.prepare(fixture)
        await fixture.call("/safe/a")
        self.assertEqual(fixture.runs_count(), 1)

    async def test_a_copy_counts_against_the_targets_that_a_route_allows(self):
        # With two targets, the request ran at three if both sends were lost.
        fixture = await self.fixture("silent", "silent", "whole")
        third = fixture.gateway.target_pool.get("w2")
        third.avoid(now_ms=fixture.gateway.clock.now_ms(), pause_ms=500.0)
        status, _, _ = await fixture.call("/safe/a", Deadline_Ms="1500")
        self.assertEqual(status, 504)
        self.assertEqual(fixture.runs_count(), 2)

    async def test_a_suspected_request_is_not_copied(self):
        # A request that crashes targets would crash two at once.
        fixture = await self.fixture("slow", "whole")
        fixture.workers[0].event_ms = 40.0
        fixture.gateway.suspects.may_send_again = lambda content, *, now_ms: False
        await fixture.call("/safe/a")
        self.assertEqual(fixture.runs_count(), 1)
        self.assertEqual(self.counts(fixture), {"withheld.suspected": 1})

    async def test_a_request_with_little_time_left_is_not_copied(self):
        fixture = await self.fixture("stream", "stream")
        fixture.workers[0].event_ms = 110.0
        fixture.workers[0].events_count = 1
        deadline_ms = str(int(1.4 * DELAY_MS))
        await fixture.call("/stream/a", method="POST", Deadline_Ms=deadline_ms)
        self.assertEqual(fixture.workers[1].requests, [])
        self.assertEqual(self.counts(fixture), {"withheld.too_late": 1})


class ScarceSlotTests(SecondCopyCase):
    def take_slots(self, fixture, names, *, left_count):
        for name in names:
            target = fixture.gateway.target_pool.get(name)
            for _ in range(target.listing.slots_count - left_count):
                target.acquire_slot()

    async def test_no_copy_is_sent_without_a_free_slot(self):
        fixture = await self.fixture("slow", "whole", "whole")
        fixture.workers[0].event_ms = 40.0
        queue = fixture.gateway.admission_queue("models")
        call = asyncio.create_task(fixture.call("/safe/a"))
        await self.until(lambda: fixture.workers[0].runs)
        self.take_slots(fixture, ("w1", "w2"), left_count=0)
        await call
        self.assertEqual(queue.waiting_count, 0)
        self.assertEqual(fixture.runs_count(), 1)
        self.assertEqual(self.counts(fixture), {"withheld.no_target": 1})

    async def test_no_copy_is_sent_while_few_slots_are_free(self):
        fixture = await self.fixture("slow", "whole", "whole")
        fixture.workers[0].event_ms = 40.0
        self.take_slots(fixture, ("w0", "w1", "w2"), left_count=1)
        await fixture.call("/safe/a")
        self.assertEqual(fixture.runs_count(), 1)
        self.assertEqual(self.counts(fixture), {"withheld.busy": 1})

    async def test_no_copy_is_sent_while_a_request_waits(self):
        fixture = await self.fixture("slow", "whole")
        fixture.workers[0].event_ms = 40.0
        queue = fixture.gateway.admission_queue("models")
        queue._line._entries.append(mock.Mock(**{"request.priority": 0}))
        queue.serve_queued = lambda: None
        fixture.gateway.target_pool.listeners.clear()
        attempts = mock.patch.object(queue, "acquire", self.slot_of(fixture, "w0"))
        with attempts:
            await fixture.call("/safe/a")
        queue._line._entries.clear()
        self.assertEqual(fixture.workers[1].requests, [])
        self.assertEqual(self.counts(fixture), {"withheld.no_target": 1})

    def slot_of(self, fixture, name):
        async def acquire(request, *, tried):
            target = fixture.gateway.target_pool.get(name)
            target.acquire_slot()
            return SimpleNamespace(target=target, request=request, is_late=True)

        return acquire

    async def test_no_copy_is_sent_to_a_silent_target_or_a_slower_group(self):
        for change in (
            {"is_silent": lambda now_ms: True},
            {
                "rank_notice": SimpleNamespace(pace=3.0, group="g1"),
                "is_silent": lambda now_ms: False,
            },
        ):
            with self.subTest(change=list(change)):
                fixture = await self.fixture("slow", "whole")
                fixture.workers[0].event_ms = 40.0
                target = fixture.gateway.target_pool.get("w1")
                for name, value in change.items():
                    setattr(target, name, value)
                target.has_recent_notice = lambda *, now_ms: False
                target.is_stalled = lambda now_ms: False
                await fixture.call("/safe/a")
                self.assertEqual(fixture.workers[1].requests, [])


class AmountTests(SecondCopyCase):
    async def test_copies_stay_within_their_share_of_the_first_sends(self):
        # Without a limit, each of the slow requests got a copy.
        fixture = await self.fixture("silent", "whole", "whole", ratio=0.1)
        copies = fixture.gateway.second_copies("models")
        copies.limit.__init__(window_ms=WINDOW_S * 1000)
        self.prepare(fixture, first_sends_count=15)
        fixture.workers[0].behaviour = "slow"
        fixture.workers[0].event_ms = 30.0
        for number in range(5):
            self.choose_first(fixture)
            await fixture.call("/safe/a", request_id=f"r-{number}")
        counts = self.counts(fixture)
        self.assertEqual(counts["sent.safe"], 2)
        self.assertEqual(counts["withheld.limit"], 3)

    async def test_only_requests_that_were_sent_count_as_first_sends(self):
        # Under overload, those that are rejected would allow copies.
        fixture = await self.fixture("whole")
        limit = fixture.gateway.second_copies("models").limit
        await fixture.call("/safe/a")
        self.assertEqual(limit._first_sends_count, FIRST_SENDS_COUNT + 1)
        target = fixture.gateway.target_pool.get("w0")
        for _ in range(target.listing.slots_count):
            target.acquire_slot()
        status, _, _ = await fixture.call("/safe/a", Deadline_Ms="200")
        self.assertEqual(status, 503)
        self.assertEqual(limit._first_sends_count, FIRST_SENDS_COUNT + 1)

    async def test_a_copy_takes_a_token_of_the_retry_budget(self):
        fixture = await self.fixture("slow", "whole")
        fixture.workers[0].event_ms = 40.0
        fixture.gateway.budget = lambda service: SpentBudget()
        await fixture.call("/safe/a")
        self.assertEqual(fixture.workers[1].requests, [])
        self.assertEqual(self.counts(fixture), {"withheld.budget": 1})

    async def test_a_copy_that_reached_no_target_is_given_back(self):
        fixture = await self.fixture("slow", "whole", ratio=1 / FIRST_SENDS_COUNT)
        fixture.workers[0].event_ms = 40.0
        given_back = []
        budget = fixture.gateway.budget("models")
        budget.give_back = lambda: given_back.append(True)
        await fixture.workers[1].stop()
        await fixture.call("/safe/a")
        self.assertEqual(self.counts(fixture), {"sent.safe": 1, "failed": 1})
        self.assertEqual(given_back, [True])
        limit = fixture.gateway.second_copies("models").limit
        clock = fixture.gateway.clock
        times = {"now_ms": clock.now_ms(), "wall_ms": clock.wall_ms()}
        self.assertTrue(limit.try_take(ratio=1 / FIRST_SENDS_COUNT, **times))

    async def test_no_copy_is_sent_before_enough_answers(self):
        fixture = await self.fixture("slow", "whole")
        fixture.workers[0].event_ms = 40.0
        fixture.gateway.second_copies("models").delays.__init__()
        self.prepare(fixture, delays_count=40)
        await fixture.call("/safe/a")
        self.assertEqual(fixture.workers[1].requests, [])
        self.assertEqual(self.counts(fixture), {})

    async def test_answers_are_recorded_by_kind(self):
        fixture = await self.fixture("whole")
        delays = fixture.gateway.second_copies("models").delays
        delays.__init__()
        for number in range(60):
            await fixture.call("/safe/a", request_id=f"r-{number}")
        # A percentile is read again after half a second.
        now_ms = fixture.gateway.clock.now_ms() + 600.0
        kinds = {kind for kind, _ in delays._kinds}
        self.assertEqual(kinds, {RequestKind.SAFE})
        timings = [
            delays.timing(kind, percentile=95.0, now_ms=now_ms)
            for kind in delays._kinds
        ]
        self.assertLess(timings[0].delay_ms, DELAY_MS)

    async def test_a_send_cancelled_by_its_copy_counts_as_slow(self):
        # Without it, the percentile falls with each copy that wins.
        fixture = await self.fixture("silent", "whole")
        delays = fixture.gateway.second_copies("models").delays
        recorded_ms = []
        delays.record = lambda kind, delay_ms, *, now_ms: recorded_ms.append(delay_ms)
        await fixture.call("/safe/a")
        self.assertEqual(len(recorded_ms), 1)
        self.assertGreaterEqual(recorded_ms[0], DELAY_MS)

    async def test_nothing_is_timed_by_default(self):
        fixture = await self.fixture("slow", "whole", ratio=0.0)
        fixture.workers[0].event_ms = 40.0
        loop = asyncio.get_running_loop()
        timers = []
        call_later = loop.call_later

        def recorded(delay_s, callback, *arguments, **options):
            timers.append(callback)
            return call_later(delay_s, callback, *arguments, **options)

        with mock.patch.object(loop, "call_later", recorded):
            await fixture.call("/safe/a")
        names = [getattr(timer, "__name__", "") for timer in timers]
        self.assertNotIn("_send_copy", names)
        self.assertEqual(fixture.workers[1].requests, [])
        self.assertEqual(fixture.gateway._second_copies, {})


class SecondCopyLogTests(SecondCopyCase):
    async def test_a_copy_is_one_line_with_its_outcome(self):
        for behaviours, outcome in (
            (("silent", "whole"), "won"),
            (("slow", "silent"), "lost"),
            (("slow", "reset"), "failed"),
        ):
            with self.subTest(outcome=outcome):
                fixture = await self.fixture(*behaviours)
                fixture.workers[0].event_ms = 50.0
                with logbook.TestHandler().applicationbound() as logs:
                    await fixture.call("/safe/a")
                lines = [
                    line.extra
                    for line in logs.records
                    if line.message == "second copy sent"
                ]
                self.assertEqual(len(lines), 1)
                expected = {
                    "request": "r-1",
                    "from": "w0",
                    "target": "w1",
                    "reason": "slow_answer",
                    "outcome": outcome,
                }
                self.assertEqual({key: lines[0][key] for key in expected}, expected)
                self.assertAlmostEqual(lines[0]["delay_ms"], DELAY_MS, delta=2.0)
