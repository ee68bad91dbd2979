"""Tests that bodies of callers with a content coding arrive as they were sent.

They were decoded on their way, and passed on with the name of the coding.
"""

import gzip
import zlib

import aiohttp

from .support.gateway import HOST, KEY
from .test_gateway_silent_targets import SilentTargetCase

TEXT = b"hold one jacket, size M" * 4
BODIES = {
    "gzip": gzip.compress(TEXT),
    "deflate": zlib.compress(TEXT),
    # Not what the header says, or a coding that nobody knows.
    "gzip, malformed": TEXT,
    "unknown": TEXT,
    "identity": TEXT,
}


class CodedBodyTests(SilentTargetCase):
    async def test_a_coded_body_is_passed_on_unchanged(self):
        fixture = await self.fixture("whole")
        worker = fixture.workers[0]
        for path in ("/safe/a", "/unsafe/a"):
            for is_chunked in (False, True):
                for label, body in BODIES.items():
                    with self.subTest(path=path, is_chunked=is_chunked, coding=label):
                        coding = label.partition(",")[0]
                        status = await self.post(
                            fixture, path, coding, body, is_chunked=is_chunked
                        )
                        self.assertEqual(status, 200)
                        request = worker.requests[-1]
                        self.assertEqual(request.body, body)
                        self.assertEqual(request.headers["content-encoding"], coding)

    async def post(self, fixture, path, coding, body, *, is_chunked):
        async def pieces():
            yield body[:10]
            yield body[10:]

        headers = {
            "Host": HOST,
            "Attempt-Id": "r-1",
            "Credential": KEY,
            "Content-Encoding": coding,
            "Content-Type": "text/plain",
        }
        url = f"http://127.0.0.1:{fixture.port}{path}"
        async with aiohttp.ClientSession(
            skip_auto_headers=["Accept-Encoding"]
        ) as session:
            request = session.post(
                url,
                data=pieces() if is_chunked else body,
                headers=headers,
                compress=False,
            )
            async with request as answer:
                return answer.status
