"""The registry of rules that a sheet must meet before it comes into force."""

import collections

from .._errors import SheetError

RULES = []


def rule(function):
    """Register a rule: from a ``SheetIndex`` to the errors of its rows."""
    RULES.append(function)
    return function


def row_rule(table):
    """Register a rule on rows of ``table`` and what they refer to.

    The decorated function takes a row and the ``SheetIndex`` and yields what
    is wrong with the row, as text.
    """

    def register(function):
        @rule
        def check_rows(index):
            for row in getattr(index.sheet, table):
                for reason in function(row, index):
                    yield SheetError(table=table, row=row.name, reason=reason)

        return function

    return register


def single_row_rule(*tables):
    """Register a rule on single rows of ``tables``, each looked at alone.

    The decorated function takes a row and yields what is wrong with it, as
    text. Rows that passed in an earlier sheet are not looked at again.
    """

    def register(function):
        @rule
        def check_rows(index):
            for table in tables:
                for row in index.unchecked[table]:
                    for reason in function(row):
                        yield SheetError(table=table, row=row.name, reason=reason)

        return function

    return register


def duplicates(values):
    """Return the values that occur more than once."""
    counts = collections.Counter(values)
    return [value for value, count in counts.items() if count > 1]
