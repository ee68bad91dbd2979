"""Which of a service's targets gets a request; pure decisions."""

import random

from .._registry import Registry

FAILURE_WEIGHT = 4.0  # A target that fails all requests counts as four loads.
SILENT_WEIGHT = 2.0  # Used last: its machine may be cut off, or only its agent.
# Targets that a gateway compares for each of its equal share of them. Gateways
# that all compared every target would crowd the one that looked emptiest last.
COMPARED_SHARES_COUNT = 4
COMPARED_MIN_COUNT = 2
AWAY_WEIGHT = 0.02  # Decides between equals only: a far data centre costs 1 ms.

target_policy = Registry(kind="seat")


@target_policy("fewest_own")
class FewestOwn:
    """Takes the target that holds fewest of this gateway's own requests.

    The naive policy: blind to the other gateways and to sick targets.
    """

    def __init__(self, *, data_centre="", pace=None, gateways_count=None, rng=None):
        self._rng = rng or random.Random()

    def choose(self, targets, *, tried, now_ms):
        """Return one of the usable ``targets``, or ``None``."""
        usable = [target for target in targets if target.listing.name not in tried]
        if not usable:
            return None
        return min(usable, key=lambda one: (one.in_flight_count, self._rng.random()))


@target_policy("least_held")
class LeastHeld:
    """Takes the target with most free places, all gateways counted.

    Answers: several gateways that fill one target because each sees only its
    own part, many gateways that choose alike on counts that lag, a target that
    fails requests while its health check passes, and a slow rank that slows the
    whole group that it steps with.

    Args:
        data_centre: The gateway's own; preferred among equals.
        pace: Tells how much slower than usual a seat's group steps.
        gateways_count: Tells how many gateways choose among the same targets.
        rng: Breaks ties, so that gateways do not choose alike.
    """

    def __init__(self, *, data_centre, pace=None, gateways_count=None, rng=None):
        self._data_centre = data_centre
        self._pace = pace or (lambda target: 1.0)
        self._gateways_count = gateways_count or (lambda: 1)
        self._rng = rng or random.Random()

    def choose(self, targets, *, tried, now_ms):
        """Return the best of ``targets`` with a free place, or ``None``.

        Args:
            seats: The service's ``TrackedTarget`` objects.
            tried: Names of targets that had this request.
            now_ms: Time on the gateway's clock.
        """
        usable = [
            target
            for target in targets
            if target.listing.name not in tried
            and target.usable(now_ms=now_ms)
            and target.free_count(now_ms=now_ms) > 0
        ]
        if not usable:
            return None
        compared = self._compared(usable)
        return min(compared, key=lambda target: self._cost(target, now_ms))

    def _compared(self, usable):
        """Return a random part of ``usable``: all of them for few gateways."""
        share = len(usable) / self._gateways_count()
        count = max(COMPARED_MIN_COUNT, round(COMPARED_SHARES_COUNT * share))
        if count >= len(usable):
            return usable
        return self._rng.sample(usable, count)

    def _cost(self, target, now_ms):
        load = target.held_count(now_ms=now_ms) / target.listing.slots_count
        cost = (load + 0.1) * (1 + FAILURE_WEIGHT * target.failure_ratio)
        cost *= self._pace(target)
        if target.listing.data_centre != self._data_centre:
            cost += AWAY_WEIGHT
        if target.silent(now_ms):
            cost += SILENT_WEIGHT
        return cost + self._rng.random() * AWAY_WEIGHT / 2
