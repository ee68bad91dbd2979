"""Tests of large configurations passed on inside a data centre.

A configuration that does not fit into one notice made every gateway of a data centre
read the store itself, version by version, over the links between data centres.
``python -m tests.test_gateway_large_changes`` prints the table of ``docs/CAPACITY.md``.
"""

import unittest
import zlib
from unittest import mock

import logbook
import msgspec

from waxwinghold._gateway import large_changes
from waxwinghold._gateway.large_changes import (
    DECOMPRESSED_LIMIT_BYTES,
    RATE_BYTES_PER_MS,
    BrokenPackageError,
    decompress,
)
from waxwinghold._gateway.notices import (
    FORMAT,
    FRAGMENT_BYTES,
    AskNotice,
    FragmentNotice,
    FreshNotice,
)
from waxwinghold._gateway.readers import CHANGES_LIMIT_BYTES
from waxwinghold.platform.store import StoreWatcher, _decode_changes
from waxwinghold_standins.fleet_store import worker_entry

from .support.data_centre import WIDE_LINK_BYTES_PER_MS, run_data_centre
from .support.large_configuration import make_configuration

GATEWAYS_COUNT = 20
FOLLOWERS_LIMIT_COUNT = 33  # Of one data centre of the largest known site.
ROUTES_COUNT = 1400
CONFIGURATION_LIMIT_MS = 3000.0
SHORTEST_LIMIT_MS = 2000.0
SMALL_SITE_COUNT = 4
SMALL_SITE_BYTES_PER_MS = 1_000_000_000 / 8 / 1000
REVOCATION_LIMIT_MS = 5000.0
VERSIONS_COUNT = 25
VERSION_INTERVAL_MS = 80.0  # 25 versions within 2 s.
KEPT_LIMIT_BYTES = 4_000_000
FIRST_VERSION = make_configuration(ROUTES_COUNT)


def version_value(version):
    """Return the configuration of a version, which differs in version and one key."""
    return FIRST_VERSION.replace(
        b'"version":1,', b'"version":%d,' % version, 1
    ).replace(b"key-of-version-1", b"key-of-version-%d" % version)


def target_value(number):
    return msgspec.json.encode(
        worker_entry(service="models", address=(f"10.1.0.{number}", 80))
    )


async def settle(world, first=FIRST_VERSION):
    """Start the gateways with the first version, and clear what was counted."""
    world.store.put("op/config", first)
    world.start()
    await world.clock.sleep_ms(5000)
    for counts in (
        world.store.calls,
        world.store.bytes,
        world.sent_bytes,
        world.sent_count,
    ):
        counts.clear()


async def put_version(world, version):
    """Write a version, and return when."""
    world.store.put("op/config", version_value(version))
    return world.clock.now_ms()


async def spread_version(world, after_ms=CONFIGURATION_LIMIT_MS):
    """Spread version 2, and return how long it took at each gateway."""
    await settle(world)
    since_ms = await put_version(world, 2)
    await world.clock.sleep_ms(after_ms)
    return world.took_ms(2, since_ms)


def store_readers(world):
    """Return the gateways that read a large version from the store."""
    return [ip for ip, size in world.store.bytes.items() if size > 100_000]


class LoadTests(unittest.TestCase):
    """Bytes and calls of large versions."""

    def test_one_gateway_reads_a_large_version_from_the_store(self):
        async def scenario(world):
            took_ms = await spread_version(world)
            return store_readers(world), world.reader, took_ms, world

        readers, reader, took_ms, world = run_data_centre(
            scenario, count=GATEWAYS_COUNT
        )
        self.assertEqual(readers, [reader])
        self.assertLess(max(took_ms.values()), CONFIGURATION_LIMIT_MS)
        # One compressed copy of about 61 KB for each follower.
        followers_count = GATEWAYS_COUNT - 1
        sent_bytes = world.sent_bytes[reader, "FragmentNotice"]
        self.assertLess(sent_bytes, followers_count * 65_000)
        self.assertEqual(world.dropped_count, 0)

    def test_a_small_version_is_passed_on_in_one_notice(self):
        """Guards against fragments where the changes fit into an answer."""

        async def scenario(world):
            await settle(world, first=make_configuration(50))
            world.store.put("op/config", make_configuration(50, version=2))
            await world.clock.sleep_ms(1000)
            versions = {
                gateway.published.version for gateway in world.gateways.values()
            }
            return versions, sum(world.store.calls.values()), world.sent_count

        versions, calls_count, sent_count = run_data_centre(scenario, count=3)
        self.assertEqual(versions, {2})
        self.assertLessEqual(calls_count, 3)
        kinds = {kind for _, kind in sent_count}
        self.assertEqual(kinds, {"AskNotice", "FreshNotice"})

    def test_a_storm_of_large_versions(self):
        """25 versions within 2 s made each of 20 gateways read each version."""
        figures = storm_figures(
            GATEWAYS_COUNT, store_bytes_per_ms=WIDE_LINK_BYTES_PER_MS
        )
        self.assertEqual(figures["store readers"], 1)
        # A reader calls the store five times a second at most.
        self.assertLessEqual(figures["calls"], 5 * figures["seconds"] + 2)
        self.assertLess(figures["took ms"], CONFIGURATION_LIMIT_MS)
        self.assertLess(figures["highest age ms"], REVOCATION_LIMIT_MS - 700)
        self.assertLess(figures["kept bytes"], KEPT_LIMIT_BYTES)
        self.assertEqual(figures["dropped"], 0)
        # Sent at the bounded rate while versions are written, and one round after.
        rate_share = figures["fragment bytes"] / figures["seconds"] / 1000
        self.assertLess(rate_share, RATE_BYTES_PER_MS)

    def test_a_storm_read_over_the_narrowest_link(self):
        """The store's answer has all versions, which take longer than its time limit.

        Without another way to read them, a reader never catches up.
        """
        figures = storm_figures(GATEWAYS_COUNT)
        self.assertLess(figures["took ms"], CONFIGURATION_LIMIT_MS)

    def test_all_followers_of_the_largest_data_centre_have_a_version_in_time(self):
        async def scenario(world):
            took_ms = await spread_version(world)
            return took_ms, world.dropped_count

        took_ms, dropped_count = run_data_centre(
            scenario, count=FOLLOWERS_LIMIT_COUNT + 1
        )
        self.assertLess(max(took_ms.values()), CONFIGURATION_LIMIT_MS)
        self.assertEqual(dropped_count, 0)

    def test_no_question_while_the_own_copy_is_up_to_date(self):
        async def scenario(world):
            await spread_version(world)
            world.sent_count.clear()
            await world.clock.sleep_ms(3000)
            return world.sent_count

        sent_count = run_data_centre(scenario, count=3)
        self.assertNotIn("FragmentNotice", {kind for _, kind in sent_count})


def storm_figures(gateways_count, versions_count=VERSIONS_COUNT, **arguments):
    """Return what versions in a quick row cost in a data centre."""

    async def scenario(world):
        await settle(world)
        begin_ms = world.clock.now_ms()
        kept_bytes, age_ms = 0, 0.0
        for version in range(2, 2 + versions_count):
            since_ms = await put_version(world, version)
            await world.clock.sleep_ms(VERSION_INTERVAL_MS)
        while world.clock.now_ms() < since_ms + CONFIGURATION_LIMIT_MS:
            await world.clock.sleep_ms(20)
            for gateway in world.gateways.values():
                kept_bytes = max(kept_bytes, gateway.readers.kept_bytes)
                age_ms = max(age_ms, gateway.published.age_ms)
        last_version = 1 + versions_count
        sent = world.sent_bytes
        return {
            "store readers": len(store_readers(world)),
            "calls": sum(world.store.calls.values()),
            "store bytes": sum(world.store.bytes.values()),
            "took ms": max(world.took_ms(last_version, since_ms).values()),
            "fragment bytes": sum(
                size for (_, kind), size in sent.items() if kind == "FragmentNotice"
            ),
            "other notice bytes": sum(
                size for (_, kind), size in sent.items() if kind != "FragmentNotice"
            ),
            "kept bytes": kept_bytes,
            "highest age ms": age_ms,
            "dropped": world.dropped_count,
            "seconds": (world.clock.now_ms() - begin_ms) / 1000,
        }

    return run_data_centre(scenario, count=gateways_count, **arguments)


class LossTests(unittest.TestCase):
    def test_lost_fragments_are_asked_for_again(self):
        """A lost datagram made the whole answer useless, or the store be read."""

        async def scenario(world):
            lost = set()

            def lose(sender, receiver, notice):
                if not isinstance(notice, FragmentNotice):
                    return False
                key = (receiver, notice.number)
                is_first = key not in lost and notice.number % 3 == 1
                lost.add(key)
                return is_first

            world.lose = lose
            took_ms = await spread_version(world)
            return store_readers(world), world.reader, took_ms, world

        readers, reader, took_ms, world = run_data_centre(
            scenario, count=GATEWAYS_COUNT
        )
        self.assertEqual(readers, [reader])
        self.assertLess(max(took_ms.values()), CONFIGURATION_LIMIT_MS)
        # Only the lost fragments are sent again: 3 of 8.
        needed_count = (GATEWAYS_COUNT - 1) * (8 + 3)
        self.assertLessEqual(world.sent_count[reader, "FragmentNotice"], needed_count)

    def test_a_network_that_loses_packets(self):
        for loss in (0.01, 0.05):
            with self.subTest(loss=loss):
                took_ms = run_data_centre(
                    spread_version, count=GATEWAYS_COUNT, loss=loss
                )
                self.assertLess(max(took_ms.values()), CONFIGURATION_LIMIT_MS)

    def test_the_store_is_read_if_no_fragment_arrives(self):
        async def scenario(world):
            world.lose = lambda sender, to, notice: isinstance(notice, FragmentNotice)
            return await spread_version(world)

        took_ms = run_data_centre(scenario, count=GATEWAYS_COUNT)
        self.assertLess(max(took_ms.values()), CONFIGURATION_LIMIT_MS)

    def test_a_reader_that_ends_in_the_middle(self):
        """Followers that have half of the fragments have to get the rest elsewhere."""

        async def scenario(world):
            await settle(world)
            since_ms = await put_version(world, 2)
            await world.clock.sleep_ms(600)
            world.stop(world.reader)
            done_count = sum(
                took_ms < float("inf")
                for took_ms in world.took_ms(2, since_ms).values()
            )
            await world.clock.sleep_ms(2400)
            ages_ms = []
            for _ in range(40):
                ages_ms += [g.published.age_ms for g in world.gateways.values()]
                await world.clock.sleep_ms(50)
            return done_count, world.took_ms(2, since_ms), max(ages_ms)

        done_count, took_ms, age_ms = run_data_centre(scenario, count=GATEWAYS_COUNT)
        self.assertLess(0, done_count)
        self.assertLess(done_count, GATEWAYS_COUNT - 1)
        self.assertLess(max(took_ms.values()), CONFIGURATION_LIMIT_MS)
        self.assertLess(age_ms, REVOCATION_LIMIT_MS - 700)


class ShortestLimitTests(unittest.TestCase):
    """The same at sites with wide links, where less time is allowed."""

    def play(self, scenario, **fields):
        return run_data_centre(
            scenario,
            count=SMALL_SITE_COUNT,
            limit_ms=SHORTEST_LIMIT_MS,
            store_bytes_per_ms=SMALL_SITE_BYTES_PER_MS,
            **fields,
        )

    def test_a_large_version(self):
        took_ms = self.play(lambda world: spread_version(world, SHORTEST_LIMIT_MS))
        self.assertLess(max(took_ms.values()), SHORTEST_LIMIT_MS)

    def test_no_fragment_arrives(self):
        async def scenario(world):
            world.lose = lambda sender, to, notice: isinstance(notice, FragmentNotice)
            return await spread_version(world, SHORTEST_LIMIT_MS)

        self.assertLess(max(self.play(scenario).values()), SHORTEST_LIMIT_MS)

    def test_a_reader_that_ends_in_the_middle(self):
        async def scenario(world):
            await settle(world)
            since_ms = await put_version(world, 2)
            await world.clock.sleep_ms(30)
            world.stop(world.reader)
            await world.clock.sleep_ms(SHORTEST_LIMIT_MS)
            return world.took_ms(2, since_ms)

        self.assertLess(max(self.play(scenario).values()), SHORTEST_LIMIT_MS)


class OrderTests(unittest.TestCase):
    def test_targets_of_all_kept_changes_arrive_with_the_newest_configuration(self):
        """Events of targets beside skipped configurations must not be skipped."""

        async def scenario(world):
            for number in range(1, 4):
                world.store.put(f"servers/i-{number}", target_value(number))
            await settle(world)
            world.store.put("servers/i-1", None)
            await put_version(world, 2)
            world.store.put("servers/i-4", target_value(4))
            await world.clock.sleep_ms(250)
            world.store.put("servers/i-1", target_value(1))
            world.store.put("servers/i-2", None)
            await put_version(world, 3)
            world.store.put("servers/i-4", None)
            world.store.put("servers/i-5", target_value(5))
            await world.clock.sleep_ms(CONFIGURATION_LIMIT_MS)
            return store_readers(world), [
                (gateway.published.version, gateway.names())
                for gateway in world.gateways.values()
            ]

        readers, states = run_data_centre(scenario, count=GATEWAYS_COUNT)
        self.assertEqual(len(readers), 1)
        for version, names in states:
            self.assertEqual(version, 3)
            self.assertEqual(names, {"i-1", "i-3", "i-5"})


class CompatibilityTests(unittest.TestCase):
    """Gateways of the previous release beside this one."""

    def test_a_previous_follower_reads_the_store_and_gets_no_fragment(self):
        async def scenario(world):
            previous = next(ip for ip in world.active_ips if ip != world.reader)
            world.gateways[previous].readers._send = lambda to, notice: world.send(
                previous, to, as_previous(notice)
            )
            fragments = []
            handle = world.gateways[previous].handle_notice

            def handle_previous(ip, notice):
                if isinstance(notice, FragmentNotice):
                    fragments.append(notice)
                handle(ip, as_previous(notice))

            world.gateways[previous].handle_notice = handle_previous
            took_ms = await spread_version(world)
            return fragments, took_ms, store_readers(world), {previous, world.reader}

        fragments, took_ms, readers, expected = run_data_centre(scenario, count=5)
        self.assertEqual(fragments, [])
        self.assertEqual(set(readers), expected)
        self.assertLess(max(took_ms.values()), CONFIGURATION_LIMIT_MS)

    def test_a_previous_reader_makes_followers_read_the_store(self):
        async def scenario(world):
            world.gateways[world.reader].readers.pack_changes = None
            return await spread_version(world)

        took_ms = run_data_centre(scenario, count=5)
        self.assertLess(max(took_ms.values()), CONFIGURATION_LIMIT_MS)

    def test_previous_processes_ignore_the_new_fields(self):
        class PreviousAsk(msgspec.Struct, array_like=True, frozen=True, tag="ask"):
            format: int
            nonce: int
            at: int

        ask = AskNotice(FORMAT, 5, 7, takes_fragments=True, package=1, missing=[3])
        data = msgspec.msgpack.encode(ask)
        self.assertEqual(
            msgspec.msgpack.decode(data, type=PreviousAsk), PreviousAsk(FORMAT, 5, 7)
        )
        data = msgspec.msgpack.encode(PreviousAsk(FORMAT, 5, 7))
        self.assertEqual(
            msgspec.msgpack.decode(data, type=AskNotice), AskNotice(FORMAT, 5, 7)
        )


def as_previous(notice):
    """Return a notice as a process of the previous release sends or reads it."""
    if isinstance(notice, AskNotice):
        return AskNotice(format=FORMAT, nonce=notice.nonce, at=notice.at)
    if isinstance(notice, FreshNotice):
        return msgspec.structs.replace(notice, is_queued=False)
    return notice


class ForgeryTests(unittest.TestCase):
    """Broken and forged fragments change nothing."""

    def _receive(self, make_fragments):
        """Let a follower that waits for a large answer get other fragments.

        Args:
            make_fragments: ``make_fragments(nonce)`` returns them.

        Returns:
            Version and age before and after, and whether the reader is excluded.
        """

        async def scenario(world):
            await settle(world)
            reader = world.reader
            ip = next(ip for ip in world.active_ips if ip != reader)
            follower = world.gateways[ip]
            world.lose = lambda sender, to, notice: isinstance(notice, FragmentNotice)
            nonces = []
            send = follower.readers._send

            def record(to, notice):
                nonces.append(notice.nonce)
                send(to, notice)

            follower.readers._send = record
            await put_version(world, 2)
            await world.clock.sleep_ms(400)
            before = follower.published.version, follower.published.asked_ms
            for fragment in make_fragments(nonces[-1]):
                follower.handle_notice(reader, fragment)
            after = follower.published.version, follower.published.asked_ms
            return before, after, reader in follower.readers._excluded_until_ms

        return run_data_centre(scenario, count=2)

    def _fragment(self, **fields):
        defaults = {
            "format": FORMAT,
            "echo": 0,
            "at": 99,
            "age_ms": -1000.0,
            "package": 1,
            "number": 0,
            "count": 1,
            "data": b"",
        }
        return FragmentNotice(**(defaults | fields))

    def test_an_unasked_fragment_changes_nothing(self):
        before, after, is_excluded = self._receive(
            lambda nonce: [
                self._fragment(echo=echo, data=zlib.compress(b'{"events":[],"at":99}'))
                for echo in (0, 1, nonce + 1)
            ]
        )
        self.assertEqual((before, is_excluded), (after, False))

    def test_a_fragment_of_another_sender_than_the_asked_one_does_not_count(self):
        receiver = large_changes.LargeChangesReceiver()
        receiver.record_ask("10.0.0.1", 5, now_ms=0.0)
        fragment = self._fragment(echo=5, data=b"x")
        self.assertIsNone(receiver.add("10.0.0.2", fragment, now_ms=1.0))
        self.assertIsNotNone(receiver.add("10.0.0.1", fragment, now_ms=1.0))

    def test_no_fragment_confirms_a_later_time_than_its_arrival(self):
        receiver = large_changes.LargeChangesReceiver()
        receiver.record_ask("10.0.0.1", 5, now_ms=100.0)
        fragment = self._fragment(echo=5, age_ms=-1e9, data=b"x")
        _, confirmed_ms = receiver.add("10.0.0.1", fragment, now_ms=140.0)
        self.assertEqual(confirmed_ms, 140.0)

    def test_broken_answers_change_nothing_and_exclude_the_reader(self):
        whole = zlib.compress(b'{"events":[],"at":99}')
        for data in (b"no zlib", whole[:-1], whole[:-4] + b"abcd", zlib.compress(b"?")):
            with self.subTest(data=data):
                before, after, is_excluded = self._receive(
                    lambda nonce, data=data: [self._fragment(echo=nonce, data=data)]
                )
                self.assertEqual((before, is_excluded), (after, True))

    def test_a_decompression_bomb_changes_nothing(self):
        bomb = zlib.compress(bytes(8 * 1024 * 1024), 9)
        parts = [
            bomb[start : start + FRAGMENT_BYTES]
            for start in range(0, len(bomb), FRAGMENT_BYTES)
        ]
        before, after, is_excluded = self._receive(
            lambda nonce: [
                self._fragment(echo=nonce, number=n, count=len(parts), data=part)
                for n, part in enumerate(parts)
            ]
        )
        self.assertEqual((before, is_excluded), (after, True))

    def test_decompression_stops_at_the_limit(self):
        """A check after decompressing would come when the memory is used already."""
        bomb = zlib.compress(bytes(64 * 1024 * 1024), 9)
        sizes = []
        make = zlib.decompressobj

        class Recording:
            def __init__(self):
                self._decompressor = make()

            def decompress(self, data, limit_bytes):
                result = self._decompressor.decompress(data, limit_bytes)
                sizes.append(len(result))
                return result

            @property
            def eof(self):
                return self._decompressor.eof

        with mock.patch.object(large_changes.zlib, "decompressobj", Recording):
            with self.assertRaises(BrokenPackageError):
                decompress(bomb)
        self.assertEqual(sizes, [DECOMPRESSED_LIMIT_BYTES])

    def test_a_stranger_gets_no_fragment(self):
        """A small forged question must not send a large answer somewhere."""

        async def scenario(world):
            await settle(world)
            await put_version(world, 2)
            await world.clock.sleep_ms(CONFIGURATION_LIMIT_MS)
            world.sent_count.clear()
            sent = []
            readers = world.gateways[world.reader].readers
            readers._sender._send = lambda to, notice: sent.append((to, notice))
            ask = AskNotice(FORMAT, 5, readers._changes[0][0], takes_fragments=True)
            readers.on_ask("10.9.9.9", ask)
            await world.clock.sleep_ms(500)
            strangers = list(sent)
            readers.on_ask(readers._local_peers()[0], ask)
            await world.clock.sleep_ms(500)
            return strangers, sent

        strangers, sent = run_data_centre(scenario, count=3)
        self.assertEqual(strangers, [])
        self.assertLess(0, len(sent))


class PackingTests(unittest.TestCase):
    def setUp(self):
        handler = logbook.NullHandler()
        handler.push_application()
        self.addCleanup(handler.pop_application)
        self.watcher = StoreWatcher(
            clock=None, published=None, readers=mock.Mock(), address=("127.0.0.1", 1)
        )

    def _answer(self, at, *events):
        items = []
        for revision, (key, value) in enumerate(events, at - len(events) + 1):
            item = {"key": key, "revision": revision, "value": value}
            if value is None:
                item = {"key": key, "revision": revision, "deleted": True}
            items.append(item)
        return msgspec.json.encode({"events": items, "at": at})

    def _unpack(self, packed):
        changes = _decode_changes(packed)
        return [(item.key, item.value) for item in changes.events], changes.at

    def _pack(self, *versions):
        return self.watcher.pack_changes(
            [self._answer(2, *(("op/config", value) for value in versions))]
        )

    def test_the_highest_readable_version_is_kept(self):
        """A lower version that is written later is not in force anywhere."""
        values = [make_configuration(3, version=version) for version in (7, 9, 8)]
        events, _ = self._unpack(self._pack(*values, b"{", b'{"version":10}'))
        self.assertEqual(events, [("op/config", values[1])])

    def test_packing_twice_is_packing_once(self):
        first = self._answer(3, ("servers/a", b"1"), ("op/config", FIRST_VERSION))
        second = self._answer(
            6, ("op/config", version_value(2)), ("servers/b", b"2"), ("servers/a", None)
        )
        third = self._answer(7, ("servers/b", b"3"))
        once = self.watcher.pack_changes([first, second, third])
        twice = self.watcher.pack_changes(
            [self.watcher.pack_changes([first, second]), third]
        )
        self.assertEqual(once, twice)
        self.assertEqual(
            self._unpack(once),
            (
                [
                    ("op/config", version_value(2)),
                    ("servers/a", None),
                    ("servers/b", b"3"),
                ],
                7,
            ),
        )

    def test_events_of_other_keys_are_kept(self):
        answer = self._answer(3, ("op/other/a", b"{}"), ("op/other/b", None))
        events, _ = self._unpack(self.watcher.pack_changes([answer]))
        self.assertEqual(events, [("op/other/a", b"{}"), ("op/other/b", None)])

    def test_sizes_of_configurations(self):
        """The sizes that the limits of fragments and of the rate were chosen by."""
        for routes_count, lowest_bytes, highest_bytes in (
            (1400, CHANGES_LIMIT_BYTES, 65_000),
            (3000, 60_000, 140_000),
        ):
            with self.subTest(routes=routes_count):
                value = make_configuration(routes_count)
                packed = self.watcher.pack_changes(
                    [self._answer(2, ("op/config", value))]
                )
                compressed = len(zlib.compress(packed, 6))
                self.assertLess(lowest_bytes, compressed)
                self.assertLess(compressed, highest_bytes)


def print_capacity():
    for gateways_count in (20, 34, 100):
        for versions_count in (1, VERSIONS_COUNT):
            figures = storm_figures(
                gateways_count,
                versions_count,
                store_bytes_per_ms=WIDE_LINK_BYTES_PER_MS,
            )
            print(gateways_count, versions_count, figures)


if __name__ == "__main__":
    print_capacity()
