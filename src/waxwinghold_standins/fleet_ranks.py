"""Stand-in of a group of ranks that steps on expert maps, without a network.

It keeps the rules of the users' platform for orders: fences, expected counts,
epochs, held passes; and it can leave orders unanswered and carry them out late.
"""

from waxwinghold._ranks.model import RankReport


class FleetRank:
    """One rank's orders and maps.

    Attributes:
        rejected_kinds: Kinds of the orders that it refused.
    """

    def __init__(self, *, group, rank, experts):
        self.group = group
        self.rank = rank
        self.born_ms = 1
        self.version = 0
        self.experts = experts
        self.prepared = None
        self.prepared_experts = None
        self.armed = None
        self.armed_step = None
        self.held = None
        self.orders_count = 0
        self.highest_version = 0
        self.fence = 0
        self.rejected_kinds = []

    def report(self):
        """Return the ``RankReport`` of this moment."""
        return RankReport(
            born_ms=self.born_ms,
            group="g0",
            epoch=self.group.epoch,
            rank=self.rank,
            size=len(self.group.ranks),
            is_open=self.group.is_open,
            step=self.group.step,
            map_version=self.version,
            prepared=self.prepared,
            armed=self.armed,
            held=self.held,
            orders_count=self.orders_count,
            running_count=3,
            waiting_count=0,
        )

    def execute(self, order):
        """Carry out an order; return whether it was accepted."""
        accepted = self._accepts(order) and getattr(self, f"_{order.kind.value}")(order)
        if accepted:
            self.orders_count += 1
            self.fence = order.token
        else:
            self.rejected_kinds.append(order.kind)
        return accepted

    def reset(self):
        """Forget everything, as a group does that is formed anew."""
        self.version = 0
        self.experts = self.group.initial_experts(self.rank)
        self.prepared = self.prepared_experts = None
        self.armed = self.armed_step = self.held = None

    def _accepts(self, order):
        return (
            self.group.is_open
            and order.epoch == self.group.epoch
            and order.orders_count == self.orders_count
            and order.token >= self.fence
        )

    def _prepare(self, order):
        if order.version <= self.highest_version or self.armed is not None:
            return False
        self.highest_version = self.prepared = order.version
        self.prepared_experts = [ranks[self.rank] for ranks in order.ranks_by_set]
        return True

    def _arm(self, order):
        if order.version != self.prepared or order.step <= self.group.step:
            return False
        self.armed, self.armed_step = order.version, order.step
        return True

    def _hold(self, order):
        if self.held is not None or order.step <= self.group.step:
            return False
        self.held = order.step
        return True

    def _go(self, order):
        if self.held != order.step:
            return False
        self.held = None
        return True


class FleetGroup:
    """Ranks that begin every pass together.

    Attributes:
        mixed_count: Passes that were begun on two maps.
    """

    def __init__(self, *, ranks_count, experts_count=16, sets_count=2):
        self.epoch = 1
        self.is_open = True
        self.step = 0
        self.mixed_count = 0
        self.experts_count = experts_count
        self._sets_count = sets_count
        self._ranks_count = ranks_count
        self.ranks = [
            FleetRank(group=self, rank=rank, experts=self.initial_experts(rank))
            for rank in range(ranks_count)
        ]

    def initial_experts(self, rank):
        """Return the experts by set that a rank holds at first."""
        experts = list(range(rank, self.experts_count, self._ranks_count))
        return [experts for _ in range(self._sets_count)]

    def begin_step(self):
        """Begin the next pass unless a rank holds it back; say if it began."""
        number = self.step + 1
        if not self.is_open or any(one.held == number for one in self.ranks):
            return False
        for one in self.ranks:
            if one.armed_step == number:
                one.version, one.experts = one.armed, one.prepared_experts
                one.armed = one.armed_step = one.prepared = None
        self.step = number
        self.mixed_count += len({one.version for one in self.ranks}) > 1
        return True

    def start_new_epoch(self, lost_rank):
        """Lose a rank and form the group again, in a new epoch."""
        self.epoch += 1
        for one in self.ranks:
            one.reset()
        lost = self.ranks[lost_rank]
        lost.orders_count = lost.highest_version = lost.fence = 0
        lost.born_ms += 1
