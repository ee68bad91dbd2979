"""Which targets and peers an entry links to, and how it reaches other targets."""

import types
import unittest
import unittest.mock

from waxwinghold._entry import target_pool as target_pool_module
from waxwinghold._entry.peers import Peers
from waxwinghold._entry.target_pool import TargetPool
from waxwinghold._sheet.model import Sheet, Target

LOCAL_COUNT = 90
LIMIT_COUNT = 8


def make_row(name, *, service="fitting", data_centre="nadi"):
    """Return the sheet row of a target."""
    return Target(
        name=name,
        service=service,
        data_centre=data_centre,
        version="v1",
        agent_address="tcp://127.0.0.1:7001",
        agent_public_key="k" * 40,
    )


class FakeTrackedTarget:
    """A ``TrackedTarget`` without a real link."""

    def __init__(self, *, process, row):
        self.row = row
        self.link = types.SimpleNamespace(wait_until_up=unittest.mock.AsyncMock())


class EntryLinksTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        patch = unittest.mock.patch.object(
            target_pool_module, "TrackedTarget", FakeTrackedTarget
        )
        patch.start()
        self.addCleanup(patch.stop)
        settings = types.SimpleNamespace(
            name="entry-1", data_centre="nadi", targets_limit_count=LIMIT_COUNT
        )
        self.target_pool = TargetPool(process=types.SimpleNamespace(settings=settings))
        local = [make_row(f"fitting-{number}") for number in range(LOCAL_COUNT)]
        remote = [
            make_row("fitting-remote", data_centre="lautoka"),
            make_row("booking-remote", service="booking", data_centre="lautoka"),
        ]
        self.target_pool.apply(
            Sheet(version=1, issued_by="planner", targets=tuple(local + remote))
        )

    def test_links_stay_within_the_limit_and_cover_every_service(self):
        self.assertEqual(len(self.target_pool.targets), LIMIT_COUNT)
        self.assertIn("booking-remote", self.target_pool.targets)
        self.assertNotIn("fitting-remote", self.target_pool.targets)

    async def test_a_target_named_by_a_key_is_linked_beyond_the_limit(self):
        unlinked_name = next(
            name
            for name in self.target_pool.index.targets
            if name not in self.target_pool.targets
        )
        target = await self.target_pool.reach(unlinked_name)
        self.assertEqual(target.row.name, unlinked_name)
        target.link.wait_until_up.assert_awaited_once()

    async def test_a_target_missing_from_the_sheet_is_not_reached(self):
        self.assertIsNone(await self.target_pool.reach("missing"))


class PeersTests(unittest.TestCase):
    def chosen_peers(self, *, data_centres, entries_count):
        """Return the names of the peers that one entry chooses.

        Args:
            data_centres: Number of data centres.
            entries_count: Entries in each of them.
        """
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

    def test_peer_links_stay_within_the_limit_in_a_large_fleet(self):
        names = self.chosen_peers(data_centres=15, entries_count=23)
        remote = {name.split("-")[1] for name in names} - {"0"}
        self.assertEqual(len(names), LIMIT_COUNT)
        self.assertEqual(len(remote), LIMIT_COUNT // 2)

    def test_a_small_fleet_is_fully_linked(self):
        names = self.chosen_peers(data_centres=3, entries_count=3)
        self.assertEqual(len(names), 8)
        self.assertNotIn("entry-0-0", names)
