"""Tests that entries on real links agree on one sheet.

The platform may be stale, or may publish different sheets under one version.
"""

import asyncio
import time

from waxwinghold._sheet import write_sheet
from waxwinghold_standins.platform import Platform

from .entry_builder import EntryEndpoint, start_entry, stop_entry
from .sheet_builder import make_customer, make_sheet
from .standin_client import StandInTestCase

IN_FORCE_LIMIT_S = 7
READS_LIMIT_PER_S = 2


def published(version, customer="lautoka-sports"):
    """Return a sheet without targets, since each target would need a link."""
    customers = (make_customer(customer, services=()),)
    return make_sheet(version, services=(), groups=(), targets=(), customers=customers)


class FleetTestCase(StandInTestCase):
    """Two data centres with two entries each."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        names = ("nadi-1", "nadi-2", "lautoka-1", "lautoka-2")
        self.endpoints = {
            name: EntryEndpoint(name=name, data_centre=name.partition("-")[0])
            for name in names
        }
        self.history = {name: [] for name in names}

    async def platform(self, sheet):
        platform = Platform(sheet=write_sheet(sheet))
        await platform.start()
        self.addAsyncCleanup(platform.stop)
        return platform

    def peer_endpoints(self, name):
        """Return the endpoints of the other entries as seen from entry ``name``."""
        return [
            endpoint
            for peer_name, endpoint in self.endpoints.items()
            if peer_name != name
        ]

    def start(self, name, platform):
        """Start an entry and record every version that comes into force in it."""
        entry, task = start_entry(
            self,
            self.endpoints[name],
            platform.url,
            peer_endpoints=self.peer_endpoints(name),
            readers_count=1,
        )
        self.history[name].clear()
        entry.store.listen(lambda old, new: self.history[name].append(new.version))
        return entry, task

    async def wait_for_version(self, entries, version):
        """Wait until all entries have ``version``; return the seconds it took."""
        start_s = time.monotonic()
        async with asyncio.timeout(IN_FORCE_LIMIT_S):
            while any(entry.store.version != version for entry in entries):
                await asyncio.sleep(0.01)
        return time.monotonic() - start_s


class FleetTests(FleetTestCase):
    async def test_a_change_reaches_all_entries_with_few_reads(self):
        platform = await self.platform(published(1))
        entries = [self.start(name, platform)[0] for name in self.endpoints]
        await self.wait_for_version(entries, 1)
        reads_count = platform.reads.total_count
        start_s = time.monotonic()
        for version in range(2, 6):
            platform.publish(write_sheet(published(version)))
            await self.wait_for_version(entries, version)
        elapsed_s = time.monotonic() - start_s
        reads_count = platform.reads.total_count - reads_count
        # After the last answers, one read of each data centre waits at the platform.
        await self.until(lambda: platform.waiting_count == 2)
        allowed_count = 4 * 2 + len(entries) + READS_LIMIT_PER_S * elapsed_s
        self.assertLessEqual(reads_count, allowed_count)

    async def test_a_restarted_entry_does_not_accept_an_older_sheet(self):
        platform = await self.platform(published(1))
        started = {name: self.start(name, platform) for name in self.endpoints}
        platform.publish(write_sheet(published(3)))
        await self.wait_for_version([entry for entry, _ in started.values()], 3)
        platform.set_faults(stale_version=1)
        await stop_entry(started["nadi-1"][1])
        entry, _ = self.start("nadi-1", platform)
        await self.wait_for_version([entry], 3)
        await asyncio.sleep(1)
        self.assertEqual(self.history["nadi-1"], [3])

    async def test_an_entry_without_peers_reads_the_platform_after_a_time_limit(self):
        platform = await self.platform(published(1))
        entry, _ = self.start("nadi-1", platform)
        self.assertGreater(await self.wait_for_version([entry], 1), 1)

    async def test_different_sheets_of_one_version_are_replaced_by_the_next(self):
        platform = await self.platform(published(1))
        entries = {name: self.start(name, platform)[0] for name in self.endpoints}
        await self.wait_for_version(entries.values(), 1)
        for name, entry in entries.items():
            # As if each data centre had read a different sheet at the same time.
            data_centre = self.endpoints[name].data_centre
            entry.store.offer(published(2, data_centre), "platform")
        stores = [entry.store for entry in entries.values()]
        await self.until(lambda: all(store.last_error for store in stores))
        self.assertEqual(
            {store.last_error.code for store in stores}, {"sheet_conflict"}
        )
        self.assertEqual(len({store.digest for store in stores}), 2)
        platform.publish(write_sheet(published(3)))
        await self.wait_for_version(entries.values(), 3)
        for name, versions in self.history.items():
            self.assertEqual(versions, [1, 2, 3], name)
