"""Expert placement: sound plans, even ranks for one price, few moves for another."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from waxwinghold._policy import GroupShape, placement_policy, plan_skew
from waxwinghold._sheet.model import PlacementWeights
from waxwinghold_bench.traces import EXPERTS_COUNT, expert_demand

GUILD = PlacementWeights(skew_weight=10, move_weight=1, skew_limit=1.05)
ARCHIVE = PlacementWeights(skew_weight=0.1, move_weight=5, skew_limit=1.25)
SIXTEEN = GroupShape(ranks_count=16, places_count=5)
SIXTY_FOUR = GroupShape(ranks_count=64, places_count=2)
MINUTE_MS = 60_000.0


def replay(name, *, shape, weights, trace):
    """Return the skew a minute after each plan, and the moves made."""
    policy = placement_policy.make(name)
    current, moves_count, skews = None, 0, []
    for minute, (demand, next_demand) in enumerate(zip(trace, trace[1:])):
        plan = policy.plan(
            demand=demand,
            shape=shape,
            weights=weights,
            current=current,
            now_ms=minute * MINUTE_MS,
        )
        if current is not None and plan is not current:
            moves_count += len(plan.moves)
        current = plan
        skews.append(plan_skew(plan, demand=next_demand))
    return sorted(skews), moves_count


def percentile(ordered, percent):
    return ordered[int(len(ordered) * percent / 100)]


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
                demand=demand, shape=shape, weights=GUILD, current=current
            )
            held = [set(experts) for experts in plan.ranks]
            self.assertEqual(set().union(*held), set(range(EXPERTS_COUNT)))
            self.assertEqual(len(held), shape.ranks_count)
            self.assertLessEqual(max(map(len, plan.ranks)), shape.places_count)
            self.assertEqual(list(map(len, held)), list(map(len, plan.ranks)))
            before = current.ranks if current else ((),) * shape.ranks_count
            if plan is not current:
                loaded = {(move.rank, move.expert) for move in plan.moves}
                needed = {
                    (rank, expert)
                    for rank, experts in enumerate(held)
                    for expert in experts - set(before[rank])
                }
                self.assertEqual(loaded, needed)
            current = plan


class PriceTests(unittest.TestCase):
    def test_even_demand_moves_nothing(self):
        policy = placement_policy.make("repair")
        demand = [1.0] * EXPERTS_COUNT
        arguments = {"demand": demand, "shape": SIXTEEN, "weights": GUILD}
        first = policy.plan(**arguments)
        second = policy.plan(**arguments, current=first, now_ms=MINUTE_MS)
        self.assertIs(second, first)

    def test_the_guild_gets_even_ranks(self):
        for seed in (1, 2):
            trace = expert_demand(seed=seed)[300:540]
            skews, _ = replay("repair", shape=SIXTEEN, weights=GUILD, trace=trace)
            with self.subTest(seed=seed):
                self.assertLessEqual(percentile(skews, 95), 1.05)

    def test_the_archive_gets_few_moves(self):
        for shape in (SIXTEEN, SIXTY_FOUR):
            trace = expert_demand(seed=1)[300:420]
            arguments = {"shape": shape, "weights": ARCHIVE, "trace": trace}
            skews, moves_count = replay("repair", **arguments)
            _, naive_count = replay("replan_always", **arguments)
            with self.subTest(ranks=shape.ranks_count):
                self.assertLessEqual(skews[-1], 1.25)
                self.assertLessEqual(5 * moves_count, naive_count)
