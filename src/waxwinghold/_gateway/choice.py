"""Which of a service's targets gets a request; pure decisions."""

import random

from .._registry import Registry

FAILURE_WEIGHT = 4.0  # A target that fails all requests counts as four loads.
SILENT_WEIGHT = 2.0  # Used last: its machine may be cut off, or only its agent.
AWAY_WEIGHT = 0.02  # Decides between equals only: a far data centre costs 1 ms.

seat_policy = Registry(kind="seat")


@seat_policy("fewest_own")
class FewestOwn:
    """Takes the target that holds fewest of this gateway's own requests.

    The naive policy: blind to the other gateways and to sick targets.
    """

    def __init__(self, *, data_centre="", pace=None, rng=None):
        self._rng = rng or random.Random()

    def choose(self, seats, *, tried, now_ms):
        """Return one of the usable ``seats``, or ``None``."""
        usable = [seat for seat in seats if seat.target.name not in tried]
        if not usable:
            return None
        return min(usable, key=lambda one: (one.in_flight_count, self._rng.random()))


@seat_policy("least_held")
class LeastHeld:
    """Takes the target with most free places, all gateways counted.

    Answers: several gateways that fill one target because each sees only its
    own part, a target that fails requests while its health check passes, and a
    slow rank that slows the whole group that it steps with.

    Args:
        data_centre: The gateway's own; preferred among equals.
        pace: Tells how much slower than usual a seat's group steps.
        rng: Breaks ties, so that gateways do not choose alike.
    """

    def __init__(self, *, data_centre, pace=None, rng=None):
        self._data_centre = data_centre
        self._pace = pace or (lambda seat: 1.0)
        self._rng = rng or random.Random()

    def choose(self, seats, *, tried, now_ms):
        """Return the best of ``seats`` with a free place, or ``None``.

        Args:
            seats: The service's ``Seat`` objects.
            tried: Names of targets that had this request.
            now_ms: Time on the gateway's clock.
        """
        usable = [
            seat
            for seat in seats
            if seat.target.name not in tried
            and seat.usable(now_ms=now_ms)
            and seat.free_count(now_ms=now_ms) > 0
        ]
        if not usable:
            return None
        return min(usable, key=lambda seat: self._cost(seat, now_ms))

    def _cost(self, seat, now_ms):
        load = seat.held_count / seat.target.slots_count
        cost = (load + 0.1) * (1 + FAILURE_WEIGHT * seat.failure_ratio)
        cost *= self._pace(seat)
        if seat.target.data_centre != self._data_centre:
            cost += AWAY_WEIGHT
        if seat.silent(now_ms):
            cost += SILENT_WEIGHT
        return cost + self._rng.random() * AWAY_WEIGHT / 2
