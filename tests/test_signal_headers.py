"""Fuzzes the decoders of the headers by which targets and the store send signals.

Whatever arrives, nothing happens but a counted log line, and nonsense is bounded.
"""

import asyncio
import unittest

import logbook
from hypothesis import HealthCheck, example, given, settings
from hypothesis import strategies as st

from waxwinghold._agent.announcements import Announcements
from waxwinghold._decisions.target_signals import PAUSE_LIMIT_MS, TargetSignals
from waxwinghold._gateway.connection import AnswerHead
from waxwinghold._metrics import Metrics
from waxwinghold.platform.codec import PlatformCodec
from waxwinghold.platform.store import ERA_JUMP_LIMIT_COUNT, StoreError, read_era

from .support.gateway import FakeClock
from .test_platform_store import WatchCase

NAMES = (
    b"server-leaving",
    b"server-limit",
    b"retry-after",
    b"not-executed",
    b"store-era",
)
NONSENSE = (b"", b"1", b"0", b"-1", b"nan", b"inf", b"1e999", b"9" * 400, b"\xff\xfe")
VALUES = st.sampled_from(NONSENSE) | st.binary(max_size=60)
HEADERS = st.lists(st.tuples(st.sampled_from(NAMES), VALUES), max_size=6)
STATUSES = st.sampled_from((200, 421, 429, 500, 503))
# The first example of a process may take seconds on a busy machine: Hypothesis reads
# the constants of all loaded modules.
ANY_SPEED = settings(
    derandomize=True,
    max_examples=300,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)
OWN_NAMES = (
    "Waxwing-Leaving",
    "Waxwing-Pause-Ms",
    "Waxwing-Limit",
    "Waxwing-Incarnation",
)
OWN_VALUES = st.sampled_from([value.decode("latin-1") for value in NONSENSE]) | st.text(
    max_size=100
)


class FuzzCase(unittest.TestCase):
    def setUp(self):
        handler = logbook.NullHandler()
        handler.push_application()
        self.addCleanup(handler.pop_application)


class PlatformHeaderTests(FuzzCase):
    @ANY_SPEED
    @given(STATUSES, HEADERS)
    @example(503, [(b"not-executed", b"1"), (b"retry-after", b"soon")])
    @example(200, [(b"server-leaving", b"yes")])
    def test_an_answer_with_any_headers_is_read(self, status, headers):
        codec = PlatformCodec()
        head = AnswerHead(status=status, headers=tuple(headers))
        metadata = codec.read_answer(head)
        self.assertLessEqual(codec.malformed_count, 3)
        first = dict(reversed(headers))
        leaving = first.get(b"server-leaving", b"").decode("latin-1").strip()
        self.assertEqual(metadata.leaving, leaving == "1")
        asks = status == 503 and b"retry-after" in first
        malformed_count = leaving not in ("", "0", "1")
        malformed_count += asks and metadata.pause_ms is None
        has_limit = b"server-limit" in first
        is_named = metadata.limit_per_second is not None
        self.assertEqual(metadata.has_unreadable_limit, has_limit and not is_named)
        malformed_count += metadata.has_unreadable_limit
        if is_named:
            self.assertTrue(0 <= metadata.limit_per_second < float("inf"))
        self.assertEqual(codec.malformed_count, malformed_count)
        if not asks:
            self.assertIsNone(metadata.pause_ms)
        if metadata.pause_ms is not None:
            signals = TargetSignals()
            signals.record_pause("w/1", pause_ms=metadata.pause_ms, now_ms=0.0)
            left_ms = signals.pause_left_ms("w/1", now_ms=0.0)
            self.assertLessEqual(0.0, left_ms)
            self.assertLessEqual(left_ms, PAUSE_LIMIT_MS)

    @ANY_SPEED
    @given(VALUES)
    def test_an_era_is_a_number_or_the_answer_is_not_used(self, value):
        head = AnswerHead(status=200, headers=((b"store-era", value),))
        try:
            era = read_era(head)
        except StoreError:
            return
        self.assertLessEqual(0, era)
        self.assertLess(era, 100_000)


def _is_limit(text):
    try:
        return 0 <= float(text) < float("inf")
    except ValueError:
        return False


class OwnHeaderTests(FuzzCase):
    @ANY_SPEED
    @given(STATUSES, st.dictionaries(st.sampled_from(OWN_NAMES), OWN_VALUES))
    @example(503, {"Waxwing-Pause-Ms": "soon"})
    @example(200, {"Waxwing-Leaving": "yes"})
    def test_an_answer_with_any_headers_is_recorded(self, status, headers):
        metrics = Metrics(process="agent-1")
        announcements = Announcements(
            clock=FakeClock(), metrics=metrics, on_change=lambda: None
        )
        announcements.record(status, headers)
        leaving = headers.get("Waxwing-Leaving", "").strip()
        self.assertEqual(announcements.is_leaving, leaving == "1")
        self.assertLessEqual(0.0, announcements.pause_left_ms)
        self.assertLessEqual(announcements.pause_left_ms, PAUSE_LIMIT_MS)
        self.assertLessEqual(len(announcements.incarnation), 64)
        counts = metrics.summary()["counts"]
        asks = status == 503 and "Waxwing-Pause-Ms" in headers
        malformed_count = leaving not in ("", "0", "1")
        malformed_count += asks and "paused_targets" not in counts
        if "Waxwing-Limit" in headers:
            malformed_count += not _is_limit(headers["Waxwing-Limit"])
        else:
            self.assertIsNone(announcements.limit_per_second)
        self.assertEqual(counts.get("malformed_signals", 0), malformed_count)


class NonsenseEraTests(WatchCase):
    async def test_answers_of_a_nonsense_era_change_nothing_and_are_counted(self):
        self.put_worker("i-1")
        self.start()
        await self.until(lambda: self.names() == {"i-1"})
        for nonsense in ("soon", "-1", "1" * 30, ERA_JUMP_LIMIT_COUNT + 2):
            with self.subTest(era=nonsense):
                seen_count = self.watcher.malformed_count
                self.store.era = nonsense
                self.store.delete("servers/i-1")
                await self.until(lambda: self.watcher.malformed_count > seen_count)
                self.assertEqual(self.names(), {"i-1"})
                self.store.era = 1
                self.put_worker("i-1")
                await asyncio.sleep(0.05)
        self.put_worker("i-2")
        await self.until(lambda: self.names() == {"i-1", "i-2"})
