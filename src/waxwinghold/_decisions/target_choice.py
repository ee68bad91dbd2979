"""Decides which target gets a request.

It handles many gateways that choose at once on lagging counts, targets that fail in
good health, and slow ranks. ``tests.test_gateway_seats`` and
``tests.test_decisions_replay`` replay them.
"""

import math
import random
import zlib

from .._registry import Registry
from .pass_limit import may_take

# At equal load, a target that fails all requests costs 1 + 4 times as much.
FAILURE_WEIGHT = 4.0
# A target whose notices have stopped is used last: its host may be cut off, or only
# its agent may have failed.
SILENT_WEIGHT = 2.0
# At equal load, a warm target is chosen before a cold one, also in another data centre.
COLD_WEIGHT = 0.05
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

    def is_drawn(self, name, count, *, wall_ms):
        """Return whether this gateway is among ``count`` that are drawn for ``name``.

        All gateways draw the same ones, and others at each turn.
        """
        turn = zlib.crc32(f"{name} {int(wall_ms / TURN_MS)}".encode())
        return (self._position() - turn) % self._count() < count


def total_slots(free_counts, *, now_ms, kept_ratio=0.0):
    """Return the slots of some targets and how many of them are free.

    In a group with a limit, no more can be used than the limit.

    Args:
        free_counts: Free slots of each ``TrackedTarget``.
        kept_ratio: Share of the limit that does not count as free.
    """
    slots_count = free_count = 0
    limited = {}
    for target, count in free_counts.items():
        if target.progress.room_count(now_ms=now_ms) is None:
            slots_count += target.listing.slots_count
            free_count += max(0, count)
            continue
        group_slots, group_free = limited.get(target.progress, (0, 0))
        limited[target.progress] = (
            group_slots + target.listing.slots_count,
            group_free + max(0, count),
        )
    for progress, (group_slots, group_free) in limited.items():
        kept_count = math.ceil(kept_ratio * progress.limit_count)
        room_count = progress.room_count(now_ms=now_ms) - kept_count
        slots_count += min(group_slots, progress.limit_count)
        free_count += max(0, min(group_free, room_count))
    return slots_count, free_count


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
        is_drawn=None,
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
        is_drawn: ``is_drawn(name, count)`` returns whether this gateway is among
            ``count`` that may take the last room of a group now.
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
        is_drawn=None,
        rng=None,
    ):
        self._data_centre = data_centre
        self._pace = pace or (lambda target: 1.0)
        self._relative_pace = relative_pace or (lambda target: 1.0)
        self._gateways_count = gateways_count or (lambda: 1)
        self._has_turn = has_turn or (lambda name: True)
        self._is_drawn = is_drawn or (lambda name, count: True)
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
        slots_count, free_count = total_slots(free_counts, now_ms=now_ms)
        limited = self._with_room(usable, now_ms)
        usable = [target for target in usable if target.progress not in limited]
        if needs_turn and free_count < SCARCE_FREE_RATIO * slots_count:
            usable = [
                target
                for target in usable
                if target.has_released_slot(now_ms=now_ms)
                or self._has_turn(target.listing.name)
            ]
        usable += [target for targets in limited.values() for target in targets]
        if not usable:
            return None
        compared = self._compared(usable)
        return min(compared, key=lambda target: self._cost(target, now_ms))

    def _with_room(self, usable, now_ms):
        """Return, by group with a limit, those of ``usable`` that may get a request.

        Turns at the single targets are not needed there: only some gateways take the
        last room of the group, and it is less than the free slots of its targets.
        """
        with_room = {}
        for target in usable:
            progress = target.progress
            if progress in with_room:
                if with_room[progress]:
                    with_room[progress].append(target)
                continue
            room_count = progress.room_count(now_ms=now_ms)
            if room_count is None:
                continue
            group = target.rank_notice.group
            takes = may_take(
                room_count=room_count,
                limit_count=progress.limit_count,
                own_change_count=progress.own_change_count,
                gateways_count=self._gateways_count(),
                is_drawn=lambda count, group=group: self._is_drawn(group, count),
            )
            with_room[progress] = [target] if takes else []
        return with_room

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
        if target.is_cold(now_ms=now_ms):
            cost += COLD_WEIGHT
        return cost + self._rng.random() * OTHER_DATA_CENTRE_WEIGHT / 2
