"""Validation of a sheet against every registered rule."""

from . import reference_rules, row_rules  # noqa: F401  Importing registers rules.
from .index import index_sheet
from .rules import RULES


def problems(sheet, *, valid=None):
    """Return every ``SheetError`` of ``sheet``, in the order of the rules.

    Args:
        sheet: The sheet to check.
        valid: An earlier sheet that passed every rule, or ``None``. Row objects
            that both sheets share skip the single-row rules; rules about
            references check every row.
    """
    index = index_sheet(sheet, valid=valid)
    return tuple(error for function in RULES for error in function(index))


def check_sheet(sheet, *, valid=None):
    """Raise the first problem of ``sheet``, if there is one.

    Args:
        sheet: The sheet to check.
        valid: As in ``problems``.

    Raises:
        SheetError: A rule is not met.
    """
    for error in problems(sheet, valid=valid):
        raise error
