"""Tests that the tool queries and drains a running process over a link."""

import asyncio
import unittest

from waxwinghold._settings import KnownKey
from waxwinghold._tool.fleet import (
    UnknownProcessError,
    audit_report,
    drain_report,
    status_report,
)
from waxwinghold._tool.process_client import UnreachableError
from waxwinghold._tool.settings import KnownProcess, OperatorSettings

from .entry_builder import EntryEndpoint, free_port, make_keys, start_entry
from .sheet_builder import make_sheet

TEST_LIMIT_S = 10


class FleetTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.operator_keys = make_keys()
        operator = KnownKey(
            name="mere", role="operator", public_key=self.operator_keys[0]
        )
        endpoint = EntryEndpoint(name="entry-1", data_centre="nadi")
        self.unused_port = free_port()
        self.known_process = KnownProcess(
            name=endpoint.name, address=endpoint.address, public_key=endpoint.keys[0]
        )
        self.process, self.task = start_entry(
            self,
            endpoint,
            f"http://127.0.0.1:{self.unused_port}",
            known_keys=(operator,),
        )

    def operator(self, *processes, keys=None, limit_ms=3000):
        public_key, secret_key = keys or self.operator_keys
        return OperatorSettings(
            name="mere",
            link_public_key=public_key,
            link_secret_key=secret_key,
            processes=processes or (self.known_process,),
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

    async def test_status_shows_targets_that_leave_or_pause(self):
        self.process.store.offer(make_sheet(4), "platform")
        report = await status_report(self.operator())
        self.assertNotIn("time left", report.text)
        names = sorted(self.process.target_pool.targets)
        leaving, paused = (self.process.target_pool.targets[name] for name in names[:2])
        now_ms = self.process.clock.now_ms()
        self.process.target_signals.record_leaving(leaving.incarnation, now_ms=now_ms)
        paused.record_pause(25_000.0)
        report = await status_report(self.operator())
        lines = [line.split() for line in report.text.splitlines()]
        self.assertIn([leaving.name, "entry-1", "leaving"], lines)
        line = next(line for line in lines if line[:1] == [paused.name])
        self.assertEqual(line[1:3], ["entry-1", "pause"])
        self.assertLess(20.0, float(line[3]))
        self.assertLessEqual(float(line[3]), 25.0)
        metrics = self.process.metrics.render().decode()
        for name in ("targets_leaving", "targets_paused"):
            self.assertIn(f'waxwinghold_{name}{{process="entry-1"}} 1.0', metrics)

    async def test_a_long_audit_trail_is_cut_to_its_newest_entries(self):
        for number in range(10_000):
            self.process.audit.record(
                what="test.entry", subject=str(number), reason="r" * 500
            )
        report = await audit_report(self.operator(), since_ms=0)
        self.assertEqual(report.status, 0)
        self.assertEqual(report.data["entries"][-1].subject, "9999")
        self.assertGreater(len(report.data["entries"]), 1000)

    async def test_a_drained_process_ends_and_audits_the_operator(self):
        report = await drain_report(
            self.operator(), process="entry-1", reason="host is replaced"
        )
        self.assertTrue(report.data["accepted"])
        async with asyncio.timeout(TEST_LIMIT_S):
            await self.task
        entry = self.process.audit.since(0)[-1]
        self.assertEqual((entry.by, entry.reason), ("mere", "host is replaced"))

    async def test_an_unreachable_process_is_reported_with_the_others(self):
        unreachable = KnownProcess(
            name="entry-2",
            address=f"tcp://127.0.0.1:{self.unused_port}",
            public_key=self.known_process.public_key,
        )
        report = await status_report(
            self.operator(self.known_process, unreachable, limit_ms=1000)
        )
        self.assertEqual(report.status, 6)
        # Tells a process that has ended from one that refused the link.
        state = (self.task, self.process.status())
        self.assertEqual(report.data["unreachable"], ["entry-2"], msg=state)
        self.assertEqual(len(report.data["processes"]), 1)

    async def test_an_unknown_key_gets_no_reply(self):
        settings = self.operator(keys=make_keys(), limit_ms=800)
        with self.assertRaises(UnreachableError):
            await drain_report(settings, process="entry-1", reason="mischief")
        self.assertFalse(self.process.leaving)

    async def test_a_process_that_is_not_in_the_settings_is_an_error(self):
        with self.assertRaises(UnknownProcessError):
            await drain_report(self.operator(), process="entry-9", reason="typing")
