"""What is believed of targets, and which of them gets a request."""

import random
import unittest

from waxwinghold._gateway.model import Target, TargetState
from waxwinghold._gateway.notices import FORMAT, GroupNotice, RankNotice
from waxwinghold._gateway.target_policy import target_policy
from waxwinghold._gateway.targets import TargetPool

from .support.gateway import FakeClock

SLOTS_COUNT = 6


def target(name, *, data_centre="dc-a", state=TargetState.READY, born_ms=1):
    number = int(name.strip("w"))
    return Target(
        name=name,
        service="models",
        address=("127.0.0.1", 1000 + number),
        data_centre=data_centre,
        slots_count=SLOTS_COUNT,
        state=state,
        born_ms=born_ms,
    )


def rank_notice(
    number, *, sequence=1, is_open=True, step=10, running=1, group="g", pace=1.0
):
    return RankNotice(
        format=FORMAT,
        address=f"127.0.0.1:{1000 + number}",
        started_ms=1,
        sequence=sequence,
        born_ms=1,
        group=group,
        epoch=1,
        rank=number,
        size=2,
        is_open=is_open,
        step=step,
        map_version=0,
        prepared=None,
        armed=None,
        held=None,
        orders_count=0,
        running_count=running,
        waiting_count=0,
        pace=pace,
    )


class SeatCase(unittest.TestCase):
    def setUp(self):
        self.clock = FakeClock()
        self.target_pool = TargetPool(clock=self.clock)
        self.target_pool.replace([target("w0"), target("w1")])
        self.policy = target_policy.make(
            "least_held", data_centre="dc-a", rng=random.Random(1)
        )

    def choose(self, tried=frozenset()):
        seat = self.policy.choose(
            self.target_pool.of_service("models"),
            tried=tried,
            now_ms=self.clock.now_ms(),
        )
        return seat.listing.name if seat else None


class ChoiceTests(SeatCase):
    def test_the_counts_of_other_gateways_decide(self):
        self.target_pool.get("w0").peers_in_flight_count = 4
        self.target_pool.get("w1").in_flight_count = 1
        self.assertEqual(self.choose(), "w1")
        naive = target_policy.make("fewest_own", rng=random.Random(1))
        seats = self.target_pool.of_service("models")
        chosen = naive.choose(seats, tried=frozenset(), now_ms=0.0)
        self.assertEqual(chosen.listing.name, "w0")

    def test_a_full_target_gets_nothing(self):
        self.target_pool.get("w0").peers_in_flight_count = SLOTS_COUNT
        self.assertEqual(self.choose(), "w1")
        self.target_pool.get("w1").in_flight_count = SLOTS_COUNT
        self.assertIsNone(self.choose())

    def test_a_target_that_fails_with_good_health_gets_less(self):
        chosen = []
        for _ in range(200):
            name = self.choose()
            chosen.append(name)
            if name == "w0":
                self.target_pool.get("w0").record_error_answer()
            else:
                self.target_pool.get("w1").record_success()
        self.assertLess(chosen.count("w0"), 40)

    def test_a_leaving_target_gets_nothing(self):
        self.target_pool.replace(
            [target("w0", state=TargetState.LEAVING), target("w1")]
        )
        self.assertEqual({self.choose() for _ in range(20)}, {"w1"})

    def test_the_own_data_centre_is_preferred_among_equals(self):
        self.target_pool.replace([target("w0", data_centre="dc-b"), target("w1")])
        self.assertEqual({self.choose() for _ in range(20)}, {"w1"})


class CrowdTests(SeatCase):
    """Forty gateways that choose on counts of a moment ago."""

    TARGETS_COUNT = 64
    GATEWAYS_COUNT = 40

    def most_chosen(self, gateways_count):
        names = [f"w{number}" for number in range(self.TARGETS_COUNT)]
        self.target_pool.replace([target(name) for name in names])
        rng = random.Random(11)
        for seat in self.target_pool:
            seat.peers_in_flight_count = rng.randrange(2, 5)
        chosen = []
        for number in range(self.GATEWAYS_COUNT):
            self.policy = target_policy.make(
                "least_held",
                data_centre="dc-a",
                gateways_count=lambda: gateways_count,
                rng=random.Random(number),
            )
            chosen.append(self.choose())
        held = {
            seat.listing.name: seat.peers_in_flight_count for seat in self.target_pool
        }
        for name in chosen:
            held[name] += 1
        return max(held.values())

    def test_gateways_that_know_of_each_other_overfill_no_target(self):
        self.assertLessEqual(self.most_chosen(self.GATEWAYS_COUNT), SLOTS_COUNT)

    def test_all_gateways_together_compare_every_target_several_times(self):
        names = {f"w{number}" for number in range(self.TARGETS_COUNT)}
        self.target_pool.replace([target(name) for name in names])
        usable = list(self.target_pool)
        compared = set()
        for number in range(self.GATEWAYS_COUNT):
            policy = target_policy.make(
                "least_held",
                data_centre="dc-a",
                gateways_count=lambda: self.GATEWAYS_COUNT,
                rng=random.Random(number),
            )
            compared |= {seat.listing.name for seat in policy._compared(usable)}
        self.assertGreater(len(compared), 0.9 * len(names))


class PaceTests(SeatCase):
    def setUp(self):
        super().setUp()
        self.target_pool.replace([target(f"w{number}") for number in range(4)])
        self.policy = target_policy.make(
            "least_held",
            data_centre="dc-a",
            pace=self.target_pool.group_pace,
            rng=random.Random(1),
        )
        for number in range(4):
            group = "slow" if number < 2 else "usual"
            pace = 5.0 if number == 0 else 1.0
            self.target_pool.update_rank(rank_notice(number, group=group, pace=pace))

    def test_one_slow_rank_makes_its_whole_group_the_second_choice(self):
        self.assertLessEqual({self.choose() for _ in range(40)}, {"w2", "w3"})
        for number in range(4):
            group, pace = ("slow", 5.0) if number < 2 else ("usual", 1.0)
            running = 0 if number < 2 else SLOTS_COUNT - 1
            self.target_pool.update_rank(
                rank_notice(number, sequence=2, group=group, pace=pace, running=running)
            )
        self.assertLessEqual({self.choose() for _ in range(40)}, {"w0", "w1"})

    def test_a_rank_at_its_usual_pace_again_frees_its_group(self):
        notice = rank_notice(0, sequence=2, group="slow", pace=1.0)
        self.target_pool.update_rank(notice)
        self.assertEqual(len({self.choose() for _ in range(80)}), 4)


class BeliefTests(SeatCase):
    def test_a_rejection_with_free_places_pauses_longer_than_a_full_target(self):
        idle, full = self.target_pool.get("w0"), self.target_pool.get("w1")
        full.peers_in_flight_count = SLOTS_COUNT
        idle.record_rejection(now_ms=self.clock.now_ms())
        full.record_rejection(now_ms=self.clock.now_ms())
        self.assertGreater(idle.avoid_until_ms, full.avoid_until_ms + 300)

    def test_failures_in_a_row_pause_longer_and_success_ends_it(self):
        seat = self.target_pool.get("w0")
        pauses = []
        for _ in range(3):
            seat.record_failure(now_ms=0.0)
            pauses.append(seat.avoid_until_ms)
        self.assertEqual(pauses, sorted(set(pauses)))
        seat.record_success()
        self.assertTrue(seat.is_usable(now_ms=0.0))

    def test_a_group_that_is_not_open_gets_nothing(self):
        self.target_pool.update_rank(rank_notice(0, is_open=False))
        self.target_pool.update_rank(rank_notice(1))
        self.assertEqual({self.choose() for _ in range(20)}, {"w1"})

    def test_a_group_without_steps_gets_nothing_until_it_steps(self):
        for sequence in range(1, 8):
            self.clock.time_ms += 100
            self.target_pool.update_rank(rank_notice(0, sequence=sequence, step=10))
            step = 10 + sequence
            self.target_pool.update_rank(rank_notice(1, sequence=sequence, step=step))
        self.assertEqual({self.choose() for _ in range(20)}, {"w1"})
        self.target_pool.update_rank(rank_notice(0, sequence=9, step=11))
        self.assertEqual({self.choose() for _ in range(40)}, {"w0", "w1"})

    def test_an_idle_group_makes_no_steps_and_is_not_stalled(self):
        for sequence in range(1, 12):
            self.clock.time_ms += 100
            self.target_pool.update_rank(rank_notice(0, sequence=sequence, running=0))
        self.assertFalse(self.target_pool.get("w0").is_stalled(self.clock.now_ms()))

    def test_an_older_notice_changes_nothing(self):
        self.target_pool.update_rank(rank_notice(0, sequence=5, is_open=True))
        self.target_pool.update_rank(rank_notice(0, sequence=4, is_open=False))
        self.assertTrue(self.target_pool.get("w0").rank_notice.is_open)

    def test_a_restart_under_the_same_name_is_another_target(self):
        seat = self.target_pool.get("w0")
        seat.record_failure(now_ms=self.clock.now_ms())
        self.target_pool.replace([target("w0", born_ms=2), target("w1")])
        self.assertIsNot(self.target_pool.get("w0"), seat)
        self.assertTrue(
            self.target_pool.get("w0").is_usable(now_ms=self.clock.now_ms())
        )


class LaggingCountsTests(unittest.TestCase):
    """Many gateways whose notices to each other lag behind short requests."""

    GATEWAYS_COUNT = 39
    TARGETS_COUNT = 64
    GATEWAY_NOTICE_MS = 312  # As Peers spaces them for so many gateways.
    RANK_NOTICE_MS = 150
    REQUEST_MS = 1300
    ARRIVALS_PER_MS = 0.15  # Six in ten of the places are taken.
    DURATION_MS = 8000

    def play(self, *, with_ranks):
        """Return the part of the requests that met a full target."""
        rng = random.Random(5)
        clock = FakeClock(0.0)
        names = [f"w{number}" for number in range(self.TARGETS_COUNT)]
        gateways = []
        for number in range(self.GATEWAYS_COUNT):
            seats = TargetPool(clock=clock)
            seats.replace([target(name) for name in names])
            policy = target_policy.make(
                "least_held",
                data_centre="dc-a",
                gateways_count=lambda: self.GATEWAYS_COUNT,
                rng=random.Random(number),
            )
            gateways.append((seats, policy))
        held = dict.fromkeys(names, 0)
        ends, sent_count, full_count, sequence = [], 0, 0, 0
        for now_ms in range(self.DURATION_MS):
            clock.time_ms = float(now_ms)
            while ends and ends[0][0] <= now_ms:
                _, seat = ends.pop(0)
                seat.release_slot()
                held[seat.listing.name] -= 1
            if now_ms % self.GATEWAY_NOTICE_MS == 0:
                self._tell_counts(gateways)
            if with_ranks and now_ms % self.RANK_NOTICE_MS == 0:
                sequence += 1
                self._tell_ranks(gateways, held, sequence)
            if rng.random() >= self.ARRIVALS_PER_MS:
                continue
            seats, policy = rng.choice(gateways)
            everyone = seats.of_service("models")
            seat = policy.choose(everyone, tried=frozenset(), now_ms=now_ms)
            if seat is None:
                continue
            sent_count += 1
            full_count += held[seat.listing.name] >= SLOTS_COUNT
            seat.acquire_slot()
            held[seat.listing.name] += 1
            ends.append((now_ms + self.REQUEST_MS, seat))
        return full_count / sent_count

    def _tell_counts(self, gateways):
        counts = [
            {seat.listing.name: seat.in_flight_count for seat in seats}
            for seats, _ in gateways
        ]
        for number, (seats, _) in enumerate(gateways):
            for seat in seats:
                seat.peers_in_flight_count = sum(
                    one[seat.listing.name]
                    for other, one in enumerate(counts)
                    if other != number
                )

    def _tell_ranks(self, gateways, held, sequence):
        for number, count in enumerate(held.values()):
            notice = rank_notice(
                number, sequence=sequence, step=sequence, running=count
            )
            for seats, _ in gateways:
                seats.update_rank(notice)

    def test_the_counts_of_the_ranks_spare_most_sends_to_full_targets(self):
        told, untold = self.play(with_ranks=True), self.play(with_ranks=False)
        # A refusal while places are free is to be the exception.
        self.assertLess(told, 0.02)
        self.assertLess(told, untold)

    def test_own_requests_since_the_notice_count(self):
        clock = FakeClock()
        seats = TargetPool(clock=clock)
        seats.replace([target("w0")])
        seat = seats.get("w0")
        seats.update_rank(rank_notice(0, running=2))
        clock.time_ms += 50
        seat.acquire_slot()
        seat.acquire_slot()
        self.assertEqual(seat.total_in_flight_count(now_ms=clock.now_ms()), 4)
        seat.release_slot()
        self.assertEqual(seat.total_in_flight_count(now_ms=clock.now_ms()), 3)
        clock.time_ms += 50
        seats.update_rank(rank_notice(0, running=3, sequence=2))
        self.assertEqual(seat.total_in_flight_count(now_ms=clock.now_ms()), 3)

    def test_without_news_of_the_rank_the_gateways_counts_hold(self):
        clock = FakeClock()
        seats = TargetPool(clock=clock)
        seats.replace([target("w0")])
        seat = seats.get("w0")
        seat.peers_in_flight_count = 4
        seats.update_rank(rank_notice(0, running=1))
        self.assertEqual(seat.total_in_flight_count(now_ms=clock.now_ms()), 1)
        clock.time_ms += 600
        self.assertEqual(seat.total_in_flight_count(now_ms=clock.now_ms()), 4)


class GroupNoticeTests(SeatCase):
    """One notice of the leader tells of every rank of its group."""

    def setUp(self):
        super().setUp()
        for number in range(2):
            self.target_pool.update_rank(rank_notice(number, running=1))
        self.clock.time_ms += 200

    def tell(self, *, sequence=1, epoch=1, ranks, step=11, is_open=True):
        self.target_pool.update_group(
            GroupNotice(
                format=FORMAT,
                started_ms=1,
                sequence=sequence,
                group="g",
                epoch=epoch,
                is_open=is_open,
                step=step,
                ranks=ranks,
            )
        )

    def held(self):
        now_ms = self.clock.now_ms()
        return [
            self.target_pool.get(name).total_in_flight_count(now_ms=now_ms)
            for name in ("w0", "w1")
        ]

    def test_it_tells_what_each_rank_holds(self):
        self.tell(ranks=[(0, 20, 3, 1), (1, 40, 2, 0)])
        self.assertEqual(self.held(), [4, 2])

    def test_what_it_heard_before_the_ranks_own_word_changes_nothing(self):
        self.tell(ranks=[(0, 250, 5, 0), (1, 40, 2, 0)])
        self.assertEqual(self.held(), [1, 2])

    def test_a_late_or_doubled_one_and_one_of_another_epoch_change_nothing(self):
        self.tell(sequence=2, ranks=[(0, 0, 2, 0), (1, 0, 2, 0)])
        self.clock.time_ms += 100
        self.tell(sequence=2, ranks=[(0, 0, 5, 0)])
        self.tell(sequence=1, ranks=[(0, 0, 5, 0)])
        self.tell(sequence=3, epoch=2, ranks=[(0, 0, 5, 0)])
        self.assertEqual(self.held(), [2, 2])

    def test_a_group_that_is_not_open_gets_nothing(self):
        self.tell(ranks=[(0, 0, 1, 0), (1, 0, 1, 0)], is_open=False)
        self.assertIsNone(self.choose())

    def test_a_rank_that_it_leaves_out_is_believed_less_and_less(self):
        self.target_pool.get("w1").peers_in_flight_count = 4
        for sequence in range(5):
            self.clock.time_ms += 100
            self.tell(sequence=sequence + 1, step=20 + sequence, ranks=[(0, 0, 1, 0)])
        self.assertEqual(self.held(), [1, 4])
