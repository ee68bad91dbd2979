"""Fencing numbers for orders to a target, and the check against outdated terms."""

from .._errors import WaxwingError
from .._messages.maps import Term

# Keeps the numbers below 2**53, which every JSON parser represents exactly.
COUNTER_BITS = 12


class SupersededError(WaxwingError):
    """Raised when a newer incarnation of this agent sends orders to the target."""

    code = "superseded"

    def __init__(self, *, fence, seen_fence):
        super().__init__(
            f"the target refused fencing number {fence} after accepting lower ones: "
            f"another agent has used number {seen_fence}"
        )
        self.seen_fence = seen_fence


class StaleTermError(WaxwingError):
    """Raised for an order under a term that a newer term has replaced."""

    code = "stale_term"

    def __init__(self, *, term, granted):
        super().__init__(f"term {term} is older than the granted term {granted}")
        self.granted = granted


class FencingNumbers:
    """Rising numbers for the orders of one agent incarnation to one target.

    The high bits of a number are the wall time of the incarnation's start, the
    low bits are a counter. A later incarnation thus starts higher without any
    shared state. If the host's clock was set back, an incarnation starts too
    low; the target's refusal then contains the number to exceed.

    Once the target has accepted an order, a refusal means that a newer
    incarnation has taken over. This one must not exceed the newer one's number,
    or an agent that was paused would fence off its successor.
    """

    def __init__(self, *, clock):
        self._last = clock.wall_ms() << COUNTER_BITS
        self._accepted = False

    def next(self):
        """Return a number that is higher than all numbers returned so far."""
        self._last += 1
        return self._last

    def record_accepted(self):
        """Record that the target accepted an order of this incarnation."""
        self._accepted = True

    def record_refused(self, *, fence, seen_fence):
        """Continue above the number that the target's refusal contains.

        Args:
            fence: The number of the refused order.
            seen_fence: The highest number that the target has seen.

        Raises:
            SupersededError: The target had accepted orders of this incarnation,
                so a newer incarnation must have used the higher number.
        """
        if self._accepted and seen_fence > self._last:
            raise SupersededError(fence=fence, seen_fence=seen_fence)
        self._last = max(self._last, seen_fence)


class TermGuard:
    """Rejects terms that are older than the highest granted term."""

    def __init__(self, *, granted=Term()):
        self.granted = granted

    def admit(self, term):
        """Grant ``term`` unless a higher term has been granted.

        Raises:
            StaleTermError: A higher term was granted.
        """
        if term < self.granted:
            raise StaleTermError(term=term, granted=self.granted)
        self.granted = term
