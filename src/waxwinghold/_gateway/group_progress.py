"""Whether the ranks of a group make steps and how long these take, by their notices."""

from .._decisions.pass_limit import PassMeter

STALL_LIMIT_MS = 450.0  # One step of a full batch takes about 130 ms.
RANK_STATE_AGE_LIMIT_MS = 1000.0  # Allows for several lost notices of a rank.


class GroupProgress:
    """Whether the ranks of one group make steps, as their notices show.

    All ranks of a group begin each step together, and an idle group makes none. A
    group that makes no step is therefore stalled only while one of its ranks has
    requests, and then its idle ranks are stalled as well.

    Attributes:
        step: Number of the last step that a notice named.
        is_open: Whether the group makes steps, by the last notice of any rank.
        last_step_ms: When the group was last seen to make a step or to be idle.
        running_count: Requests that run in the group, by the latest notices.
        own_change_count: Requests that this gateway began in the group since those
            notices, less those that it ended.
        slots_count: Slots of the ranks that sent notices.
        counts_loads: Whether the three counts are kept; they are needed for a limit.
        meter: The ``PassMeter`` of the group.
        limit_count: How many requests may run in the group; ``None`` for no limit.
    """

    def __init__(self):
        # When each rank that has requests last said so.
        self._busy_ms = {}
        self.epoch = None
        self.step = None
        self.is_open = True
        self._state_ms = 0.0
        self.last_step_ms = 0.0
        self._loads = {}  # The three counts of each rank.
        self.running_count = self.own_change_count = self.slots_count = 0
        self.counts_loads = False
        self._notice_ms = 0.0
        self.meter = PassMeter()
        self.limit_count = None

    def update(self, notice, *, now_ms):
        """Apply the ``RankNotice`` of any rank of the group."""
        self.is_open, self._state_ms = notice.is_open, now_ms
        if notice.epoch != self.epoch:
            self.epoch, self.step = notice.epoch, None
            self._busy_ms.clear()
            self._loads.clear()
            self.running_count = self.own_change_count = self.slots_count = 0
            self.meter.restart()
        is_idle = not self._is_busy(now_ms)
        if is_idle or self.step is None or notice.step > self.step:
            self.last_step_ms = now_ms
            self.step = max(notice.step, self.step or 0)
        if notice.running_count or notice.waiting_count:
            self._busy_ms[notice.rank] = now_ms
        else:
            self._busy_ms.pop(notice.rank, None)

    def update_load(self, rank, *, running_count, own_change_count, slots_count):
        """Set the counts of one rank."""
        previous = self._loads.get(rank, (0, 0, 0))
        self._loads[rank] = (running_count, own_change_count, slots_count)
        self.running_count += running_count - previous[0]
        self.own_change_count += own_change_count - previous[1]
        self.slots_count += slots_count - previous[2]

    def update_limit(self, *, step, goal, now_ms):
        """Measure the passes and set the limit, once the loads of a notice are set.

        Args:
            step: Number of the last step, by the notice.
            goal: The ``PassGoal`` of the group's service; ``None`` for no limit.
        """
        self._notice_ms = now_ms
        if goal is None:
            self.limit_count = None
            return
        self.meter.record(step=step, running_count=self.running_count, now_ms=now_ms)
        self.limit_count = self.meter.limit_count(
            goal=goal, slots_count=self.slots_count, now_ms=now_ms
        )

    def room_count(self, *, now_ms):
        """Return how many more requests may run; ``None`` without a limit.

        Without notices the counts are unknown, and there is no limit.
        """
        if self.limit_count is None:
            return None
        if now_ms - self._notice_ms > RANK_STATE_AGE_LIMIT_MS:
            return None
        return self.limit_count - self.running_count - self.own_change_count

    def is_stalled(self, *, notice_ms):
        """Return whether the group made no step for too long.

        Args:
            notice_ms: When the latest notice of a rank was current.
        """
        stalled_ms = notice_ms - self.last_step_ms
        return stalled_ms > STALL_LIMIT_MS and self._is_busy(notice_ms)

    def is_closed(self, *, now_ms):
        """Return whether recent notices of other ranks say that the group is not open.

        A rank that is cut off closes its group, and its own notices stop.
        """
        age_ms = now_ms - self._state_ms
        return not self.is_open and age_ms <= RANK_STATE_AGE_LIMIT_MS

    def _is_busy(self, now_ms):
        # A rank whose agent fell silent may be idle by now.
        oldest_ms = now_ms - RANK_STATE_AGE_LIMIT_MS
        # Called for each rank of each notice; a generator would take twice as long.
        for busy_ms in self._busy_ms.values():
            if busy_ms >= oldest_ms:
                return True
        return False
