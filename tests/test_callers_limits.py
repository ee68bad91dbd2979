"""Tests of the memory that a gateway's callers hold together, in one event loop."""

import asyncio
import fcntl
import sys
import termios

import logbook

from .support.gateway import HOST, KEY, GatewayFixture, read_until_end
from .support.loop_case import LoopCase
from .support.ports import free_port

LIMIT_BYTES = 9 * 1024 * 1024  # Above twice the longest body.
BODY_BYTES = 4 * 1024 * 1024
SENT_AHEAD_COUNT = 100


def request_bytes(number, body_bytes=0):
    head = (
        f"POST /safe/a HTTP/1.1\r\nHost: {HOST}\r\nCredential: {KEY}\r\n"
        f"Attempt-Id: r-{number}\r\nContent-Length: {body_bytes}\r\n\r\n"
    )
    return head.encode()


class HeldMemoryTests(LoopCase):
    """Callers that did not finish their bodies together filled the memory."""

    async def test_the_worst_holder_is_reset_and_the_others_are_served(self):
        fixture = GatewayFixture(
            behaviours=["whole"], callers_memory_limit_bytes=LIMIT_BYTES
        )
        async with fixture.open():
            writers = []
            with logbook.TestHandler().applicationbound() as logs:
                for number in range(4):
                    reader, writer = await asyncio.open_connection(
                        "127.0.0.1", fixture.port
                    )
                    writers.append((reader, writer))
                    writer.write(request_bytes(number, BODY_BYTES))
                    writer.write(b"x" * (BODY_BYTES - 1))
                    await asyncio.sleep(0.1)
                status, _, _ = await fixture.call("/safe/a", request_id="ordinary")
                self.assertEqual(status, 200)
            reset = [
                line.extra["held_bytes"]
                for line in logs.records
                if line.message == "callers hold too much memory, connection reset"
            ]
            self.assertEqual(len(reset), 2)
            self.assertGreater(min(reset), BODY_BYTES // 2)
            metrics = fixture.gateway.metrics.render().decode()
            self.assertRegex(metrics, r"waxwinghold_callers_reset_for_memory\{.*\} 2.0")
            statuses = []
            for reader, writer in writers:
                try:
                    writer.write(b"x")
                    statuses.append((await reader.readline()).split()[1:2])
                except ConnectionError:
                    statuses.append([])
                writer.close()
            self.assertEqual(sorted(statuses), [[], [], [b"200"], [b"200"]])

    async def test_memory_is_not_held_by_callers_that_were_answered(self):
        fixture = GatewayFixture(behaviours=["whole"])
        async with fixture.open():
            fixture.workers[0].body = b"y" * BODY_BYTES
            reader, writer = await asyncio.open_connection("127.0.0.1", fixture.port)
            for number in range(3):
                writer.write(request_bytes(number, BODY_BYTES) + b"x" * BODY_BYTES)
                await reader.readuntil(b"\r\n\r\n")
                await reader.readexactly(BODY_BYTES)
            await asyncio.sleep(0.05)
            metrics = fixture.gateway.metrics.render().decode()
            self.assertRegex(metrics, r"waxwinghold_callers_held_bytes\{.*\} 0.0")
            writer.close()


class UnreadRequestsTests(LoopCase):
    """Requests sent ahead filled the kernel's buffers on many connections."""

    async def test_what_the_kernel_holds_of_them_is_limited(self):
        fixture = GatewayFixture(
            behaviours=["silent"], callers_memory_limit_bytes=LIMIT_BYTES
        )
        async with fixture.open():
            fixture.register_worker(fixture.workers[0], slots=1000)
            connections = fixture.gateway._caller_server._connections
            callers = []
            for _ in range(400):
                caller = await asyncio.open_connection("127.0.0.1", fixture.port)
                callers.append(caller)
                caller[1].write((request_bytes(1, 3000) + b"x" * 3000) * 100)
            await asyncio.sleep(2.5)  # Longer than two sweeps.
            self.assertGreater(len(connections.open), 20)
            self.assertLess(unread_bytes(connections), LIMIT_BYTES)
            fixture.workers[0].behaviour = "whole"
            async with asyncio.timeout(10.0):
                while (await fixture.call("/safe/a"))[0] != 200:
                    await asyncio.sleep(0.1)


def unread_bytes(connections):
    """Return the bytes that the kernel has received and the process has not read."""
    return sum(
        int.from_bytes(
            fcntl.ioctl(
                connection.transport.get_extra_info("socket").fileno(),
                termios.FIONREAD,
                bytes(4),
            ),
            sys.byteorder,
        )
        for connection in connections.open
        if connection.transport is not None
    )


class UnfinishedRequestsTests(LoopCase):
    """Unfinished requests on all connections kept every other caller out."""

    async def open_connections(self, fixture, requests):
        """Open a connection for each of ``requests``, and send it."""
        opened = []
        for request in requests:
            reader, writer = await asyncio.open_connection("127.0.0.1", fixture.port)
            self.addCleanup(writer.close)
            writer.write(request)
            opened.append((reader, writer))
            await asyncio.sleep(0.05)
        return opened

    async def assert_closed(self, reader):
        async with asyncio.timeout(2.0):
            self.assertEqual(await read_until_end(reader), b"")

    async def test_an_ordinary_caller_is_served_instead_of_the_oldest_of_them(self):
        for unfinished in (b"GET /safe/a HTTP/1.1\r\n", request_bytes(1, 10) + b"x"):
            with self.subTest(unfinished):
                fixture = GatewayFixture(behaviours=["whole"])
                async with fixture.open():
                    connections = fixture.gateway._caller_server._connections
                    connections._count_limit = 4
                    opened = await self.open_connections(fixture, [unfinished] * 4)
                    for _ in range(2):
                        status, _, _ = await fixture.call("/safe/a", request_id="own")
                        self.assertEqual(status, 200)
                    await self.assert_closed(opened[0][0])
                    self.assertFalse(opened[3][0].at_eof())

    async def test_a_new_connection_is_kept_beside_them(self):
        fixture = GatewayFixture(behaviours=["whole"])
        async with fixture.open():
            fixture.gateway._caller_server._connections._count_limit = 4
            unfinished = b"GET /safe/a HTTP/1.1\r\n"
            requests = [unfinished, unfinished, unfinished, b"", unfinished]
            opened = await self.open_connections(fixture, requests)
            await self.assert_closed(opened[0][0])
            reader, writer = opened[3]
            writer.write(request_bytes(1))
            async with asyncio.timeout(2.0):
                self.assertIn(b" 200 ", await reader.readline())

    async def test_a_request_that_is_served_is_kept_beside_them(self):
        fixture = GatewayFixture(behaviours=["slow"])
        async with fixture.open():
            fixture.gateway._caller_server._connections._count_limit = 2
            unfinished = request_bytes(2, 10) + b"x"
            requests = [request_bytes(1, 1) + b"x", *[unfinished] * 4]
            opened = await self.open_connections(fixture, requests)
            await self.assert_closed(opened[1][0])
            async with asyncio.timeout(5.0):
                self.assertIn(b" 200 ", await opened[0][0].readline())


class ConnectionsLimitTests(LoopCase):
    """Only descriptors limited idle connections: many filled the memory."""

    async def test_idle_connections_beyond_the_setting_are_closed(self):
        fixture = GatewayFixture(
            behaviours=["whole"], callers_connections_limit_count=8
        )
        async with fixture.open():
            for number in range(20):
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", fixture.port
                )
                self.addCleanup(writer.close)
                writer.write(request_bytes(number))
                async with asyncio.timeout(2.0):
                    self.assertIn(b" 200 ", await reader.readline())
            self.assertEqual(len(fixture.gateway._caller_server._connections.open), 8)


class SentAheadTests(LoopCase):
    """Requests sent ahead were all read, with their bodies, before the first answer."""

    async def test_requests_sent_ahead_are_answered_in_their_order(self):
        fixture = GatewayFixture(behaviours=["whole"])
        async with fixture.open():
            for body_bytes in (0, 30_000):
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", fixture.port
                )
                ids = [f"r-{body_bytes}-{n}" for n in range(SENT_AHEAD_COUNT)]
                for request_id in ids:
                    head = request_bytes("", body_bytes)
                    writer.write(head.replace(b"r-\r\n", request_id.encode() + b"\r\n"))
                    writer.write(b"x" * body_bytes)
                answered = []
                async with asyncio.timeout(20.0):
                    for _ in ids:
                        head = await reader.readuntil(b"\r\n\r\n")
                        await reader.readexactly(len(fixture.workers[0].body))
                        answered.append(
                            head.lower().split(b"attempt-id: ")[1].split(b"\r\n")[0]
                        )
                self.assertEqual([name.decode() for name in answered], ids)
                writer.close()


class ScrapesSentAheadTests(LoopCase):
    """Scrapes sent ahead on some connections kept a gateway busy for a minute."""

    async def test_a_connection_gets_one_page_of_metrics(self):
        metrics_port = free_port()
        fixture = GatewayFixture(behaviours=["whole"], metrics_port=metrics_port)
        async with fixture.open():
            for port in (metrics_port, fixture.readiness_port):
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(b"GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n" * 50)
                async with asyncio.timeout(5.0):
                    answers = await read_until_end(reader)
                self.assertEqual(answers.count(b"HTTP/1.1 200 OK"), 1)
                self.assertIn(b"waxwinghold_copy_age_ms", answers)
                writer.close()
