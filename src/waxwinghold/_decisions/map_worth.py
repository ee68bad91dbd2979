"""Decides whether a change of a group's expert map is worth its cost to callers.

A map with less skew shortens the passes of a group. Callers gain in two ways: near full
load, more requests are served; and streams whose pauses were beyond their goal come
within it, whatever the load is. All ranks copy their new experts at the same time, and
the group waits for the rank that copies most.

``tests.test_decisions_map_worth`` compares groups of 8 to 96 ranks.
"""

from dataclasses import dataclass

# Requests per slot of the group. Below IDLE_USE_RATIO, shorter passes do not raise the
# throughput; above FULL_USE_RATIO, it grows as they get shorter.
IDLE_USE_RATIO = 0.35
FULL_USE_RATIO = 0.9
# Mean pass as a share of the longest pause that is on time. Streams have some twenty
# pauses, and the longest one counts: below ON_TIME_SHARE hardly any stream is late.
# Above ALL_LATE_SHARE, one map change does not bring streams back within their goal.
ON_TIME_SHARE = 0.7
ALL_LATE_SHARE = 1.4
# Passes take longer by this ratio while a rank copies experts.
COPYING_SLOWDOWN_RATIO = 0.15
# For how long a new map fits: demand shifts about every 3 s, and counting, planning and
# copying take two of them.
FITTING_MS = 1000.0
# Gain that a change has to bring beside the price of its copies: it costs orders,
# reports and the risk of a held step, which makes every stream of the group late.
CHANGE_PRICE_RATIO = 0.03


@dataclass(frozen=True, kw_only=True)
class GroupPasses:
    """The load of a group and its passes.

    Args:
        use_ratio: Running and waiting requests per slot.
        pass_ms: Recent mean length of a pass; ``None`` if unknown.
        gap_goal_ms: Longest pause of a stream that is on time; 0 if unknown.
    """

    use_ratio: float
    pass_ms: float | None = None
    gap_goal_ms: float = 0.0


def gain(passes, *, step_before, step_after):
    """Return what callers gain by shorter passes, as a share of what they can earn.

    Args:
        passes: The ``GroupPasses`` with the map in use.
        step_before: Length of a step with the map in use; only the ratio of the two
            lengths counts.
        step_after: The same with the new map.

    Returns:
        From 0 to 1; less than 0 if passes get longer.
    """
    shortened_ratio = 1 - step_after / step_before
    throughput_gain = _full_ratio(passes.use_ratio) * shortened_ratio
    if passes.pass_ms is None or not passes.gap_goal_ms > 0:
        return throughput_gain
    before = passes.pass_ms / passes.gap_goal_ms
    after = before * step_after / step_before
    return max(throughput_gain, _late_ratio(before) - _late_ratio(after))


def change_price(copies_ms):
    """Return the gain that justifies a map change.

    Args:
        copies_ms: For how long each rank copies its new experts.
    """
    # The longest time makes all passes longer. The mean time stands for the load on
    # the links between the ranks.
    price_ms = max(copies_ms) + sum(copies_ms) / len(copies_ms)
    return CHANGE_PRICE_RATIO + COPYING_SLOWDOWN_RATIO * price_ms / FITTING_MS


def copy_price(*, copy_ms, ranks_count):
    """Return the share of one copy in the price of a change with even copies.

    Args:
        copy_ms: For how long a rank copies one expert.
    """
    evenly_ms = [copy_ms / ranks_count] * ranks_count
    return change_price(evenly_ms) - CHANGE_PRICE_RATIO


def _full_ratio(use_ratio):
    """Return how much of a shorter pass is a gain of throughput, from 0 to 1."""
    ratio = (use_ratio - IDLE_USE_RATIO) / (FULL_USE_RATIO - IDLE_USE_RATIO)
    return min(1.0, max(0.0, ratio))


def _late_ratio(pass_goal_ratio):
    """Return the share of the streams that are late by their pauses."""
    ratio = (pass_goal_ratio - ON_TIME_SHARE) / (ALL_LATE_SHARE - ON_TIME_SHARE)
    return min(1.0, max(0.0, ratio))
