"""Placement of one layer's experts on the ranks of a group.

An expert's demand is shared equally among its copies. A rank has a fixed number
of expert slots and holds at most one copy of an expert. Every expert has at
least one copy.
"""

import abc
import heapq
from collections.abc import Sequence
from dataclasses import dataclass

from .._sheet.model import PlacementWeights
from .registry import Registry


@dataclass(frozen=True, kw_only=True)
class GroupShape:
    """The expert slots of a group.

    Args:
        ranks_count: Ranks in the group.
        expert_slots_count: Experts that each rank can hold, including spare
            slots for additional copies.
    """

    ranks_count: int
    expert_slots_count: int


@dataclass(frozen=True, kw_only=True)
class Move:
    """An expert that a rank has to load."""

    rank: int
    expert: int


@dataclass(frozen=True, kw_only=True)
class Plan:
    """The placement of one layer's experts.

    Args:
        ranks: Experts of each rank, sorted.
        loads: Load of each rank relative to the mean, under the demand that the
            plan was made for.
        moves: Experts to load to get from the previous plan to this one.
    """

    ranks: tuple[tuple[int, ...], ...]
    loads: tuple[float, ...]
    moves: tuple[Move, ...] = ()

    @property
    def skew(self):
        """Load of the busiest rank relative to the mean, under the planned demand."""
        return max(self.loads)


class PlacementPolicy(abc.ABC):
    """Base class of placement policies."""

    @abc.abstractmethod
    def plan(
        self,
        *,
        demand: Sequence[float],
        shape: GroupShape,
        weights: PlacementWeights,
        current: Plan | None = None,
        now_ms: float = 0.0,
    ) -> Plan:
        """Return the plan that replaces ``current``.

        Planning takes milliseconds. Callers on an event loop run it in a
        thread, one layer at a time.

        Args:
            demand: Demand for each expert, in any unit.
            shape: The expert slots of the group.
            weights: The cost of skew and of moves.
            current: The current plan; ``None`` before the first.
            now_ms: Monotonic time in milliseconds, for policies that estimate
                how fast demand changes.

        Returns:
            A new plan, or ``current`` if no change is worth its cost.
        """


placement_policy = Registry(kind="placement")


@placement_policy("replan_always")
class ReplanAlways(PlacementPolicy):
    """Plans from scratch each time, regardless of the number of moves."""

    def plan(self, *, demand, shape, weights, current=None, now_ms=0.0):
        ranks = pack(normalised(demand), shape=shape)
        return make_plan(ranks, demand=demand, current=current)


@placement_policy("static")
class StaticPlacement(PlacementPolicy):
    """Never changes the first plan."""

    def plan(self, *, demand, shape, weights, current=None, now_ms=0.0):
        if current is not None:
            return current
        return make_plan(pack(normalised(demand), shape=shape), demand=demand)


def make_plan(ranks, *, demand, current=None):
    """Return the plan of ``ranks``, with the moves that lead to it from ``current``."""
    previous_ranks = current.ranks if current else ((),) * len(ranks)
    moves = tuple(
        Move(rank=rank, expert=expert)
        for rank, experts in enumerate(ranks)
        for expert in sorted(set(experts) - set(previous_ranks[rank]))
    )
    return Plan(
        ranks=tuple(tuple(sorted(experts)) for experts in ranks),
        loads=tuple(rank_loads(ranks, normalised(demand))),
        moves=moves,
    )


def plan_skew(plan, *, demand):
    """Return the load of the busiest rank relative to the mean under ``demand``."""
    return max(rank_loads(plan.ranks, normalised(demand)))


def normalised(demand):
    """Return ``demand`` scaled to a sum of 1; equal shares if there is no demand."""
    total = sum(demand)
    if total <= 0:
        return [1 / len(demand)] * len(demand)
    return [share / total for share in demand]


def rank_loads(ranks, demand):
    """Return each rank's load relative to the mean; ``demand`` sums to 1."""
    counts = copy_counts(ranks, experts_count=len(demand))
    ranks_count = len(ranks)
    copy_loads = [ranks_count * share / count for share, count in zip(demand, counts)]
    return [sum(copy_loads[expert] for expert in experts) for experts in ranks]


def copy_counts(ranks, *, experts_count):
    """Return the number of copies of each expert."""
    counts = [0] * experts_count
    for experts in ranks:
        for expert in experts:
            counts[expert] += 1
    return counts


def copies_for(demand, *, shape):
    """Return the number of copies of each expert.

    Spare slots go one by one to the expert with the highest demand per copy.
    """
    counts = [1] * len(demand)
    copies_by_demand = [(-share, expert) for expert, share in enumerate(demand)]
    heapq.heapify(copies_by_demand)
    spare_slots_count = shape.ranks_count * shape.expert_slots_count - len(demand)
    while spare_slots_count > 0 and copies_by_demand:
        _, expert = heapq.heappop(copies_by_demand)
        if counts[expert] == shape.ranks_count:
            continue
        counts[expert] += 1
        spare_slots_count -= 1
        heapq.heappush(copies_by_demand, (-demand[expert] / counts[expert], expert))
    return counts


def pack(demand, *, shape):
    """Return the experts of each rank.

    Copies are placed in the order of their demand, the highest first, each on
    the least loaded rank that has a free slot and no copy of the same expert.

    Args:
        demand: Demand for each expert; sums to 1.
        shape: The expert slots of the group.
    """
    counts = copies_for(demand, shape=shape)
    copies = sorted(
        (-demand[expert] / count, expert)
        for expert, count in enumerate(counts)
        for _ in range(count)
    )
    ranks = [set() for _ in range(shape.ranks_count)]
    ranks_by_load = [(0.0, rank) for rank in range(shape.ranks_count)]
    for negative_share, expert in copies:
        returned_items = []
        while ranks_by_load and expert in ranks[ranks_by_load[0][1]]:
            returned_items.append(heapq.heappop(ranks_by_load))
        # Every rank with a free slot may hold a copy of this expert already.
        # The copy is then left out: the expert has at least one other.
        if ranks_by_load:
            load, rank = heapq.heappop(ranks_by_load)
            ranks[rank].add(expert)
            if len(ranks[rank]) < shape.expert_slots_count:
                returned_items.append((load - negative_share, rank))
        for item in returned_items:
            heapq.heappush(ranks_by_load, item)
    return ranks
