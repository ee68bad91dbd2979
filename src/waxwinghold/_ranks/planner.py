"""Plans a group's next expert map with few moves, each worth its cost.

The planners are pure functions of their arguments. The load of a rank is its share of
the choices, relative to the mean of the ranks, times its pace: a slow rank takes longer
for the same share, and all ranks wait for it.
"""

from dataclasses import dataclass

from .._registry import Registry

map_policy = Registry(kind="map")

CHANGES_LIMIT_COUNT = 64  # Limits the planning time of one set.
# Exponent of the loads in the cost of a map. The busiest rank dominates the cost, and
# the loads of the other ranks decide between maps whose busiest ranks are equally
# loaded.
COST_EXPONENT = 8
# Ranks with the lowest loads that a change may add an expert to. More of them take time
# in a large group and hardly ever have a better place.
CANDIDATES_MIN_COUNT = 4
CANDIDATES_MAX_COUNT = 8
# Any expert may be in demand soon. Each is given some demand in any case, as a share of
# the mean; more at a slow rank, where one expert that turns hot makes all ranks wait.
DEMAND_FLOOR_RATIO = 0.1
SLOW_DEMAND_FLOOR_RATIO = 0.5
SLOW_PACE = 2.0


@dataclass(frozen=True, kw_only=True)
class SetPlan:
    """The planned map of one set of experts, and its cost and effect.

    Args:
        ranks: Experts by rank.
        moves_count: Number of experts that ranks have to copy.
        skew_before: Load of the busiest rank over the mean share, before the change.
        skew: The same after the change.
    """

    ranks: tuple[frozenset, ...]
    moves_count: int
    skew_before: float
    skew: float


@map_policy("static")
class StaticMap:
    """Never changes a map; the baseline that other policies are compared with."""

    def plan_set(
        self, *, demand, ranks, shape, move_price, paces=None, leaving_ranks=()
    ):
        """Return the map in use as a ``SetPlan``."""
        skew_before = map_skew(demand=demand, ranks=ranks, paces=paces)
        return SetPlan(
            ranks=tuple(map(frozenset, ranks)),
            moves_count=0,
            skew_before=skew_before,
            skew=skew_before,
        )


@map_policy("few_moves")
class FewMoves:
    """Relieves the busiest rank with few moves.

    It makes one small change after the other and returns the last map whose moves
    were worth their price.

    It is made for demand in which one or two experts draw a quarter of all choices
    and are replaced by others every few seconds, for copies that take time, and for a
    slow rank, which keeps only experts that no other rank can take.

    A leaving rank gets no new experts, and an expert that a staying rank holds is never
    left to leaving ranks alone. Further copies of what only they hold pay by the load
    that they take over, as others do: a group that has lost a rank begins with its
    first map again, so that no copy outlasts the rank.

    Args:
        skew_goal: Skew up to which the map of a set is not changed.
    """

    def __init__(self, *, skew_goal=1.1):
        self._skew_goal = skew_goal

    def plan_set(
        self, *, demand, ranks, shape, move_price, paces=None, leaving_ranks=()
    ):
        """Return a ``SetPlan`` for one set of experts.

        Args:
            demand: How often each expert was chosen recently.
            ranks: Resident experts by rank.
            shape: The ``GroupShape``.
            move_price: Smallest decrease of the skew that justifies one move.
            paces: How many times longer than usual each rank takes; ``None`` if no
                rank is slow.
            leaving_ranks: Numbers of the ranks that announced that they leave.
        """
        floor = DEMAND_FLOOR_RATIO * sum(demand) / len(demand)
        demand = [choices + floor for choices in demand]
        draft = _MapDraft(
            demand=demand,
            ranks=ranks,
            shape=shape,
            paces=paces or [1.0] * len(ranks),
            leaving_ranks=frozenset(leaving_ranks),
        )
        skew_before = max(draft.loads)
        best, best_skew, best_moves = draft.snapshot(), skew_before, 0
        for _ in range(CHANGES_LIMIT_COUNT):
            if max(draft.loads) <= self._skew_goal or not draft.relieve_busiest():
                break
            skew = max(draft.loads)
            gain = best_skew - skew
            if gain >= move_price * (draft.moves_count - best_moves):
                best, best_skew = draft.snapshot(), skew
                best_moves = draft.moves_count
        return SetPlan(
            ranks=best,
            moves_count=best_moves,
            skew_before=skew_before,
            skew=best_skew,
        )


class _MapDraft:
    """A map of one set while it is being planned, with the loads of its ranks.

    A change adds an expert to a rank, removes one that other ranks hold too, replaces
    an expert of a rank by another, or swaps two experts between two ranks.
    """

    def __init__(self, *, demand, ranks, shape, paces, leaving_ranks):
        total = sum(demand) or 1
        scale = len(ranks) / total
        self._demand = [choices_count * scale for choices_count in demand]
        self._initial_ranks = [frozenset(experts) for experts in ranks]
        self._ranks = [set(experts) for experts in ranks]
        self._shape = shape
        self._paces = paces
        self._leaving_ranks = leaving_ranks
        self._mean = sum(self._demand) / len(self._demand)
        self._holders = [set() for _ in demand]
        for rank, experts in enumerate(self._ranks):
            for expert in experts:
                self._holders[expert].add(rank)
        self.loads = _loads(self._ranks, demand, paces)
        self._costs = [load**COST_EXPONENT for load in self.loads]

    @property
    def moves_count(self):
        return sum(
            len(experts - initial)
            for experts, initial in zip(self._ranks, self._initial_ranks)
        )

    def snapshot(self):
        return tuple(map(frozenset, self._ranks))

    def relieve_busiest(self):
        """Make the change that relieves the busiest rank and reduces the cost most.

        Returns:
            Whether any change reduces the cost.
        """
        busiest = max(range(len(self.loads)), key=self.loads.__getitem__)
        self._cost = sum(self._costs)
        best_cost = self._cost * (1 - 1e-6)
        best = None
        busy_experts = sorted(
            self._ranks[busiest],
            key=lambda expert: self._demand[expert] / len(self._holders[expert]),
            reverse=True,
        )[:6]
        ranks_by_load = sorted(range(len(self.loads)), key=self.loads.__getitem__)
        for expert in busy_experts:
            if self._may_remove(expert, busiest):
                change = [(busiest, expert, None)]
                cost = self._cost_after(change)
                if cost < best_cost:
                    best, best_cost = change, cost
            for rank in ranks_by_load[: _candidates_count(len(ranks_by_load))]:
                if rank == busiest or expert in self._ranks[rank]:
                    continue
                if rank in self._leaving_ranks:
                    continue
                for change in self._changes(expert, busiest, rank):
                    cost = self._cost_after(change)
                    if cost < best_cost:
                        best, best_cost = change, cost
        if best is None:
            return False
        self._apply(best)
        return True

    def _changes(self, expert, busiest, rank):
        """Yield changes that add ``expert`` to ``rank``, within the shape's limits.

        A change is a list of ``(rank, leaving, entering)``; ``leaving`` is ``None``
        if the rank has a free expert slot, ``entering`` if an expert is only removed.
        """
        new_count = len(self._ranks[rank] - self._initial_ranks[rank])
        if expert in self._initial_ranks[rank] or new_count < self._shape.spare_count:
            if len(self._ranks[rank]) < self._shape.expert_slots_count:
                yield [(rank, None, expert)]
            else:
                leaving = self._least_needed(rank)
                if leaving is not None:
                    yield [(rank, leaving, expert)]
            yield from self._swaps(expert, busiest, rank)

    def _least_needed(self, rank):
        """Return the expert of ``rank`` that is needed least there, or ``None``.

        It is the one with the lowest demand per copy among those that other ranks hold
        too.
        """
        copied = [
            expert for expert in self._ranks[rank] if self._may_remove(expert, rank)
        ]
        if not copied:
            return None
        return min(
            copied, key=lambda expert: self._demand[expert] / len(self._holders[expert])
        )

    def _may_remove(self, expert, rank):
        """Return whether ``rank`` may drop ``expert``, which others have to hold."""
        holders = self._holders[expert]
        if len(holders) == 1:
            return False
        # Usually no rank leaves; planning 96 ranks has to be fast.
        if not self._leaving_ranks or rank in self._leaving_ranks:
            return True
        return any(
            other != rank and other not in self._leaving_ranks for other in holders
        )

    def _swaps(self, expert, busiest, rank):
        """Yield swaps of ``expert`` for an expert of ``rank`` with low demand.

        There are none if a rank other than ``busiest`` also holds ``expert``, or if
        ``busiest`` leaves.
        """
        if len(self._holders[expert]) > 1 or busiest in self._leaving_ranks:
            return
        spare_left_count = self._shape.spare_count - len(
            self._ranks[busiest] - self._initial_ranks[busiest]
        )
        if spare_left_count <= 0:
            return
        candidates = [
            candidate
            for candidate in self._ranks[rank]
            if candidate not in self._ranks[busiest]
        ]
        candidates.sort(
            key=lambda candidate: (
                self._demand[candidate] / len(self._holders[candidate])
            )
        )
        for candidate in candidates[:2]:
            yield [(busiest, expert, candidate), (rank, candidate, expert)]

    def _cost_after(self, change):
        # Only a few ranks change; the sum over all would take seconds for 96 of them.
        return self._cost + sum(
            load**COST_EXPONENT - self._costs[rank]
            for rank, load in self._loads_after(change)
        )

    def _loads_after(self, change):
        """Return ``(rank, load after the change)`` of each rank that it affects."""
        holders = {}
        for rank, leaving, entering in change:
            if leaving is not None:
                holders.setdefault(leaving, set(self._holders[leaving])).discard(rank)
            if entering is not None:
                holders.setdefault(entering, set(self._holders[entering])).add(rank)
        loads = {}
        for expert, holders_after in holders.items():
            holders_before = self._holders[expert]
            for rank in holders_before:
                loads.setdefault(rank, self.loads[rank])
                loads[rank] -= self._load(expert, rank, len(holders_before))
            for rank in holders_after:
                loads.setdefault(rank, self.loads[rank])
                loads[rank] += self._load(expert, rank, len(holders_after))
        return loads.items()

    def _load(self, expert, rank, holders_count):
        pace = self._paces[rank]
        return (
            pace
            * _counted_demand(self._demand[expert], self._mean, pace)
            / holders_count
        )

    def _apply(self, change):
        for rank, load in list(self._loads_after(change)):
            self.loads[rank] = load
            self._costs[rank] = load**COST_EXPONENT
        for rank, leaving, entering in change:
            if leaving is not None:
                self._ranks[rank].discard(leaving)
                self._holders[leaving].discard(rank)
            if entering is not None:
                self._ranks[rank].add(entering)
                self._holders[entering].add(rank)


def _candidates_count(ranks_count):
    return max(CANDIDATES_MIN_COUNT, min(CANDIDATES_MAX_COUNT, ranks_count // 4))


def map_skew(*, demand, ranks, paces=None):
    """Return the load of the busiest rank over the mean share, for one set of experts.

    Args:
        demand: How often each expert was chosen recently.
        ranks: Resident experts by rank.
        paces: How many times longer than usual each rank takes; ``None`` if no rank
            is slow.
    """
    return max(_loads(ranks, demand, paces or [1.0] * len(ranks)))


def _loads(ranks, demand, paces):
    """Return the load of each rank."""
    total = sum(demand) or 1
    mean = total / len(demand)
    holders_count = [0] * len(demand)
    for experts in ranks:
        for expert in experts:
            holders_count[expert] += 1
    scale = len(ranks) / total
    return [
        scale
        * pace
        * sum(
            _counted_demand(demand[expert], mean, pace) / holders_count[expert]
            for expert in experts
        )
        for experts, pace in zip(ranks, paces)
    ]


def _counted_demand(demand, mean, pace):
    """Return the demand for an expert as it counts at a rank of that pace."""
    if pace < SLOW_PACE:
        return demand
    return max(demand, SLOW_DEMAND_FLOOR_RATIO * mean)


def step_length(skews, *, expert_share):
    """Return the length of a step, relative to one with evenly loaded ranks.

    Args:
        skews: The skew of each set.
        expert_share: Share of a step's work that the experts do, 0 to 1.
    """
    mean = sum(skews) / len(skews)
    return (1 - expert_share) + expert_share * mean
