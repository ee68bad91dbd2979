"""Replays load patterns against the gateway's decisions, in simulated time.

Run it with ``python -m waxwinghold_bench.decision_replay``. It needs no network and no
processes: the decisions are those of ``waxwinghold._decisions`` and the records those
of ``waxwinghold._gateway.targets``; callers, targets and their groups are simulated.
"""

from .bound import best_credit
from .credit import Credit
from .patterns import Pattern, arrivals, patterns, patterns_without_burst
from .world import NAIVE, OURS, Policies, replay

__all__ = [
    "NAIVE",
    "OURS",
    "Credit",
    "Pattern",
    "Policies",
    "arrivals",
    "best_credit",
    "patterns",
    "patterns_without_burst",
    "replay",
]
