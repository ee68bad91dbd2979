"""Policies for target choice, expert placement, admission and retries.

Choice and placement policies register under a name; each kind also has simple
baseline policies for comparison.
"""

from .._decisions.early_rejection import DeadlineAdmission
from .._decisions.retry_after import RetryAfterSchedule
from .._decisions.retry_budget import RetryBudget
from .choice import Candidate, ChoicePolicy, ChoiceRequest, choice_policy
from .placement import (
    GroupShape,
    Move,
    PlacementPolicy,
    Plan,
    placement_policy,
    plan_skew,
)
from .repair import RepairPlacement
from .weighed import WeighedChoice

__all__ = [
    "Candidate",
    "ChoicePolicy",
    "ChoiceRequest",
    "DeadlineAdmission",
    "GroupShape",
    "Move",
    "PlacementPolicy",
    "Plan",
    "RepairPlacement",
    "RetryBudget",
    "RetryAfterSchedule",
    "WeighedChoice",
    "choice_policy",
    "placement_policy",
    "plan_skew",
]
