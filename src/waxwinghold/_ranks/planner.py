"""Plans a group's next expert map: few moves that pay for themselves.

Pure decisions. Demand, loads and shares are all relative to the mean of ranks.
"""

from dataclasses import dataclass

from .._registry import Registry

map_policy = Registry(kind="map")

STEPS_LIMIT_COUNT = 64  # Bounds the planning time of one set.
POWER = 8  # Follows the busiest rank, and tells others apart where it is unique.


@dataclass(frozen=True, kw_only=True)
class SetPlan:
    """Experts by rank for one set, and what it takes to get there.

    Args:
        moves_count: Experts that ranks have to copy.
        skew_before: Load of the busiest rank over the mean, before.
        skew: The same, after.
    """

    ranks: tuple[frozenset, ...]
    moves_count: int
    skew_before: float
    skew: float


@map_policy("static")
class StaticMap:
    """Never changes a map; the naive policy."""

    def plan_set(self, *, demand, ranks, shape, move_price):
        """Return the map in use as a ``SetPlan``."""
        skew = max(_loads(ranks, demand))
        return SetPlan(
            ranks=tuple(map(frozenset, ranks)),
            moves_count=0,
            skew_before=skew,
            skew=skew,
        )


@map_policy("few_moves")
class FewMoves:
    """Relieves the busiest rank move by move, while a move is worth its price.

    Answers: one or two experts that draw a quarter of all choices, others that
    take their place every few seconds, and copies that cost time.

    Args:
        skew_goal: Skew below which a set is left alone.
    """

    def __init__(self, *, skew_goal=1.1):
        self._skew_goal = skew_goal

    def plan_set(self, *, demand, ranks, shape, move_price):
        """Return a ``SetPlan`` for one set of experts.

        Args:
            demand: How often each expert was chosen lately.
            ranks: Experts that each rank holds now.
            shape: The ``GroupShape``.
            move_price: Smallest drop of the skew that justifies one move.
        """
        state = _State(demand=demand, ranks=ranks, shape=shape)
        skew_before = max(state.loads)
        best, best_skew, best_moves = state.snapshot(), skew_before, 0
        for _ in range(STEPS_LIMIT_COUNT):
            if max(state.loads) <= self._skew_goal or not state.relieve():
                break
            skew = max(state.loads)
            gain = best_skew - skew
            if gain >= move_price * (state.moves_count - best_moves):
                best, best_skew = state.snapshot(), skew
                best_moves = state.moves_count
        return SetPlan(
            ranks=best,
            moves_count=best_moves,
            skew_before=skew_before,
            skew=best_skew,
        )


class _State:
    """A map under change."""

    def __init__(self, *, demand, ranks, shape):
        total = sum(demand) or 1
        scale = len(ranks) / total
        self._demand = [part * scale for part in demand]
        self._before = [frozenset(experts) for experts in ranks]
        self._ranks = [set(experts) for experts in ranks]
        self._shape = shape
        self._holders = [set() for _ in demand]
        for rank, experts in enumerate(self._ranks):
            for expert in experts:
                self._holders[expert].add(rank)
        self.loads = _loads(self._ranks, demand)

    @property
    def moves_count(self):
        return sum(len(now - before) for now, before in zip(self._ranks, self._before))

    def snapshot(self):
        return tuple(map(frozenset, self._ranks))

    def relieve(self):
        """Make the change that relieves the busiest rank most; say if one helps."""
        busiest = max(range(len(self.loads)), key=self.loads.__getitem__)
        best_cost = sum(load**POWER for load in self.loads) * (1 - 1e-6)
        best = None
        hot = sorted(
            self._ranks[busiest],
            key=lambda expert: self._demand[expert] / len(self._holders[expert]),
            reverse=True,
        )[:6]
        targets = sorted(range(len(self.loads)), key=self.loads.__getitem__)
        for expert in hot:
            for rank in targets[: max(4, len(targets) // 4)]:
                if rank == busiest or expert in self._ranks[rank]:
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
        """Yield ways to bring ``expert`` to ``rank``: lists of (rank, out, in)."""
        new_count = len(self._ranks[rank] - self._before[rank])
        if expert in self._before[rank] or new_count < self._shape.spare_count:
            if len(self._ranks[rank]) < self._shape.expert_slots_count:
                yield [(rank, None, expert)]
            else:
                dropped = self._least_needed(rank)
                if dropped is not None:
                    yield [(rank, dropped, expert)]
            yield from self._swaps(expert, busiest, rank)

    def _least_needed(self, rank):
        """Return the expert of ``rank`` with other copies that carries least."""
        spared = [one for one in self._ranks[rank] if len(self._holders[one]) > 1]
        if not spared:
            return None
        return min(spared, key=lambda one: self._demand[one] / len(self._holders[one]))

    def _swaps(self, expert, busiest, rank):
        """Yield exchanges of ``expert`` for a light expert of ``rank``."""
        if len(self._holders[expert]) > 1:
            return
        room = self._shape.spare_count - len(
            self._ranks[busiest] - self._before[busiest]
        )
        if room <= 0:
            return
        light = [one for one in self._ranks[rank] if one not in self._ranks[busiest]]
        light.sort(key=lambda one: self._demand[one] / len(self._holders[one]))
        for other in light[:2]:
            yield [(busiest, expert, other), (rank, other, expert)]

    def _cost_after(self, change):
        loads = dict(self._loads_after(change))
        return sum(
            loads.get(rank, load) ** POWER for rank, load in enumerate(self.loads)
        )

    def _loads_after(self, change):
        """Yield ``(rank, load)`` of the ranks that ``change`` touches."""
        holders = {}
        for rank, leaving, entering in change:
            if leaving is not None:
                holders.setdefault(leaving, set(self._holders[leaving])).discard(rank)
            holders.setdefault(entering, set(self._holders[entering])).add(rank)
        loads = {}
        for expert, after in holders.items():
            before = self._holders[expert]
            for rank in before:
                loads.setdefault(rank, self.loads[rank])
                loads[rank] -= self._demand[expert] / len(before)
            for rank in after:
                loads.setdefault(rank, self.loads[rank])
                loads[rank] += self._demand[expert] / len(after)
        return loads.items()

    def _apply(self, change):
        for rank, load in list(self._loads_after(change)):
            self.loads[rank] = load
        for rank, leaving, entering in change:
            if leaving is not None:
                self._ranks[rank].discard(leaving)
                self._holders[leaving].discard(rank)
            self._ranks[rank].add(entering)
            self._holders[entering].add(rank)


def _loads(ranks, demand):
    """Return each rank's load over the mean."""
    total = sum(demand) or 1
    holders_count = [0] * len(demand)
    for experts in ranks:
        for expert in experts:
            holders_count[expert] += 1
    scale = len(ranks) / total
    return [
        scale * sum(demand[expert] / holders_count[expert] for expert in experts)
        for experts in ranks
    ]


def step_length(skews, *, expert_share):
    """Return the length of a step over that of even ranks.

    Args:
        skews: The skew of each set.
        expert_share: Part of the work that the experts do.
    """
    mean = sum(skews) / len(skews)
    return (1 - expert_share) + expert_share * mean
