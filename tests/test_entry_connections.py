"""Tests of an entry's limits on callers that open connections and send little."""

import asyncio
import contextlib
import resource
import unittest
from unittest import mock

from waxwinghold._caller_connections import CallerConnections
from waxwinghold._clock import Clock

from .entry_builder import EntryEndpoint, start_entry
from .standin_client import StandInTestCase

NO_PLATFORM_URL = "http://127.0.0.1:1"
HEALTH_REQUEST = b"GET /health HTTP/1.1\r\nHost: entry\r\n\r\n"


class EntryConnectionsTests(StandInTestCase):
    async def start(self, **settings):
        """Start an entry and return its port for callers."""
        endpoint = EntryEndpoint(name="entry-1", data_centre="nadi")
        self.entry, _ = start_entry(self, endpoint, NO_PLATFORM_URL, **settings)
        async with asyncio.timeout(5):
            while True:
                with contextlib.suppress(OSError):
                    _, writer = await asyncio.open_connection(
                        "127.0.0.1", endpoint.http_port
                    )
                    writer.close()
                    return endpoint.http_port
                await asyncio.sleep(0.02)

    async def connect(self, port):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        self.addCleanup(writer.close)
        return reader, writer

    async def assert_closed(self, reader):
        async with asyncio.timeout(5):
            self.assertEqual(await reader.read(), b"")

    async def test_a_caller_that_does_not_finish_its_header_is_cut_off(self):
        port = await self.start(header_timeout_ms=200)
        reader, writer = await self.connect(port)
        writer.write(HEALTH_REQUEST[:-2])
        await self.assert_closed(reader)

    async def test_a_caller_that_sends_nothing_is_cut_off(self):
        port = await self.start(idle_timeout_ms=200)
        reader, _ = await self.connect(port)
        await self.assert_closed(reader)

    async def test_a_connection_is_kept_between_requests(self):
        port = await self.start(header_timeout_ms=200)
        reader, writer = await self.connect(port)
        for _ in range(2):
            writer.write(HEALTH_REQUEST)
            head = await reader.readuntil(b"\r\n\r\n")
            self.assertTrue(head.startswith(b"HTTP/1.1 503"), head)
            await reader.readuntil(b"}")
            await asyncio.sleep(1.5)  # Longer than the time for a header and a sweep.

    async def test_beyond_their_limit_the_longest_idle_connection_is_closed(self):
        port = await self.start()
        self.entry.connections._count_limit = 4
        opened = [await self.connect(port) for _ in range(12)]
        for reader, _ in opened[:8]:
            await self.assert_closed(reader)
        _, writer = opened[-1]
        writer.write(HEALTH_REQUEST)
        self.assertTrue((await opened[-1][0].readline()).startswith(b"HTTP/1.1 503"))


class UnlimitedDescriptorsTests(unittest.TestCase):
    def test_callers_are_served_where_descriptors_are_not_limited(self):
        # The limit of connections was 0, so that each new one closed the last idle one.
        unlimited = (resource.RLIM_INFINITY, resource.RLIM_INFINITY)
        with mock.patch("resource.getrlimit", return_value=unlimited):
            connections = CallerConnections(clock=Clock(), limits=lambda: None)
        self.assertGreater(connections._count_limit, 1000)

    def test_connections_are_limited_where_descriptors_are_not(self):
        # They filled the memory: 39,000 were kept, with 15 KB each.
        unlimited = (resource.RLIM_INFINITY, resource.RLIM_INFINITY)
        with mock.patch("resource.getrlimit", return_value=unlimited):
            connections = CallerConnections(clock=Clock(), limits=lambda: None)
        self.assertLess(connections._count_limit, 5000)
