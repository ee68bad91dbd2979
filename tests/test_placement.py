"""Expert placement: valid plans, even ranks or few moves depending on weights."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from waxwinghold._policy import GroupShape, placement_policy
from waxwinghold_bench.placement_bench import (
    ARCHIVE_WEIGHTS,
    GUILD_WEIGHTS,
    moves_lower_bound,
    replay_day,
)
from waxwinghold_bench.traces import EXPERTS_COUNT, expert_demand

SIXTEEN = GroupShape(ranks_count=16, expert_slots_count=5)
SIXTY_FOUR = GroupShape(ranks_count=64, expert_slots_count=2)
MINUTE_MS = 60_000.0


class SoundnessTests(unittest.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=25)
    @given(
        st.sampled_from(placement_policy.names()),
        st.sampled_from((SIXTEEN, SIXTY_FOUR)),
        st.lists(
            st.lists(st.floats(0, 1e6), min_size=64, max_size=64),
            min_size=1,
            max_size=3,
        ),
    )
    def test_every_plan_can_be_loaded(self, name, shape, demands):
        policy = placement_policy.make(name)
        current = None
        for demand in demands:
            plan = policy.plan(
                demand=demand, shape=shape, weights=GUILD_WEIGHTS, current=current
            )
            experts_by_rank = [set(experts) for experts in plan.ranks]
            self.assertEqual(set().union(*experts_by_rank), set(range(EXPERTS_COUNT)))
            self.assertEqual(len(experts_by_rank), shape.ranks_count)
            self.assertLessEqual(max(map(len, plan.ranks)), shape.expert_slots_count)
            self.assertEqual(
                list(map(len, experts_by_rank)), list(map(len, plan.ranks))
            )
            previous_ranks = current.ranks if current else ((),) * shape.ranks_count
            if plan is not current:
                loaded = {(move.rank, move.expert) for move in plan.moves}
                needed = {
                    (rank, expert)
                    for rank, experts in enumerate(experts_by_rank)
                    for expert in experts - set(previous_ranks[rank])
                }
                self.assertEqual(loaded, needed)
            current = plan


class PriceTests(unittest.TestCase):
    def test_even_demand_moves_nothing(self):
        policy = placement_policy.make("repair")
        demand = [1.0] * EXPERTS_COUNT
        arguments = {"demand": demand, "shape": SIXTEEN, "weights": GUILD_WEIGHTS}
        first = policy.plan(**arguments)
        second = policy.plan(**arguments, current=first, now_ms=MINUTE_MS)
        self.assertIs(second, first)

    def test_a_high_skew_weight_gives_even_ranks(self):
        for seed in (1, 2):
            trace = expert_demand(seed=seed)[300:540]
            day = replay_day(
                "repair", shape=SIXTEEN, weights=GUILD_WEIGHTS, trace=trace
            )
            with self.subTest(seed=seed):
                self.assertLessEqual(day.percentile(95), 1.05)

    def test_a_high_move_weight_gives_few_moves(self):
        for shape in (SIXTEEN, SIXTY_FOUR):
            trace = expert_demand(seed=1)[300:420]
            arguments = {"shape": shape, "weights": ARCHIVE_WEIGHTS, "trace": trace}
            day = replay_day("repair", **arguments)
            baseline = replay_day("replan_always", **arguments)
            least_count = moves_lower_bound(trace, shape=shape, skew=day.skews[-1])
            with self.subTest(ranks=shape.ranks_count):
                self.assertLessEqual(day.skews[-1], 1.25)
                self.assertLessEqual(5 * day.moves_count, baseline.moves_count)
                self.assertLessEqual(least_count, day.moves_count)
