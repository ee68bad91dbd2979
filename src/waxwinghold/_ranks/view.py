"""What one agent knows of the ranks of its group."""

SILENCE_LIMIT_MS = 1500.0  # Several notices may be lost.


class GroupView:
    """The latest notice of each rank of one group and epoch.

    Attributes:
        name: The group's name, or ``None`` before the first notice.
        epoch: The epoch of the agent's own rank.
        own_rank: The number of that rank, or ``None``.
        size: How many ranks the group has.
    """

    def __init__(self, *, clock):
        self._clock = clock
        self._notices = {}
        self._heard_ms = {}
        self._told_ms = {}
        self.name = None
        self.epoch = None
        self.own_rank = None
        self.size = 0

    def update_own(self, notice):
        """Take in the notice of the agent's own rank."""
        if (notice.group, notice.epoch) != (self.name, self.epoch):
            self.name, self.epoch = notice.group, notice.epoch
            self._notices = {
                rank: one
                for rank, one in self._notices.items()
                if (one.group, one.epoch) == (self.name, self.epoch)
            }
        self.size = notice.size
        self.own_rank = notice.rank
        self.update(notice)

    def update(self, notice):
        """Take in a notice of any rank; others' groups are passed over."""
        if (notice.group, notice.epoch) != (self.name, self.epoch):
            return
        known = self._notices.get(notice.rank)
        if known is not None:
            order = (known.started_ms, known.sequence)
            if (notice.started_ms, notice.sequence) <= order:
                return
        self._notices[notice.rank] = notice
        self._heard_ms[notice.rank] = self._told_ms[notice.rank] = self._clock.now_ms()

    def update_from_report(self, rank, notice):
        """Take in what was read from a rank whose own agent is silent.

        The agent's next notice replaces it, whatever its number.
        """
        if (notice.group, notice.epoch) == (self.name, self.epoch):
            self._notices[rank] = notice
            self._heard_ms[rank] = self._clock.now_ms()

    def is_agent_silent(self, rank, *, limit_ms):
        """Return whether the agent beside ``rank`` sent nothing for ``limit_ms``."""
        return self.notice_age_ms(rank) > limit_ms

    def notice_age_ms(self, rank):
        """Return how long ago the agent beside ``rank`` sent its last notice."""
        return self._clock.now_ms() - self._told_ms.get(rank, float("-inf"))

    def notices(self):
        """Return the latest notice by rank."""
        return self._notices

    def is_complete(self):
        """Return whether every rank was heard lately and says that it is open."""
        if self.size == 0 or len(self._notices) != self.size:
            return False
        oldest_ms = self._clock.now_ms() - SILENCE_LIMIT_MS
        return all(
            one.is_open and self._heard_ms[rank] >= oldest_ms
            for rank, one in self._notices.items()
        )

    def address(self, rank):
        """Return ``IP:PORT`` of a rank."""
        return self._notices[rank].address
