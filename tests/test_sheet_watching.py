"""The platform is read through outages, staleness and silence."""

import asyncio
import contextlib
import unittest

import aiohttp
from aiohttp import web

from waxwinghold._clock import Clock
from waxwinghold._sheet import HostState, HostsWatch, PlatformWatch, write_sheet
from waxwinghold._sheet.platform import BACKOFF_MAX_MS, READ_LIMIT_BYTES, Backoff

from .sheet_builder import make_sheet, make_store

TEST_LIMIT_S = 10


class Platform:
    """Answers reads of the sheet as a test says, and counts them."""

    def __init__(self):
        self.sheet = make_sheet(1)
        self.fail = None
        self.waiting_count = 0
        self.waiting_max_count = 0
        self.reads_count = 0
        self.sent_count = 0
        self.changed = asyncio.Event()

    def publish(self, sheet):
        """Show ``sheet`` from now on and wake the reads that wait."""
        self.sheet = sheet
        self.changed.set()
        self.changed = asyncio.Event()

    async def answer(self, request):
        """Serve ``GET /sheet``."""
        self.reads_count += 1
        self.waiting_count += 1
        self.waiting_max_count = max(self.waiting_max_count, self.waiting_count)
        try:
            if self.fail is not None:
                return await self.fail()
            return await self._wait(request)
        finally:
            self.waiting_count -= 1

    async def _wait(self, request):
        if int(request.query["after"]) == self.sheet.version:
            wait_s = int(request.query["wait_ms"]) / 1000
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), wait_s)
        if int(request.query["after"]) == self.sheet.version:
            return web.Response(status=204)
        self.sent_count += 1
        return web.Response(body=write_sheet(self.sheet))


class WatchTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.platform = Platform()
        self.ended = asyncio.Event()
        app = web.Application()
        app.router.add_get("/sheet", self.platform.answer)
        app.router.add_get("/hosts", self.answer_hosts)
        runner = web.AppRunner(app, shutdown_timeout=0, handler_cancellation=True)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        port = runner.addresses[0][1]
        self.url = f"http://127.0.0.1:{port}"
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)
        self.store, self.audit = make_store(Clock())

    async def answer_hosts(self, request):
        row = {"name": "entry-1", "role": "entry", "data_centre": "nadi"}
        row |= {"address": "tcp://127.0.0.1:1", "public_key": "k", "state": "leaving"}
        return web.json_response({"hosts": [row]})

    def start(self, wait_ms=200, **options):
        watch = PlatformWatch(
            clock=Clock(),
            store=self.store,
            url=self.url,
            wait_ms=wait_ms,
            session=self.session,
            **options,
        )
        task = asyncio.create_task(watch.run())
        self.addAsyncCleanup(self.stop, task)
        return watch

    async def stop(self, task):
        self.ended.set()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def until(self, condition):
        async with asyncio.timeout(TEST_LIMIT_S):
            while not condition():
                await asyncio.sleep(0.01)

    async def test_a_change_is_read_at_once_by_one_read_at_a_time(self):
        self.start(wait_ms=5000)
        await self.until(lambda: self.store.version == 1)
        for version in (2, 3):
            await self.until(lambda: self.platform.waiting_count)
            self.platform.publish(make_sheet(version))
            await self.until(lambda: self.store.version == version)
        self.assertEqual(self.platform.waiting_max_count, 1)
        self.assertLessEqual(self.platform.reads_count, 4)

    async def test_a_stale_platform_is_neither_believed_nor_hammered(self):
        self.store.offer(make_sheet(9), "peer")
        self.start(wait_ms=300)
        await asyncio.sleep(1)
        self.assertEqual(self.store.version, 9)
        self.assertLessEqual(self.platform.reads_count, 8)

    async def test_an_invalid_sheet_is_audited_and_a_mended_one_taken(self):
        self.platform.publish(make_sheet(2, targets=()))
        self.start()
        await self.until(lambda: len(self.audit) == 1)
        self.platform.publish(make_sheet(2))
        await self.until(lambda: self.store.version == 2)
        self.assertLessEqual(self.platform.reads_count, 8)

    async def check_recovery(self, fail):
        self.platform.fail = fail
        watch = self.start()
        await self.until(lambda: watch.failures_count >= 2)
        self.assertIsNone(self.store.current)
        self.platform.fail = None
        await self.until(lambda: self.store.version == 1)

    async def test_an_outage_is_waited_out(self):
        async def unavailable():
            return web.Response(status=503)

        await self.check_recovery(unavailable)

    async def test_a_connection_that_goes_silent_is_given_up(self):
        async def silent():
            await self.ended.wait()
            return web.Response(status=503)

        await self.check_recovery(silent)

    async def test_a_sheet_above_the_limit_is_not_read_to_its_end(self):
        async def endless():
            return web.Response(body=b" " * (READ_LIMIT_BYTES + 1))

        await self.check_recovery(endless)

    async def test_junk_is_refused(self):
        async def junk():
            return web.Response(body=b'{"version": "x"}')

        await self.check_recovery(junk)
        self.assertIn("unreadable sheet", self.audit.since(0)[0].subject)

    async def test_a_process_that_may_not_read_does_not(self):
        self.start(may_read=lambda: False)
        await asyncio.sleep(0.3)
        self.assertEqual(self.platform.reads_count, 0)

    async def test_a_process_that_becomes_a_reader_reads_only_what_is_new(self):
        self.store.offer(make_sheet(1), "peer")
        self.start(wait_ms=300)
        await self.until(lambda: self.platform.reads_count >= 2)
        self.assertEqual(self.platform.sent_count, 0)
        self.platform.publish(make_sheet(2))
        await self.until(lambda: self.store.version == 2)

    async def test_the_host_list_is_read_and_reported_at_a_change(self):
        heard = []
        watch = HostsWatch(
            clock=Clock(), url=self.url, session=self.session, interval_ms=20
        )
        watch.listen(heard.append)
        task = asyncio.create_task(watch.run())
        self.addAsyncCleanup(self.stop, task)
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
