"""Tests that each request has a final answer soon after its end."""

import asyncio
import contextlib
from unittest import mock

import logbook

from waxwinghold import _caller_connections
from waxwinghold._gateway.caller_server import CallerAnswer
from waxwinghold._gateway.sending import SendAttempt

from .support.gateway import configuration, standard_routes
from .test_gateway_joined_sends import request_bytes
from .test_gateway_silent_targets import SilentTargetCase

LATE_S = 0.5  # A final answer may come this late after the route's time-out.
TIMEOUT_MS = 600
UNREAD_LIMIT_MS = 500.0
LARGE_BYTES = 6_000_000  # More than the system buffers for a connection.
PATHS = {"safe": "/safe/a", "unsafe": "/unsafe/a", "stream": "/stream/a"}


def routes_with(**fields):
    """Return the standard routes with ``fields`` changed in each."""
    return [{**route, **fields} for route in standard_routes()]


class RequestEndCase(SilentTargetCase):
    async def fixture_with_routes(self, *behaviours, **fields):
        fixture = await self.fixture(*behaviours)
        routes = routes_with(**fields)
        fixture.store.put("op/config", configuration(version=2, routes=routes))
        await asyncio.sleep(0.1)
        return fixture

    def metrics(self, fixture):
        return fixture.gateway.metrics.render().decode()


class SendsThatEndTogetherTests(RequestEndCase):
    """A stream never ended if a send failed in the turn in which it took over.

    The other send was cancelled in the same turn, and no send was left to wait for.
    """

    async def test_a_stream_ends_if_its_target_is_cut_off_as_it_takes_over(self):
        fixture = await self.fixture("stream_paused_cut", "stream")
        fixture.workers[1].event_ms = 700.0
        async with asyncio.timeout(4.0):
            await fixture.call("/stream/a", method="POST")
        self.assertEqual(len(fixture.workers[1].runs), 1)
        self.assert_nothing_in_flight(fixture)

    async def test_a_third_target_goes_on_with_such_a_stream(self):
        fixture = await self.fixture_with_routes(
            "stream_paused_cut", "stream", "stream", **{"max-attempts": 3}
        )
        for worker in fixture.workers[1:]:
            worker.event_ms = 700.0
        async with asyncio.timeout(6.0):
            outcome = await fixture.call("/stream/a", method="POST")
        self.assert_whole(outcome)
        self.assert_nothing_in_flight(fixture)


class SendsThatDoNotEndTests(RequestEndCase):
    """The wait for the sends of a request had no time limit of its own."""

    async def test_a_request_of_each_kind_ends_although_its_send_does_not(self):
        async def send_without_end(attempt, target):
            attempt.may_have_arrived = True
            await asyncio.sleep(3600)

        for kind, path in PATHS.items():
            with self.subTest(kind=kind):
                fixture = await self.fixture_with_routes(
                    "whole", "whole", **{"timeout-ms": TIMEOUT_MS}
                )
                with (
                    mock.patch.object(SendAttempt, "run", send_without_end),
                    logbook.TestHandler().applicationbound() as logs,
                ):
                    async with asyncio.timeout(TIMEOUT_MS / 1000 + LATE_S):
                        status, _, _ = await fixture.call(path, method="POST")
                self.assertEqual(status, 504)
                self.assert_nothing_in_flight(fixture)
                messages = [line.message for line in logs.records]
                self.assertEqual(messages.count("request held past its end"), 1)
                self.assertIn(
                    f'waxwinghold_overdue_requests_total{{label="{kind}"',
                    self.metrics(fixture),
                )

    async def test_a_request_ends_although_its_caller_reads_no_events(self):
        async def write_without_end(answer, data):
            await asyncio.sleep(3600)

        fixture = await self.fixture_with_routes(
            "stream", "stream", **{"timeout-ms": TIMEOUT_MS}
        )
        with mock.patch(
            "waxwinghold._gateway.caller_server.CallerAnswer.write", write_without_end
        ):
            async with asyncio.timeout(TIMEOUT_MS / 1000 + LATE_S):
                _, _, body = await fixture.call("/stream/a", method="POST")
        self.assertIsNone(body)
        self.assert_nothing_in_flight(fixture)

    async def test_what_arrived_before_a_freeze_is_passed_on_after_it(self):
        fixture = await self.fixture_with_routes("whole", **{"timeout-ms": TIMEOUT_MS})
        worker = fixture.workers[0]
        answer_whole = worker._answer_whole

        async def answer_and_freeze(request, writer):
            await answer_whole(request, writer)
            asyncio.get_running_loop().pause(TIMEOUT_MS / 1000 + 2 * LATE_S)
            return True

        worker._answer_whole = answer_and_freeze
        status, _, body = await fixture.call("/unsafe/a", method="POST")
        self.assertEqual((status, body), (200, worker.body))

    async def test_a_complete_answer_is_passed_on_after_the_end_of_its_request(self):
        started = asyncio.Event()
        send_whole = CallerAnswer.send_whole

        async def send_slowly(answer, **fields):
            started.set()
            await asyncio.sleep(TIMEOUT_MS / 1000 + 2 * LATE_S)
            await send_whole(answer, **fields)

        fixture = await self.fixture_with_routes("whole", **{"timeout-ms": TIMEOUT_MS})
        with mock.patch.object(CallerAnswer, "send_whole", send_slowly):
            status, _, body = await fixture.call("/safe/a")
        self.assertTrue(started.is_set())
        self.assertEqual((status, body), (200, fixture.workers[0].body))
        self.assertNotIn("overdue_requests", self.metrics(fixture))


class UnreadAnswerTests(RequestEndCase):
    """A request waited without end for a caller that did not read its answer."""

    @contextlib.asynccontextmanager
    async def asked(self):
        """Ask for a large answer with a short limit; give its reader."""
        constants = {"SWEEP_INTERVAL_MS": 50.0, "UNREAD_LIMIT_MS": UNREAD_LIMIT_MS}
        with mock.patch.multiple(_caller_connections, **constants):
            fixture = await self.fixture("whole")
            fixture.workers[0].body = b"x" * LARGE_BYTES
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", fixture.port, limit=1024
            )
            self.addCleanup(writer.close)
            writer.write(request_bytes("/safe/a", "r-1", method="GET"))
            yield fixture, reader

    async def test_the_request_of_a_caller_that_reads_nothing_ends(self):
        async with self.asked() as (fixture, reader):
            async with asyncio.timeout(5.0):
                while not fixture.workers[0].runs or any(
                    target.in_flight_count for target in fixture.gateway.target_pool
                ):
                    await asyncio.sleep(0.01)
                while fixture.gateway._caller_server.open_count:
                    await asyncio.sleep(0.01)
                with self.assertRaises((ConnectionError, EOFError)):
                    await reader.readexactly(2 * LARGE_BYTES)

    async def test_a_caller_that_reads_slowly_gets_its_whole_answer(self):
        async with self.asked() as (_, reader):
            await reader.readuntil(b"\r\n\r\n")
            left_bytes = LARGE_BYTES
            while left_bytes:
                left_bytes -= len(await reader.readexactly(min(left_bytes, 500_000)))
                await asyncio.sleep(UNREAD_LIMIT_MS / 2 / 1000)
