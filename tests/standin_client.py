"""Base class and helpers for tests that send HTTP requests to stand-ins."""

import asyncio
import contextlib
import json
import unittest

import aiohttp

TIMEOUT_S = 5


class StandInTestCase(unittest.IsolatedAsyncioTestCase):
    """Test case with one client session for each test and methods that use it."""

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
        """Wait until ``condition`` returns true.

        Raises:
            TimeoutError: It did not become true within ``TIMEOUT_S``.
        """
        async with asyncio.timeout(TIMEOUT_S):
            while not condition():
                await asyncio.sleep(0.005)


def generate_body(request_id, *, prompt="a prompt", max_tokens=5, **fields):
    """Return the body of ``POST /generate``."""
    document = {"request_id": request_id, "prompt": prompt, "max_tokens": max_tokens}
    return document | fields


async def read_events(response, *, count=None):
    """Read the events of a stream.

    Args:
        response: The response that carries the stream.
        count: Stop after this many tokens; by default at the end event.

    Returns:
        The tokens by offset, and the length of the answer from the end event, or
        ``None`` if that was not read.
    """
    tokens = {}
    offset, ended = None, False
    async for line in response.content:
        name, _, value = line.decode().strip().partition(": ")
        if name == "id":
            offset = int(value)
        elif name == "event":
            ended = value == "end"
        elif name == "data" and ended:
            return tokens, json.loads(value)["length"]
        elif name == "data":
            tokens[offset] = json.loads(value)
            if len(tokens) == count:
                return tokens, None
    return tokens, None


@contextlib.asynccontextmanager
async def running(coroutine):
    """Run ``coroutine`` as a task during the block; cancel it at the end."""
    task = asyncio.create_task(coroutine)
    try:
        yield task
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
