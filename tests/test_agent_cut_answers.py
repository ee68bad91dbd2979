"""Tests of the agent's client with targets that end a plain answer too early."""

import asyncio
import unittest

from waxwinghold._agent.target import TargetClient
from waxwinghold._errors import TargetCrashedError, TargetFailedError
from waxwinghold._messages import Submit
from waxwinghold_standins.fleet_worker import FleetWorker

CALL_LIMIT_S = 5.0
BEHIND_HEAD_BYTES = 12


def submit():
    """Return a plain call."""
    return Submit(
        request_id="r",
        attempt=1,
        service="booking",
        version="v1",
        call="stock",
        customer="nadi",
        priority=0,
        deadline_at_ms=0.0,
        body=b"{}",
        content_type="application/json",
        digest="d",
        streamed=False,
    )


class CutAnswerTests(unittest.IsolatedAsyncioTestCase):
    """A part of an answer whose connection was reset was taken for the whole one."""

    async def asyncSetUp(self):
        self.target = FleetWorker(name="w0", behaviour="cut")
        await self.target.start()
        self.addAsyncCleanup(self.target.stop)
        url = "http://{}:{}".format(*self.target.address)
        self.client = TargetClient(url=url, silence_ms=5000)
        self.addAsyncCleanup(self.client.close)

    async def call(self):
        """Return the ``PlainAnswer``, or ``None`` for an answer that was lost."""
        # The answer of the health check that follows a lost one is cut, too.
        try:
            async with asyncio.timeout(CALL_LIMIT_S):
                return await self.client.call(submit())
        except (TargetCrashedError, TargetFailedError):
            return None

    async def assert_cut_answers_are_lost(self, *, framing, by_reset):
        target = self.target
        target.cut_framing, target.cut_by_reset = framing, by_reset
        target.cut_bytes, until_bytes = 0, 1
        while target.cut_bytes < until_bytes:
            answer = await self.call()
            head_bytes, whole_bytes = target.cut_answer_bytes
            until_bytes = min(head_bytes + BEHIND_HEAD_BYTES, whole_bytes)
            if framing == "until_close" and not by_reset:
                until_bytes = head_bytes  # Behind its head it may end at any time.
            if target.cut_bytes < until_bytes:
                with self.subTest(framing, by_reset=by_reset, cut=target.cut_bytes):
                    self.assertIsNone(answer)
            target.cut_bytes += 1

    async def test_an_answer_whose_connection_was_closed_early_is_lost(self):
        for framing in ("length", "chunked", "until_close"):
            await self.assert_cut_answers_are_lost(framing=framing, by_reset=False)

    async def test_an_answer_whose_connection_was_reset_is_lost(self):
        for framing in ("length", "chunked", "until_close"):
            await self.assert_cut_answers_are_lost(framing=framing, by_reset=True)

    async def test_an_answer_without_a_length_is_read_whole(self):
        self.target.cut_framing, self.target.cut_bytes = "until_close", 10_000
        answer = await self.call()
        self.assertEqual(answer.body, self.target.body)
