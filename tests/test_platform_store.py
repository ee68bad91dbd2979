"""Tests reading and watching the store, also while it fails."""

import asyncio
import types
import unittest
from unittest import mock

import logbook

from waxwinghold._clock import Clock
from waxwinghold._gateway.client import KeepAliveClient
from waxwinghold._gateway.errors import BodyTooLongError
from waxwinghold._gateway.model import Target
from waxwinghold._gateway.published_state import PublishedState
from waxwinghold._gateway.readers import StoreReaders, UnreadableChangesError
from waxwinghold._gateway.targets import TargetPool
from waxwinghold.platform.store import (
    PACKED,
    REVISIONS_PER_ERA_COUNT,
    StoreAnswer,
    StoreError,
    StoreWatcher,
    _decode_changes,
    read_range,
    read_store,
)
from waxwinghold_standins.fleet_store import FleetStore, worker_entry

from .support.gateway import COPY_LIMITS, FakeClock, configuration

GRACE_MS = 2000.0
POSITION = REVISIONS_PER_ERA_COUNT + 1  # In the first era of the stand-in.


class WatchCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        handler = logbook.NullHandler()
        handler.push_application()
        self.addCleanup(handler.pop_application)
        self.store = self.make_store()
        await self.store.start()
        self.addAsyncCleanup(self.store.stop)
        clock = Clock()
        self.target_pool = TargetPool(clock=clock)
        self.published = PublishedState(
            clock=clock, target_pool=self.target_pool, grace_ms=GRACE_MS
        )
        readers = StoreReaders(
            clock=clock,
            published=self.published,
            own_ip="127.0.0.1",
            local_peers=list,
            send=None,
            limits=lambda: COPY_LIMITS,
        )
        self.watcher = StoreWatcher(
            clock=clock,
            published=self.published,
            readers=readers,
            address=self.store.address,
        )

    def make_store(self):
        return FleetStore(page_count=2)

    def start(self):
        task = asyncio.create_task(self.watcher.run())
        self.addCleanup(task.cancel)

    def put_worker(self, name, **fields):
        entry = worker_entry(service="models", address=("127.0.0.1", 1), **fields)
        self.store.put(f"servers/{name}", entry)

    def names(self):
        return {target.listing.name for target in self.target_pool}

    async def answer(self, after):
        client = KeepAliveClient(address=self.store.address)
        self.addCleanup(client.close)
        query = {"prefix": "", "after": after, "wait-ms": 0}
        return await read_store(client, "/v1/kv-watch", limit_ms=1000, **query)

    async def until(self, condition, limit_s=5):
        async with asyncio.timeout(limit_s):
            while not condition():
                await asyncio.sleep(0.01)

    @property
    def version(self):
        table = self.published.table
        return table.configuration.version if table else None


class PassedOnTests(WatchCase):
    """Answers of the store that another gateway passed on."""

    async def read_once(self):
        self.put_worker("i-1")
        self.start()
        await self.until(lambda: self.names() == {"i-1"})

    async def test_passed_on_answers_are_applied_like_own_ones(self):
        await self.read_once()
        self.put_worker("i-2")
        self.watcher.apply_changes(await self.answer(1), at=POSITION)
        self.assertEqual(self.names(), {"i-1", "i-2"})

    async def test_an_own_answer_older_than_a_passed_on_one_changes_nothing(self):
        await self.read_once()
        self.put_worker("i-2")
        older = await self.answer(1)
        self.store.delete("servers/i-2")
        newer = await self.answer(1)

        async def late_answer(*args, **query):
            self.watcher.apply_changes(newer, at=POSITION)
            return StoreAnswer(body=older, era=1)

        with mock.patch("waxwinghold.platform.store.ask_store", late_answer):
            await self.watcher._watch(1, 0)
        self.assertEqual(self.names(), {"i-1"})

    async def test_bytes_that_are_no_answer_are_rejected(self):
        await self.read_once()
        for answer in (b"", b"{}", b'{"events": 1, "at": 2}', b"\xff"):
            with self.assertRaises(UnreadableChangesError):
                self.watcher.apply_changes(answer, at=POSITION)
        self.assertEqual(self.names(), {"i-1"})


class WatchTests(WatchCase):
    async def test_all_pages_are_read(self):
        for number in range(7):
            self.put_worker(f"i-{number}")
        self.store.put("op/config", configuration())
        self.start()
        await self.until(lambda: len(self.names()) == 7 and self.version == 1)

    async def test_the_watch_returns_changes(self):
        self.start()
        await self.until(lambda: self.published.age_ms < 1000)
        self.put_worker("i-1")
        self.store.put("op/config", configuration(version=2))
        await self.until(lambda: self.names() == {"i-1"} and self.version == 2)
        self.store.delete("servers/i-1")
        await self.until(lambda: self.names() == set())

    async def test_an_entry_nested_too_deeply_does_not_end_the_watch(self):
        self.start()
        nested = b'{"unknown": ' + b"[" * 100_000 + b"]" * 100_000 + b"}"
        self.store.put("servers/i-1", nested)
        self.put_worker("i-2")
        await self.until(lambda: self.names() == {"i-2"})
        self.store.put("servers/i-3", nested)
        self.put_worker("i-4")
        await self.until(lambda: self.names() == {"i-2", "i-4"})

    async def test_a_store_without_changes_gets_one_call_per_wait(self):
        self.start()
        await asyncio.sleep(1.0)
        self.assertLessEqual(len(self.store.calls), 4)

    async def test_the_store_is_read_anew_after_it_dropped_its_history(self):
        self.put_worker("i-1")
        self.start()
        await self.until(lambda: self.names() == {"i-1"})
        self.store.fault = "reset"
        self.put_worker("i-2")
        self.store.delete("servers/i-1")
        self.store.forget_history()
        self.store.fault = ""
        await self.until(lambda: self.names() >= {"i-2"})

    async def test_pages_without_end_are_not_read_on(self):
        for number in range(3):
            self.put_worker(f"i-{number}")
        self.store.repeats_pages = True
        client = KeepAliveClient(address=self.store.address)
        self.addCleanup(client.close)
        with self.assertRaisesRegex(StoreError, "1000 pages"):
            await read_range(client, "servers/")
        self.assertEqual(len(self.store.calls), 1000)

    async def test_changes_that_are_too_long_are_read_as_pages(self):
        self.put_worker("i-1")
        self.start()
        await self.until(lambda: self.names() == {"i-1"})
        # The values of one watch exceed the limit of a body, those of a page do not.
        value = b"x" * (12 * 1024 * 1024)
        self.store.fault = "busy"
        await asyncio.sleep(0.1)
        self.store.put("others/1", value)
        self.store.put("others/2", value)
        self.put_worker("i-2")
        self.store.fault = ""
        await self.until(lambda: self.names() == {"i-1", "i-2"})

    async def test_items_in_place_of_changes_show_what_was_deleted_and_added(self):
        for name in ("i-1", "i-2"):
            self.put_worker(name)
        self.store.put("op/evacuate/dc-a", "")
        self.start()
        await self.until(lambda: self.names() == {"i-1", "i-2"})
        evacuations = self.target_pool.evacuations
        await self.until(lambda: "dc-a" in list(evacuations))
        passed_on = []
        record_read = self.watcher._readers.record_read

        def record(at, **read):
            passed_on.append(read)
            record_read(at, **read)

        self.watcher._readers.record_read = record
        self.store.fault = "busy"
        await asyncio.sleep(0.1)
        self.store.delete("servers/i-1")
        self.store.delete("op/evacuate/dc-a")
        self.put_worker("i-3")
        for version in range(2, 6):
            self.store.put("others/1", version)
            self.store.put("op/config", configuration(version) | {"x": "y" * 500_000})
        self.store.fault = ""
        await self.until(lambda: self.version == 5)
        self.assertEqual(self.names(), {"i-2", "i-3"})
        self.assertNotIn("dc-a", list(evacuations))
        # The other gateways get the same, with one version of the configuration.
        (read,) = [read for read in passed_on if read.get("answer", b"")[:1] == PACKED]
        keys = [item.key for item in _decode_changes(read["answer"]).events]
        self.assertEqual(
            sorted(keys),
            ["op/config", "op/evacuate/dc-a", "servers/i-1", "servers/i-3"],
        )

    async def test_an_answer_above_a_limit_of_the_call_is_not_read(self):
        self.put_worker("i-1")
        client = KeepAliveClient(address=self.store.address)
        self.addCleanup(client.close)
        path = "/v1/kv-range?prefix=servers/"
        with self.assertRaises(BodyTooLongError):
            await client.exchange("GET", path, limit_ms=500, body_limit_bytes=20)
        head, body = await client.exchange("GET", path, limit_ms=500)
        self.assertEqual(head.status, 200)
        self.assertIn(b"i-1", body)

    async def test_the_watch_recovers_from_each_fault(self):
        self.start()
        for fault in ("busy", "many", "reset", "silent"):
            with self.subTest(fault=fault):
                await self.until(lambda: self.published.age_ms < 2000)
                self.store.fault = fault
                before_ms = self.published.asked_ms
                await asyncio.sleep(0.5)
                self.store.fault = ""
                await self.until(lambda: self.published.asked_ms > before_ms, 8)


class LateStore(FleetStore):
    """A store that may send an earlier answer once more before the next one.

    Attributes:
        answers: All answers so far, as bytes.
        late: The answer to send before the next one; empty for none.
    """

    def __init__(self, **options):
        super().__init__(**options)
        self.answers = []
        self.late = b""

    async def handle(self, request, writer):
        def write(data):
            late, self.late = self.late, b""
            writer.write(late + data)
            self.answers.append(data)

        return await super().handle(request, types.SimpleNamespace(write=write))


class LateAnswerTests(WatchCase):
    """A late copy of an earlier answer was taken for the answer to the next read."""

    def make_store(self):
        return LateStore(page_count=2)

    async def test_a_page_of_another_prefix_is_not_a_list_of_targets(self):
        self.store.put("op/config", configuration())
        self.put_worker("w0")
        send = self.store.handle

        async def send_late(request, writer):
            if "servers" in request.path and len(self.store.answers) == 1:
                self.store.late = self.store.answers[0]
            return await send(request, writer)

        with mock.patch.object(self.store, "handle", send_late):
            self.start()
            await self.until(lambda: self.names() == {"w0"})
        self.assertEqual(self.version, 1)

    async def test_earlier_changes_do_not_undo_later_ones(self):
        self.store.put("op/config", configuration())
        self.start()
        await self.until(lambda: self.version == 1)
        for name in ("w0", "w1"):
            self.put_worker(name)
            await self.until(lambda name=name: name in self.names())
        copy = next(answer for answer in self.store.answers if b"servers/w0" in answer)
        self.store.delete("servers/w0")
        await self.until(lambda: "w0" not in self.names())
        self.store.late = copy
        self.put_worker("w2")
        await self.until(lambda: "w2" in self.names())
        self.assertEqual(self.names(), {"w1", "w2"})


class ListTests(unittest.TestCase):
    def setUp(self):
        handler = logbook.NullHandler()
        handler.push_application()
        self.addCleanup(handler.pop_application)
        self.clock = FakeClock()
        self.target_pool = TargetPool(clock=self.clock)
        self.published = PublishedState(
            clock=self.clock, target_pool=self.target_pool, grace_ms=GRACE_MS
        )

    def apply_targets(self, *names):
        self.published.apply_targets(
            [
                Target(
                    name=name,
                    service="s",
                    address=("127.0.0.1", 1),
                    data_centre="dc-a",
                    slots_count=1,
                )
                for name in names
            ]
        )

    def names(self):
        return {target.listing.name for target in self.target_pool}

    def test_a_target_that_is_no_longer_listed_is_removed_at_once(self):
        self.apply_targets("a", "b")
        self.clock.time_ms += 60_000
        self.published.record_answer(asked_ms=self.clock.now_ms())
        self.apply_targets("b")
        self.assertEqual(self.names(), {"b"})

    def test_after_an_outage_an_unlisted_target_is_kept_for_the_grace_period(self):
        self.apply_targets("a", "b")
        self.published.record_failure("down")
        self.clock.time_ms += 5000
        self.published.record_answer(asked_ms=self.clock.now_ms())
        self.apply_targets("b")
        self.assertEqual(self.names(), {"a", "b"})
        self.clock.time_ms += GRACE_MS - 1
        self.published.drop_missing()
        self.assertEqual(self.names(), {"a", "b"})
        self.clock.time_ms += 2
        self.published.drop_missing()
        self.assertEqual(self.names(), {"b"})

    def test_the_age_counts_from_the_time_of_the_call(self):
        asked_ms = self.clock.now_ms()
        self.clock.time_ms += 1400
        self.published.record_answer(asked_ms=asked_ms)
        self.assertEqual(self.published.age_ms, 1400)
