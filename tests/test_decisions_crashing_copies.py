"""Replays requests that come several times at once, and crashes of whole racks."""

import random
import unittest

from waxwinghold._decisions.crash_suspects import CrashSuspects, RequestContent

TARGETS_COUNT = 24
LATENCY_MS = 3.0  # A crash and the loss that a gateway sees are so far apart.
MERGE_INTERVAL_MS = 400.0
STEP_MS = 100.0
ROUND_MS = 3400.0
ROUNDS_COUNT = 8
RUN_MS = 500.0
CONTACT_MS = 3000.0
CRASHES_BEFORE_BOUND_COUNT = 3
PART_CRASHES_BEFORE_BOUND_COUNT = 5
LATE_SENDS_LIMIT_COUNT = 3
COPIES_LIMIT_COUNT = 8
COMMON_PART = "common"
CRASHING_PART = "crashing"


def content(call, *part_names):
    return RequestContent(
        call=(call.encode(),), part_names=(COMMON_PART, *part_names), scope="models"
    )


class CopiesAtOnce:
    """Replays callers that send each request several times at once.

    Sound requests of others run at each target. Gateways tell each other of what they
    saw at an interval.

    Args:
        gateways_count: Gateways that the copies come to in turn.

    Attributes:
        ends_ms: When targets crashed under the copies.
        sends_ms: When copies were sent.
    """

    def __init__(self, *, gateways_count, seed):
        self.rng = random.Random(seed)
        self.gateways = [CrashSuspects() for _ in range(gateways_count)]
        self.ends_ms = []
        self.sends_ms = []
        self.now_ms = 1e6
        self._number = 0
        self._next_merge_ms = self.now_ms

    def wait(self, for_ms):
        """Let sound requests of others end, and gateways tell each other."""
        until_ms = self.now_ms + for_ms
        while self.now_ms < until_ms:
            self.now_ms += STEP_MS
            gateway = self.rng.choice(self.gateways)
            gateway.record_run(self._other(), now_ms=self.now_ms)
            if self.now_ms >= self._next_merge_ms:
                self._next_merge_ms = self.now_ms + MERGE_INTERVAL_MS
                self._merge_all()

    def come(self, request, *, copies_count):
        """Send copies that crash their targets."""
        running = {gateway: [] for gateway in self.gateways}
        sent = []
        for number in range(copies_count):
            gateway = self.gateways[number % len(self.gateways)]
            if gateway.is_blocked(request, now_ms=self.now_ms):
                continue
            if not gateway.may_run_beside(
                request, running[gateway], now_ms=self.now_ms
            ):
                continue
            running[gateway].append(request)
            self.sends_ms.append(self.now_ms)
            sent.append(gateway)
        for number, gateway in enumerate(sent):
            self.ends_ms.append(self.now_ms)
            self.end_target(number, [(gateway, request)])

    def end_rack(self, request, *, copies_count, targets_count):
        """End targets at once, of which some run sound copies of a request."""
        for number in range(targets_count):
            gateway = self.gateways[number % len(self.gateways)]
            own = [(gateway, request)] if number < copies_count else []
            self.end_target(number, own)

    def is_served(self, request):
        """Return whether each gateway sends a copy of the request."""
        return not any(
            gateway.is_blocked(request, now_ms=self.now_ms)
            or not gateway.may_run_beside(request, [], now_ms=self.now_ms)
            for gateway in self.gateways
        )

    def end_target(self, number, lost=()):
        """End a target, with the lost requests and those of others."""
        target = f"t{number}/{self.now_ms}"
        others = [(self.rng.choice(self.gateways), self._other()) for _ in range(2)]
        for gateway, request in (*lost, *others):
            gateway.record_loss(
                request,
                target=target,
                is_begun=True,
                now_ms=self.now_ms + self.rng.uniform(0.0, LATENCY_MS),
            )

    def _other(self):
        self._number += 1
        return content(f"other {self._number}", f"session-{self._number % 40}")

    def _merge_all(self):
        for gateway in self.gateways:
            for other in self.gateways:
                gateway.merge(
                    other.lost_requests(), other.cleared_ms(), now_ms=self.now_ms
                )

    def late_count(self, *, crashes_count):
        if len(self.ends_ms) < crashes_count:
            return 0
        from_ms = self.ends_ms[crashes_count - 1] + CONTACT_MS
        return sum(at_ms > from_ms for at_ms in self.sends_ms)


def worlds(gateways_counts=(1, 2, 4, 8)):
    for gateways_count in gateways_counts:
        for copies_count in range(2, COPIES_LIMIT_COUNT + 1):
            for seed in range(2):
                replay = CopiesAtOnce(gateways_count=gateways_count, seed=seed)
                replay.wait(2 * RUN_MS)
                yield copies_count, replay


class CopiesTests(unittest.TestCase):
    """Targets that ended at once under copies of one request counted as one crash."""

    def assert_few_late(self, replays, *, crashes_count=CRASHES_BEFORE_BOUND_COUNT):
        """Check the bound in ``(copies_count, replay)`` pairs."""
        late_counts = {
            (copies_count, len(replay.gateways)): replay.late_count(
                crashes_count=crashes_count
            )
            for copies_count, replay in replays
        }
        too_many = {
            world: count
            for world, count in late_counts.items()
            if count > LATE_SENDS_LIMIT_COUNT
        }
        self.assertEqual(too_many, {})

    def test_a_request_that_comes_several_times_at_once_is_blocked(self):
        replays = list(worlds())
        for copies_count, replay in replays:
            request = content("crashing")
            for _ in range(ROUNDS_COUNT):
                replay.come(request, copies_count=copies_count)
                replay.wait(ROUND_MS)
            self.assertTrue(replay.is_served(content("another")))
            self.assertFalse(replay.is_served(request))
        self.assert_few_late(replays)

    def check_part(self, gateways_counts):
        replays = list(worlds(gateways_counts))
        for copies_count, replay in replays:
            for number in range(ROUNDS_COUNT):
                request = content(f"crashing {number}", CRASHING_PART)
                replay.come(request, copies_count=copies_count)
                replay.wait(ROUND_MS)
            self.assertTrue(replay.is_served(content("another")))
        self.assert_few_late(replays, crashes_count=PART_CRASHES_BEFORE_BOUND_COUNT)

    def test_so_is_a_part_of_such_requests(self):
        self.check_part((1, 2, 3))

    def test_so_is_a_part_of_such_requests_at_many_gateways(self):
        self.check_part((4, 8))

    def check_chance(self, gateways_counts):
        replays = list(worlds(gateways_counts))
        for copies_count, replay in replays:
            request = content("crashing")
            replay.come(request, copies_count=copies_count)
            replay.end_target(COPIES_LIMIT_COUNT)
            for _ in range(ROUNDS_COUNT):
                replay.wait(ROUND_MS)
                replay.come(request, copies_count=copies_count)
        self.assert_few_late(replays)

    def test_a_target_that_ends_beside_them_by_chance_does_not_hide_them(self):
        self.check_chance((1, 2, 3))

    def test_such_a_target_does_not_hide_them_at_many_gateways(self):
        self.check_chance((4, 8))


class RackTests(unittest.TestCase):
    """A caller in a hurry whose copies ran at targets of a rack that ended."""

    def test_it_is_served_afterwards(self):
        for copies_count, replay in worlds():
            for targets_count in (copies_count + 1, TARGETS_COUNT):
                if targets_count < 4:
                    continue  # Too few for an outage.
                request = content(f"sound {targets_count}")
                replay.end_rack(
                    request, copies_count=copies_count, targets_count=targets_count
                )
                replay.wait(RUN_MS)
                with self.subTest(
                    copies_count=copies_count,
                    targets_count=targets_count,
                    gateways_count=len(replay.gateways),
                ):
                    self.assertTrue(replay.is_served(request))
                    self.assertTrue(replay.is_served(content("another")))

    def test_its_parts_are_served_also_where_every_target_had_a_copy(self):
        for copies_count, replay in worlds():
            replay.end_rack(
                content("sound"), copies_count=copies_count, targets_count=copies_count
            )
            replay.wait(RUN_MS)
            with self.subTest(
                copies_count=copies_count, gateways_count=len(replay.gateways)
            ):
                self.assertTrue(replay.is_served(content("another")))
