"""Registry of the rules that a sheet must meet before it comes into force."""

import collections

from .._errors import SheetError

RULES = []


def rule(function):
    """Register a rule: a function from a ``SheetIndex`` to ``SheetError``s."""
    RULES.append(function)
    return function


def row_rule(table):
    """Register a rule about rows of ``table`` and the rows that they refer to.

    The decorated function takes a row and the ``SheetIndex`` and yields the
    problems of the row as text.
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
    """Register a rule that checks each row of ``tables`` by itself.

    The decorated function takes a row and yields its problems as text. Row
    objects shared with an earlier valid sheet are not checked again.
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
    """Return the values that occur more than once in ``values``."""
    counts = collections.Counter(values)
    return [value for value, count in counts.items() if count > 1]
