"""Errors of the protocol that keeps a group on one expert map."""

from ..._errors import WaxwingError


class MapBusyError(WaxwingError):
    """Another agent leads a change of the group's map."""

    code = "map_busy"

    def __init__(self, *, group, term):
        super().__init__(f'group "{group}" is led under term {term}')


class TermLostError(WaxwingError):
    """A leader that cannot go on under its term."""

    code = "term_lost"

    def __init__(self, *, term, reason, start_over=False):
        super().__init__(f"term {term}: {reason}")
        self.start_over = start_over


class LeaseExpiredError(WaxwingError):
    """An agent that has not heard from its leader for too long to act."""

    code = "lease_expired"

    def __init__(self, *, term):
        super().__init__(f"the lease under term {term} has expired")


class OrderFailedError(WaxwingError):
    """An order that the engine's state does not allow at the moment."""

    code = "order_failed"


class MapLostError(OrderFailedError):
    """An engine without the map that the term counts on: it was replaced."""

    code = "map_lost"
