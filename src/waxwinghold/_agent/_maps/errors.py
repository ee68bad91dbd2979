"""Errors of the map change protocol."""

from ..._errors import WaxwingError


class MapBusyError(WaxwingError):
    """Raised when another agent leads a change of the group's map."""

    code = "map_busy"

    def __init__(self, *, group, term):
        super().__init__(f'group "{group}" is led under term {term}')


class TermLostError(WaxwingError):
    """Raised when a leader cannot continue under its term.

    Args:
        start_over: Whether this agent should claim a new term at once.
    """

    code = "term_lost"

    def __init__(self, *, term, reason, start_over=False):
        super().__init__(f"term {term}: {reason}")
        self.start_over = start_over


class LeaseExpiredError(WaxwingError):
    """Raised when an agent may not act, as its lease from the leader has expired."""

    code = "lease_expired"

    def __init__(self, *, term):
        super().__init__(f"the lease under term {term} has expired")


class OrderFailedError(WaxwingError):
    """Raised when an order cannot be executed at the moment."""

    code = "order_failed"


class MapLostError(OrderFailedError):
    """Raised when an engine lacks the map that the term relies on.

    The engine was replaced.
    """

    code = "map_lost"
