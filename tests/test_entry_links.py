"""Which targets an entry keeps links to, and how it reaches the others."""

import types
import unittest
import unittest.mock

from waxwinghold._entry import fleet as fleet_module
from waxwinghold._entry.fleet import Fleet
from waxwinghold._entry.peers import Peers
from waxwinghold._sheet.model import Sheet, Target

NEAR_COUNT = 90
LIMIT_COUNT = 8


def target(name, *, service="fitting", data_centre="nadi"):
    """Return a target's row."""
    return Target(
        name=name,
        service=service,
        data_centre=data_centre,
        version="v1",
        agent_address="tcp://127.0.0.1:7001",
        agent_public_key="k" * 40,
    )


class FakeSeat:
    """A seat without a link."""

    def __init__(self, *, process, row):
        self.row = row
        self.link = types.SimpleNamespace(wait_up=unittest.mock.AsyncMock())


class EntryLinksTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        patch = unittest.mock.patch.object(fleet_module, "TargetSeat", FakeSeat)
        patch.start()
        self.addCleanup(patch.stop)
        settings = types.SimpleNamespace(
            name="entry-1", data_centre="nadi", targets_limit_count=LIMIT_COUNT
        )
        self.fleet = Fleet(process=types.SimpleNamespace(settings=settings))
        near = [target(f"fitting-{number}") for number in range(NEAR_COUNT)]
        far = [
            target("fitting-far", data_centre="lautoka"),
            target("booking-far", service="booking", data_centre="lautoka"),
        ]
        self.fleet.apply(
            Sheet(version=1, issued_by="planner", targets=tuple(near + far))
        )

    def test_links_keep_within_the_limit_and_leave_no_service_out(self):
        self.assertEqual(len(self.fleet.seats), LIMIT_COUNT)
        self.assertIn("booking-far", self.fleet.seats)
        self.assertNotIn("fitting-far", self.fleet.seats)

    async def test_a_target_that_a_key_names_is_reached_beyond_the_limit(self):
        unlinked = next(
            name for name in self.fleet.index.targets if name not in self.fleet.seats
        )
        seat = await self.fleet.reach(unlinked)
        self.assertEqual(seat.row.name, unlinked)
        seat.link.wait_up.assert_awaited_once()

    async def test_a_target_that_no_sheet_names_is_not_reached(self):
        self.assertIsNone(await self.fleet.reach("nobody"))


class PeersTests(unittest.TestCase):
    def peers(self, *, data_centres, entries_count):
        """Return the names chosen by an entry among entries of data centres."""
        settings = types.SimpleNamespace(
            name="entry-0-0",
            data_centre="dc-0",
            peers_limit_count=LIMIT_COUNT,
            peers=[
                types.SimpleNamespace(
                    name=f"entry-{centre}-{number}",
                    data_centre=f"dc-{centre}",
                    address="tcp://127.0.0.1:7001",
                    public_key="k" * 40,
                )
                for centre in range(data_centres)
                for number in range(entries_count)
            ],
        )
        process = types.SimpleNamespace(
            settings=settings,
            open_link=unittest.mock.Mock(),
            spawn=unittest.mock.Mock(),
        )
        peers = Peers(process=process)
        peers.start()
        return peers.names

    def test_links_to_entries_keep_within_the_limit_in_a_large_fleet(self):
        names = self.peers(data_centres=15, entries_count=23)
        far = {name.split("-")[1] for name in names} - {"0"}
        self.assertEqual(len(names), LIMIT_COUNT)
        self.assertEqual(len(far), LIMIT_COUNT // 2)

    def test_a_small_fleet_is_linked_whole(self):
        names = self.peers(data_centres=3, entries_count=3)
        self.assertEqual(len(names), 8)
        self.assertNotIn("entry-0-0", names)
