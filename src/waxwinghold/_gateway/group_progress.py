"""Whether the ranks of a group make steps, as their notices show."""

STALL_LIMIT_MS = 450.0  # One step of a full batch takes about 130 ms.
RANK_STATE_AGE_LIMIT_MS = 1000.0  # Allows for several lost notices of a rank.


class GroupProgress:
    """Whether the ranks of one group make steps, as their notices show.

    All ranks of a group begin each step together, and an idle group makes none. A
    group that makes no step is therefore stalled only while one of its ranks has
    requests, and then its idle ranks are stalled as well.

    Attributes:
        step: Number of the last step that a notice named.
        last_step_ms: When the group was last seen to make a step or to be idle.
    """

    def __init__(self):
        # When each rank that has requests last said so.
        self._busy_ms = {}
        self.epoch = None
        self.step = None
        self.last_step_ms = 0.0

    def update(self, notice, *, now_ms):
        """Apply the ``RankNotice`` of any rank of the group."""
        if notice.epoch != self.epoch:
            self.epoch, self.step = notice.epoch, None
            self._busy_ms.clear()
        is_idle = not self._is_busy(now_ms)
        if is_idle or self.step is None or notice.step > self.step:
            self.last_step_ms = now_ms
            self.step = max(notice.step, self.step or 0)
        if notice.running_count or notice.waiting_count:
            self._busy_ms[notice.rank] = now_ms
        else:
            self._busy_ms.pop(notice.rank, None)

    def is_stalled(self, *, notice_ms):
        """Return whether the group made no step for too long.

        Args:
            notice_ms: When the latest notice of a rank was current.
        """
        stalled_ms = notice_ms - self.last_step_ms
        return stalled_ms > STALL_LIMIT_MS and self._is_busy(notice_ms)

    def _is_busy(self, now_ms):
        # A rank whose agent fell silent may be idle by now.
        oldest_ms = now_ms - RANK_STATE_AGE_LIMIT_MS
        return any(busy_ms >= oldest_ms for busy_ms in self._busy_ms.values())
