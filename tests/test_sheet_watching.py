"""Tests reads from a platform that fails, is stale or stops answering."""

import asyncio
import unittest

from waxwinghold._clock import Clock
from waxwinghold._sheet import HostState, HostsWatch, PlatformWatch, write_sheet
from waxwinghold._sheet.platform import BACKOFF_MAX_MS, READ_LIMIT_BYTES, Backoff
from waxwinghold_standins.platform import Platform

from .sheet_builder import make_sheet, make_store
from .standin_client import StandInTestCase


class WatchTests(StandInTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        host = {"name": "entry-1", "role": "entry", "data_centre": "nadi"}
        host |= {"address": "tcp://127.0.0.1:1", "public_key": "k", "state": "leaving"}
        self.platform = Platform(sheet=write_sheet(make_sheet(1)), hosts=[host])
        await self.platform.start()
        self.addAsyncCleanup(self.platform.stop)
        self.store, self.audit = make_store(Clock())

    def publish(self, sheet):
        self.platform.publish(write_sheet(sheet))

    def run_watch(self, watch):
        task = asyncio.create_task(watch.run())
        self.addAsyncCleanup(asyncio.gather, task, return_exceptions=True)
        self.addCleanup(task.cancel)
        return watch

    def start(self, wait_ms=200, **options):
        return self.run_watch(
            PlatformWatch(
                clock=Clock(),
                store=self.store,
                url=self.platform.url,
                wait_ms=wait_ms,
                session=self.session,
                **options,
            )
        )

    async def test_a_change_is_read_immediately_with_one_read_at_a_time(self):
        self.start(wait_ms=5000)
        await self.until(lambda: self.store.version == 1)
        for version in (2, 3):
            await self.until(lambda: self.platform.waiting_count)
            self.publish(make_sheet(version))
            await self.until(lambda: self.store.version == version)
            self.assertLessEqual(self.platform.waiting_count, 1)
        self.assertLessEqual(self.platform.reads.total_count, 4)

    async def test_a_stale_sheet_is_rejected_and_read_at_a_limited_rate(self):
        self.store.offer(make_sheet(9), "peer")
        self.start(wait_ms=300)
        await asyncio.sleep(1)
        self.assertEqual(self.store.version, 9)
        self.assertLessEqual(self.platform.reads.total_count, 8)

    async def test_an_invalid_sheet_is_audited_and_a_corrected_one_accepted(self):
        self.publish(make_sheet(2, targets=()))
        self.start()
        await self.until(lambda: len(self.audit) == 1)
        self.publish(make_sheet(2))
        await self.until(lambda: self.store.version == 2)
        self.assertLessEqual(self.platform.reads.total_count, 8)

    async def test_reads_are_retried_until_an_outage_ends(self):
        self.platform.set_faults(outage=True)
        watch = self.start()
        await self.until(lambda: watch.failures_count >= 3)
        self.platform.set_faults(outage=False)
        await self.until(lambda: self.store.version == 1)

    async def test_a_read_on_a_silent_connection_times_out(self):
        watch = self.start(wait_ms=1000)
        await self.until(lambda: self.platform.waiting_count)
        self.platform.silence()
        self.publish(make_sheet(2))
        await self.until(lambda: self.store.version == 2)
        self.assertEqual(watch.failures_count, 1)

    async def test_an_unreadable_or_too_large_document_is_rejected(self):
        watch = self.start()
        await self.until(lambda: self.store.version == 1)
        for number, document in enumerate(
            (b'{"version": "x"}', b" " * (READ_LIMIT_BYTES + 1)), start=1
        ):
            self.platform.publish(document, version=number + 1)
            await self.until(lambda: watch.failures_count >= number)
        self.publish(make_sheet(9))
        await self.until(lambda: self.store.version == 9)
        self.assertIn("unreadable sheet", self.audit.since(0)[1].subject)

    async def test_a_process_that_is_not_a_reader_does_not_read(self):
        self.start(may_read=lambda: False)
        await asyncio.sleep(0.3)
        self.assertEqual(self.platform.reads.total_count, 0)

    async def test_a_new_reader_reads_only_newer_versions(self):
        self.store.offer(make_sheet(1), "peer")
        self.start(wait_ms=5000)
        await self.until(lambda: self.platform.waiting_count)
        self.assertEqual(self.platform.reads.total_count, 1)

    async def test_listeners_get_the_host_list_after_a_change(self):
        host_lists = []
        watch = HostsWatch(
            clock=Clock(), url=self.platform.url, session=self.session, interval_ms=20
        )
        watch.listen(host_lists.append)
        self.run_watch(watch)
        await self.until(lambda: host_lists)
        await asyncio.sleep(0.1)
        self.assertEqual(len(host_lists), 1)
        self.assertIs(host_lists[0].hosts[0].state, HostState.LEAVING)
        self.assertEqual(host_lists[0].live_names(role="entry", data_centre="nadi"), ())


class BackoffTests(unittest.TestCase):
    def test_delays_double_up_to_a_limit_and_can_be_reset(self):
        backoff = Backoff(random_ratio=lambda: 1)
        delays = [backoff.next_ms() for _ in range(8)]
        self.assertEqual(delays[:3], [100, 200, 400])
        self.assertEqual(delays[-1], BACKOFF_MAX_MS)
        backoff.reset()
        self.assertEqual(backoff.next_ms(), 100)
