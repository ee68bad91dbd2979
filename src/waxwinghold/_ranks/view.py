"""One agent's view of the ranks of its group."""

import logbook

log = logbook.Logger("view")

SILENCE_LIMIT_MS = 1500.0  # Tolerates the loss of several notices.
# Agents that do not lead check this seldom whether they lead now. Each check is a turn
# of an event loop, and a large fleet has hundreds of agents.
FOLLOWER_INTERVAL_MS = 500.0


class GroupView:
    """Keeps the latest notice of each rank of one group in one epoch.

    The agent's own rank determines the group and the epoch.

    Attributes:
        name: The group's name; ``None`` before the first notice.
        epoch: The group's epoch; ``None`` before the first notice.
        own_rank: Number of the agent's own rank; ``None`` before the first notice.
        size: Number of ranks in the group.
    """

    def __init__(self, *, clock):
        self._clock = clock
        self._notices = {}
        self._updated_ms = {}
        self._agent_notice_ms = {}
        self.name = None
        self.epoch = None
        self.own_rank = None
        self.size = 0

    def update_own(self, notice):
        """Apply a notice of the agent's own rank, which may change group and epoch."""
        if (notice.group, notice.epoch) != (self.name, self.epoch):
            self.name, self.epoch = notice.group, notice.epoch
            self._notices = {
                rank: previous
                for rank, previous in self._notices.items()
                if (previous.group, previous.epoch) == (self.name, self.epoch)
            }
        self.size = notice.size
        self.own_rank = notice.rank
        self.update(notice)

    def update(self, notice):
        """Apply a notice of any rank, unless it is old or of another group or epoch."""
        if (notice.group, notice.epoch) != (self.name, self.epoch):
            return
        if not self.has_rank(notice.rank):
            details = {"rank": notice.rank, "address": notice.address}
            log.warn("notice of a rank outside the group", extra=details)
            return
        previous = self._notices.get(notice.rank)
        if previous is not None:
            previous_key = (previous.started_ms, previous.sequence)
            if (notice.started_ms, notice.sequence) <= previous_key:
                return
        self._notices[notice.rank] = notice
        self._updated_ms[notice.rank] = self._agent_notice_ms[notice.rank] = (
            self._clock.now_ms()
        )

    def has_rank(self, rank):
        """Return whether a number is that of a rank of the group."""
        return 0 <= rank < self.size

    def update_from_report(self, rank, notice):
        """Apply a notice made from the report of a rank whose own agent is silent.

        The next notice of that agent replaces it, because this one keeps the
        sequence number of the agent's latest notice.

        Args:
            rank: Number of the rank.
            notice: The ``RankNotice`` made from the report.
        """
        if (notice.group, notice.epoch) == (self.name, self.epoch):
            self._notices[rank] = notice
            self._updated_ms[rank] = self._clock.now_ms()

    def is_agent_silent(self, rank, *, limit_ms):
        """Return whether no notice of the agent of ``rank`` came for ``limit_ms``."""
        return self.notice_age_ms(rank) > limit_ms

    def notice_age_ms(self, rank):
        """Return the age in ms of the latest notice of the agent of ``rank``."""
        return self._clock.now_ms() - self._agent_notice_ms.get(rank, float("-inf"))

    @property
    def may_lead(self):
        """Whether the own rank leads the group, or is not known yet."""
        return self.own_rank in (None, 0)

    def notices(self):
        """Return the latest notice of each rank, by rank."""
        return self._notices

    def is_complete(self):
        """Return whether every rank has a recent notice and is open."""
        return self.is_complete_since(self._clock.now_ms() - SILENCE_LIMIT_MS)

    def is_complete_since(self, oldest_ms):
        """Return whether every rank is open and was heard later than ``oldest_ms``."""
        if self.size == 0 or len(self._notices) != self.size:
            return False
        return all(
            notice.is_open and self._updated_ms[rank] > oldest_ms
            for rank, notice in self._notices.items()
        )

    def address(self, rank):
        """Return the address of a rank, ``IP:PORT``."""
        return self._notices[rank].address
