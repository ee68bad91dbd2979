"""Tests of targets that begin an earlier answer again before the one that is due."""

import asyncio

import logbook

from waxwinghold._gateway.answer_doubts import Doubt
from waxwinghold_standins._raw_http import answer_bytes

from .support.gateway import GatewayFixture
from .support.loop_case import LoopCase

EARLIER_BODY = b"the answer to an earlier request"


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
