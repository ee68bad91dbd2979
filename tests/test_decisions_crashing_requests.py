"""Replays a whole request that crashes its targets, beside sound requests."""

import heapq
import random
import unittest

from waxwinghold._decisions.crash_suspects import (
    CrashSuspects,
    Reachability,
    RequestContent,
    may_show_crash,
    shows_crash,
)

TARGETS_COUNT = 3
RESTART_MS = 1500.0
STEP_MS = 10.0
MERGE_INTERVAL_MS = 400.0
GATEWAY_RESTART_INTERVAL_MS = 2000.0
CRASHING_PER_SECOND = 7
SOUND_PER_SECOND = 40
HOT_CONTENTS_COUNT = 10
ATTEMPTS_COUNT = 2
CONTACT_MS = 3000.0
CRASHES_BEFORE_BOUND_COUNT = 3
LATE_SENDS_LIMIT_COUNT = 3
SOUND_BLOCKED_LIMIT_RATIO = 0.01
GROUPS_COUNT = 3
RANKS_COUNT = 4
STALL_MS = 1500.0
FORM_MS = 600.0
RUN_MS = 2800.0
EVENT_MS = 60.0
STREAM_INTERVAL_MS = 3400.0
CRASHING_STREAMS_COUNT = 6
CRASHING_STREAMS_INTERVAL_MS = 7000.0


def content(call):
    return RequestContent(call=(call.encode(),), scope="models")


def late_sends(replay, request):
    """Return the sends later than ``CONTACT_MS`` after the third end."""
    ends_ms = replay.ends_ms[request.digest]
    if len(ends_ms) < CRASHES_BEFORE_BOUND_COUNT:
        return []
    from_ms = ends_ms[CRASHES_BEFORE_BOUND_COUNT - 1] + CONTACT_MS
    return [at_ms for at_ms in replay.sends_ms[request.digest] if at_ms > from_ms]


class _Target:
    def __init__(self, number):
        self.number = number
        self.born = 0
        self.up_from_ms = 0.0

    @property
    def incarnation(self):
        return f"t{self.number}/{self.born}"

    def crash(self, now_ms):
        self.born += 1
        self.up_from_ms = now_ms + RESTART_MS


class CrashesUnderOneRequest:
    """Replays gateways, the targets of a service, and requests that crash them.

    Args:
        gateways_count: Gateways that the requests come to at random.
        contents_count: Different requests that crash targets; all come again and again.
        others_count: Other requests that are lost in each crash.
        error_ratio: Share of the sends that a target answers with an error, without
            running the request.
        restarts: Whether the gateways are restarted in turn.

    Attributes:
        ends_ms: When targets crashed, by the crashing request.
        sends_ms: When each crashing request was sent, by gateways that had run for
            ``CONTACT_MS``.
        sound_count: Sound requests so far.
        sound_blocked_count: Those of them that were blocked.
    """

    def __init__(
        self,
        *,
        gateways_count,
        seed,
        contents_count=1,
        others_count=0,
        error_ratio=0.0,
        restarts=False,
    ):
        self.rng = random.Random(seed)
        self.gateways = [CrashSuspects() for _ in range(gateways_count)]
        self.targets = [_Target(number) for number in range(TARGETS_COUNT)]
        self.crashing = [content(f"crashing {n}") for n in range(contents_count)]
        self.others_count = others_count
        self.error_ratio = error_ratio
        self.restarts = restarts
        self.ends_ms = {request.digest: [] for request in self.crashing}
        self.sends_ms = {request.digest: [] for request in self.crashing}
        self.sound_count = 0
        self.sound_blocked_count = 0
        self._started_ms = {}
        self._learnt = {}  # The version that each gateway learnt from each other one.
        self._number = 0

    def run(self, *, for_ms):
        for step in range(int(for_ms / STEP_MS)):
            now_ms = 1e6 + step * STEP_MS
            for request in self.crashing:
                if self._happens(CRASHING_PER_SECOND):
                    self._send_crashing(request, now_ms)
            if self._happens(SOUND_PER_SECOND):
                self._send_sound(now_ms)
            if now_ms % MERGE_INTERVAL_MS == 0:
                self._merge_all(now_ms)
            if self.restarts and now_ms % GATEWAY_RESTART_INTERVAL_MS == 0:
                self._restart_gateway(now_ms)

    def _happens(self, per_second):
        return self.rng.random() < per_second * STEP_MS / 1000

    def _up(self, now_ms):
        up = [target for target in self.targets if target.up_from_ms <= now_ms]
        return self.rng.choice(up) if up else None

    def _send_crashing(self, request, now_ms):
        gateway = self.rng.choice(self.gateways)
        for attempt in range(ATTEMPTS_COUNT):
            target = self._up(now_ms)
            if target is None or gateway.is_blocked(request, now_ms=now_ms):
                return
            if attempt and not gateway.may_send_again(request, now_ms=now_ms):
                return
            if now_ms - self._started_ms.get(gateway, 0.0) > CONTACT_MS:
                self.sends_ms[request.digest].append(now_ms)
            if self.rng.random() < self.error_ratio:
                self._answer(gateway, request, target, now_ms, has_run=False)
            else:
                self._crash(gateway, request, target, now_ms)

    def _answer(self, gateway, request, target, now_ms, *, has_run=True):
        gateway.record_answer(target=target.incarnation, sent_ms=now_ms)
        if has_run:
            gateway.record_run(request, now_ms=now_ms)

    def _crash(self, gateway, request, target, now_ms):
        self.ends_ms[request.digest].append(now_ms)
        lost = [(gateway, request)]
        for _ in range(self.others_count):
            lost.append((self.rng.choice(self.gateways), self._unique()))
        self.rng.shuffle(lost)
        for loser, other in lost:
            loser.record_loss(
                other, target=target.incarnation, is_begun=False, now_ms=now_ms
            )
        target.crash(now_ms)

    def _send_sound(self, now_ms):
        request = content(f"hot {self.rng.randrange(HOT_CONTENTS_COUNT)}")
        gateway = self.rng.choice(self.gateways)
        target = self._up(now_ms)
        self.sound_count += 1
        if gateway.is_blocked(request, now_ms=now_ms):
            self.sound_blocked_count += 1
        elif target is not None:
            self._answer(gateway, request, target, now_ms)

    def _unique(self):
        self._number += 1
        return content(f"other {self._number}")

    def _merge_all(self, now_ms):
        for gateway in self.gateways:
            for other in self.gateways:
                known = (0, gateway.version, self._learnt.get((gateway, other)))
                if other.version not in known:
                    self._learnt[gateway, other] = other.version
                    gateway.merge(
                        other.lost_requests(), other.cleared_ms(), now_ms=now_ms
                    )

    def _restart_gateway(self, now_ms):
        index = int(now_ms // GATEWAY_RESTART_INTERVAL_MS) % len(self.gateways)
        self.gateways[index] = CrashSuspects()
        self._started_ms[self.gateways[index]] = now_ms


class CrashingRequestTests(unittest.TestCase):
    def check(self, *, seeds_count=4, for_ms=30_000.0, **options):
        for gateways_count in (3, 7, 40):
            for seed in range(seeds_count if gateways_count < 40 else 1):
                replay = CrashesUnderOneRequest(
                    gateways_count=gateways_count, seed=seed, **options
                )
                replay.run(for_ms=for_ms)
                with self.subTest(gateways_count=gateways_count, seed=seed):
                    for request in replay.crashing:
                        late_count = len(late_sends(replay, request))
                        self.assertLessEqual(late_count, LATE_SENDS_LIMIT_COUNT)
                    self.assertLessEqual(
                        replay.sound_blocked_count,
                        SOUND_BLOCKED_LIMIT_RATIO * replay.sound_count,
                    )

    def test_a_request_that_crashes_targets_stops_reaching_them(self):
        self.check()

    def test_several_such_requests_at_once_stop_reaching_targets(self):
        self.check(contents_count=3)

    def test_it_is_found_among_6_other_requests_that_are_lost_with_it(self):
        self.check(others_count=6)

    def test_it_is_found_among_24_other_requests_that_are_lost_with_it(self):
        self.check(others_count=24)

    def test_an_error_that_is_no_run_does_not_clear_it(self):
        self.check(error_ratio=1 / 7)

    def test_frequent_errors_that_are_no_runs_do_not_clear_it(self):
        self.check(error_ratio=0.4)

    def test_it_is_found_among_lost_requests_errors_and_restarted_gateways(self):
        self.check(contents_count=3, others_count=6, error_ratio=1 / 7, restarts=True)


class _Rank(_Target):
    """A rank that stalls from a crash in its group until the crashed one is back."""

    def __init__(self, number, group):
        super().__init__(number)
        self.group = group
        self.group.append(self)

    def is_stalled(self, now_ms):
        return any(rank.up_from_ms + FORM_MS > now_ms for rank in self.group)

    def reachability(self, now_ms):
        is_up = self.up_from_ms <= now_ms
        return Reachability.ACCEPTING if is_up else Reachability.REFUSING


class StreamsInGroups:
    """Replays streams of which some crash ranks after their first event.

    The other ranks of the group cut off the streams that they run ``STALL_MS`` later.
    Each stream is resumed once elsewhere, and comes again; the crashing ones begin one
    after the other.

    Args:
        gateways_count: Gateways that the streams come to at random.
        knows_stalls: Whether the gateways hear that a group is stalled.

    Attributes:
        ends_ms: When targets crashed, by the crashing stream.
        sends_ms: When each crashing stream was sent.
        cut_off_count: How often a sound stream was cut off.
        refused_count: How often one was blocked, or not resumed as a suspect.
    """

    def __init__(self, *, gateways_count, seed, knows_stalls):
        self.rng = random.Random(seed)
        self.gateways = [CrashSuspects() for _ in range(gateways_count)]
        groups = [[] for _ in range(GROUPS_COUNT)]
        self.ranks = [
            _Rank(number, groups[number % GROUPS_COUNT])
            for number in range(GROUPS_COUNT * RANKS_COUNT)
        ]
        self.knows_stalls = knows_stalls
        self.crashing = [
            content(f"crashing {n}") for n in range(CRASHING_STREAMS_COUNT)
        ]
        self.ends_ms = {request.digest: [] for request in self.crashing}
        self.sends_ms = {request.digest: [] for request in self.crashing}
        self.cut_off_count = 0
        self.refused_count = 0
        self._events = []  # What happens later: time, number, function.

    def run(self, *, for_ms):
        end_ms = 1e6 + for_ms
        for number, request in enumerate(self.crashing):
            self._at(
                1e6 + number * CRASHING_STREAMS_INTERVAL_MS,
                lambda now_ms, request=request: self._come(request, now_ms),
            )
        for number in range(GROUPS_COUNT * RANKS_COUNT):
            self._at(
                1e6 + 100.0 * number,
                lambda now_ms, call=f"sound {number}": self._come(
                    content(call), now_ms
                ),
            )
        self._at(1e6, self._merge_all)
        while self._events and self._events[0][0] < end_ms:
            now_ms, _, function = heapq.heappop(self._events)
            function(now_ms)

    def _at(self, time_ms, function):
        heapq.heappush(self._events, (time_ms, self.rng.random(), function))

    def _come(self, request, now_ms):
        self._at(
            now_ms + STREAM_INTERVAL_MS, lambda later_ms: self._come(request, later_ms)
        )
        gateway = self.rng.choice(self.gateways)
        if not gateway.is_blocked(request, now_ms=now_ms):
            self._send(gateway, request, now_ms, attempts_count=ATTEMPTS_COUNT)
        elif not self._is_crashing(request):
            self.refused_count += 1

    def _is_crashing(self, request):
        return request.digest in self.ends_ms

    def _send(self, gateway, request, now_ms, *, attempts_count):
        open_ranks = [rank for rank in self.ranks if not rank.is_stalled(now_ms)]
        if not open_ranks:
            return
        rank = self.rng.choice(open_ranks)
        sent = (gateway, request, rank, now_ms, attempts_count - 1)
        if self._is_crashing(request):
            self.sends_ms[request.digest].append(now_ms)
            self._at(now_ms + EVENT_MS, lambda later_ms: self._crash(sent, later_ms))
        else:
            self._at(now_ms + RUN_MS, lambda later_ms: self._end(sent, later_ms))

    def _crash(self, sent, now_ms):
        gateway, request, rank, sent_ms, _ = sent
        gateway.record_answer(target=rank.incarnation, sent_ms=sent_ms)
        if rank.is_stalled(now_ms):
            return  # It ran no further.
        incarnation = rank.incarnation
        self.ends_ms[request.digest].append(now_ms)
        rank.crash(now_ms)
        self._lose(sent, incarnation, now_ms)

    def _end(self, sent, now_ms):
        gateway, request, rank, sent_ms, _ = sent
        gateway.record_answer(target=rank.incarnation, sent_ms=sent_ms)
        if not rank.is_stalled(now_ms):
            gateway.record_run(request, now_ms=now_ms)
            return
        self.cut_off_count += 1
        self._at(
            now_ms + STALL_MS,
            lambda later_ms: self._lose(sent, rank.incarnation, later_ms),
        )

    def _lose(self, sent, incarnation, now_ms):
        gateway, request, rank, _, attempts_count = sent
        is_stalled = self.knows_stalls and rank.incarnation == incarnation
        may_have_crashed = may_show_crash(
            is_listed=True, is_leaving=False, is_stalled=is_stalled
        )
        if may_have_crashed and shows_crash(rank.reachability(now_ms), is_begun=True):
            gateway.record_loss(
                request, target=incarnation, is_begun=True, now_ms=now_ms
            )
        if not attempts_count:
            return
        if gateway.may_send_again(request, now_ms=now_ms):
            self._send(gateway, request, now_ms, attempts_count=attempts_count)
        elif not self._is_crashing(request):
            self.refused_count += 1

    def _merge_all(self, now_ms):
        self._at(now_ms + MERGE_INTERVAL_MS, self._merge_all)
        for gateway in self.gateways:
            for other in self.gateways:
                gateway.merge(other.lost_requests(), other.cleared_ms(), now_ms=now_ms)


class CrashingStreamTests(unittest.TestCase):
    """A stream that crashed targets after its first event was sent on without end."""

    def test_it_stops_reaching_targets_and_cut_off_streams_go_on(self):
        for knows_stalls in (False, True):
            for gateways_count in (1, 7):
                for seed in range(4):
                    replay = StreamsInGroups(
                        gateways_count=gateways_count,
                        seed=seed,
                        knows_stalls=knows_stalls,
                    )
                    replay.run(for_ms=60_000.0)
                    with self.subTest(
                        knows_stalls=knows_stalls,
                        gateways_count=gateways_count,
                        seed=seed,
                    ):
                        for request in replay.crashing:
                            late_count = len(late_sends(replay, request))
                            self.assertLessEqual(late_count, LATE_SENDS_LIMIT_COUNT)
                        self.assertGreater(replay.cut_off_count, 0)
                        self.assertEqual(replay.refused_count, 0)
