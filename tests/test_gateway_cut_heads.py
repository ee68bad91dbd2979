"""Tests of targets that end their connection inside or just behind an answer's head."""

import asyncio

import aiohttp

from .support.gateway import GatewayFixture
from .support.loop_case import LoopCase

STREAM_BODY = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 6))

FRAMINGS = ("length", "chunked", "until_close")
BEHIND_HEAD_BYTES = 12
CALL_LIMIT_S = 5.0


class CutHeadTests(LoopCase):
    """The answer of a target that stopped in its head reached the caller as whole."""

    async def outcome(self, fixture, path, number, *, is_kept):
        """Return the status, seal and body of a cut answer.

        The status is ``None`` if the connection broke off without a head, the body if
        it broke off later.
        """
        (worker,) = fixture.workers
        # Contents that lost their answers often are refused.
        path = f"{path}{number}"
        if is_kept:
            worker.behaviour = "whole"
            status, _, _ = await fixture.call("/safe/a", request_id=f"before-{number}")
            self.assertEqual(status, 200)
        worker.behaviour = "cut"
        runs_count = len(worker.runs)
        # The gateway also opens one to see whether the target goes on.
        connections_count = worker.used_connections_count
        try:
            async with asyncio.timeout(CALL_LIMIT_S):
                status, headers, body = await fixture.call(
                    path, request_id=f"due-{number}", Deadline_Ms="1500"
                )
        except (aiohttp.ClientError, ConnectionError):
            return None, None, None
        finally:
            self.assertEqual(len(worker.runs), runs_count + 1)
            if is_kept and path.startswith(("/safe/", "/stream/")):
                self.assertEqual(worker.used_connections_count, connections_count)
        is_framed = "Content-Length" in headers or "Transfer-Encoding" in headers
        return status, headers.get("Server-Seal"), body if is_framed else None

    async def assert_never_whole(self, path, *, framing, by_reset, is_kept):
        number = 0
        async with GatewayFixture(behaviours=["cut"]).open() as fixture:
            (worker,) = fixture.workers
            target = fixture.gateway.target_pool.get(worker.name)
            target.record_failure = lambda *, now_ms: None  # It stays in use.
            worker.cut_framing, worker.cut_by_reset = framing, by_reset
            whole_body = worker.body
            if path in ("/stream/a", "/once/a"):
                whole_body = STREAM_BODY
            worker.cut_bytes = 0
            head_bytes = 1
            while worker.cut_bytes < head_bytes + BEHIND_HEAD_BYTES:
                number += 1
                status, seal, body = await self.outcome(
                    fixture, path, number, is_kept=is_kept
                )
                head_bytes, _ = worker.cut_answer_bytes
                behind_bytes = worker.cut_bytes - head_bytes
                with self.subTest(
                    path=path,
                    framing=framing,
                    by_reset=by_reset,
                    is_kept=is_kept,
                    cut=worker.cut_bytes,
                    behind=behind_bytes,
                    status=status,
                    body=body,
                ):
                    if status is not None and status < 300 and body is not None:
                        ends_plain = framing == "until_close" and not by_reset
                        if ends_plain and path in ("/safe/a", "/unsafe/a"):
                            # The close is the end that this target's protocol gives it.
                            self.assertEqual(body, whole_body[:behind_bytes])
                        else:
                            self.assertEqual(body, whole_body)
                    if behind_bytes < 0:
                        self.assertIsNone(seal)
                        self.assertIn(status, (502, 504))
                worker.cut_bytes += 1

    async def assert_all_never_whole(self, path, **options):
        for framing in FRAMINGS:
            for by_reset in (False, True):
                await self.assert_never_whole(
                    path, framing=framing, by_reset=by_reset, **options
                )

    async def test_a_plain_answer_on_a_new_connection(self):
        await self.assert_all_never_whole("/unsafe/a", is_kept=False)

    async def test_a_repeatable_answer_on_a_new_connection(self):
        await self.assert_all_never_whole("/safe/a", is_kept=False)

    async def test_a_repeatable_answer_on_a_kept_connection(self):
        await self.assert_all_never_whole("/safe/a", is_kept=True)

    async def test_a_resumable_stream_on_a_new_connection(self):
        await self.assert_all_never_whole("/stream/a", is_kept=False)

    async def test_a_resumable_stream_on_a_kept_connection(self):
        await self.assert_all_never_whole("/stream/a", is_kept=True)

    async def test_a_stream_that_runs_once(self):
        await self.assert_all_never_whole("/once/a", is_kept=False)
