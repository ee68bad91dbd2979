"""The registry of rules that a sheet must meet before it comes into force."""

import collections

RULES = []


def rule(function):
    """Register a rule: from a ``SheetIndex`` to the errors of its rows."""
    RULES.append(function)
    return function


def repeated(values):
    """Return the values that occur more than once."""
    counts = collections.Counter(values)
    return [value for value, count in counts.items() if count > 1]
