"""Data centres cut off from each other keep their sheet and catch up after."""

from dataclasses import replace

from waxwinghold._sheet import write_sheet

from .entry_builder import stop_entry
from .relay import Relay
from .test_sheet_fleet import FleetTestCase, published


class CutTests(FleetTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.near = await self.platform(published(1))
        self.far = await self.platform(published(1))
        self.relays = {}
        for name, place in self.places.items():
            self.relays[name] = Relay(target_port=place.link_port)
            await self.relays[name].start()
            self.addAsyncCleanup(self.relays[name].stop)

    def others(self, name):
        """Return the other entries; links between data centres use relays."""
        own = self.places[name].data_centre
        return [
            (
                place
                if place.data_centre == own
                else replace(place, link_port=self.relays[place.name].port)
            )
            for place in self.places.values()
            if place.name != name
        ]

    def start_all(self):
        sides = {"nadi": self.near, "lautoka": self.far}
        return {
            name: self.start(name, sides[place.data_centre])
            for name, place in self.places.items()
        }

    async def check_cut(self, *, nadi, lautoka):
        """Cut, change, replace, heal.

        Args:
            nadi: Lost directions of links that end in nadi.
            lautoka: Lost directions of links that end in lautoka.
        """
        started = self.start_all()
        entries = {name: entry for name, (entry, _) in started.items()}
        await self.all_hold(entries.values(), 1)
        for name, relay in self.relays.items():
            relay.cut(*(nadi if name.startswith("nadi") else lautoka))
        self.far.set_faults(outage=True)
        self.near.publish(write_sheet(published(2)))
        await self.all_hold([entries["nadi-1"], entries["nadi-2"]], 2)
        await stop_entry(started["lautoka-1"][1])
        entries["lautoka-1"], _ = self.start("lautoka-1", self.far)
        await self.all_hold([entries["lautoka-1"], entries["lautoka-2"]], 1)
        for relay in self.relays.values():
            relay.heal()
        await self.all_hold(entries.values(), 2)
        for name, versions in self.history.items():
            self.assertEqual(versions, [1, 2], name)

    async def test_a_cut_data_centre_keeps_its_sheet_and_catches_up(self):
        await self.check_cut(nadi=("out", "back"), lautoka=("out", "back"))

    async def test_so_does_one_that_hears_nothing(self):
        await self.check_cut(nadi=("back",), lautoka=("out",))

    async def test_so_does_one_that_is_not_heard(self):
        await self.check_cut(nadi=("out",), lautoka=("back",))
