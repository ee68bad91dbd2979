"""Tests of streams that break off, and whose next target answers with something else.

Callers found an error, or its whole head, in the middle of their stream, or the stream
ended as if it were complete.
"""

import asyncio

from waxwinghold_standins._raw_http import answer_bytes

from .test_gateway_joined_sends import request_bytes
from .test_gateway_silent_targets import SilentTargetCase

ERROR = b"the weights are gone"
STREAM = ("Content-Type", "text/event-stream")
TEXT = ("Content-Type", "text/plain")
# Status, headers and body of the next target's answer.
OTHER_ANSWERS = {
    **{
        f"{status}": (status, [TEXT], ERROR)
        for status in (301, 400, 404, 409, 429, 500, 502, 503)
    },
    "error as a stream": (500, [STREAM], b"id: 3\ndata: error\n\n"),
    "no content": (204, [], b""),
    "accepted": (202, [TEXT], ERROR + b"\n\n"),
    "accepted as a stream": (202, [STREAM], b"id: 3\ndata: error\n\n"),
    "empty text": (200, [TEXT], b""),
    "text": (200, [TEXT], ERROR),
    "text like an event": (200, [TEXT], ERROR + b"\n\n"),
    "text without a type": (200, [], ERROR + b"\n\n"),
}


STALLED_LABELS = ("500", "no content", "accepted", "empty text", "text like an event")


class BrokenStreamTests(SilentTargetCase):
    """The first target is cut off in the middle of an event."""

    first = "stream_cut"
    answers = OTHER_ANSWERS
    limit_s = 4.0

    async def answered(self, status, headers, body):
        """Return what a caller gets whose stream goes on with such an answer."""
        fixture = await self.fixture(self.first, "whole")
        second = fixture.workers[1]

        async def answer(request, writer):
            fields = [*second.record_run(request), *headers]
            writer.write(answer_bytes(status, fields, body))
            return True

        second._answer_whole = answer
        reader, writer = await asyncio.open_connection("127.0.0.1", fixture.port)
        self.addCleanup(writer.close)
        writer.write(request_bytes("/stream/a", "r-1"))
        data = b""
        try:
            async with asyncio.timeout(self.limit_s):
                while part := await reader.read(65536):
                    data += part
        except (ConnectionError, TimeoutError):
            pass
        return data, len(second.runs)

    async def test_another_answer_is_no_part_of_a_stream(self):
        for label, answer in self.answers.items():
            with self.subTest(label):
                data, runs_count = await self.answered(*answer)
                self.assertEqual(runs_count, 1)
                self.assertEqual(data.count(b"HTTP/1.1"), 1, data)
                self.assertEqual(data.count(b"data: "), 2, data)
                self.assertNotIn(ERROR, data)
                self.assertNotIn(b"0\r\n\r\n", data)


class StalledStreamTests(BrokenStreamTests):
    """The first target falls silent."""

    first = "stream_halted"
    answers = {label: OTHER_ANSWERS[label] for label in STALLED_LABELS}
    limit_s = 2.0  # The next target is tried after 1.1 s.
