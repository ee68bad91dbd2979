"""Tests of the decisions about second copies of slow requests, without a network."""

import random
import unittest
from types import SimpleNamespace

from waxwinghold._decisions.retry_budget import RetryBudget
from waxwinghold._decisions.second_copies import (
    ANSWERS_MIN_COUNT,
    KINDS_LIMIT_COUNT,
    AnswerDelays,
    CopyLimit,
    candidates,
    may_be_copied,
    obstacle,
)
from waxwinghold._gateway.model import RequestKind, Route

RATIO = 0.05
WINDOW_MS = 10_000.0
GATEWAYS_COUNT = 60
START_MS = 50_000.0


class AnswerDelaysTests(unittest.TestCase):
    def setUp(self):
        self.delays = AnswerDelays()

    def record(self, delays_ms, *, now_ms=0.0, kind="safe"):
        for delay_ms in delays_ms:
            self.delays.record(kind, delay_ms, now_ms=now_ms)

    def timing(self, *, now_ms=0.0, kind="safe", percentile=95.0):
        return self.delays.timing(kind, percentile=percentile, now_ms=now_ms)

    def test_a_few_answers_give_no_delay(self):
        # The first slow answers after a start would each look usual or unusual by
        # chance.
        self.assertIsNone(self.timing())
        self.record([20.0] * (ANSWERS_MIN_COUNT - 1))
        self.assertIsNone(self.timing())
        self.record([20.0], now_ms=600.0)
        self.assertAlmostEqual(self.timing(now_ms=600.0).delay_ms, 20.0, delta=0.5)

    def test_the_delay_is_a_percentile_of_that_kind_of_work(self):
        self.record(range(1, 101))
        self.record([3000.0] * 100, kind="stream")
        self.assertAlmostEqual(self.timing().delay_ms, 95.0, delta=1.0)
        self.assertAlmostEqual(self.timing().typical_ms, 50.0, delta=1.0)
        self.assertAlmostEqual(self.timing(percentile=80.0).delay_ms, 80.0, delta=1.0)

    def test_the_delay_follows_a_service_that_turned_slow(self):
        # A delay from a quieter time would make each request of a busy service slow.
        self.record([20.0] * 500)
        self.record([200.0] * 500, now_ms=10_100.0)
        self.assertAlmostEqual(self.timing(now_ms=19_000.0).typical_ms, 20, delta=1)
        self.record([200.0] * 100, now_ms=20_200.0)
        self.assertAlmostEqual(self.timing(now_ms=20_800.0).typical_ms, 200, delta=2)

    def test_old_answers_are_forgotten(self):
        self.record([20.0] * 500)
        self.record([20.0], now_ms=30_000.0)
        self.assertIsNone(self.timing(now_ms=30_000.0))

    def test_a_service_with_few_requests_has_a_delay(self):
        # In 20 s a gateway of many may see fewer answers than are needed.
        for number in range(120):
            self.record([30.0], now_ms=number * 500.0)
        self.assertAlmostEqual(self.timing(now_ms=60_000.0).delay_ms, 30.0, delta=0.5)

    def test_copies_that_win_do_not_lower_the_percentile(self):
        # If a send cancelled by its copy did not count, one request in twenty of the
        # rest would be slow, and so on until all were.
        rng = random.Random(1)
        delay_ms = None
        for number in range(20_000):
            now_ms = number * 2.0
            answer_ms = rng.uniform(10.0, 110.0)
            timing = self.timing(now_ms=now_ms)
            if timing is not None and answer_ms > timing.delay_ms + 5.0:
                answer_ms = timing.delay_ms + 5.0  # The copy answered.
            self.record([answer_ms], now_ms=now_ms)
            delay_ms = timing and timing.delay_ms
        self.assertAlmostEqual(delay_ms, 105.0, delta=4.0)

    def test_the_number_of_kinds_is_bounded(self):
        for number in range(10 * KINDS_LIMIT_COUNT):
            self.record([20.0], kind=number)
        self.assertLessEqual(len(self.delays._kinds), KINDS_LIMIT_COUNT)

    def test_delays_of_any_size_are_recorded(self):
        self.record([-5.0, 0.0, 1e12, float("inf")] * 50)
        self.assertLess(self.timing().delay_ms, 700_000.0)


class SavedTokens:
    """A naive limit: tokens are saved up, and a gateway starts with some."""

    def __init__(self, *, window_ms):
        self._bucket = RetryBudget(ratio=RATIO, floor_per_second=0.0)

    def record_first_send(self, *, now_ms, wall_ms):
        self._bucket.record_first(now_ms=now_ms)

    def try_take(self, *, ratio, now_ms, wall_ms):
        return self._bucket.take_retry(now_ms=now_ms)


class SlidingOnly(CopyLimit):
    """A naive limit: each gateway looks only at its own last ten seconds."""

    def _advance(self, now_ms, wall_ms):
        super()._advance(now_ms, 0.0)


class AlignedOnly(CopyLimit):
    """A naive limit: it begins anew in each window of the time of day."""

    def _advance(self, now_ms, wall_ms):
        if int(wall_ms // self._window_ms) != self._window:
            self._cells.clear()
        super()._advance(now_ms, wall_ms)


class Fleet:
    """Gateways that start, end and get each other's callers."""

    def __init__(self, limit_kind):
        self._limit_kind = limit_kind
        self._rng = random.Random("fleet")
        # Each process has a monotonic clock of its own.
        self._offsets_ms = [self._rng.uniform(0, 1e7) for _ in range(GATEWAYS_COUNT)]
        self._limits = [self._new() for _ in range(GATEWAYS_COUNT)]
        self.first_sends_ms = []
        self.copies_ms = []

    def _new(self):
        return self._limit_kind(window_ms=WINDOW_MS)

    def run(self, *, weights, slow_ratio, end_ms, restarts):
        """Send first sends and, for slow ones, ask for copies.

        Args:
            weights: Function of the time; returns the share of callers by gateway.
            slow_ratio: Function of the time; share of the requests that are slow.
            restarts: Whether gateways are killed and started again.
        """
        now_ms = START_MS
        while now_ms < end_ms:
            now_ms += self._rng.expovariate(0.6)
            number = self._rng.choices(range(GATEWAYS_COUNT), weights(now_ms))[0]
            if restarts and self._rng.random() < 0.005:
                self._limits[number] = self._new()
            limit = self._limits[number]
            times = {"now_ms": now_ms + self._offsets_ms[number], "wall_ms": now_ms}
            limit.record_first_send(**times)
            self.first_sends_ms.append(now_ms)
            while self._rng.random() < slow_ratio(now_ms) and limit.try_take(
                ratio=RATIO, **times
            ):
                self.copies_ms.append(now_ms)

    def excess(self, *, step_ms):
        """Return the most copies beyond the share in any window, and the copies."""
        worst, at_ms = float("-inf"), START_MS - WINDOW_MS
        while at_ms < self.first_sends_ms[-1]:
            firsts = _count(self.first_sends_ms, at_ms)
            worst = max(worst, _count(self.copies_ms, at_ms) - RATIO * firsts)
            at_ms += step_ms
        return worst


def _count(times_ms, at_ms):
    return sum(at_ms <= time_ms < at_ms + WINDOW_MS for time_ms in times_ms)


def _even(now_ms):
    return [1.0] * GATEWAYS_COUNT


def _moving(now_ms):
    """Most callers of half of the gateways move to the others every 10 s."""
    half = int(now_ms / WINDOW_MS) % 2
    return [1.0 if number % 2 == half else 0.1 for number in range(GATEWAYS_COUNT)]


class CopyLimitTests(unittest.TestCase):
    def fleet(self, limit_kind=CopyLimit, *, weights=_even, slow=1.0, restarts=False):
        fleet = Fleet(limit_kind)
        slow_ratio = slow if callable(slow) else (lambda now_ms: slow)
        fleet.run(
            weights=weights,
            slow_ratio=slow_ratio,
            end_ms=START_MS + 60_000.0,
            restarts=restarts,
        )
        return fleet

    def test_the_limit_holds_in_every_window_of_the_time_of_day(self):
        # With saved tokens, gateways that start or get callers exceed the share.
        for restarts in (False, True):
            for weights in (_even, _moving):
                with self.subTest(restarts=restarts, weights=weights.__name__):
                    fleet = self.fleet(weights=weights, restarts=restarts)
                    self.assertLessEqual(fleet.excess(step_ms=WINDOW_MS), 0.0)
                    self.assertGreater(len(fleet.copies_ms), 0)
        naive = self.fleet(SavedTokens, restarts=True)
        self.assertGreater(naive.excess(step_ms=WINDOW_MS), 0.0)

    def test_gateways_that_lost_their_callers_do_not_use_up_what_they_saved(self):
        # Each looked only at its own last seconds: those that lost callers used up
        # what these had brought, while the other gateways got as much again.
        def slow_in_odd_windows(now_ms):
            time_ms = now_ms % (2 * WINDOW_MS) - WINDOW_MS
            return 1.0 if 0 <= time_ms < 1000 or time_ms > 9000 else 0.0

        naive = self.fleet(SlidingOnly, weights=_moving, slow=slow_in_odd_windows)
        self.assertGreater(naive.excess(step_ms=WINDOW_MS), 0.0)
        ours = self.fleet(weights=_moving, slow=slow_in_odd_windows)
        self.assertLessEqual(ours.excess(step_ms=WINDOW_MS), 0.0)

    def test_copies_of_two_windows_are_not_sent_together_at_their_border(self):
        def slow_at_borders(now_ms):
            return 1.0 if not 5000 < now_ms % (2 * WINDOW_MS) < 19_000 else 0.0

        # Arrivals are random, so windows have a few more or fewer first sends.
        allowed = RATIO * 300
        fleet = self.fleet(slow=slow_at_borders)
        self.assertLessEqual(fleet.excess(step_ms=500.0), allowed)
        naive = self.fleet(AlignedOnly, slow=slow_at_borders)
        self.assertGreater(naive.excess(step_ms=500.0), allowed)

    def test_a_new_gateway_has_nothing_saved_up(self):
        limit = CopyLimit(window_ms=WINDOW_MS)
        times = {"now_ms": 100.0, "wall_ms": 100.0}
        self.assertFalse(limit.try_take(ratio=RATIO, **times))
        for _ in range(19):
            limit.record_first_send(**times)
        self.assertFalse(limit.try_take(ratio=RATIO, **times))
        limit.record_first_send(**times)
        self.assertTrue(limit.try_take(ratio=RATIO, **times))
        self.assertFalse(limit.try_take(ratio=RATIO, **times))

    def test_another_ratio_holds_at_once(self):
        limit = CopyLimit(window_ms=WINDOW_MS)
        times = {"now_ms": 100.0, "wall_ms": 100.0}
        for _ in range(100):
            limit.record_first_send(**times)
        self.assertTrue(limit.try_take(ratio=0.02, **times))
        self.assertTrue(limit.try_take(ratio=0.02, **times))
        self.assertFalse(limit.try_take(ratio=0.02, **times))
        self.assertTrue(limit.try_take(ratio=0.03, **times))
        self.assertFalse(limit.try_take(ratio=0.01, **times))
        self.assertFalse(limit.try_take(ratio=float("nan"), **times))

    def test_a_copy_that_was_not_sent_is_given_back(self):
        limit = CopyLimit(window_ms=WINDOW_MS)
        times = {"now_ms": 100.0, "wall_ms": 100.0}
        for _ in range(20):
            limit.record_first_send(**times)
        self.assertTrue(limit.try_take(ratio=RATIO, **times))
        limit.give_back(**times)
        self.assertTrue(limit.try_take(ratio=RATIO, **times))
        self.assertFalse(limit.try_take(ratio=RATIO, **times))

    def test_the_memory_is_bounded(self):
        limit = CopyLimit(window_ms=WINDOW_MS)
        for number in range(100_000):
            limit.record_first_send(now_ms=number, wall_ms=number)
        self.assertLess(len(limit._cells), 120)


def target(name, *, group=None, host="10.0.0.1", pace=1.0, silent=False):
    """Return what ``candidates`` asks of a ``TrackedTarget``."""
    return SimpleNamespace(
        listing=SimpleNamespace(name=name, address=(host, 80)),
        rank_notice=group and SimpleNamespace(group=group),
        pace=pace,
        group_pace=pace,
        is_silent=lambda now_ms: silent,
    )


def names(first, others, *, limited=()):
    found = candidates(
        first,
        [first, *others],
        pace=lambda target: target.group_pace,
        is_limited=lambda target: target.listing.name in limited,
        now_ms=0.0,
    )
    return [[target.listing.name for target in alike] for alike in found]


class CandidatesTests(unittest.TestCase):
    def test_another_group_on_another_host_comes_first(self):
        first = target("first", group="g0", host="10.0.0.1")
        others = [
            target("both", group="g0", host="10.0.0.1"),
            target("group", group="g0", host="10.0.0.2"),
            target("host", group="g1", host="10.0.0.1"),
            target("neither", group="g1", host="10.0.0.3"),
        ]
        self.assertEqual(
            names(first, others), [["neither"], ["host"], ["group"], ["both"]]
        )

    def test_targets_without_groups_have_no_group_in_common(self):
        first = target("first", host="10.0.0.1")
        others = [target("a", host="10.0.0.1"), target("b", host="10.0.0.2")]
        self.assertEqual(names(first, others), [["b"], ["a"]])

    def test_targets_that_are_not_likely_to_answer_sooner_are_left_out(self):
        first = target("first", pace=1.5)
        others = [
            target("slower", pace=1.6),
            target("silent", silent=True),
            target("limited"),
            target("even", pace=1.5),
        ]
        self.assertEqual(names(first, others, limited={"limited"}), [["even"]])


class ObstacleTests(unittest.TestCase):
    def obstacle(self, **changes):
        state = {
            "ratio": RATIO,
            "is_stopping": False,
            "left_ms": 500.0,
            "typical_ms": 100.0,
            "free_ratio": 0.3,
        }
        return obstacle(**{**state, **changes})

    def test_a_slow_request_may_get_a_copy(self):
        self.assertEqual(self.obstacle(), "")

    def test_no_copy_takes_a_scarce_slot(self):
        self.assertEqual(self.obstacle(free_ratio=0.24), "busy")

    def test_no_copy_is_sent_that_would_be_too_late(self):
        self.assertEqual(self.obstacle(left_ms=90.0), "too_late")

    def test_no_copy_is_sent_while_the_gateway_stops(self):
        self.assertEqual(self.obstacle(is_stopping=True), "stopping")

    def test_no_copy_is_sent_without_a_ratio(self):
        for ratio in (0.0, -1.0, float("nan")):
            self.assertEqual(self.obstacle(ratio=ratio), "off")


class EligibleRoutesTests(unittest.TestCase):
    def test_only_requests_that_may_run_twice_are_copied(self):
        for kind, resumable, limit_count, expected in (
            (RequestKind.SAFE, False, 2, True),
            (RequestKind.SAFE, False, 1, False),
            (RequestKind.UNSAFE, False, 2, False),
            (RequestKind.STREAM, False, 2, False),
            (RequestKind.STREAM, True, 2, True),
            (RequestKind.STREAM, True, 1, False),
        ):
            route = Route(
                name="r",
                host="h",
                prefix="/",
                kind=kind,
                shares=(),
                timeout_ms=1.0,
                latency_goal_ms=1.0,
                attempts_limit_count=limit_count,
                resumable=resumable,
            )
            with self.subTest(kind=kind, resumable=resumable, limit=limit_count):
                self.assertEqual(may_be_copied(route), expected)
