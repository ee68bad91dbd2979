"""Expert placement that repairs the plan in force where it pays.

A plan has a price: the step time that its skew loses until demand drifts
again, and the step time that loading its experts disturbs. The cheapest of
keeping the plan, each stage of its repair, and a fresh plan is taken.
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
    rank_shares,
)

# A high power of the loads follows the busiest rank and still tells apart
# changes that leave another rank equally busy.
POTENTIAL_POWER = 16
IMPROVEMENT_RATIO = 1 - 1e-9
LIMIT_PENALTY_RATIO = 20.0
LIMIT_MARGIN_RATIO = 0.8
HORIZON_SMOOTHING_RATIO = 0.3
HORIZON_MIN_MS = 10_000.0
HORIZON_MAX_MS = 3_600_000.0


@dataclass(frozen=True, kw_only=True)
class _Change:
    """Experts that leave and enter ranks, and the potential that results."""

    potential: float
    swaps: tuple[tuple[int, int, int], ...]


@placement_policy("repair")
class RepairPlacement(PlacementPolicy):
    """Makes the few changes that earn back their cost.

    Args:
        move_ms: Step time that loading one expert disturbs.
        horizon_ms: First guess of how long demand keeps its shape; learnt
            from the time between changes later.
        changes_limit_count: Changes that one call may make to a plan.
    """

    def __init__(self, *, move_ms=20.0, horizon_ms=300_000.0, changes_limit_count=6):
        self._move_ms = move_ms
        self._horizon_ms = horizon_ms
        self._changes_limit_count = changes_limit_count
        self._changed_at_ms = None

    def plan(self, *, demand, shape, weights, current=None, now_ms=0.0):
        parts = normalised(demand)
        if current is None:
            self._changed_at_ms = now_ms
            return make_plan(self._fresh(parts, shape=shape), demand=demand)
        kept_price_ms = self._price_ms(
            current.ranks, parts, before=current.ranks, weights=weights
        )
        if kept_price_ms <= weights.move_weight * self._move_ms:
            return current
        options = [current.ranks, *self._repairs(current.ranks, parts)]
        if max(rank_shares(options[-1], parts)) > _safe_limit(weights):
            options.append(_match(self._fresh(parts, shape=shape), current.ranks))
        prices_ms = [
            self._price_ms(ranks, parts, before=current.ranks, weights=weights)
            for ranks in options
        ]
        cheapest = prices_ms.index(min(prices_ms))
        if cheapest == 0:
            return current
        self._learn_horizon(now_ms)
        return make_plan(options[cheapest], demand=demand, current=current)

    def _price_ms(self, ranks, parts, *, before, weights):
        skew = max(rank_shares(ranks, parts))
        kept_count = sum(map(len, map(set.intersection, map(set, ranks), before)))
        moves_count = sum(map(len, ranks)) - kept_count
        beyond = max(0.0, skew - _safe_limit(weights))
        excess = skew - 1 + LIMIT_PENALTY_RATIO * beyond
        lost_ms = weights.skew_weight * excess * self._horizon_ms
        return lost_ms + weights.move_weight * moves_count * self._move_ms

    def _learn_horizon(self, now_ms):
        if self._changed_at_ms is not None:
            change = now_ms - self._changed_at_ms - self._horizon_ms
            learnt_ms = self._horizon_ms + HORIZON_SMOOTHING_RATIO * change
            self._horizon_ms = min(max(learnt_ms, HORIZON_MIN_MS), HORIZON_MAX_MS)
        self._changed_at_ms = now_ms

    def _fresh(self, parts, *, shape):
        ranks = pack(parts, shape=shape)
        for _ in range(self._changes_limit_count):
            change = _best_change(ranks, parts, swaps_only=True)
            if change is None:
                break
            ranks = _apply(ranks, change)
        return ranks

    def _repairs(self, ranks, parts):
        ranks = [set(experts) for experts in ranks]
        for _ in range(self._changes_limit_count):
            change = _best_change(ranks, parts)
            if change is None:
                break
            ranks = _apply(ranks, change)
            yield ranks


def _safe_limit(weights):
    """Return a skew that leaves room for drift until the next plan."""
    return 1 + (weights.skew_limit - 1) * LIMIT_MARGIN_RATIO


def _apply(ranks, change):
    changed = [set(experts) for experts in ranks]
    for rank, leaving, entering in change.swaps:
        changed[rank].discard(leaving)
        changed[rank].add(entering)
    return changed


def _best_change(ranks, parts, *, swaps_only=False):
    """Return the change that evens the ranks most, or ``None``."""
    loads = rank_shares(ranks, parts)
    counts = copy_counts(ranks, experts_count=len(parts))
    portions = [len(ranks) * part / count for part, count in zip(parts, counts)]
    busiest = max(range(len(ranks)), key=loads.__getitem__)
    potential = sum(load**POTENTIAL_POWER for load in loads)
    best = None
    bound = potential * IMPROVEMENT_RATIO
    for best in _exchanges(ranks, loads, portions, busiest, potential, bound):
        bound = best.potential
    if not swaps_only:
        found = _replacements(ranks, loads, portions, counts, busiest, bound)
        for best in found:
            pass
    return best


def _exchanges(ranks, loads, portions, busiest, potential, bound):
    """Yield ever better exchanges of an expert of the busiest rank."""
    top = loads[busiest]
    for other, experts in enumerate(ranks):
        if other == busiest:
            continue
        kept = potential - top**POTENTIAL_POWER - loads[other] ** POTENTIAL_POWER
        for given in ranks[busiest] - experts:
            for taken in experts - ranks[busiest]:
                shift = portions[given] - portions[taken]
                if not 0 < shift < top - loads[other]:
                    continue
                after = (top - shift) ** POTENTIAL_POWER
                after += (loads[other] + shift) ** POTENTIAL_POWER
                if kept + after < bound:
                    bound = kept + after
                    swaps = ((busiest, given, taken), (other, taken, given))
                    yield _Change(potential=bound, swaps=swaps)


def _replacements(ranks, loads, portions, counts, busiest, bound):
    """Yield ever better ways to put a copy in the place of another copy.

    Either the busiest rank's expert gets the new copy, or the busiest rank's
    place does.
    """
    holders = _holders(ranks, experts_count=len(portions))
    powers = [load**POTENTIAL_POWER for load in loads]
    potential = sum(powers)
    spared = [expert for expert, count in enumerate(counts) if count > 1]
    for copied, count in enumerate(counts):
        if busiest in holders[copied]:
            dropped_ones = spared
        else:
            dropped_ones = [one for one in spared if busiest in holders[one]]
        if not dropped_ones:
            continue
        portion = portions[copied] * count / (count + 1)
        change = portion - portions[copied]
        eased = {rank: loads[rank] + change for rank in holders[copied]}
        eased_powers = {rank: load**POTENTIAL_POWER for rank, load in eased.items()}
        eased_potential = potential + sum(eased_powers.values())
        eased_potential -= sum(powers[rank] for rank in eased)
        for dropped in dropped_ones:
            growth = portions[dropped] / (counts[dropped] - 1)
            grown = {
                rank: (eased.get(rank, loads[rank]) + growth) ** POTENTIAL_POWER
                for rank in holders[dropped]
            }
            raised = sum(grown.values())
            raised -= sum(eased_powers.get(rank, powers[rank]) for rank in grown)
            places = holders[dropped] - holders[copied]
            if busiest not in holders[copied]:
                places = {busiest}
            for place in places:
                after = eased.get(place, loads[place]) - portions[dropped] + portion
                result = eased_potential + raised
                result += after**POTENTIAL_POWER - grown[place]
                if copied != dropped and result < bound:
                    bound = result
                    swaps = ((place, dropped, copied),)
                    yield _Change(potential=bound, swaps=swaps)


def _holders(ranks, *, experts_count):
    """Return the ranks that hold each expert."""
    holders = [set() for _ in range(experts_count)]
    for rank, experts in enumerate(ranks):
        for expert in experts:
            holders[expert].add(rank)
    return holders


def _match(fresh, current):
    """Return ``fresh`` with its ranks numbered to keep most experts in place."""
    holders = {}
    for rank, experts in enumerate(current):
        for expert in experts:
            holders.setdefault(expert, []).append(rank)
    shared = Counter(
        (number, rank)
        for number, experts in enumerate(fresh)
        for expert in experts
        for rank in holders[expert]
    )
    matched = [None] * len(fresh)
    free = set(range(len(fresh)))
    for (number, rank), _ in shared.most_common():
        if number in free and matched[rank] is None:
            matched[rank] = fresh[number]
            free.discard(number)
    for rank, experts in enumerate(matched):
        if experts is None:
            matched[rank] = fresh[free.pop()]
    return matched
