"""Tests of crowds of callers that would fill the memory of a process.

Each runs the system's own process alone. It checks that the process lives and stays
within the memory and the descriptors of the smallest host, and that an ordinary request
is answered while the crowd is still there.
"""

import asyncio
import unittest

from .support.case import FleetCase
from .support.fleet import TWO_WORKERS
from .support.gateway_process import (
    HOST_DESCRIPTORS_COUNT,
    Caller,
    GatewayProcess,
    descriptors_count,
    peak_memory_bytes,
    request_bytes,
)
from .support.real_process import RealProcess

MIB = 1024 * 1024
HOST_MEMORY_BYTES = 200 * MIB  # Of the smallest host that has a gateway.
LONG_BODY_BYTES = 4 * MIB  # The longest that a request may have by default.
LONG_EVENT_BYTES = 250_000  # A quarter of the longest that a stream may have.
HOLD_S = 6.0
READ_INTERVAL_S = 0.5
READ_BYTES = 200
# Each field is below the limit of a field, all of them below that of a whole head.
UNFINISHED_HEAD = b"GET /safe/a HTTP/1.1\r\n" + b"".join(
    b"F%d: %s\r\n" % (number, b"x" * 7000) for number in range(34)
)


async def ask_and_read_slowly(caller, request):
    """Send ``request``, and read slowly what is answered."""
    await caller.send(request)
    await read_slowly(caller)


async def read_slowly(caller):
    """Read 400 bytes a second."""
    while True:
        await asyncio.sleep(READ_INTERVAL_S)
        caller.read(READ_BYTES)


class Crowd:
    """Connections that act at the same time, in an ``async with`` block.

    Args:
        port: TCP port that they connect to.
        callers_count: Number of connections.
        act: Coroutine function of a connected ``Caller``; it may run on.
        start: The same, but it ends before the next caller connects.
    """

    def __init__(self, *, port, callers_count, act, start=None):
        self._callers = [Caller(port=port) for _ in range(callers_count)]
        self._act = act
        self._start = start
        self._tasks = []

    async def __aenter__(self):
        for caller in self._callers:
            await caller.connect()
            if self._start is not None:
                await self._start(caller)
            self._tasks.append(asyncio.create_task(self._act(caller)))
        await asyncio.sleep(HOLD_S)

    async def __aexit__(self, kind, error, trace):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for caller in self._callers:
            caller.close()


class GatewayCallersTests(unittest.IsolatedAsyncioTestCase):
    """A gateway ended without memory, or served nobody, beside such callers."""

    async def assert_bounded(
        self,
        *,
        callers_count,
        act,
        start=None,
        behaviour="whole",
        slots_count=1000,
    ):
        asyncio.get_running_loop().set_debug(False)
        async with GatewayProcess(slots_count=slots_count).running() as process:
            worker = process.worker
            worker.body = b"x" * LONG_BODY_BYTES
            worker.behaviour = behaviour
            worker.event_bytes = LONG_EVENT_BYTES
            crowd = Crowd(
                port=process.port, callers_count=callers_count, act=act, start=start
            )
            async with crowd:
                self.assertTrue(process.is_alive())
                descriptors = descriptors_count(process.pid)
                worker.body = b"ordinary"
                worker.behaviour = "whole"
                await process.until_answered()
            self.assertTrue(process.is_alive())
            self.assertLess(descriptors, HOST_DESCRIPTORS_COUNT)
            self.assertLess(peak_memory_bytes(process.pid), HOST_MEMORY_BYTES)

    async def test_long_answers_that_are_read_slowly(self):
        request = request_bytes("GET", "/safe/long")
        await self.assert_bounded(
            callers_count=120, act=lambda caller: ask_and_read_slowly(caller, request)
        )

    async def test_long_answers_that_are_read_slowly_hold_no_slots(self):
        request = request_bytes("GET", "/safe/long")
        await self.assert_bounded(
            callers_count=24,
            act=lambda caller: ask_and_read_slowly(caller, request),
            slots_count=6,
        )

    async def test_long_answers_to_requests_sent_ahead(self):
        request = request_bytes("GET", "/safe/long") * 20
        await self.assert_bounded(
            callers_count=24, act=lambda caller: caller.send(request)
        )

    async def test_streams_that_are_read_slowly(self):
        request = request_bytes("GET", "/stream/long")

        async def start(caller):
            await caller.send(request)
            await caller.first_byte()

        await self.assert_bounded(
            callers_count=150, act=read_slowly, start=start, behaviour="endless_events"
        )

    async def test_bodies_that_stop_short_of_their_end(self):
        request = request_bytes("POST", "/safe/a", body_bytes=LONG_BODY_BYTES)
        request += b"x" * (LONG_BODY_BYTES - 1)
        await self.assert_bounded(
            callers_count=120, act=lambda caller: caller.send(request)
        )

    async def test_beginnings_of_bodies_on_many_connections(self):
        request = request_bytes("POST", "/safe/a", body_bytes=LONG_BODY_BYTES)
        request += b"x" * 100_000
        await self.assert_bounded(
            callers_count=2000, act=lambda caller: caller.send(request)
        )

    async def test_bodies_sent_ahead(self):
        body = b"x" * 60_000
        request = request_bytes("POST", "/safe/a", body_bytes=len(body)) + body
        await self.assert_bounded(
            callers_count=24, act=lambda caller: caller.send(request * 200)
        )

    async def test_heads_that_do_not_end(self):
        await self.assert_bounded(
            callers_count=1000, act=lambda caller: caller.send(UNFINISHED_HEAD)
        )


class EntryCallersTests(FleetCase):
    """An entry ended without memory beside such callers."""

    async def test_heads_that_do_not_end(self):
        fleet = await self.start_fleet(targets=TWO_WORKERS)
        node = fleet.entries["entry-a"]
        port = int(node.settings.http_address.rpartition(":")[2])
        await node.kill()
        entry = await self.enterAsyncContext(RealProcess(node=node).running())
        caller = fleet.caller()
        await self.until_answered(caller)
        async with Crowd(
            port=port,
            callers_count=1000,
            act=lambda caller: caller.send(UNFINISHED_HEAD),
        ):
            descriptors = descriptors_count(entry.pid)
            await self.until_answered(caller)
        self.assertLess(descriptors, HOST_DESCRIPTORS_COUNT)
        self.assertLess(peak_memory_bytes(entry.pid), HOST_MEMORY_BYTES)

    async def until_answered(self, caller):
        async with asyncio.timeout(60.0):
            while not (await caller.call("entry-a", "stock", b"1")).ok:
                await asyncio.sleep(0.5)
