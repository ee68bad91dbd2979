"""Expert placement that changes the current plan only where that pays.

A plan has a price: the step time lost to its skew until demand changes again,
plus the step time lost while its experts are loaded. The policy compares the
current plan, each stage of its repair, and a plan made from scratch, and chooses
the cheapest.
"""

from collections import Counter
from dataclasses import dataclass

from .placement import (
    PlacementPolicy,
    copy_counts,
    make_plan,
    normalised,
    pack,
    placement_policy,
    rank_loads,
)

# Changes are compared by the sum of a high power of the loads. It depends mostly
# on the busiest rank, but still differs between changes that leave another rank
# equally busy.
POTENTIAL_POWER = 16
# A change has to lower the potential at least by this factor.
IMPROVEMENT_RATIO = 1 - 1e-9
LIMIT_PENALTY_RATIO = 20.0
PLANNING_LIMIT_RATIO = 0.8
HORIZON_SMOOTHING_RATIO = 0.3
HORIZON_MIN_MS = 10_000.0
HORIZON_MAX_MS = 3_600_000.0


@dataclass(frozen=True, kw_only=True)
class _Change:
    """A change of ``ranks`` and the potential after it.

    Args:
        potential: Sum of the loads to the power of ``POTENTIAL_POWER``.
        swaps: Tuples of a rank, its outgoing expert and its incoming expert.
    """

    potential: float
    swaps: tuple[tuple[int, int, int], ...]


@placement_policy("repair")
class RepairPlacement(PlacementPolicy):
    """Makes only the changes that save more step time than they cost.

    Args:
        move_ms: Step time lost by loading one expert.
        horizon_ms: Initial estimate of how long demand stays as it is; later
            estimated from the time between changes.
        changes_limit_count: Upper limit of changes per new plan.
    """

    def __init__(self, *, move_ms=20.0, horizon_ms=300_000.0, changes_limit_count=6):
        self._move_ms = move_ms
        self._horizon_ms = horizon_ms
        self._changes_limit_count = changes_limit_count
        self._changed_at_ms = None

    def plan(self, *, demand, shape, weights, current=None, now_ms=0.0):
        shares = normalised(demand)
        if current is None:
            self._changed_at_ms = now_ms
            return make_plan(self._new_ranks(shares, shape=shape), demand=demand)
        kept_price_ms = self._price_ms(
            current.ranks, shares, previous_ranks=current.ranks, weights=weights
        )
        # No change pays if the current plan costs no more than a single move.
        if kept_price_ms <= weights.move_weight * self._move_ms:
            return current
        options = [current.ranks, *self._repair_stages(current.ranks, shares)]
        if max(rank_loads(options[-1], shares)) > _planning_limit(weights):
            options.append(
                _renumber(self._new_ranks(shares, shape=shape), current.ranks)
            )
        prices_ms = [
            self._price_ms(ranks, shares, previous_ranks=current.ranks, weights=weights)
            for ranks in options
        ]
        cheapest = prices_ms.index(min(prices_ms))
        if cheapest == 0:
            return current
        self._update_horizon(now_ms)
        return make_plan(options[cheapest], demand=demand, current=current)

    def _price_ms(self, ranks, shares, *, previous_ranks, weights):
        skew = max(rank_loads(ranks, shares))
        kept_count = sum(
            map(len, map(set.intersection, map(set, ranks), previous_ranks))
        )
        moves_count = sum(map(len, ranks)) - kept_count
        over_limit = max(0.0, skew - _planning_limit(weights))
        excess = skew - 1 + LIMIT_PENALTY_RATIO * over_limit
        lost_ms = weights.skew_weight * excess * self._horizon_ms
        return lost_ms + weights.move_weight * moves_count * self._move_ms

    def _update_horizon(self, now_ms):
        if self._changed_at_ms is not None:
            change = now_ms - self._changed_at_ms - self._horizon_ms
            estimate_ms = self._horizon_ms + HORIZON_SMOOTHING_RATIO * change
            self._horizon_ms = min(max(estimate_ms, HORIZON_MIN_MS), HORIZON_MAX_MS)
        self._changed_at_ms = now_ms

    def _new_ranks(self, shares, *, shape):
        ranks = pack(shares, shape=shape)
        for _ in range(self._changes_limit_count):
            change = _best_change(ranks, shares, swaps_only=True)
            if change is None:
                break
            ranks = _apply(ranks, change)
        return ranks

    def _repair_stages(self, ranks, shares):
        ranks = [set(experts) for experts in ranks]
        for _ in range(self._changes_limit_count):
            change = _best_change(ranks, shares)
            if change is None:
                break
            ranks = _apply(ranks, change)
            yield ranks


def _planning_limit(weights):
    """Return the highest skew to plan for: below the limit, as demand may change."""
    return 1 + (weights.skew_limit - 1) * PLANNING_LIMIT_RATIO


def _apply(ranks, change):
    changed = [set(experts) for experts in ranks]
    for rank, outgoing, incoming in change.swaps:
        changed[rank].discard(outgoing)
        changed[rank].add(incoming)
    return changed


def _best_change(ranks, shares, *, swaps_only=False):
    """Return the change with the lowest potential, or ``None`` if none improves it."""
    loads = rank_loads(ranks, shares)
    counts = copy_counts(ranks, experts_count=len(shares))
    copy_loads = [len(ranks) * share / count for share, count in zip(shares, counts)]
    busiest = max(range(len(ranks)), key=loads.__getitem__)
    potential = sum(load**POTENTIAL_POWER for load in loads)
    best = None
    bound = potential * IMPROVEMENT_RATIO
    for best in _find_exchanges(ranks, loads, copy_loads, busiest, potential, bound):
        bound = best.potential
    if not swaps_only:
        replacements = _find_replacements(
            ranks, loads, copy_loads, counts, busiest, bound
        )
        for best in replacements:
            pass
    return best


def _find_exchanges(ranks, loads, copy_loads, busiest, potential, bound):
    """Yield exchanges of experts with the busiest rank, each better than before."""
    busiest_load = loads[busiest]
    for partner, experts in enumerate(ranks):
        if partner == busiest:
            continue
        unchanged_powers = (
            potential
            - busiest_load**POTENTIAL_POWER
            - loads[partner] ** POTENTIAL_POWER
        )
        for outgoing in ranks[busiest] - experts:
            for incoming in experts - ranks[busiest]:
                shift = copy_loads[outgoing] - copy_loads[incoming]
                if not 0 < shift < busiest_load - loads[partner]:
                    continue
                changed_powers = (busiest_load - shift) ** POTENTIAL_POWER
                changed_powers += (loads[partner] + shift) ** POTENTIAL_POWER
                if unchanged_powers + changed_powers < bound:
                    bound = unchanged_powers + changed_powers
                    swaps = (
                        (busiest, outgoing, incoming),
                        (partner, incoming, outgoing),
                    )
                    yield _Change(potential=bound, swaps=swaps)


def _find_replacements(ranks, loads, copy_loads, counts, busiest, bound):
    """Yield replacements of one copy by another, each better than before.

    Either an expert of the busiest rank gets another copy on some other rank,
    or a copy on the busiest rank is replaced. The new copy lowers the load of all
    ranks that already have its expert; dropping a copy raises the load of all
    ranks that keep one of the same expert.
    """
    ranks_by_expert = _ranks_by_expert(ranks, experts_count=len(copy_loads))
    powers = [load**POTENTIAL_POWER for load in loads]
    potential = sum(powers)
    replaceable = [expert for expert, count in enumerate(counts) if count > 1]
    for copied, count in enumerate(counts):
        if busiest in ranks_by_expert[copied]:
            droppable = replaceable
        else:
            droppable = [
                expert for expert in replaceable if busiest in ranks_by_expert[expert]
            ]
        if not droppable:
            continue
        copied_load = copy_loads[copied] * count / (count + 1)
        load_change = copied_load - copy_loads[copied]
        lowered_loads = {
            rank: loads[rank] + load_change for rank in ranks_by_expert[copied]
        }
        lowered_powers = {
            rank: load**POTENTIAL_POWER for rank, load in lowered_loads.items()
        }
        lowered_potential = potential + sum(lowered_powers.values())
        lowered_potential -= sum(powers[rank] for rank in lowered_loads)
        for dropped in droppable:
            added_load = copy_loads[dropped] / (counts[dropped] - 1)
            raised_powers = {
                rank: (lowered_loads.get(rank, loads[rank]) + added_load)
                ** POTENTIAL_POWER
                for rank in ranks_by_expert[dropped]
            }
            raised_potential = sum(raised_powers.values())
            raised_potential -= sum(
                lowered_powers.get(rank, powers[rank]) for rank in raised_powers
            )
            changed_ranks = ranks_by_expert[dropped] - ranks_by_expert[copied]
            if busiest not in ranks_by_expert[copied]:
                changed_ranks = {busiest}
            for changed_rank in changed_ranks:
                changed_load = (
                    lowered_loads.get(changed_rank, loads[changed_rank])
                    - copy_loads[dropped]
                    + copied_load
                )
                result_potential = lowered_potential + raised_potential
                result_potential += (
                    changed_load**POTENTIAL_POWER - raised_powers[changed_rank]
                )
                if copied != dropped and result_potential < bound:
                    bound = result_potential
                    swaps = ((changed_rank, dropped, copied),)
                    yield _Change(potential=bound, swaps=swaps)


def _ranks_by_expert(ranks, *, experts_count):
    """Return the set of ranks of each expert."""
    ranks_by_expert = [set() for _ in range(experts_count)]
    for rank, experts in enumerate(ranks):
        for expert in experts:
            ranks_by_expert[expert].add(rank)
    return ranks_by_expert


def _renumber(new_ranks, current):
    """Return ``new_ranks`` renumbered so that few experts change their rank."""
    ranks_by_expert = {}
    for rank, experts in enumerate(current):
        for expert in experts:
            ranks_by_expert.setdefault(expert, []).append(rank)
    shared_counts = Counter(
        (number, rank)
        for number, experts in enumerate(new_ranks)
        for expert in experts
        for rank in ranks_by_expert[expert]
    )
    renumbered = [None] * len(new_ranks)
    unmatched = set(range(len(new_ranks)))
    for (number, rank), _ in shared_counts.most_common():
        if number in unmatched and renumbered[rank] is None:
            renumbered[rank] = new_ranks[number]
            unmatched.discard(number)
    for rank, experts in enumerate(renumbered):
        if experts is None:
            renumbered[rank] = new_ranks[unmatched.pop()]
    return renumbered
