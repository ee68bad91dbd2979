"""The tool asks and drains a running process over a link."""

import asyncio
import contextlib
import socket
import unittest

import zmq

from waxwinghold._clock import Clock
from waxwinghold._entry.process import EntryProcess
from waxwinghold._settings import EntrySettings, KnownKey
from waxwinghold._tool.asking import UnreachableError
from waxwinghold._tool.fleet import (
    UnknownProcessError,
    audit_report,
    drain_report,
    status_report,
)
from waxwinghold._tool.settings import KnownProcess, OperatorSettings

from .sheet_builder import make_sheet

TEST_LIMIT_S = 10


def free_ports(count):
    """Return ports that nothing listens on."""
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for item in sockets:
            item.bind(("127.0.0.1", 0))
        return [item.getsockname()[1] for item in sockets]


class FleetTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        link_port, http_port, self.dead_port = free_ports(3)
        public, secret = (key.decode() for key in zmq.curve_keypair())
        self.operator_keys = tuple(key.decode() for key in zmq.curve_keypair())
        operator = KnownKey(
            name="mere", role="operator", public_key=self.operator_keys[0]
        )
        settings = EntrySettings(
            name="entry-1",
            data_centre="nadi",
            link_address=f"tcp://127.0.0.1:{link_port}",
            link_public_key=public,
            link_secret_key=secret,
            platform_url=f"http://127.0.0.1:{self.dead_port}",
            token_secrets=("x" * 32,),
            known_keys=(operator,),
            http_address=f"127.0.0.1:{http_port}",
        )
        self.known = KnownProcess(
            name="entry-1", address=settings.link_address, public_key=public
        )
        self.process = EntryProcess(clock=Clock(), settings=settings)
        self.task = asyncio.create_task(self.process.run())
        self.addAsyncCleanup(self.stop)

    async def stop(self):
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)

    def operator(self, *processes, keys=None, limit_ms=3000):
        public, secret = keys or self.operator_keys
        return OperatorSettings(
            name="mere",
            link_public_key=public,
            link_secret_key=secret,
            processes=processes or (self.known,),
            answer_limit_ms=limit_ms,
        )

    async def test_status_and_audit_come_from_the_process(self):
        self.process.store.offer(make_sheet(4, targets=()), "platform")
        report = await status_report(self.operator())
        self.assertEqual(report.status, 0)
        self.assertEqual(report.data["processes"][0]["name"], "entry-1")
        report = await audit_report(self.operator(), since_ms=0)
        entry = report.data["entries"][0]
        self.assertEqual((entry.what, entry.process), ("sheet.refused", "entry-1"))
        self.assertIn("sheet.refused", report.text)

    async def test_a_drained_process_ends_and_its_trail_names_the_operator(self):
        report = await drain_report(
            self.operator(), process="entry-1", reason="host is replaced"
        )
        self.assertTrue(report.data["accepted"])
        async with asyncio.timeout(TEST_LIMIT_S):
            await self.task
        entry = self.process.audit.since(0)[-1]
        self.assertEqual((entry.by, entry.reason), ("mere", "host is replaced"))

    async def test_a_process_that_is_not_there_is_reported_beside_the_others(self):
        dead = KnownProcess(
            name="entry-2",
            address=f"tcp://127.0.0.1:{self.dead_port}",
            public_key=self.known.public_key,
        )
        report = await status_report(self.operator(self.known, dead, limit_ms=1000))
        self.assertEqual(report.status, 6)
        self.assertEqual(report.data["unreachable"], ["entry-2"])
        self.assertEqual(len(report.data["processes"]), 1)

    async def test_an_unknown_key_gets_nothing(self):
        keys = tuple(key.decode() for key in zmq.curve_keypair())
        settings = self.operator(keys=keys, limit_ms=800)
        with self.assertRaises(UnreachableError):
            await drain_report(settings, process="entry-1", reason="mischief")
        self.assertFalse(self.process.leaving)

    async def test_a_process_outside_the_settings_is_refused(self):
        with self.assertRaises(UnknownProcessError):
            await drain_report(self.operator(), process="entry-9", reason="typing")
