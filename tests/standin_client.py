"""Calls to stand-ins, for tests."""

import asyncio
import contextlib
import json
import unittest

import aiohttp

TIMEOUT_S = 5


class StandInTestCase(unittest.IsolatedAsyncioTestCase):
    """Opens one client session for each test."""

    async def asyncSetUp(self):
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)

    async def post(self, url, document, *, session=None, **options):
        session = session or self.session
        async with session.post(url, json=document, **options) as response:
            return response.status, await response.json()

    async def get(self, url):
        async with self.session.get(url) as response:
            return response.status, await response.json()

    async def fault(self, url, **changes):
        status, _ = await self.post(f"{url}/_control/fault", changes)
        self.assertEqual(status, 200)

    async def send_order(self, url, order, *, fence=1, **fields):
        document = {"order": order, "fence": fence, **fields}
        return await self.post(f"{url}/orders", document)

    async def until(self, condition):
        """Wait until ``condition`` holds; fail after a few seconds."""
        async with asyncio.timeout(TIMEOUT_S):
            while not condition():
                await asyncio.sleep(0.005)


def generate_body(request_id, *, prompt="a prompt", max_tokens=5, **fields):
    """Return the body of ``POST /generate``."""
    document = {"request_id": request_id, "prompt": prompt, "max_tokens": max_tokens}
    return document | fields


async def read_events(response, *, count=None):
    """Return ``(tokens by place, length or None)`` read from a stream.

    Args:
        count: Stop after this many tokens; by default at the end event.
    """
    tokens = {}
    place, ended = None, False
    async for line in response.content:
        name, _, value = line.decode().strip().partition(": ")
        if name == "id":
            place = int(value)
        elif name == "event":
            ended = value == "end"
        elif name == "data" and ended:
            return tokens, json.loads(value)["length"]
        elif name == "data":
            tokens[place] = json.loads(value)
            if len(tokens) == count:
                return tokens, None
    return tokens, None


@contextlib.asynccontextmanager
async def running(coroutine):
    """Run ``coroutine`` beside the block and end it with the block."""
    task = asyncio.create_task(coroutine)
    try:
        yield task
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
