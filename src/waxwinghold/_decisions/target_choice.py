"""Decides which target gets a request.

It handles many gateways that choose at once on lagging counts, targets that fail in
good health, and slow ranks. ``tests.test_gateway_seats`` and
``tests.test_decisions_replay`` replay them.
"""

import random
import zlib

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

# While less than this share of the slots is free, gateways take turns at each target.
SCARCE_FREE_RATIO = 0.12
TURN_MS = 100.0  # At least the interval between two notices of a rank's counts.

target_policy = Registry(kind="target")


class Turns:
    """Lets one gateway at a time take the last free slots of a target.

    If each free slot were offered to all gateways at once, several would send to it,
    and all but one of the requests would wait at the target.

    Args:
        position: Returns the number of this gateway among all, from 0.
        count: Returns the number of gateways.
    """

    def __init__(self, *, position, count):
        self._position = position
        self._count = count

    def has(self, name, *, wall_ms):
        """Return whether it is this gateway's turn at the target ``name``.

        Args:
            wall_ms: Time of day, about the same at all gateways.
        """
        turn = zlib.crc32(name.encode()) + int(wall_ms / TURN_MS)
        return turn % self._count() == self._position()


@target_policy("fewest_own")
class FewestOwn:
    """Selects the target with the fewest requests of this gateway in flight.

    The baseline policy: it ignores the other gateways and failing targets.
    """

    def __init__(
        self,
        *,
        data_centre="",
        pace=None,
        relative_pace=None,
        gateways_count=None,
        has_turn=None,
        rng=None,
    ):
        self._rng = rng or random.Random()

    def choose(self, targets, *, tried, now_ms, needs_turn=True):
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
    slows down all ranks of its group, the more the more requests it has itself.

    Args:
        data_centre: The gateway's own data centre, preferred at equal load.
        pace: Returns how many times slower than usual a target's group steps.
        relative_pace: Returns how many times slower a target is than the fastest rank
            of its group.
        gateways_count: Returns how many gateways select from the same targets.
        has_turn: ``has_turn(name)`` returns whether this gateway may take the last free
            slots of a target now.
        rng: Draws the compared targets and breaks ties, so that gateways do not all
            make the same choice.
    """

    def __init__(
        self,
        *,
        data_centre,
        pace=None,
        relative_pace=None,
        gateways_count=None,
        has_turn=None,
        rng=None,
    ):
        self._data_centre = data_centre
        self._pace = pace or (lambda target: 1.0)
        self._relative_pace = relative_pace or (lambda target: 1.0)
        self._gateways_count = gateways_count or (lambda: 1)
        self._has_turn = has_turn or (lambda name: True)
        self._rng = rng or random.Random()

    def choose(self, targets, *, tried, now_ms, needs_turn=True):
        """Return the best of ``targets`` with a free slot, or ``None``.

        Args:
            targets: The service's ``TrackedTarget`` objects.
            tried: Names of the targets that this request was already sent to.
            now_ms: Time in milliseconds of the gateway's clock.
            needs_turn: Whether the last free slots are taken in turns.
        """
        free_counts = {
            target: target.free_slots_count(now_ms=now_ms)
            for target in targets
            if target.listing.name not in tried and target.is_usable(now_ms=now_ms)
        }
        usable = [target for target, count in free_counts.items() if count > 0]
        slots_count = sum(target.listing.slots_count for target in free_counts)
        free_count = sum(free_counts[target] for target in usable)
        if needs_turn and free_count < SCARCE_FREE_RATIO * slots_count:
            usable = [
                target
                for target in usable
                if target.has_released_slot(now_ms=now_ms)
                or self._has_turn(target.listing.name)
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
        cost *= self._pace(target) * self._relative_pace(target)
        if target.listing.data_centre != self._data_centre:
            cost += OTHER_DATA_CENTRE_WEIGHT
        if target.is_silent(now_ms):
            cost += SILENT_WEIGHT
        return cost + self._rng.random() * OTHER_DATA_CENTRE_WEIGHT / 2
