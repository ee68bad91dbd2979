"""Checking a sheet against all of its rules."""

from . import reference_rules, row_rules  # noqa: F401  They register rules.
from .index import index_sheet
from .rules import RULES


def problems(sheet, *, valid=None):
    """Return every ``SheetError`` of ``sheet``, in the order of the rules.

    Args:
        valid: A sheet that passed; the row objects that the two share are not
            looked at again, but for what they refer to.
    """
    index = index_sheet(sheet, valid=valid)
    return tuple(error for function in RULES for error in function(index))


def check_sheet(sheet, *, valid=None):
    """Check every rule; ``valid`` as in ``problems``.

    Raises:
        SheetError: The first problem found.
    """
    for error in problems(sheet, valid=valid):
        raise error
