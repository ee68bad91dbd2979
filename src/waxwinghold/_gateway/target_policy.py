"""Policies that select the target of a request.

The policies only decide: they get the time as an argument and send nothing.
"""

import random

from .._registry import Registry

# At equal load, a target that fails all requests costs 1 + 4 times as much.
FAILURE_WEIGHT = 4.0
# A target whose notices have stopped is used last: its host may be cut off, or only
# its agent may have failed.
SILENT_WEIGHT = 2.0
# A gateway compares this many times its equal share of the targets, drawn at random.
# If all gateways compared all targets on lagging counts, they would all send to the
# same one.
COMPARED_SHARES_COUNT = 4
COMPARED_MIN_COUNT = 2
# Decides only between targets of equal load: reaching another data centre takes 1 ms.
OTHER_DATA_CENTRE_WEIGHT = 0.02

target_policy = Registry(kind="target")


@target_policy("fewest_own")
class FewestOwn:
    """Selects the target with the fewest requests of this gateway in flight.

    The baseline policy: it ignores the other gateways and failing targets.
    """

    def __init__(self, *, data_centre="", pace=None, gateways_count=None, rng=None):
        self._rng = rng or random.Random()

    def choose(self, targets, *, tried, now_ms):
        """Return one of ``targets`` whose name is not in ``tried``, or ``None``."""
        usable = [target for target in targets if target.listing.name not in tried]
        if not usable:
            return None
        return min(
            usable, key=lambda target: (target.in_flight_count, self._rng.random())
        )


@target_policy("least_held")
class LeastHeld:
    """Selects the target with the lowest load, counting the requests of all gateways.

    It addresses four problems: several gateways overload one target because each
    counts only its own requests; many gateways make the same choice on lagging
    counts; a target fails requests while its health check passes; one slow rank
    slows down all ranks of its group.

    Args:
        data_centre: The gateway's own data centre, preferred at equal load.
        pace: Returns how many times slower than usual a target's group steps.
        gateways_count: Returns how many gateways select from the same targets.
        rng: Draws the compared targets and breaks ties, so that gateways do not all
            make the same choice.
    """

    def __init__(self, *, data_centre, pace=None, gateways_count=None, rng=None):
        self._data_centre = data_centre
        self._pace = pace or (lambda target: 1.0)
        self._gateways_count = gateways_count or (lambda: 1)
        self._rng = rng or random.Random()

    def choose(self, targets, *, tried, now_ms):
        """Return the best of ``targets`` with a free slot, or ``None``.

        Args:
            targets: The service's ``TrackedTarget`` objects.
            tried: Names of the targets that this request was already sent to.
            now_ms: Time in milliseconds of the gateway's clock.
        """
        usable = [
            target
            for target in targets
            if target.listing.name not in tried
            and target.is_usable(now_ms=now_ms)
            and target.free_slots_count(now_ms=now_ms) > 0
        ]
        if not usable:
            return None
        compared = self._compared(usable)
        return min(compared, key=lambda target: self._cost(target, now_ms))

    def _compared(self, usable):
        """Return a random sample of ``usable``; all of it for few gateways."""
        share = len(usable) / self._gateways_count()
        count = max(COMPARED_MIN_COUNT, round(COMPARED_SHARES_COUNT * share))
        if count >= len(usable):
            return usable
        return self._rng.sample(usable, count)

    def _cost(self, target, now_ms):
        load = target.total_in_flight_count(now_ms=now_ms) / target.listing.slots_count
        cost = (load + 0.1) * (1 + FAILURE_WEIGHT * target.failure_ratio)
        cost *= self._pace(target)
        if target.listing.data_centre != self._data_centre:
            cost += OTHER_DATA_CENTRE_WEIGHT
        if target.is_silent(now_ms):
            cost += SILENT_WEIGHT
        return cost + self._rng.random() * OTHER_DATA_CENTRE_WEIGHT / 2
