"""Tests of targets that begin an earlier answer again before the one that is due."""

import asyncio
import contextlib
from unittest import mock

import logbook

from waxwinghold._gateway.answer_doubts import Doubt
from waxwinghold._gateway.connection import REQUESTS_LIMIT_COUNT, TargetConnection
from waxwinghold._gateway.errors import MalformedAnswerError
from waxwinghold._gateway.tracked_target import QUOTES_LIFETIME_MS
from waxwinghold_standins._raw_http import answer_bytes

from .support.gateway import HOST, KEY, GatewayFixture, read_until_end
from .support.loop_case import LoopCase

# The request of an answer that fills up another one: the one before, the same one, and
# one that the connection carried long ago or never did. The last answer names none.
STRAY_IDS = ("earlier", "due", "long-ago", "")
EARLIER_BODY = b"the answer to an earlier request"
EARLIER_HEADERS = (
    ("Server-Seal", "seal.earlier"),
    ("Content-Type", "text/plain"),
    ("Attempt-Id", "earlier"),
)
STATUSES = {"whole": 200, "failing": 500}


class JoinedAnswersTests(LoopCase):
    """The head of a broken-off copy was joined with the answer that followed it.

    The caller got the status of the copy with the id, seal and body of the answer.
    """

    async def outcome(self, fixture, number):
        """Return status, seal and body of an answer on a kept connection."""
        (worker,) = fixture.workers
        behaviour, worker.behaviour = worker.behaviour, "whole"
        status, _, _ = await fixture.call("/safe/a", request_id=f"before-{number}")
        self.assertEqual(status, 200)
        worker.behaviour = behaviour
        connections_count = worker.connections_count
        async with asyncio.timeout(5.0):
            status, headers, body = await fixture.call(
                "/safe/a", request_id=f"due-{number}", Deadline_Ms="400"
            )
        self.assertEqual(worker.connections_count, connections_count)
        return status, headers.get("Server-Seal"), body

    async def assert_never_joined(self, *, earlier_status, due, headers):
        copy = answer_bytes(earlier_status, headers, EARLIER_BODY)
        head_bytes = len(copy) - len(EARLIER_BODY)
        async with GatewayFixture(behaviours=["after_stray"]).open() as fixture:
            (worker,) = fixture.workers
            target = fixture.gateway.target_pool.get(worker.name)
            target.record_failure = lambda *, now_ms: None  # It stays in use.
            worker.event_ms = 0.0
            worker.after_stray = due
            for cut_bytes in range(head_bytes):
                worker.stray_bytes = copy[:cut_bytes]
                status, seal, body = await self.outcome(fixture, cut_bytes)
                with self.subTest(cut=worker.stray_bytes[-24:], status=status):
                    if seal is None:  # The gateway's own refusal.
                        self.assertIn(status, (502, 504))
                        continue
                    self.assertEqual(status, STATUSES[due])
                    self.assertEqual(seal, f"seal.{worker.name}")
                    if due == "whole":
                        self.assertEqual(body, worker.body)

    async def test_a_failure_behind_a_broken_off_copy_is_no_success(self):
        for headers in (EARLIER_HEADERS, EARLIER_HEADERS[::-1]):
            await self.assert_never_joined(
                earlier_status=200, due="failing", headers=headers
            )

    async def test_a_success_behind_a_broken_off_copy_keeps_its_status(self):
        for status in (206, 404, 500):
            await self.assert_never_joined(
                earlier_status=status, due="whole", headers=EARLIER_HEADERS
            )


class BrokenOffPartsTests(LoopCase):
    """An answer that was broken off in another part than its head was completed."""

    def setUp(self):
        super().setUp()
        chunked = answer_bytes(
            200,
            [("Attempt-Id", "due"), ("Transfer-Encoding", "chunked")],
            with_length=False,
        )
        interim = b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
        chunks = b'3;e="f"\r\nabc\r\n40\r\nabc'
        trailer = b"0\r\nServer-Load: 1\r\n\r\n"
        self.parts = [
            *(interim[:end] for end in range(1, len(interim))),
            *(chunked + chunks[:end] for end in range(len(chunks) + 1)),
            *(chunked + b"3\r\nabc\r\n" + trailer[:end] for end in range(len(trailer))),
        ]

    async def test_no_break_in_chunks_or_interim_heads_gives_another_status(self):
        async with GatewayFixture(behaviours=["whole"]).open() as fixture:
            (worker,) = fixture.workers
            target = fixture.gateway.target_pool.get(worker.name)
            target.record_failure = lambda *, now_ms: None  # It stays in use.
            worker.event_ms = 0.0
            for number, worker.stray_bytes in enumerate(self.parts):
                worker.behaviour = "whole"
                status, _, _ = await fixture.call(
                    "/safe/a", request_id=f"before-{number}"
                )
                self.assertEqual(status, 200)
                connections_count = worker.connections_count
                worker.behaviour = "after_stray"
                status, _, _ = await fixture.call(
                    "/safe/a", request_id="due", Deadline_Ms="400"
                )
                with self.subTest(worker.stray_bytes[-24:]):
                    self.assertIn(status, (502, 504))
                    self.assertEqual(worker.connections_count, connections_count)

    async def test_the_pieces_in_which_an_answer_arrives_do_not_matter(self):
        due = answer_bytes(500, [("Attempt-Id", "due")], b"failed")
        heads = [
            answer_bytes(200, headers, with_length=False)[:-2] + end
            for headers in (EARLIER_HEADERS, EARLIER_HEADERS[::-1])
            for end in (b"", b"X", b"X:", b"X: a")
        ]
        for part in (b"HTTP/1.1 200 O", *heads, *self.parts):
            for piece_bytes in (1, 7, 1000):
                with self.subTest(part[-24:], piece_bytes=piece_bytes):
                    connection = TargetConnection()
                    connection.connection_made(mock.MagicMock())
                    connection.send(b"", request_id="due")
                    data = part + due
                    while data and not connection._failure:
                        connection.data_received(data[:piece_bytes])
                        data = data[piece_bytes:]
                    with self.assertRaises(MalformedAnswerError):
                        await connection.head()
                        await connection.whole_body()


class UnframedAnswersTests(LoopCase):
    """The end of an answer without a length was taken for the beginning of another."""

    async def test_an_answer_that_ends_with_its_connection_is_not_in_doubt(self):
        async with GatewayFixture(behaviours=["unframed"]).open() as fixture:
            (worker,) = fixture.workers
            with logbook.TestHandler().applicationbound() as logs:
                status, _, body = await fixture.call("/safe/a", request_id="r-1")
        self.assertEqual((status, body), (200, worker.body))
        self.assertNotIn("answer in doubt", [line.message for line in logs.records])


class UnnamedAnswersTests(LoopCase):
    """An earlier answer without an id was taken for the answer to the next request."""

    async def outcomes(self, path, *, after, names_requests=True, **headers):
        """Return status and body of two answers, the second behind an unnamed one."""
        async with GatewayFixture(behaviours=["after_stray"]).open() as fixture:
            (worker,) = fixture.workers
            worker.stray_bytes = answer_bytes(200, [], EARLIER_BODY)
            worker.after_stray = after
            worker.names_requests = names_requests
            outcomes = []
            for number in range(2):
                status, _, body = await fixture.call(
                    path, request_id=f"r-{number}", Deadline_Ms="800", **headers
                )
                outcomes.append((status, body))
            self.assertEqual(outcomes[0][0], 200)
            return outcomes

    async def test_an_earlier_answer_without_an_id_is_not_passed_on(self):
        for path, after in (("/safe/a", "whole"), ("/stream/a", "stream")):
            with self.subTest(path):
                _, (status, _) = await self.outcomes(path, after=after)
                self.assertIn(status, (502, 504))

    async def test_a_request_without_an_id_gets_no_earlier_answer(self):
        for names_requests in (True, False):
            for path, after in (("/safe/a", "whole"), ("/stream/a", "stream")):
                with self.subTest(path, names_requests=names_requests):
                    first, second = await self.outcomes(
                        path,
                        after=after,
                        names_requests=names_requests,
                        Attempt_Id=None,
                    )
                    self.assertEqual(second, first)

    async def test_a_target_that_names_no_request_is_served(self):
        for path, after in (("/safe/a", "whole"), ("/stream/a", "stream")):
            with self.subTest(path):
                first, second = await self.outcomes(
                    path, after=after, names_requests=False
                )
                self.assertEqual(second, first)


class RepeatedIdsTests(LoopCase):
    """A late copy was taken for the answer to a later request with the same id."""

    async def test_a_copy_is_not_the_answer_to_a_request_with_the_same_id(self):
        async with GatewayFixture(behaviours=["whole"]).open() as fixture:
            (worker,) = fixture.workers
            for request_id in ("r-1", "r-2"):
                await fixture.call("/safe/a", request_id=request_id)
            worker.stray_bytes = answer_bytes(
                200, [("Attempt-Id", "r-1"), ("Server-Seal", "s")], EARLIER_BODY
            )
            worker.behaviour = "after_stray"
            status, headers, _ = await fixture.call(
                "/safe/a", request_id="r-1", Deadline_Ms="800"
            )
        self.assertEqual(status, 500)
        self.assertEqual(headers.get("Server-Seal"), f"seal.{worker.name}")


class JoinedBodiesTests(LoopCase):
    """A body that was broken off was filled up with the bytes of another answer."""

    @contextlib.asynccontextmanager
    async def kept_connection(self, path, *, whole, broken_off, stray_id):
        """Run a gateway whose target fills up the next answer on its connection."""
        async with GatewayFixture(behaviours=[whole]).open() as fixture:
            (worker,) = fixture.workers
            worker.body = b"x" * 2000
            name = [("Attempt-Id", stray_id)] if stray_id else []
            worker.filling = answer_bytes(
                200, [*name, ("Server-Seal", "s")], b"y" * 4000
            )
            requests = ("long-ago", *(f"r-{number}" for number in range(6)), "earlier")
            for request_id in requests:
                status, _, _ = await fixture.call(path, request_id=request_id)
                self.assertEqual(status, 200)
            self.assertEqual(worker.connections_count, 1)
            worker.behaviour = broken_off
            worker.fillings_count = 1
            yield fixture

    async def test_a_body_is_not_filled_up_with_another_answer(self):
        for stray_id in STRAY_IDS:
            with self.subTest(stray_id):
                async with self.kept_connection(
                    "/safe/a", whole="whole", broken_off="filled_up", stray_id=stray_id
                ) as fixture:
                    (worker,) = fixture.workers
                    status, _, body = await fixture.call(
                        "/safe/a", request_id="due", Deadline_Ms="800"
                    )
                    # Sent again on a new connection, on which nothing is late.
                    is_whole = status == 200 and body == worker.body
                    self.assertTrue(is_whole or status in (502, 504), (status, body))

    async def test_a_stream_is_not_filled_up_with_another_answer(self):
        request = (
            f"GET /stream/a HTTP/1.1\r\nHost: {HOST}\r\nCredential: {KEY}\r\n"
            "Attempt-Id: due\r\nDeadline-Ms: 800\r\n\r\n"
        )
        for stray_id in STRAY_IDS:
            with self.subTest(stray_id):
                async with self.kept_connection(
                    "/stream/a",
                    whole="stream",
                    broken_off="stream_filled_up",
                    stray_id=stray_id,
                ) as fixture:
                    reader, writer = await asyncio.open_connection(
                        "127.0.0.1", fixture.port
                    )
                    writer.write(request.encode())
                    _, _, received = (await read_until_end(reader)).partition(
                        b"\r\n\r\n"
                    )
                    writer.close()
                    self.assertIn(b"data: piece 2", received)
                    self.assertNotIn(b"Server-Seal", received)


class QuotingTargetsTests(LoopCase):
    """Sound targets whose bodies quote answers, as an archive of messages does."""

    quoted = b"HTTP/1.1 200 OK\r\nServer-Seal: s\r\nAttempt-Id: r-0\r\n\r\nquoted"

    async def call_all(self, fixture, path="/safe/a", *, count):
        """Send requests one after the other, and check that each gets its body."""
        (worker,) = fixture.workers
        for number in range(count):
            request_id = f"{len(worker.runs)}-{number}"
            status, _, body = await fixture.call(path, request_id=request_id)
            self.assertEqual((status, body), (200, worker.body))

    async def test_each_request_runs_once_on_a_connection_of_its_own(self):
        async with GatewayFixture(behaviours=["whole"]).open() as fixture:
            (worker,) = fixture.workers
            worker.body = self.quoted
            await self.call_all(fixture, count=3)
            self.assertEqual(len(worker.runs), 3)
            self.assertEqual(worker.connections_count, 3)

    async def test_the_first_quote_on_a_kept_connection_costs_one_send(self):
        async with GatewayFixture(behaviours=["whole"]).open() as fixture:
            (worker,) = fixture.workers
            await self.call_all(fixture, count=3)
            self.assertEqual(worker.connections_count, 1)
            worker.body = self.quoted
            budget = fixture.gateway.budget("models")
            with mock.patch.object(
                budget, "try_spend", wraps=budget.try_spend
            ) as try_spend:
                await self.call_all(fixture, count=50)
            self.assertEqual(try_spend.call_count, 1)
            self.assertEqual(len(worker.runs), 3 + 50 + 1)
            self.assertEqual(worker.connections_count, 1 + 50)

    async def test_connections_are_kept_again_when_no_body_quotes_answers(self):
        async with GatewayFixture(behaviours=["whole"]).open() as fixture:
            (worker,) = fixture.workers
            quoting, sound = self.quoted, worker.body
            worker.body = quoting
            await self.call_all(fixture, count=1)
            worker.body = sound
            target = fixture.gateway.target_pool.get(worker.name)
            target.quoted_ms -= QUOTES_LIFETIME_MS
            await self.call_all(fixture, count=4)
            self.assertEqual(worker.connections_count, 2)

    async def test_requests_that_must_not_run_again_are_served(self):
        async with GatewayFixture(behaviours=["whole"]).open() as fixture:
            (worker,) = fixture.workers
            await self.call_all(fixture, count=2)
            worker.body = self.quoted
            await self.call_all(fixture, "/unsafe/a", count=3)
            self.assertEqual(len(worker.runs), 5)

    async def test_a_stream_whose_text_quotes_an_answer_is_not_broken_off(self):
        text = b"HTTP/1.1 200 OK\ndata: Attempt-Id: r-0"
        async with GatewayFixture(behaviours=["stream"]).open() as fixture:
            (worker,) = fixture.workers
            worker.event_text = text
            for number in range(3):
                status, _, body = await fixture.call(
                    "/stream/a", request_id=f"r-{number}"
                )
                self.assertEqual(status, 200)
                self.assertEqual(body.count(text), worker.events_count)
            self.assertEqual(len(worker.runs), 3)
            self.assertEqual(worker.connections_count, 1)


class ConnectionsLifeTests(LoopCase):
    """A connection forgot what it had carried after four requests."""

    async def test_an_id_of_any_age_is_remembered(self):
        connection = TargetConnection()
        connection.connection_made(mock.MagicMock())
        for number in range(REQUESTS_LIMIT_COUNT):
            connection.send(b"", request_id=f"r-{number}")
        for number in range(REQUESTS_LIMIT_COUNT):
            self.assertTrue(connection.has_carried(f"r-{number}"))
        self.assertFalse(connection.has_carried("another"))
        self.assertFalse(connection.has_carried(""))

    async def test_a_connection_carries_a_bounded_number_of_requests(self):
        async with GatewayFixture(behaviours=["whole"]).open() as fixture:
            (worker,) = fixture.workers
            for number in range(REQUESTS_LIMIT_COUNT + 1):
                status, _, _ = await fixture.call("/safe/a", request_id=f"r-{number}")
                self.assertEqual(status, 200)
            self.assertEqual(worker.connections_count, 2)
            self.assertEqual(len(worker.runs), REQUESTS_LIMIT_COUNT + 1)


class TrailingBytesTests(LoopCase):
    """A connection was kept on which the beginning of another answer had arrived.

    The next answer was joined with it and lost.
    """

    async def test_a_connection_with_the_beginning_of_an_answer_is_not_used(self):
        extra = answer_bytes(200, EARLIER_HEADERS, EARLIER_BODY)
        head_bytes = len(extra) - len(EARLIER_BODY)
        for end in (1, 9, 14, 60, head_bytes - 1, head_bytes, len(extra)):
            with self.subTest(extra[:end][-12:]):
                async with GatewayFixture(behaviours=["trailed"]).open() as fixture:
                    (worker,) = fixture.workers
                    worker.filling = extra[:end]
                    status, _, body = await fixture.call("/safe/a", request_id="r-1")
                    self.assertEqual((status, body), (200, worker.body))
                    worker.behaviour = "whole"
                    status, _, body = await fixture.call("/safe/a", request_id="r-2")
                    self.assertEqual((status, body), (200, worker.body))
                    self.assertEqual(worker.runs, ["r-1", "r-2"])
                    self.assertEqual(worker.connections_count, 2)


class AnswerDoubtsTests(LoopCase):
    """The logs could not tell a joined head from an answer without an id."""

    async def reasons(self, stray_bytes, after_stray):
        """Return the reasons that are logged for an answer behind ``stray_bytes``."""
        async with GatewayFixture(behaviours=["whole"]).open() as fixture:
            (worker,) = fixture.workers
            await fixture.call("/safe/a", request_id="earlier")
            worker.behaviour = "after_stray"
            worker.stray_bytes, worker.after_stray = stray_bytes, after_stray
            with logbook.TestHandler().applicationbound() as logs:
                await fixture.call("/safe/a", request_id="due", Deadline_Ms="400")
                await asyncio.sleep(0.05)
            metrics = fixture.gateway.metrics.render().decode()
            self.assertIn("waxwinghold_doubtful_answers", metrics)
        doubts = [line for line in logs.records if line.message == "answer in doubt"]
        return [(line.extra["reason"], line.extra["requests"]) for line in doubts]

    async def test_the_log_tells_what_is_wrong_with_an_answer(self):
        unnamed = answer_bytes(200, [("Server-Seal", "seal.earlier")], EARLIER_BODY)
        cases = (
            (b"HTTP/1.1 200 O", "failing", (Doubt.JOINED.value, 2)),
            (unnamed, "silent", (Doubt.UNNAMED.value, 2)),
            (b"", "doubled", (Doubt.EXTRA_BYTES.value, 2)),
        )
        for stray_bytes, after_stray, expected in cases:
            with self.subTest(expected):
                reasons = await self.reasons(stray_bytes, after_stray)
                self.assertIn(expected, reasons)


class FilledEndsTests(LoopCase):
    """The last bytes of a body were those with which another answer began."""

    async def outcome(self, *, missing_bytes, filling):
        """Return an answer whose last bytes, and those behind it, are ``filling``."""
        async with GatewayFixture(behaviours=["whole"]).open() as fixture:
            (worker,) = fixture.workers
            await fixture.call("/safe/a", request_id="earlier")
            worker.behaviour, worker.filling = "filled_up", filling
            worker.body = b"x" * (2 * missing_bytes)  # It breaks off in the middle.
            return await fixture.call("/safe/a", request_id="due", Deadline_Ms="800")

    async def test_a_body_does_not_end_with_the_beginning_of_another_answer(self):
        headers = [("Attempt-Id", "earlier"), ("Server-Seal", "s")]
        for status in (200, 500):
            filling = answer_bytes(status, headers, EARLIER_BODY)
            for missing_bytes in (1, 9, 16, 22, 40):
                with self.subTest(filling[:missing_bytes]):
                    status, _, _ = await self.outcome(
                        missing_bytes=missing_bytes, filling=filling
                    )
                    self.assertIn(status, (502, 504))

    async def test_an_answer_behind_a_whole_body_does_not_cost_it(self):
        for body in (b"the body", b"it ends with HTTP/1.1 200", b"HTTP/1.1 200 OK\r\n"):
            for filling in (answer_bytes(200, EARLIER_HEADERS, EARLIER_BODY), b"\0\0"):
                with self.subTest(body, filling=filling):
                    async with GatewayFixture(behaviours=["trailed"]).open() as fixture:
                        (worker,) = fixture.workers
                        worker.body, worker.filling = body, filling
                        outcome = await fixture.call("/safe/a", request_id="due")
                        self.assertEqual((outcome[0], outcome[2]), (200, body))
