"""Checking a sheet against all of its rules."""

from . import reference_rules, row_rules  # noqa: F401  They register rules.
from .index import index_sheet
from .rules import RULES


def problems(sheet):
    """Return every ``SheetError`` of ``sheet``, in the order of the rules."""
    index = index_sheet(sheet)
    return tuple(error for function in RULES for error in function(index))


def check_sheet(sheet):
    """Check every rule.

    Raises:
        SheetError: The first problem found.
    """
    for error in problems(sheet):
        raise error
