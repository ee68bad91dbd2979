"""Replays content that crashes its targets, and outages that look like it."""

import random
import unittest

from waxwinghold._decisions.crash_suspects import (
    ANSWERS_LIMIT_COUNT,
    CRASHES_LIMIT_COUNT,
    LIFETIME_MS,
    RECORDS_LIMIT_COUNT,
    RECORDS_TOTAL_COUNT,
    TARGETS_LIMIT_COUNT,
    TRUST_MS,
    CrashSuspects,
    RequestContent,
)

COMMON = "common"
CRASHING = "crashing"
CONTACT_MS = 3000.0
CRASHES_BEFORE_BOUND_COUNT = 5
LATE_SENDS_LIMIT_COUNT = 3


def content(*part_names, call="r"):
    return RequestContent(call=(call.encode(),), part_names=part_names, scope="models")


class CrashesUnderOnePart:
    """Replays gateways that get sound and crashing requests, and their targets.

    A crash loses whatever its target runs, and stops all answers for a while, as a
    stalled group does. Gateways merge what they know at an interval.

    Attributes:
        crashes_ms: When targets crashed.
        sends_ms: When requests with the crashing part were sent, by gateways that had
            run for ``CONTACT_MS``.
        sound_sent_count: Sound requests sent in the last ``CONTACT_MS``.
        sound_blocked_count: Sound requests blocked in the last ``CONTACT_MS``.
    """

    def __init__(self, *, gateways_count, stall_ms, seed=1, restarts=False):
        self.rng = random.Random(seed)
        self.gateways = [CrashSuspects() for _ in range(gateways_count)]
        self.stall_ms = stall_ms
        self.restarts = restarts
        self.crashes_ms = []
        self.sends_ms = []
        self.sound_sent_count = 0
        self.sound_blocked_count = 0
        self._started_ms = {}
        self._stalled_until_ms = 0.0
        self._number = 0

    def run(self, *, for_ms, step_ms=50.0, merge_ms=400.0):
        steps_count = int(for_ms / step_ms)
        for step in range(steps_count):
            now_ms = 1e6 + step * step_ms
            is_late = step * step_ms > for_ms - CONTACT_MS
            self._sound(now_ms, is_late=is_late)
            if step % 4 == 0:
                self._crashing(now_ms)
            if now_ms % merge_ms == 0:
                self._merge_all(now_ms)
            if self.restarts and step % 40 == 0:
                index = step // 40 % len(self.gateways)
                self.gateways[index] = CrashSuspects()
                self._started_ms[self.gateways[index]] = now_ms

    def _sound(self, now_ms, *, is_late):
        request = self._content(COMMON, f"session-{self.rng.randrange(40)}")
        gateway = self.rng.choice(self.gateways)
        is_blocked = gateway.is_blocked(request, now_ms=now_ms)
        if is_late:
            self.sound_sent_count += not is_blocked
            self.sound_blocked_count += is_blocked
        if not is_blocked and now_ms >= self._stalled_until_ms:
            gateway.record_answer(target="alive", sent_ms=now_ms - 100)
            gateway.record_run(request, now_ms=now_ms)

    def _crashing(self, now_ms):
        request = self._content(COMMON, f"session-{self.rng.randrange(40)}", CRASHING)
        gateway = self.rng.choice(self.gateways)
        if gateway.is_blocked(request, now_ms=now_ms):
            return
        if now_ms - self._started_ms.get(gateway, 0.0) > CONTACT_MS:
            self.sends_ms.append(now_ms)
        if now_ms < self._stalled_until_ms:
            return
        target = f"t{len(self.crashes_ms)}/1"
        self.crashes_ms.append(now_ms)
        self._stalled_until_ms = now_ms + self.stall_ms
        gateway.record_loss(request, target=target, is_begun=True, now_ms=now_ms)
        for _ in range(3):
            beside = self._content(COMMON, f"session-{self.rng.randrange(40)}")
            self.rng.choice(self.gateways).record_loss(
                beside, target=target, is_begun=False, now_ms=now_ms
            )

    def _content(self, *part_names):
        self._number += 1
        return content(*part_names, call=str(self._number))

    def _merge_all(self, now_ms):
        for gateway in self.gateways:
            for other in self.gateways:
                if other is not gateway and other.version != gateway.version:
                    gateway.merge(
                        other.lost_requests(), other.cleared_ms(), now_ms=now_ms
                    )


class CrashingPartTests(unittest.TestCase):
    def check(self, *, seeds_count=5, for_ms=30_000.0, **options):
        for seed in range(seeds_count):
            replay = CrashesUnderOnePart(seed=seed, **options)
            replay.run(for_ms=for_ms)
            with self.subTest(seed=seed):
                if len(replay.crashes_ms) >= CRASHES_BEFORE_BOUND_COUNT:
                    fifth_ms = replay.crashes_ms[CRASHES_BEFORE_BOUND_COUNT - 1]
                    late = [at for at in replay.sends_ms if at > fifth_ms + CONTACT_MS]
                    self.assertLessEqual(len(late), LATE_SENDS_LIMIT_COUNT)
                self.assertGreater(replay.sound_sent_count, replay.sound_blocked_count)

    def test_a_part_is_blocked_everywhere_and_sound_requests_go_on(self):
        self.check(gateways_count=7, stall_ms=1500.0)

    def test_it_is_blocked_at_98_gateways(self):
        self.check(gateways_count=98, stall_ms=1500.0, seeds_count=1, for_ms=12_000.0)

    def test_it_is_blocked_while_nothing_is_answered_between_crashes(self):
        self.check(gateways_count=7, stall_ms=200.0)

    def test_it_stays_blocked_while_all_gateways_restart_in_turn(self):
        self.check(gateways_count=7, stall_ms=1500.0, restarts=True)


class DecisionTests(unittest.TestCase):
    def setUp(self):
        self.suspects = CrashSuspects()
        self.now_ms = 1e6

    def crash(self, request, *, target, is_begun=True, at_ms=None):
        self.now_ms += 1000.0 if at_ms is None else 0.0
        self.suspects.record_loss(
            request,
            target=target,
            is_begun=is_begun,
            now_ms=self.now_ms if at_ms is None else at_ms,
        )

    def answer(self, request, *, target="other", sent_ms=0.0, has_run=True):
        self.suspects.record_answer(target=target, sent_ms=sent_ms)
        if has_run:
            self.suspects.record_run(request, now_ms=self.now_ms)

    def is_blocked(self, request):
        return self.suspects.is_blocked(request, now_ms=self.now_ms)

    def crash_part(self, *part_names, count=CRASHES_LIMIT_COUNT):
        for number in range(count):
            request = content(*part_names, call=f"c{number}")
            self.crash(request, target=f"t{number}")

    def test_a_repeated_request_is_blocked_but_not_its_parts(self):
        for number in range(CRASHES_LIMIT_COUNT):
            self.assertFalse(self.is_blocked(content("a", call="same")))
            self.crash(content("a", call="same"), target=f"t{number}")
        self.assertTrue(self.is_blocked(content("a", call="same")))
        self.assertFalse(self.is_blocked(content("a", call="other")))

    def test_several_requests_at_one_target_are_one_crash(self):
        for number in range(5):
            self.crash(content("a", call=str(number)), target="t")
        self.assertFalse(self.is_blocked(content("a")))

    def test_the_most_specific_part_is_blocked(self):
        self.crash_part("a", "b")
        self.assertTrue(self.is_blocked(content("a", "b")))
        self.assertFalse(self.is_blocked(content("a", "c")))

    def test_a_part_that_was_answered_since_is_not_blocked(self):
        self.crash_part("a", count=CRASHES_LIMIT_COUNT - 1)
        self.answer(content("a", call="sound"))
        self.crash(content("a", call="last"), target="t-last")
        self.assertFalse(self.is_blocked(content("a")))

    def test_a_part_that_was_answered_shortly_before_needs_more_crashes(self):
        self.answer(content("a", call="sound"))
        self.crash_part("a")
        self.assertFalse(self.is_blocked(content("a")))

    def test_a_part_beside_the_guilty_one_is_not_blocked_by_its_crashes(self):
        self.answer(content("a", call="sound"))
        self.crash_part("a", "b", count=5)
        self.crash(content("a", call="x"), target="t-x")
        self.assertFalse(self.is_blocked(content("a")))

    def test_requests_that_the_target_had_not_begun_get_no_blame(self):
        for number in range(CRASHES_LIMIT_COUNT):
            waiting = content("w", call=f"w{number}")
            self.crash(waiting, target=f"t{number}", is_begun=False)
            self.crash(content("a", call=f"c{number}"), target=f"t{number}")
        self.assertTrue(self.is_blocked(content("a")))
        self.assertFalse(self.is_blocked(content("w")))

    def lose_many(self, name):
        for number in range(6):
            request = content("a", call=f"{name}{number}")
            self.crash(request, target=f"{name}{number}", at_ms=self.now_ms + number)

    def test_a_request_known_from_another_crash_is_kept_among_many(self):
        for number in range(CRASHES_LIMIT_COUNT):
            for other in range(2 * RECORDS_LIMIT_COUNT):
                beside = content(call=f"{number}/{other}")
                self.crash(beside, target=f"t{number}", at_ms=self.now_ms)
            # The first crash knows it because it came first there.
            if not number:
                self.suspects = CrashSuspects()
            self.crash(content(call="same"), target=f"t{number}")
        self.assertTrue(self.is_blocked(content(call="same")))

    def test_a_blocked_request_stays_blocked_while_many_other_targets_crash(self):
        for number in range(CRASHES_LIMIT_COUNT):
            self.crash(content(call="same"), target=f"t{number}")
        for number in range(2 * TARGETS_LIMIT_COUNT):
            beside = content(call=str(number))
            self.crash(beside, target=f"n{number}", at_ms=self.now_ms + number)
        self.assertTrue(self.is_blocked(content(call="same")))
        self.assertLessEqual(len(self.suspects.lost_requests()), TARGETS_LIMIT_COUNT)

    def test_a_request_counts_beside_others_that_the_targets_had_begun(self):
        for number in range(CRASHES_LIMIT_COUNT):
            self.crash(content("a", call=f"c{number}"), target=f"t{number}")
            same = content("b", call="same")
            self.crash(same, target=f"t{number}", is_begun=False, at_ms=self.now_ms)
        self.assertTrue(self.is_blocked(content("b", call="same")))
        self.assertFalse(self.is_blocked(content("b", call="other")))

    def test_a_request_that_was_lost_in_two_crashes_is_not_sent_again(self):
        request = content(call="same")
        self.crash(request, target="t0")
        self.assertTrue(self.suspects.may_send_again(request, now_ms=self.now_ms))
        self.crash(request, target="t1")
        self.assertFalse(self.suspects.may_send_again(request, now_ms=self.now_ms))
        self.assertFalse(self.is_blocked(request))

    def test_an_outage_of_many_targets_counts_as_one_crash(self):
        self.lose_many("x")
        self.assertFalse(self.is_blocked(content("a")))

    def test_many_crashes_at_once_again_and_again_are_no_outage(self):
        for name in "xyz":
            self.lose_many(name)
            self.now_ms += 300.0
        self.assertTrue(self.is_blocked(content("a")))

    def test_a_target_that_answers_later_requests_has_not_crashed(self):
        self.crash_part("a")
        self.assertTrue(self.is_blocked(content("a")))
        self.answer(content("b"), target="t1", sent_ms=self.now_ms)
        self.assertFalse(self.is_blocked(content("a")))

    def test_an_error_of_a_target_refutes_its_crash_but_clears_no_part(self):
        self.crash_part("a")
        self.answer(content("a"), has_run=False)
        self.assertTrue(self.is_blocked(content("a")))
        self.answer(content("a"), target="t1", sent_ms=self.now_ms, has_run=False)
        self.assertFalse(self.is_blocked(content("a")))

    def test_a_suspicious_request_is_not_sent_again(self):
        request = content("a", call="first")
        self.crash(request, target="t0")
        self.assertTrue(self.suspects.may_send_again(request, now_ms=self.now_ms))
        request = content("a", call="second")
        self.crash(request, target="t1")
        self.assertFalse(self.suspects.may_send_again(request, now_ms=self.now_ms))
        self.assertFalse(self.is_blocked(request))

    def test_a_blocked_part_is_forgotten_in_bounded_time(self):
        self.crash_part("a")
        self.now_ms += LIFETIME_MS
        self.assertFalse(self.is_blocked(content("a")))
        self.assertEqual(self.suspects.version, 0)

    def test_what_others_tell_does_not_prolong_a_block(self):
        self.crash_part("a")
        other = CrashSuspects()
        for _ in range(3):
            self.now_ms += LIFETIME_MS / 2
            lost = self.suspects.lost_requests()
            other.merge(lost, {}, now_ms=self.now_ms)
            self.suspects.merge(other.lost_requests(), {}, now_ms=self.now_ms)
        self.assertFalse(self.is_blocked(content("a")))
        self.assertFalse(other.is_blocked(content("a"), now_ms=self.now_ms))

    def test_gateways_that_know_the_same_have_the_same_version(self):
        self.crash_part("a", "b")
        other = CrashSuspects()
        other.merge(self.suspects.lost_requests(), {}, now_ms=self.now_ms)
        self.assertEqual(other.version, self.suspects.version)
        self.answer(content("a", call="sound"))
        self.assertNotEqual(other.version, self.suspects.version)
        other.merge([], self.suspects.cleared_ms(), now_ms=self.now_ms)
        self.assertEqual(other.version, self.suspects.version)

    def test_memory_is_bounded_and_evidence_is_kept(self):
        self.crash_part("a")
        for number in range(3 * TARGETS_LIMIT_COUNT):
            for call in range(2 * RECORDS_LIMIT_COUNT):
                request = content(f"p{number}", call=f"{number} {call}")
                at_ms = self.now_ms + 100.0 * number
                self.crash(request, target=f"n{number}", is_begun=False, at_ms=at_ms)
        lost_count = len(self.suspects.lost_requests())
        self.assertLessEqual(lost_count, RECORDS_TOTAL_COUNT)
        self.assertTrue(self.is_blocked(content("a")))
        for number in range(2 * ANSWERS_LIMIT_COUNT):
            self.answer(content(f"q{number}"))
        self.assertLessEqual(len(self.suspects._answered_ms), ANSWERS_LIMIT_COUNT)
        self.now_ms += 2 * TRUST_MS
        self.answer(content("last"))
        self.assertEqual(len(self.suspects._answered_ms), 1)
