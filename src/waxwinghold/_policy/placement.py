"""Placement of one layer's experts on the ranks of a group.

Every copy of an expert gets an equal part of the expert's demand. A rank has a
fixed number of places, holds an expert at most once, and every expert stands
somewhere.
"""

import abc
import heapq
from collections.abc import Sequence
from dataclasses import dataclass

from .._sheet.model import PlacementWeights
from .registry import Registry


@dataclass(frozen=True, kw_only=True)
class GroupShape:
    """The places of a group.

    Args:
        ranks_count: Ranks in the group.
        expert_slots_count: Experts that each rank can hold, spare places included.
    """

    ranks_count: int
    expert_slots_count: int


@dataclass(frozen=True, kw_only=True)
class Move:
    """One expert that a rank has to load."""

    rank: int
    expert: int


@dataclass(frozen=True, kw_only=True)
class Plan:
    """Where the experts of one layer stand.

    Args:
        ranks: Experts of each rank, sorted.
        shares: Expected load of each rank over the mean, under the demand that
            the plan was made for.
        moves: What has to be loaded to get here from the plan before.
    """

    ranks: tuple[tuple[int, ...], ...]
    shares: tuple[float, ...]
    moves: tuple[Move, ...] = ()

    @property
    def skew(self):
        """The busiest rank over the mean, under the planned demand."""
        return max(self.shares)


class PlacementPolicy(abc.ABC):
    """Base of the planners."""

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
        """Return the plan to be in force from now on.

        Planning takes milliseconds: callers on an event loop run it in a
        thread, one layer at a time.

        Args:
            demand: Demand for each expert, in any unit.
            shape: The places of the group.
            weights: The prices of skew and of moves.
            current: The plan in force; ``None`` before the first.
            now_ms: Monotonic time, for planners that learn how demand drifts.

        Returns:
            A new plan, or ``current`` when nothing is worth its cost.
        """


placement_policy = Registry(kind="placement")


@placement_policy("replan_always")
class ReplanAlways(PlacementPolicy):
    """Plans from scratch each time, whatever has to be moved."""

    def plan(self, *, demand, shape, weights, current=None, now_ms=0.0):
        ranks = pack(normalised(demand), shape=shape)
        return make_plan(ranks, demand=demand, current=current)


@placement_policy("static")
class StaticPlacement(PlacementPolicy):
    """Keeps the first plan for good."""

    def plan(self, *, demand, shape, weights, current=None, now_ms=0.0):
        if current is not None:
            return current
        return make_plan(pack(normalised(demand), shape=shape), demand=demand)


def make_plan(ranks, *, demand, current=None):
    """Return the plan that puts ``ranks`` in force after ``current``."""
    before = current.ranks if current else ((),) * len(ranks)
    moves = tuple(
        Move(rank=number, expert=expert)
        for number, experts in enumerate(ranks)
        for expert in sorted(set(experts) - set(before[number]))
    )
    return Plan(
        ranks=tuple(tuple(sorted(experts)) for experts in ranks),
        shares=tuple(rank_shares(ranks, normalised(demand))),
        moves=moves,
    )


def plan_skew(plan, *, demand):
    """Return the busiest rank over the mean of ``plan`` under another demand."""
    return max(rank_shares(plan.ranks, normalised(demand)))


def normalised(demand):
    """Return ``demand`` as parts of one; even parts if there is none."""
    total = sum(demand)
    if total <= 0:
        return [1 / len(demand)] * len(demand)
    return [part / total for part in demand]


def rank_shares(ranks, demand):
    """Return each rank's load over the mean; ``demand`` sums to one."""
    counts = copy_counts(ranks, experts_count=len(demand))
    scale = len(ranks)
    portions = [scale * part / count for part, count in zip(demand, counts)]
    return [sum(portions[expert] for expert in experts) for experts in ranks]


def copy_counts(ranks, *, experts_count):
    """Return the number of copies of each expert."""
    counts = [0] * experts_count
    for experts in ranks:
        for expert in experts:
            counts[expert] += 1
    return counts


def copies_for(demand, *, shape):
    """Return how many copies each expert gets: the hottest copy is split next."""
    counts = [1] * len(demand)
    hottest = [(-part, expert) for expert, part in enumerate(demand)]
    heapq.heapify(hottest)
    spare = shape.ranks_count * shape.expert_slots_count - len(demand)
    while spare > 0 and hottest:
        _, expert = heapq.heappop(hottest)
        if counts[expert] == shape.ranks_count:
            continue
        counts[expert] += 1
        spare -= 1
        heapq.heappush(hottest, (-demand[expert] / counts[expert], expert))
    return counts


def pack(demand, *, shape):
    """Return the experts of each rank, the largest copies placed first.

    Args:
        demand: Parts of one.
    """
    counts = copies_for(demand, shape=shape)
    copies = sorted(
        (-demand[expert] / count, expert)
        for expert, count in enumerate(counts)
        for _ in range(count)
    )
    ranks = [set() for _ in range(shape.ranks_count)]
    by_load = [(0.0, rank) for rank in range(shape.ranks_count)]
    for negative_part, expert in copies:
        passed_over = []
        while by_load and expert in ranks[by_load[0][1]]:
            passed_over.append(heapq.heappop(by_load))
        # All free places may stand beside a copy of the same expert: such a
        # copy is left out, which is safe since another one stands already.
        if by_load:
            load, rank = heapq.heappop(by_load)
            ranks[rank].add(expert)
            if len(ranks[rank]) < shape.expert_slots_count:
                passed_over.append((load - negative_part, rank))
        for item in passed_over:
            heapq.heappush(by_load, item)
    return ranks
