"""Entries on real links keep one sheet, through stale and differing platforms."""

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
    """Return a sheet without targets, which would each need a link."""
    customers = (make_customer(customer, services=()),)
    return make_sheet(version, services=(), groups=(), targets=(), customers=customers)


class FleetTestCase(StandInTestCase):
    """Two data centres with two entries each."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        names = ("nadi-1", "nadi-2", "lautoka-1", "lautoka-2")
        self.places = {
            name: EntryEndpoint(name=name, data_centre=name.partition("-")[0])
            for name in names
        }
        self.history = {name: [] for name in names}

    async def platform(self, sheet):
        platform = Platform(sheet=write_sheet(sheet))
        await platform.start()
        self.addAsyncCleanup(platform.stop)
        return platform

    def others(self, name):
        """Return where the other entries are reached from entry ``name``."""
        return [place for other, place in self.places.items() if other != name]

    def start(self, name, platform):
        """Start an entry that notes every version that comes into force in it."""
        entry, task = start_entry(
            self,
            self.places[name],
            platform.url,
            peer_endpoints=self.others(name),
            readers_count=1,
        )
        self.history[name].clear()
        entry.store.listen(lambda old, new: self.history[name].append(new.version))
        return entry, task

    async def all_hold(self, entries, version):
        """Wait until ``version`` is in force everywhere; return the seconds."""
        start_s = time.monotonic()
        async with asyncio.timeout(IN_FORCE_LIMIT_S):
            while any(entry.store.version != version for entry in entries):
                await asyncio.sleep(0.01)
        return time.monotonic() - start_s


class FleetTests(FleetTestCase):
    async def test_a_change_is_in_force_everywhere_with_few_reads(self):
        platform = await self.platform(published(1))
        entries = [self.start(name, platform)[0] for name in self.places]
        await self.all_hold(entries, 1)
        reads_count = platform.reads.total_count
        start_s = time.monotonic()
        for version in range(2, 6):
            platform.publish(write_sheet(published(version)))
            await self.all_hold(entries, version)
        elapsed_s = time.monotonic() - start_s
        reads_count = platform.reads.total_count - reads_count
        # One read waits for each data centre, as soon as the last answers are in.
        await self.until(lambda: platform.waiting_count == 2)
        allowed_count = 4 * 2 + len(entries) + READS_LIMIT_PER_S * elapsed_s
        self.assertLessEqual(reads_count, allowed_count)

    async def test_a_fresh_process_is_not_taken_back_by_a_stale_platform(self):
        platform = await self.platform(published(1))
        started = {name: self.start(name, platform) for name in self.places}
        platform.publish(write_sheet(published(3)))
        await self.all_hold([entry for entry, _ in started.values()], 3)
        platform.set_faults(stale_version=1)
        await stop_entry(started["nadi-1"][1])
        entry, _ = self.start("nadi-1", platform)
        await self.all_hold([entry], 3)
        await asyncio.sleep(1)
        self.assertEqual(self.history["nadi-1"], [3])

    async def test_alone_with_the_platform_it_serves_after_a_bounded_time(self):
        platform = await self.platform(published(1))
        entry, _ = self.start("nadi-1", platform)
        self.assertGreater(await self.all_hold([entry], 1), 1)

    async def test_differing_sheets_under_one_version_heal_with_the_next(self):
        platform = await self.platform(published(1))
        entries = {name: self.start(name, platform)[0] for name in self.places}
        await self.all_hold(entries.values(), 1)
        for name, entry in entries.items():
            # As if each data centre had read its own truth at the same moment.
            data_centre = self.places[name].data_centre
            entry.store.offer(published(2, data_centre), "platform")
        stores = [entry.store for entry in entries.values()]
        await self.until(lambda: all(store.last_error for store in stores))
        self.assertEqual(
            {store.last_error.code for store in stores}, {"sheet_conflict"}
        )
        self.assertEqual(len({store.digest for store in stores}), 2)
        platform.publish(write_sheet(published(3)))
        await self.all_hold(entries.values(), 3)
        for name, versions in self.history.items():
            self.assertEqual(versions, [1, 2, 3], name)
