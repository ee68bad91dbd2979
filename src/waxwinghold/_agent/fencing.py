"""Fencing numbers for orders to a target, and the guard against old terms."""

from .._errors import WaxwingError
from .._messages.maps import Term

# Twelve bits keep the numbers below 2**53, which every JSON reader holds exactly.
COUNTER_BITS = 12


class SupersededError(WaxwingError):
    """A newer incarnation of this agent gives orders to the target."""

    code = "superseded"

    def __init__(self, *, fence, seen_fence):
        super().__init__(
            f"the target refused order number {fence} after it took earlier ones: "
            f"another agent has used number {seen_fence}"
        )
        self.seen_fence = seen_fence


class StaleTermError(WaxwingError):
    """An order under a term that a newer one has replaced."""

    code = "stale_term"

    def __init__(self, *, term, granted):
        super().__init__(f"term {term} is older than the granted term {granted}")
        self.granted = granted


class FencingNumbers:
    """Rising numbers for one incarnation's orders to one target.

    The wall time of the incarnation's start is the high part and a counter the
    low part, so that a later incarnation starts higher without shared state.
    Where a stepped host clock made it start lower, the target's first refusal
    tells the number to pass. Once the target has taken an order, a refusal
    means that a newer incarnation has taken over: passing its number then
    would let an agent that woke late fence off its successor.
    """

    def __init__(self, *, clock):
        self._last = clock.wall_ms() << COUNTER_BITS
        self._accepted = False

    def next(self):
        """Return a number above all that were returned before."""
        self._last += 1
        return self._last

    def record_accepted(self):
        """Record that the target took an order of this incarnation."""
        self._accepted = True

    def record_refused(self, *, fence, seen_fence):
        """Go above the number that the target's refusal told.

        Args:
            fence: The number of the refused order.
            told_fence: The highest number that the target has seen.

        Raises:
            SupersededError: The target took orders of this incarnation before.
        """
        if self._accepted and seen_fence > self._last:
            raise SupersededError(fence=fence, seen_fence=seen_fence)
        self._last = max(self._last, seen_fence)


class TermGuard:
    """Lets no order through that is older than one granted before."""

    def __init__(self, *, granted=Term()):
        self.granted = granted

    def admit(self, term):
        """Grant ``term`` if it is as high as any granted before.

        Raises:
            StaleTermError: A higher term was granted.
        """
        if term < self.granted:
            raise StaleTermError(term=term, granted=self.granted)
        self.granted = term
