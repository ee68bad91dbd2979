"""Tests of connections to targets that give correct or faulty answers."""

import unittest

from waxwinghold._clock import Clock
from waxwinghold._gateway.connection import open_connection
from waxwinghold._gateway.connection_pool import ConnectionPool
from waxwinghold._gateway.errors import (
    ConnectError,
    ConnectionLostError,
    MalformedAnswerError,
)
from waxwinghold_standins.fleet_worker import FleetWorker

from .support.gateway import free_port

REQUEST = b"GET /x HTTP/1.1\r\nHost: h\r\nAttempt-Id: r-1\r\n\r\n"


class ExchangeTests(unittest.IsolatedAsyncioTestCase):
    async def connect_to_worker(self, behaviour):
        worker = FleetWorker(name="w0", behaviour=behaviour)
        await worker.start()
        self.addAsyncCleanup(worker.stop)
        connection = await open_connection(worker.address, limit_ms=1000)
        self.addCleanup(connection.abort)
        return worker, connection

    async def exchange(self, connection):
        connection.send(REQUEST)
        head = await connection.head()
        return head.status, await connection.whole_body()

    async def test_a_connection_is_reused_for_further_requests(self):
        worker, connection = await self.connect_to_worker("whole")
        for _ in range(3):
            self.assertEqual(await self.exchange(connection), (200, worker.body))
            self.assertTrue(connection.reusable)
        self.assertEqual(worker.connections_count, 1)

    async def test_the_end_of_the_connection_ends_an_answer_without_length(self):
        worker, connection = await self.connect_to_worker("unframed")
        self.assertEqual(await self.exchange(connection), (200, worker.body))
        self.assertFalse(connection.reusable)

    async def test_a_reset_does_not_end_an_answer_without_length(self):
        _, connection = await self.connect_to_worker("unframed_reset")
        with self.assertRaises(ConnectionLostError):
            await self.exchange(connection)

    async def test_a_truncated_body_is_an_error(self):
        _, connection = await self.connect_to_worker("truncated")
        with self.assertRaises(ConnectionLostError):
            await self.exchange(connection)

    async def test_bytes_that_are_no_answer_are_an_error(self):
        _, connection = await self.connect_to_worker("garbage")
        with self.assertRaises(MalformedAnswerError):
            await self.exchange(connection)

    async def test_bytes_after_an_answer_prevent_reuse(self):
        worker, connection = await self.connect_to_worker("doubled")
        self.assertEqual(await self.exchange(connection), (200, worker.body))
        self.assertFalse(connection.reusable)

    async def test_a_port_without_a_listener_is_a_connect_error(self):
        with self.assertRaises(ConnectError):
            await open_connection(("127.0.0.1", free_port()), limit_ms=1000)


class PoolTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.worker = FleetWorker(name="w0")
        await self.worker.start()
        self.addAsyncCleanup(self.worker.stop)
        self.pool = ConnectionPool(clock=Clock(), address=self.worker.address)
        self.addCleanup(self.pool.close)

    async def use(self, *, fresh):
        connection = await self.pool.acquire(fresh=fresh, limit_ms=1000)
        connection.send(REQUEST)
        await connection.head()
        await connection.whole_body()
        self.pool.release(connection)

    async def test_connections_are_reused(self):
        for _ in range(3):
            await self.use(fresh=False)
        self.assertEqual(self.worker.connections_count, 1)

    async def test_requests_that_must_not_run_twice_get_new_connections(self):
        for _ in range(3):
            await self.use(fresh=True)
        self.assertEqual(self.worker.connections_count, 3)

    async def test_a_connection_with_extra_bytes_is_not_kept(self):
        self.worker.behaviour = "doubled"
        for _ in range(2):
            await self.use(fresh=False)
        self.assertEqual(self.worker.connections_count, 2)
