"""Tests that data centres keep their sheet during a partition and catch up."""

from dataclasses import replace

from waxwinghold._sheet import write_sheet

from .entry_builder import stop_entry
from .relay import Relay
from .test_sheet_fleet import FleetTestCase, published


class PartitionTests(FleetTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.nadi_platform = await self.platform(published(1))
        self.lautoka_platform = await self.platform(published(1))
        self.relays = {}
        for name, endpoint in self.endpoints.items():
            self.relays[name] = Relay(target_port=endpoint.link_port)
            await self.relays[name].start()
            self.addAsyncCleanup(self.relays[name].stop)

    def peer_endpoints(self, name):
        """Return the other entries; links between data centres use relays."""
        own_data_centre = self.endpoints[name].data_centre
        return [
            (
                endpoint
                if endpoint.data_centre == own_data_centre
                else replace(endpoint, link_port=self.relays[endpoint.name].port)
            )
            for endpoint in self.endpoints.values()
            if endpoint.name != name
        ]

    def start_all(self):
        platforms = {"nadi": self.nadi_platform, "lautoka": self.lautoka_platform}
        return {
            name: self.start(name, platforms[endpoint.data_centre])
            for name, endpoint in self.endpoints.items()
        }

    async def check_partition(self, *, nadi, lautoka):
        """Cut links, publish in nadi, restart an entry in lautoka, heal the links.

        Args:
            nadi: Blocked directions of the links that end in nadi.
            lautoka: Blocked directions of the links that end in lautoka.
        """
        started = self.start_all()
        entries = {name: entry for name, (entry, _) in started.items()}
        await self.wait_for_version(entries.values(), 1)
        for name, relay in self.relays.items():
            relay.cut(*(nadi if name.startswith("nadi") else lautoka))
        self.lautoka_platform.set_faults(outage=True)
        self.nadi_platform.publish(write_sheet(published(2)))
        await self.wait_for_version([entries["nadi-1"], entries["nadi-2"]], 2)
        await stop_entry(started["lautoka-1"][1])
        entries["lautoka-1"], _ = self.start("lautoka-1", self.lautoka_platform)
        await self.wait_for_version([entries["lautoka-1"], entries["lautoka-2"]], 1)
        for relay in self.relays.values():
            relay.heal()
        await self.wait_for_version(entries.values(), 2)
        for name, versions in self.history.items():
            self.assertEqual(versions, [1, 2], name)

    async def test_an_isolated_data_centre_keeps_its_sheet_and_catches_up(self):
        await self.check_partition(nadi=("out", "back"), lautoka=("out", "back"))

    async def test_a_data_centre_that_receives_nothing_catches_up(self):
        await self.check_partition(nadi=("back",), lautoka=("out",))

    async def test_a_data_centre_that_cannot_send_catches_up(self):
        await self.check_partition(nadi=("out",), lautoka=("back",))
