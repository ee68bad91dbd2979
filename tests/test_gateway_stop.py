"""Tests of requests that a gateway took during the grace of a planned stop."""

import asyncio
import dataclasses
import os
import signal
import unittest.mock
from dataclasses import dataclass

import aiohttp

from waxwinghold._caller_connections import CallerConnection

from .support.gateway import (
    HOST,
    KEY,
    GatewayFixture,
    configuration,
    make_gateway,
    standard_routes,
)
from .support.loop_case import LoopCase
from .support.ports import free_port

GRACE_S = 8.0
LONG_TIMEOUT_MS = 30_000
SLOTS_COUNT = 6  # Of one worker.


@dataclass(frozen=True, kw_only=True)
class Outcome:
    """How a request ended.

    Args:
        status: Status of its answer; ``None`` if the connection ended without one.
        is_whole: Whether the whole answer arrived.
        retry_after: Its ``Retry-After``, or ``None``.
        is_run: Whether a worker ran the request.
        ended_s: When it ended, in seconds after the signal.
    """

    status: int | None
    is_whole: bool
    retry_after: str | None
    is_run: bool
    ended_s: float


def long_routes():
    """Return the standard routes with time-outs above the grace."""
    return [{**route, "timeout-ms": LONG_TIMEOUT_MS} for route in standard_routes()]


class StopCase(LoopCase):
    async def fixture(self, *behaviours, **settings):
        fixture = GatewayFixture(behaviours=behaviours, **settings)
        await self.enterAsyncContext(fixture.open())
        fixture.store.put("op/config", configuration(version=2, routes=long_routes()))
        async with asyncio.timeout(5.0):
            while fixture.gateway.published.table.configuration.version != 2:
                await asyncio.sleep(0.01)
        for worker in fixture.workers:
            worker.body = b"id: 1\ndata: the whole answer\n\n"  # Also a whole stream.
        self.stopped_s = None
        self.tasks = []
        return fixture

    def now_s(self):
        return asyncio.get_running_loop().time()

    def stop(self, fixture):
        """Ask the gateway to stop, with the signal of the platform."""
        os.kill(os.getpid(), signal.SIGTERM)
        self.stopped_s = self.now_s()

    async def _ended(self, fixture, path, request_id):
        status = body = retry_after = None
        try:
            status, headers, body = await fixture.call(path, request_id=request_id)
            retry_after = headers.get("Retry-After")
        except (aiohttp.ClientError, ConnectionError):
            pass
        return Outcome(
            status=status,
            is_whole=body is not None,
            retry_after=retry_after,
            is_run=fixture.runs_count(request_id) > 0,
            ended_s=self.now_s() - self.stopped_s,
        )

    def send(self, fixture, path):
        """Begin a request; ``outcomes`` returns how it ended."""
        request_id = f"r-{len(self.tasks)}"
        task = asyncio.create_task(self._ended(fixture, path, request_id))
        self.tasks.append(task)

    async def outcomes(self, fixture):
        """Return the outcomes of all requests, and wait for the gateway's end."""
        async with asyncio.timeout(GRACE_S + 4.0):
            outcomes = await asyncio.gather(*self.tasks)
            await fixture.task
        self.assertLess(self.now_s() - self.stopped_s, GRACE_S)
        return outcomes

    def assert_answered(self, outcome):
        self.assertIsNotNone(outcome.status, outcome)
        self.assertTrue(outcome.is_whole, outcome)
        if outcome.status == 503:
            self.assertFalse(outcome.is_run, outcome)
            self.assertIsNotNone(outcome.retry_after, outcome)


class UnsentRequestTests(StopCase):
    """Requests were passed on too late to be answered, and cut off unanswered."""

    async def test_a_request_that_waits_for_a_slot_is_rejected(self):
        fixture = await self.fixture("timed")
        for path in ("/unsafe/5000", "/safe/5000") * (SLOTS_COUNT // 2):
            self.send(fixture, path)
        async with asyncio.timeout(2.0):
            while len(fixture.workers[0].runs) < SLOTS_COUNT:
                await asyncio.sleep(0.01)
        self.stop(fixture)
        await asyncio.sleep(0.5)
        for path in ("/unsafe/4000", "/safe/4000", "/once/4000"):
            self.send(fixture, path)
        outcomes = await self.outcomes(fixture)
        for outcome in outcomes[:SLOTS_COUNT]:
            self.assertEqual(outcome.status, 200, outcome)
        for outcome in outcomes[SLOTS_COUNT:]:
            with self.subTest(outcome):
                self.assert_answered(outcome)
                self.assertEqual(outcome.status, 503)
                self.assertLess(outcome.ended_s, 3.5)

    async def test_a_request_that_a_target_rejected_late_is_not_sent_on(self):
        fixture = await self.fixture("timed_shed", "timed_shed")
        self.send(fixture, "/unsafe/4500")
        async with asyncio.timeout(2.0):
            while not any(worker.requests for worker in fixture.workers):
                await asyncio.sleep(0.01)
        for worker in fixture.workers:
            worker.behaviour = "timed"
        self.stop(fixture)
        (outcome,) = await self.outcomes(fixture)
        self.assert_answered(outcome)
        self.assertEqual(outcome.status, 503)


class SlowRequestTests(StopCase):
    """Requests at targets that had become slow ended without an answer."""

    async def test_a_request_that_outlasts_the_grace_gets_an_answer(self):
        fixture = await self.fixture("timed")
        for number in range(5):
            await fixture.call("/safe/100", request_id=f"usual-{number}")
        self.stop(fixture)
        for path in ("/safe/20000", "/unsafe/20000", "/once/20000"):
            self.send(fixture, path)
        outcomes = await self.outcomes(fixture)
        for outcome in outcomes:
            with self.subTest(outcome):
                self.assert_answered(outcome)
        for outcome in outcomes[:2]:
            self.assertEqual((outcome.status, outcome.is_run), (504, True))
            # The target had nearly all the time that there was.
            self.assertGreater(outcome.ended_s, 7.0)

    async def test_a_stream_that_outlasts_the_grace_does_not_look_whole(self):
        fixture = await self.fixture("stream")
        fixture.workers[0].event_ms = 1500.0
        fixture.workers[0].events_count = 10
        self.stop(fixture)
        for path in ("/stream/a", "/once/a"):
            self.send(fixture, path)
        for outcome in await self.outcomes(fixture):
            self.assertEqual((outcome.status, outcome.is_whole), (200, False))
            self.assertGreater(outcome.ended_s, 7.0)


class UsuallyLongRequestTests(StopCase):
    """Requests that usually outlast the grace were passed on and cut at its end."""

    async def test_they_are_rejected_and_the_others_are_answered(self):
        fixture = await self.fixture("timed", stop_limit_s=3.0)
        calls = [
            fixture.call(path, request_id=f"usual-{number}")
            for number, path in enumerate(["/unsafe/2800"] * 3 + ["/safe/100"] * 3)
        ]
        for status, _, _ in await asyncio.gather(*calls):
            self.assertEqual(status, 200)
        self.stop(fixture)
        await asyncio.sleep(0.1)
        for path in ("/unsafe/2800", "/safe/100"):
            self.send(fixture, path)
        long, short = await self.outcomes(fixture)
        self.assert_answered(long)
        self.assertEqual(long.status, 503)
        self.assertLess(long.ended_s, 0.5)
        self.assertEqual(short.status, 200)


class FakeSettingsFile:
    """A settings file that has changed each time it is read.

    Args:
        settings: The first ``GatewaySettings``.
    """

    def __init__(self, settings):
        self._settings = settings
        self.reloads_count = 0

    def changed(self):
        return False

    def reload(self):
        self.reloads_count += 1
        return dataclasses.replace(
            self._settings,
            stop_limit_s=GRACE_S + 30.0 * (self.reloads_count % 2),
            retry_ratio=0.1 * (self.reloads_count % 3),
            second_copies_window_s=30.0 + self.reloads_count,
        )


class EveryMomentTests(StopCase):
    """Requests at every moment of the grace, of up to 5 s, while settings change."""

    KINDS = ("safe", "unsafe", "once", "stream")

    def change(self, fixture, version):
        """Change settings and configuration."""
        os.kill(os.getpid(), signal.SIGHUP)
        fixture.store.put(
            "op/config", configuration(version=version, routes=long_routes())
        )

    def assert_outcomes(self, outcomes):
        """Check that only requests that were not run ended without an answer."""
        for outcome in outcomes:
            with self.subTest(outcome):
                if outcome.status is None and not outcome.is_run:
                    continue  # The connection was closed unread or refused.
                self.assert_answered(outcome)
                self.assertIn(outcome.status, (200, 503))

    async def test_every_request_is_answered_or_was_not_run(self):
        fixture = await self.fixture("timed", "timed", "timed")
        settings_file = FakeSettingsFile(fixture.gateway.settings)
        fixture.gateway._settings_file = settings_file
        for number in range(10):
            await fixture.call("/safe/100", request_id=f"usual-{number}")
        self.stop(fixture)
        for step in range(70):
            kind = self.KINDS[step % 4]
            self.send(fixture, f"/{kind}/{5000 if step % 8 < 2 else 100}")
            if step % 10 == 5:
                self.change(fixture, 3 + step)
            await asyncio.sleep(0.1)
        outcomes = await self.outcomes(fixture)
        self.assert_outcomes(outcomes)
        statuses = [outcome.status for outcome in outcomes]
        self.assertGreater(statuses.count(200), 15)
        self.assertGreater(settings_file.reloads_count, 3)

    async def test_kept_connections_lose_no_request_that_was_passed_on(self):
        fixture = await self.fixture("timed", "timed", "timed")
        outcomes = []

        async def call_on(session, index):
            """Send requests on one kept connection until the gateway has ended."""
            for number in range(400):
                if fixture.task.done():
                    return
                request_id = f"k-{index}-{number}"
                kind = self.KINDS[(index + number) % 4]
                duration_ms = (5, 40, 300)[number % 3]
                status = None
                try:
                    async with session.get(
                        f"http://127.0.0.1:{fixture.port}/{kind}/{duration_ms}",
                        headers={
                            "Host": HOST,
                            "Credential": KEY,
                            "Attempt-Id": request_id,
                        },
                    ) as answer:
                        status = answer.status
                        retry_after = answer.headers.get("Retry-After")
                        await answer.read()
                except (aiohttp.ClientError, ConnectionError):
                    status = retry_after = None
                outcomes.append(
                    Outcome(
                        status=status,
                        is_whole=status is not None,
                        retry_after=retry_after,
                        is_run=fixture.runs_count(request_id) > 0,
                        ended_s=self.now_s(),
                    )
                )
                await asyncio.sleep(0.02 if status == 200 else 0.2)

        async with asyncio.TaskGroup() as callers:
            for index in range(8):
                connector = aiohttp.TCPConnector(limit=1)
                session = aiohttp.ClientSession(connector=connector)
                await self.enterAsyncContext(session)
                callers.create_task(call_on(session, index))
            await asyncio.sleep(0.5)
            self.stop(fixture)
        self.assert_outcomes(outcomes)
        self.assertGreater([outcome.status for outcome in outcomes].count(200), 50)

    async def test_another_gateway_serves_what_the_stopping_one_rejects(self):
        fixture = await self.fixture("timed", "timed", "timed")
        settings = fixture.gateway.settings
        port = free_port()
        # The signal handlers are those of the gateway that started last.
        stopping = make_gateway(
            name="gateway-2",
            ip="127.0.0.2",
            store=fixture.store,
            port=port,
            readiness_port=free_port(),
            peers_port=settings.peers_port,
            seeds=(f"127.0.0.1:{settings.peers_port}",),
        )
        task = asyncio.create_task(stopping.run())
        async with asyncio.timeout(5.0):
            while not stopping._ready():
                await asyncio.sleep(0.01)
        self.stop(fixture)

        async def call(request_id, path):
            """Return the statuses at the stopping and at the other gateway."""
            statuses = []
            headers = {"Host": HOST, "Credential": KEY, "Attempt-Id": request_id}
            for address in (f"127.0.0.2:{port}", f"127.0.0.1:{fixture.port}"):
                status = None
                try:
                    async with aiohttp.ClientSession() as session:
                        async with session.get(
                            f"http://{address}{path}", headers=headers
                        ) as answer:
                            status = answer.status
                            await answer.read()
                except (aiohttp.ClientError, ConnectionError):
                    self.assertEqual(fixture.runs_count(request_id), 0)
                statuses.append(status)
                if status == 200:
                    break
            return statuses

        calls = []
        for step in range(50):
            path = f"/{self.KINDS[step % 4]}/{3000 if step % 20 < 2 else 100}"
            calls.append(asyncio.create_task(call(f"two-{step}", path)))
            await asyncio.sleep(0.1)
        for statuses in await asyncio.gather(*calls):
            with self.subTest(statuses):
                self.assertEqual(statuses[-1], 200)
                self.assertIn(statuses[0], (200, 503, None))
        async with asyncio.timeout(GRACE_S):
            await task
        self.assertFalse(fixture.task.done())


class SentAheadTests(StopCase):
    """Requests sent ahead on a connection were dropped behind a stop's last answer."""

    async def answer_heads(self, fixture, *, separately):
        """Return the heads of the answers to three requests on one connection."""
        requests = [
            f"GET /safe/200 HTTP/1.1\r\nHost: {HOST}\r\nCredential: {KEY}\r\n"
            f"Attempt-Id: r-{number}\r\n\r\n".encode()
            for number in range(3)
        ]
        reader, writer = await asyncio.open_connection("127.0.0.1", fixture.port)
        self.addCleanup(writer.close)
        for data in requests if separately else [b"".join(requests)]:
            writer.write(data)
            await asyncio.sleep(0.02)
        async with asyncio.timeout(GRACE_S):
            data = await reader.read()
        return data.split(b"HTTP/1.1 ")[1:]

    async def test_requests_sent_ahead_on_one_connection_are_answered(self):
        fixture = await self.fixture("timed")
        self.stop(fixture)
        await asyncio.sleep(0.1)
        for separately in (False, True):
            with self.subTest(separately=separately):
                heads = await self.answer_heads(fixture, separately=separately)
                self.assertEqual([head[:3] for head in heads], [b"200"] * 3, heads)
                closes = [b"connection: close" in head.lower() for head in heads]
                self.assertEqual(closes, [False, False, True])

    async def test_a_connection_with_a_request_sent_ahead_is_not_idle(self):
        fixture = await self.fixture("timed")
        end_request = CallerConnection.end_request

        def end_and_close_idle(connection):
            end_request(connection)
            fixture.gateway._caller_server._connections.close_idle()

        with unittest.mock.patch.object(
            CallerConnection, "end_request", end_and_close_idle
        ):
            heads = await self.answer_heads(fixture, separately=False)
        self.assertEqual([head[:3] for head in heads], [b"200"] * 3, heads)
