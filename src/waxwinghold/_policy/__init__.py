"""Policies, in registries that decorators fill, each beside a naive one."""

from .admission import DeadlineAdmission
from .budget import RetryBudget, ReturnSchedule
from .choice import Candidate, ChoicePolicy, ChoiceRequest, make_choice_policy
from .weighed import WeighedChoice

__all__ = [
    "Candidate",
    "ChoicePolicy",
    "ChoiceRequest",
    "DeadlineAdmission",
    "RetryBudget",
    "ReturnSchedule",
    "WeighedChoice",
    "make_choice_policy",
]
