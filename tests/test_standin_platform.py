"""Tests of the stand-in platform: watches, the read limit, stale sheets and outages."""

import asyncio
import json

from tests.standin_client import StandInTestCase, running
from waxwinghold_standins.platform import Platform


def sheet(version, **fields):
    """Return a sheet of this version as bytes of JSON."""
    return json.dumps({"version": version, "issued_by": "test", **fields}).encode()


class PlatformTests(StandInTestCase):
    async def platform(self, **options):
        platform = Platform(**{"sheet": sheet(1)} | options)
        await platform.start()
        self.addAsyncCleanup(platform.stop)
        return platform

    async def read(self, platform, **query):
        url = f"{platform.url}/sheet"
        async with self.session.get(url, params=query) as response:
            body = await response.read()
            return response.status, json.loads(body)["version"] if body else None

    async def test_a_watch_ends_with_the_next_sheet(self):
        platform = await self.platform()
        self.assertEqual(await self.read(platform), (200, 1))
        async with running(self.read(platform, after=1, wait_ms=5000)) as watch:
            await self.until(lambda: platform.waiting_count)
            url = f"{platform.url}/_control/publish"
            await self.post(url, {"version": 2})
            self.assertEqual(await watch, (200, 2))

    async def test_a_watch_without_a_change_ends_with_no_content(self):
        platform = await self.platform()
        status = await self.read(platform, after=1, wait_ms=30)
        self.assertEqual(status, (204, None))

    async def test_a_waiting_watch_counts_as_one_read(self):
        platform = await self.platform(reads_limit_per_s=3)
        async with running(self.read(platform, after=1, wait_ms=5000)) as watch:
            await self.until(lambda: platform.waiting_count)
            await asyncio.sleep(0.1)
            self.assertEqual(platform.reads.total_count, 1)
            self.assertEqual(await self.read(platform), (200, 1))
            platform.publish(sheet(2))
            self.assertEqual(await watch, (200, 2))
            self.assertEqual((await self.get(f"{platform.url}/hosts"))[0], 200)
            async with self.session.get(f"{platform.url}/sheet") as response:
                self.assertEqual(response.status, 429)
        _, reads = await self.get(f"{platform.url}/_control/reads")
        self.assertEqual((reads["peak_count"], reads["refused_count"]), (4, 1))

    async def test_the_read_limit_applies_to_any_second(self):
        platform = await self.platform()
        accepted = [
            platform.reads.count_read(now_ms) for now_ms in [0] * 1000 + [900] * 1001
        ]
        self.assertEqual(accepted.count(False), 1)
        self.assertTrue(platform.reads.count_read(1000))

    async def test_an_outage_rejects_reads_and_ends_watches(self):
        platform = await self.platform()
        url = f"{platform.url}/sheet?after=1&wait_ms=5000"
        async with running(self.get(url)) as watch:
            await self.until(lambda: platform.waiting_count)
            await self.fault(platform.url, outage=True)
            self.assertEqual((await watch)[0], 503)
        self.assertEqual((await self.get(f"{platform.url}/hosts"))[0], 503)
        await self.fault(platform.url, outage=False)
        self.assertEqual(await self.read(platform), (200, 1))

    async def test_a_stale_platform_answers_with_an_old_version(self):
        platform = await self.platform()
        platform.publish(sheet(2))
        await self.fault(platform.url, stale_version=1)
        self.assertEqual(await self.read(platform, after=2), (200, 1))
        await self.fault(platform.url, stale_version=None)
        self.assertEqual(await self.read(platform), (200, 2))

    async def test_sheets_and_hosts_are_delayed(self):
        platform = await self.platform(hosts=[{"name": "a"}])
        await asyncio.sleep(0.12)
        await self.fault(platform.url, lag_ms=100)
        platform.publish(sheet(2))
        platform.publish_hosts([{"name": "b"}])
        self.assertEqual(await self.read(platform), (200, 1))
        _, hosts = await self.get(f"{platform.url}/hosts")
        self.assertEqual(hosts, {"hosts": [{"name": "a"}]})
        watch = await self.read(platform, after=1, wait_ms=2000)
        self.assertEqual(watch, (200, 2))
        _, hosts = await self.get(f"{platform.url}/hosts")
        self.assertEqual(hosts, {"hosts": [{"name": "b"}]})

    async def test_a_version_may_be_published_twice_and_a_sheet_may_be_invalid(self):
        platform = await self.platform()
        platform.publish(sheet(1, issued_by="other"))
        _, answer = await self.get(f"{platform.url}/sheet")
        self.assertEqual(answer["issued_by"], "other")
        url = f"{platform.url}/_control/publish?version=2"
        async with self.session.post(url, data=b"{broken") as response:
            self.assertEqual(response.status, 200)
        async with self.session.get(f"{platform.url}/sheet?after=1") as response:
            self.assertEqual(await response.read(), b"{broken")
