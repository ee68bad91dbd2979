"""The platform is read through outages, staleness and silence."""

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

    async def test_a_change_is_read_at_once_by_one_read_at_a_time(self):
        self.start(wait_ms=5000)
        await self.until(lambda: self.store.version == 1)
        for version in (2, 3):
            await self.until(lambda: self.platform.waiting_count)
            self.publish(make_sheet(version))
            await self.until(lambda: self.store.version == version)
            self.assertLessEqual(self.platform.waiting_count, 1)
        self.assertLessEqual(self.platform.reads.total_count, 4)

    async def test_a_stale_platform_is_neither_believed_nor_hammered(self):
        self.store.offer(make_sheet(9), "peer")
        self.start(wait_ms=300)
        await asyncio.sleep(1)
        self.assertEqual(self.store.version, 9)
        self.assertLessEqual(self.platform.reads.total_count, 8)

    async def test_an_invalid_sheet_is_audited_and_a_mended_one_taken(self):
        self.publish(make_sheet(2, targets=()))
        self.start()
        await self.until(lambda: len(self.audit) == 1)
        self.publish(make_sheet(2))
        await self.until(lambda: self.store.version == 2)
        self.assertLessEqual(self.platform.reads.total_count, 8)

    async def test_an_outage_is_waited_out(self):
        self.platform.set_faults(outage=True)
        watch = self.start()
        await self.until(lambda: watch.failures_count >= 3)
        self.platform.set_faults(outage=False)
        await self.until(lambda: self.store.version == 1)

    async def test_a_connection_that_goes_silent_is_given_up(self):
        watch = self.start(wait_ms=1000)
        await self.until(lambda: self.platform.waiting_count)
        self.platform.silence()
        self.publish(make_sheet(2))
        await self.until(lambda: self.store.version == 2)
        self.assertEqual(watch.failures_count, 1)

    async def test_what_is_no_sheet_or_too_large_is_refused(self):
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

    async def test_a_process_that_may_not_read_does_not(self):
        self.start(may_read=lambda: False)
        await asyncio.sleep(0.3)
        self.assertEqual(self.platform.reads.total_count, 0)

    async def test_a_process_that_becomes_a_reader_reads_only_what_is_new(self):
        self.store.offer(make_sheet(1), "peer")
        self.start(wait_ms=5000)
        await self.until(lambda: self.platform.waiting_count)
        self.assertEqual(self.platform.reads.total_count, 1)

    async def test_the_host_list_is_read_and_reported_at_a_change(self):
        heard = []
        watch = HostsWatch(
            clock=Clock(), url=self.platform.url, session=self.session, interval_ms=20
        )
        watch.listen(heard.append)
        self.run_watch(watch)
        await self.until(lambda: heard)
        await asyncio.sleep(0.1)
        self.assertEqual(len(heard), 1)
        self.assertIs(heard[0].hosts[0].state, HostState.LEAVING)
        self.assertEqual(heard[0].live_names(role="entry", data_centre="nadi"), ())


class BackoffTests(unittest.TestCase):
    def test_waits_double_up_to_a_bound_and_start_again(self):
        backoff = Backoff(random_ratio=lambda: 1)
        waits = [backoff.next_ms() for _ in range(8)]
        self.assertEqual(waits[:3], [100, 200, 400])
        self.assertEqual(waits[-1], BACKOFF_MAX_MS)
        backoff.reset()
        self.assertEqual(backoff.next_ms(), 100)
