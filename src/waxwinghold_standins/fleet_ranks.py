"""Stand-in for a group of ranks that switch expert maps, without a network.

It follows the rules of the users' platform for orders: fencing tokens, expected
counts of accepted orders, epochs and held steps. ``FleetRankServer`` serves its ranks
over HTTP and can leave orders unanswered.
"""

import msgspec

from waxwinghold._ranks.model import RankReport


class FleetRank:
    """The expert maps of one rank, and the orders that change them.

    Args:
        group: The ``FleetGroup``.
        rank: Number of the rank in the group.
        experts: Experts of each set of layers that the rank holds at the start.

    Attributes:
        born_ms: Start time of the rank in its reports; grows when it is replaced.
        version: Version of the map in use.
        experts: Experts of each set of the map in use.
        content: The whole map in use, encoded; empty for the initial map.
        prepared: Version of the prepared map, or ``None``.
        prepared_experts: Experts of each set of the prepared map.
        prepared_content: The whole prepared map, encoded.
        armed: Version of the map that the rank switches to, or ``None``.
        armed_step: Step at which the rank switches to the armed map, or ``None``.
        held: Number of the step that must not begin, or ``None``.
        orders_count: Number of orders accepted.
        highest_version: Highest version that was prepared.
        fence: Highest fencing token of an accepted order.
        rejected_kinds: Kinds of the rejected orders.
        leaving: Whether every answer announces that the rank leaves.
    """

    def __init__(self, *, group, rank, experts):
        self.group = group
        self.rank = rank
        self.born_ms = 1
        self.version = 0
        self.experts = experts
        self.content = b""
        self.prepared = None
        self.prepared_experts = None
        self.prepared_content = b""
        self.armed = None
        self.armed_step = None
        self.held = None
        self.orders_count = 0
        self.highest_version = 0
        self.fence = 0
        self.rejected_kinds = []
        self.leaving = False

    def report(self):
        """Return the current ``RankReport``."""
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
            running_count=self.group.running_count,
            waiting_count=0,
            is_leaving=self.leaving,
        )

    def execute(self, order):
        """Execute an ``Order`` if it is valid; return whether it was accepted.

        Each kind of order has the method of its name, which returns the same.
        """
        accepted = self._accepts(order) and getattr(self, f"_{order.kind.value}")(order)
        if accepted:
            self.orders_count += 1
            self.fence = order.token
        else:
            self.rejected_kinds.append(order.kind)
        return accepted

    def reset(self):
        """Return to the initial map, as every rank does when a new epoch starts."""
        self.version = 0
        self.experts = self.group.initial_experts(self.rank)
        self.content = self.prepared_content = b""
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
        self.prepared_content = msgspec.json.encode(order.ranks_by_set)
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
        """Release the held step."""
        if self.held != order.step:
            return False
        self.held = None
        return True


class FleetGroup:
    """Ranks that begin every step together.

    Args:
        ranks_count: Number of ranks.
        experts_count: Number of experts in a set.
        sets_count: Number of sets of layers, each with its own experts.

    Attributes:
        epoch: Number of the epoch, from 1 on.
        is_open: Whether the group makes steps and accepts orders.
        step: The last step that was begun.
        running_count: Requests that each rank runs.
        mixed_count: Number of steps that were begun with different maps, by version or
            content.
    """

    def __init__(self, *, ranks_count, experts_count=16, sets_count=2):
        self.epoch = 1
        self.is_open = True
        self.step = 0
        self.running_count = 3
        self.mixed_count = 0
        self.experts_count = experts_count
        self._sets_count = sets_count
        self._ranks_count = ranks_count
        self.ranks = [
            FleetRank(group=self, rank=rank, experts=self.initial_experts(rank))
            for rank in range(ranks_count)
        ]

    def initial_experts(self, rank):
        """Return the experts of each set that a rank holds at the start."""
        experts = list(range(rank, self.experts_count, self._ranks_count))
        return [experts for _ in range(self._sets_count)]

    def begin_step(self):
        """Begin the next step, unless it is held or the group is not open.

        Returns:
            Whether the step began.
        """
        step = self.step + 1
        if not self.is_open or any(rank.held == step for rank in self.ranks):
            return False
        for rank in self.ranks:
            if rank.armed_step == step:
                rank.version, rank.experts = rank.armed, rank.prepared_experts
                rank.content = rank.prepared_content
                rank.armed = rank.armed_step = rank.prepared = None
        self.step = step
        maps = {(rank.version, rank.content) for rank in self.ranks}
        self.mixed_count += len(maps) > 1
        return True

    def start_new_epoch(self, lost_rank):
        """Replace a rank and start a new epoch with the initial map on every rank.

        Args:
            lost_rank: Number of the rank that is replaced.
        """
        self.epoch += 1
        for rank in self.ranks:
            rank.reset()
        replaced = self.ranks[lost_rank]
        replaced.orders_count = replaced.highest_version = replaced.fence = 0
        replaced.born_ms += 1
