"""Tests of requests that are at two targets at once, and of what follows them."""

import asyncio
import contextlib
import socket
from unittest import mock

from waxwinghold._decisions.retry_budget import Unlimited
from waxwinghold._gateway.caller_server import CallerAnswer
from waxwinghold_standins.fleet_worker import http_chunk, stream_event

from .support.gateway import HOST, KEY, configuration, standard_routes
from .test_gateway_silent_targets import SilentTargetCase

REQUESTS_COUNT = 200


def request_bytes(path, request_id, *, method="POST"):
    """Return a request on a connection that is kept."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Attempt-Id: {request_id}",
        f"Credential: {KEY}",
        "Content-Length: 0",
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def call_in_a_row(port, body):
    """Send requests on one connection, each as soon as the last answer is whole."""
    with socket.create_connection(("127.0.0.1", port), timeout=5.0) as connection:
        for number in range(REQUESTS_COUNT):
            connection.sendall(request_bytes("/safe/a", f"r-{number}", method="GET"))
            data = b""
            while not data.endswith(body):
                data += connection.recv(65536)


def routes(**fields):
    """Return the standard routes with ``fields`` changed in each."""
    return [{**route, **fields} for route in standard_routes()]


class KeptConnectionTests(SilentTargetCase):
    """A connection counted as idle although a request had arrived on it."""

    async def test_a_request_right_after_an_answer_does_not_look_idle(self):
        fixture = await self.fixture("whole")
        serve = fixture.gateway.serve
        look_idle = []

        async def checked_serve(call, answer):
            look_idle.append(answer._request.protocol.requested_ms is None)
            await serve(call, answer)

        fixture.gateway.serve = checked_serve
        body = fixture.workers[0].body
        await asyncio.to_thread(call_in_a_row, fixture.port, body)
        self.assertEqual(look_idle, [False] * REQUESTS_COUNT)

    async def test_a_pipelined_request_does_not_look_idle(self):
        fixture = await self.fixture("slow")
        reader, writer = await asyncio.open_connection("127.0.0.1", fixture.port)
        self.addCleanup(writer.close)
        worker = fixture.workers[0]
        worker.event_ms = 40.0
        writer.write(request_bytes("/safe/a", "r-1", method="GET"))
        async with asyncio.timeout(2.0):
            while "r-1" not in worker.runs:
                await asyncio.sleep(0.001)
            writer.write(request_bytes("/safe/a", "r-2", method="GET"))
            await reader.readuntil(worker.body)
            while "r-2" not in worker.runs:
                await asyncio.sleep(0.001)
            fixture.gateway._caller_server._connections.close_idle()
            await reader.readuntil(worker.body)


class FailingReplacementTests(SilentTargetCase):
    """The answer of a second target broke that of the first."""

    async def test_an_error_answer_is_not_written_into_a_begun_stream(self):
        for limit_count in (2, 3):
            with self.subTest(max_attempts=limit_count):
                fixture = await self.fixture("stream_paused", "failing")
                fixture.store.put(
                    "op/config",
                    configuration(
                        version=2, routes=routes(**{"max-attempts": limit_count})
                    ),
                )
                await asyncio.sleep(0.1)
                async with asyncio.timeout(6.0):
                    outcome = await fixture.call("/stream/a", method="POST")
                self.assertNotIn(b"HTTP/1.1 500", outcome[2] or b"")
                self.assert_whole(outcome)

    async def test_an_error_answer_to_a_resumed_stream_is_not_joined_to_it(self):
        fixture = await self.fixture("stream_cut", "failing")
        reader, writer = await asyncio.open_connection("127.0.0.1", fixture.port)
        self.addCleanup(writer.close)
        writer.write(request_bytes("/stream/a", "r-1"))
        data = b""
        try:
            async with asyncio.timeout(4.0):
                while part := await reader.read(65536):
                    data += part
        except (ConnectionError, TimeoutError):
            pass
        self.assertEqual(data.count(b"HTTP/1.1"), 1, data)

    async def test_a_lookup_is_not_ended_by_the_error_of_the_other_target(self):
        fixture = await self.fixture("slow", "failing")
        fixture.workers[0].event_ms = 260.0
        status, _, body = await fixture.call("/safe/a", Deadline_Ms="2000")
        self.assertEqual(len(fixture.workers[1].requests), 1)
        self.assertEqual((status, body), (200, fixture.workers[0].body))

    async def test_an_error_answer_is_passed_on_if_no_other_target_is_free(self):
        # It was replaced by 504, as if no target had answered.
        fixture = await self.fixture("failing", "whole")
        other = fixture.gateway.target_pool.get("w1")
        other.avoid(now_ms=fixture.gateway.clock.now_ms(), pause_ms=3000.0)
        status, _, body = await fixture.call("/safe/a", Deadline_Ms="2000")
        self.assertEqual((status, body), (500, b"failed"))

    async def test_events_of_a_malformed_stream_are_not_taken_from_the_sound_one(self):
        fixture = await self.fixture("stream_paused", "stream")
        other = fixture.workers[1]

        async def answer(request, writer):
            await other._stream(request, writer, stop_after=0, end=False)
            writer.write(http_chunk(stream_event(3) + stream_event(5)))
            return True

        other._answer_stream = answer
        self.assert_whole(await fixture.call("/stream/a", method="POST"))
        self.assertEqual(len(other.requests), 1)


class TwoSilentTargetsTests(SilentTargetCase):
    async def test_a_lookup_is_sent_to_a_third_target_if_two_are_silent(self):
        fixture = await self.fixture("silent", "silent", "whole")
        budget = Unlimited(ratio=0.0, slack_count=0.0, window_ms=1.0)
        fixture.gateway.budget = lambda service: budget
        fixture.store.put(
            "op/config",
            configuration(version=2, routes=routes(**{"max-attempts": 3})),
        )
        third = fixture.gateway.target_pool.get("w2")
        third.avoid(now_ms=fixture.gateway.clock.now_ms(), pause_ms=1200.0)
        await asyncio.sleep(0.1)
        status, _, body = await fixture.call("/safe/a", Deadline_Ms="2000")
        self.assertEqual((status, body), (200, fixture.workers[2].body))
        self.assert_nothing_in_flight(fixture)


class SlowRankTests(SilentTargetCase):
    """A slow rank's send goes on beside the send that is to replace it."""

    async def slow_fixture(self, *behaviours):
        fixture = await self.fixture(*behaviours)
        fixture.gateway.target_pool.relative_pace = lambda target: (
            5.0 if target.listing.name == "w0" else 1.0
        )
        return fixture

    async def test_a_slow_rank_that_dies_is_replaced_although_none_was_free(self):
        fixture = await self.slow_fixture("stream_halted", "stream")
        budget = Unlimited(ratio=0.0, slack_count=0.0, window_ms=1.0)
        fixture.gateway.budget = lambda service: budget
        queue = fixture.gateway.admission_queue("models")
        queue.has_free_slot = lambda *, tried, priority: True
        other = fixture.gateway.target_pool.get("w1")
        other.avoid(now_ms=fixture.gateway.clock.now_ms(), pause_ms=900.0)
        async with asyncio.timeout(6.0):
            outcome = await fixture.call("/stream/a", method="POST")
        self.assert_whole(outcome)

    async def test_a_stream_ends_once_while_its_caller_reads_slowly(self):
        fixture = await self.slow_fixture("stream", "stream")
        fixture.workers[0].event_ms = 150.0
        fixture.workers[1].event_ms = 200.0
        finish = CallerAnswer.finish
        ends = []

        async def finish_slowly(answer):
            protocol = answer._request.protocol
            if not ends:
                protocol.pause_writing()
                asyncio.get_running_loop().call_later(0.5, protocol.resume_writing)
            ends.append(answer)
            await finish(answer)

        reader, writer = await asyncio.open_connection("127.0.0.1", fixture.port)
        self.addCleanup(writer.close)
        data = b""
        with mock.patch.object(CallerAnswer, "finish", finish_slowly):
            writer.write(request_bytes("/stream/a", "r-1"))
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(2.0):
                    while part := await reader.read(65536):
                        data += part
        self.assertEqual(len(fixture.workers[1].runs), 1)
        self.assertEqual(data.count(b"0\r\n\r\n"), 1, data)


class HeadThenSilenceTests(SilentTargetCase):
    async def test_a_stream_with_a_head_is_not_ended_for_a_late_first_event(self):
        fixture = await self.fixture("stream")
        fixture.workers[0].event_ms = 2200.0
        fixture.workers[0].events_count = 1
        fixture.store.put(
            "op/config",
            configuration(version=2, routes=routes(**{"timeout-ms": 8000})),
        )
        await asyncio.sleep(0.1)
        outcome = await fixture.call("/once/a", method="POST")
        self.assert_whole(outcome, events_count=1)
