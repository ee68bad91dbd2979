"""Decides how many requests may run in a group, so that its passes stay short.

All ranks of a group begin each pass together, and a stream gets one event per pass.
Each running request lengthens the passes of all streams of its group.
``tests.test_pass_limit`` replays groups at 0.6 to 1.4 times their capacity.
"""

import math
from dataclasses import dataclass

# Of the longest pause that a stream may have. The longest of some twenty pauses of a
# stream has to be below the goal: streams at a mean pass of 101 ms mostly had one above
# 120 ms, and hardly any at 85 ms.
GOAL_SHARE = 0.75
# Above this share of the goal, most streams are late whatever their number.
LATE_SHARE = 0.85
# Whatever is measured, this share of the slots may be used.
USED_MIN_RATIO = 0.55
PASS_SMOOTHING_MS = 600.0  # Some seven passes of a full group.
# Passes of one load differ by an eighth, and the limit by 4 % at 2000 ms. Demand shifts
# every 2 to 3 s, which a longer time would not follow.
SLOPE_SMOOTHING_MS = 2000.0
MEASURED_MIN_MS = 450.0  # Below that, the error is more than a tenth.
# A longer time between two passes is a stall or an outage of the notices.
INTERVAL_LIMIT_MS = 1000.0
# Requests per group and the demand change little in this time.
MEASUREMENT_AGE_LIMIT_MS = 5000.0
PASS_MIN_MS = 2.0  # Shorter passes are not credible.
STEPS_BACK_LIMIT_COUNT = 20  # Notices of several ranks may arrive out of order.
# With less than this share of the limit free, only some gateways take a place, fewer
# the less is free. With 0.25, 60 gateways exceed the limit by more than a tenth in one
# pass of a hundred at 1.4 times the capacity.
AMPLE_ROOM_RATIO = 0.3
# One gateway of many seldom gets more requests than this between two notices.
OWN_SHARE_MIN_COUNT = 2
# Late requests leave this share of the limit free beyond what they leave in any case:
# the waiting ones of all gateways would otherwise start together on lagging counts.
LATE_ROOM_RATIO = 0.15


@dataclass(frozen=True, kw_only=True)
class PassGoal:
    """What the configuration says about the passes of a service's groups.

    Args:
        gap_goal_ms: Longest pause of a stream that is on time; the lowest of all routes
            to the service.
        base_ms: Length of a pass with hardly any request; 0 if it is unknown.
    """

    gap_goal_ms: float
    base_ms: float = 0.0


def pass_goals(configuration):
    """Return the ``PassGoal`` of each service whose groups have a limit, by name.

    Args:
        configuration: The ``Configuration`` in force.
    """
    goals = {}
    for route in configuration.routes:
        for share in route.shares:
            service = configuration.services.get(share.service)
            if service is None or not service.grouped or not route.gap_goal_ms > 0:
                continue
            known = goals.get(share.service)
            gap_goal_ms = route.gap_goal_ms
            if known is not None:
                gap_goal_ms = min(gap_goal_ms, known.gap_goal_ms)
            goals[share.service] = PassGoal(
                gap_goal_ms=gap_goal_ms, base_ms=service.pass_base_ms
            )
    return goals


class PassMeter:
    """Measures the passes of one group and derives the limit of running requests.

    A pass is taken to last ``base + slope x running requests``. Sums of the time, of
    the passes and of the requests in them decay over time; the slope is their ratio.

    Attributes:
        measured_ms: When the last pass was measured; ``None`` before the first.
    """

    def __init__(self):
        self._forget()
        self._previous = None  # Time, step and running requests at the last new step.
        self._lowest_count = 0  # Of the running requests since then.

    def _forget(self):
        self.measured_ms = None
        # Decaying sums of the time in ms, the passes and the requests in all passes.
        self._time_ms = self._passes_count = self._requests_count = 0.0
        # The first two over the shorter time of ``PASS_SMOOTHING_MS``.
        self._recent_ms = self._recent_count = 0.0

    def restart(self):
        """Measure no interval that began before the next notice."""
        self._previous = None

    def record(self, *, step, running_count, now_ms):
        """Record one notice.

        Args:
            step: Number of the last pass that was begun.
            running_count: Requests that run in the group.
        """
        if self._is_old(now_ms):
            self._forget()
        if self._previous is None:
            self._begin(step, running_count, now_ms)
            return
        previous_ms, previous_step, previous_count = self._previous
        steps_count = step - previous_step
        self._lowest_count = min(self._lowest_count, running_count)
        if steps_count <= 0:
            if steps_count < -STEPS_BACK_LIMIT_COUNT:
                self._begin(step, running_count, now_ms)
            return
        time_ms = now_ms - previous_ms
        # An idle group makes no passes: the time that it was idle is not measured.
        if (
            self._lowest_count > 0
            and PASS_MIN_MS * steps_count <= time_ms <= INTERVAL_LIMIT_MS
        ):
            mean_count = (previous_count + running_count) / 2
            self._add(time_ms, steps_count, mean_count, now_ms)
        self._begin(step, running_count, now_ms)

    def pass_ms(self, *, now_ms):
        """Return the recent mean length of a pass; ``None`` if none was measured."""
        if self._is_old(now_ms) or not self._recent_count:
            return None
        return self._recent_ms / self._recent_count

    def limit_count(self, *, goal, slots_count, now_ms):
        """Return how many requests may run in the group; ``None`` for no limit.

        Args:
            goal: The ``PassGoal`` of the group's service, or ``None``.
            slots_count: Slots of all ranks of the group.
        """
        if goal is None or self._is_old(now_ms) or self._time_ms < MEASURED_MIN_MS:
            return None
        beyond_ms = self._time_ms - goal.base_ms * self._passes_count
        if beyond_ms <= 0:
            return None
        slope_ms = beyond_ms / self._requests_count
        least_count = math.ceil(USED_MIN_RATIO * slots_count)
        # All streams are late then, and serving late is better than rejecting.
        least_ms = goal.base_ms + slope_ms * least_count
        if least_ms > LATE_SHARE * goal.gap_goal_ms:
            return None
        count = int((GOAL_SHARE * goal.gap_goal_ms - goal.base_ms) / slope_ms)
        return None if count >= slots_count else max(least_count, count)

    def _is_old(self, now_ms):
        if self.measured_ms is None:
            return True
        return now_ms - self.measured_ms > MEASUREMENT_AGE_LIMIT_MS

    def _begin(self, step, running_count, now_ms):
        self._previous = now_ms, step, running_count
        self._lowest_count = running_count

    def _add(self, time_ms, passes_count, mean_count, now_ms):
        kept = math.exp(-time_ms / SLOPE_SMOOTHING_MS)
        self._time_ms = kept * self._time_ms + time_ms
        self._passes_count = kept * self._passes_count + passes_count
        self._requests_count = kept * self._requests_count + passes_count * mean_count
        kept = math.exp(-time_ms / PASS_SMOOTHING_MS)
        self._recent_ms = kept * self._recent_ms + time_ms
        self._recent_count = kept * self._recent_count + passes_count
        self.measured_ms = now_ms


def may_take(*, room_count, limit_count, own_change_count, gateways_count, is_drawn):
    """Return whether a gateway may send one more request to a group with a limit.

    The counts are 100 to 200 ms old. If each gateway used all room that it sees, all of
    them together would take it many times.

    Args:
        room_count: Requests up to the limit, with the gateway's own changes counted.
        own_change_count: Requests that the gateway itself began in the group since the
            last notice, less those that it ended.
        gateways_count: Gateways that send to the group.
        is_drawn: ``is_drawn(count)`` returns whether this gateway is among ``count``
            of all gateways that are drawn for a moment.
    """
    if room_count <= 0:
        return False
    # It puts a request in the place of one that it has ended.
    if own_change_count < 0:
        return True
    own_share = math.ceil((room_count + own_change_count) / gateways_count)
    if own_change_count >= max(OWN_SHARE_MIN_COUNT, own_share):
        return False
    ample_count = AMPLE_ROOM_RATIO * limit_count
    if gateways_count == 1 or room_count >= ample_count:
        return True
    return is_drawn(math.ceil(gateways_count * room_count / ample_count))
