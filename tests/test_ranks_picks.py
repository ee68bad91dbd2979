"""Counts of choices travel small, and lose nothing that a plan rests on."""

import math
import random
import unittest

from waxwinghold._gateway.notices import FORMAT, CountsNotice, encoder
from waxwinghold._ranks.count_codec import CountDeltas, CountTotals, pack, unpack
from waxwinghold._ranks.demand import RecentDemand

RANKS_COUNT = 32
SETS_COUNT = 12
EXPERTS_COUNT = 128
PLACES_COUNT = 5
# Of the link of a machine that leads a group, for counts that come each 400 ms.
LINK_BITS_PER_S = 4_000_000
LINK_SHARE = 0.3
COUNTS_PER_S = 2.5


def counts(rng, total=50_000):
    """Return skewed counts of one set."""
    weights = [1 / (place + 1) for place in range(EXPERTS_COUNT)]
    rng.shuffle(weights)
    scale = total / sum(weights)
    return [round(weight * scale) for weight in weights]


class PackTests(unittest.TestCase):
    def test_what_comes_back_is_near(self):
        rows = [counts(random.Random(seed)) for seed in range(4)] + [[0] * 8, [1] * 8]
        for row, again in zip(rows, unpack(*pack(rows))):
            for value, near in zip(row, again):
                step = (max(row) or 1) / 255**2
                bound = math.sqrt(value * step) + step
                self.assertLessEqual(abs(value - near), bound)

    def test_the_many_with_little_demand_keep_their_part(self):
        row = counts(random.Random(1))
        light = sorted(range(EXPERTS_COUNT), key=row.__getitem__)[:100]
        again = unpack(*pack([row]))[0]
        ratio = sum(again[one] for one in light) / sum(row[one] for one in light)
        self.assertAlmostEqual(ratio, 1.0, delta=0.02)

    def test_the_counts_of_a_large_group_leave_its_leader_s_link_free(self):
        rows = [counts(random.Random(seed)) for seed in range(SETS_COUNT)]
        scales, packed = pack(rows)
        notice = CountsNotice(
            format=FORMAT,
            address="10.1.0.28:8466",
            born_ms=1_700_000_000_000,
            group="g0-0",
            epoch=3,
            rank=31,
            scales=scales,
            grown=packed,
            map_version=9,
            held=[[90] * PLACES_COUNT] * SETS_COUNT,
        )
        bits_per_s = len(encoder.encode(notice)) * 8 * COUNTS_PER_S * RANKS_COUNT
        self.assertLess(bits_per_s, LINK_SHARE * LINK_BITS_PER_S)


class GrowthTests(unittest.TestCase):
    def test_only_growth_under_one_start_counts(self):
        growth = CountDeltas()
        self.assertIsNone(growth.since_last([[5, 1]], key=1))
        self.assertEqual(growth.since_last([[7, 1]], key=1), [[2, 0]])
        self.assertIsNone(growth.since_last([[3, 3]], key=2))
        self.assertEqual(growth.since_last([[3, 4]], key=2), [[0, 1]])

    def test_counts_that_shrink_are_those_of_a_new_start(self):
        """A rank that restarts between its report and its counts."""
        growth = CountDeltas()
        growth.since_last([[5, 9]], key=1)
        self.assertIsNone(growth.since_last([[7, 2]], key=1))
        grown = growth.since_last([[8, 4]], key=1)
        self.assertEqual(grown, [[1, 2]])
        self.assertTrue(pack(grown))

    def test_a_lost_notice_is_missing_and_disturbs_nothing(self):
        totals = CountTotals()
        self.assertEqual(totals.add(0, [[2, 0]], born_ms=1), [[2, 0]])
        self.assertEqual(totals.add(0, [[1, 4]], born_ms=1), [[3, 4]])
        self.assertEqual(totals.add(0, [[1, 1]], born_ms=2), [[1, 1]])
        self.assertEqual(totals.add(1, [[5, 5]], born_ms=1), [[5, 5]])

    def test_the_demand_of_all_ranks_is_kept_in_order(self):
        rng = random.Random(3)
        demand, totals = RecentDemand(), CountTotals()
        expected = [0.0] * EXPERTS_COUNT
        for round_number in range(3):
            for rank in range(4):
                row = counts(random.Random(rank))
                if round_number:
                    expected = [a + b for a, b in zip(expected, row)]
                again = unpack(*pack([row]))
                demand.add_counts(
                    rank=rank,
                    born_ms=1,
                    counts=totals.add(rank, again, born_ms=1),
                    now_ms=round_number * 400.0 + rng.random(),
                )
        found = demand.by_set()[0]
        hottest = sorted(range(EXPERTS_COUNT), key=expected.__getitem__)[-10:]
        for expert in hottest:
            self.assertAlmostEqual(found[expert] / expected[expert], 1.0, delta=0.03)
