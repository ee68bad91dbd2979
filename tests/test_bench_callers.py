"""Tests that the bench's caller detects incomplete answers."""

import unittest

import aiohttp
from aiohttp import web
from aiohttp.test_utils import TestServer

from waxwinghold_bench.callers import Caller
from waxwinghold_bench.endpoints import make_endpoints

TOKENS = b'id: 1\ndata: "a "\n\nid: 2\ndata: "b "\n\n'
MOVED = b'event: request\ndata: {"request": "token"}\n\n'


def end(length):
    """Return an end event for an answer of ``length`` tokens."""
    return b'event: end\ndata: {"length": %d}\n\n' % length


class AnswerStreamTests(unittest.IsolatedAsyncioTestCase):
    async def read(self, content, *, cut=False):
        """Return the stream that a caller has read from an entry.

        Args:
            content: What the entry sends.
            cut: Whether the entry closes the connection after it.
        """

        async def answer(request):
            response = web.StreamResponse()
            await response.prepare(request)
            await response.write(content)
            if cut:
                request.transport.close()
            return response

        app = web.Application()
        app.router.add_post("/v1/services/s/calls/c", answer)
        (entry,) = make_endpoints(role="entry", names={"e": "here"}).values()
        host, _, port = entry.http_address.rpartition(":")
        async with TestServer(app, host=host, port=int(port)):
            async with aiohttp.ClientSession() as session:
                caller = Caller(session=session, customer="c", token="t")
                async with caller.streaming(entry, "s", "c", {}) as stream:
                    await stream.read()
        return stream

    async def test_answer_from_two_targets_is_complete(self):
        stream = await self.read(TOKENS + MOVED + end(2))
        self.assertTrue(stream.is_complete)
        self.assertEqual((stream.text, stream.targets_count), ("a b ", 2))

    async def test_answer_without_end_event_is_incomplete(self):
        for cut in (True, False):
            stream = await self.read(TOKENS, cut=cut)
            self.assertFalse(stream.is_complete)
            self.assertEqual(stream.text, "a b ")

    async def test_answer_with_missing_token_is_incomplete(self):
        self.assertFalse((await self.read(TOKENS + end(3))).is_complete)
