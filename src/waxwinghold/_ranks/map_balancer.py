"""Decides when a group's expert map is changed, and has the leader do it."""

import asyncio

import logbook

from .count_codec import CountTotals, unpack
from .demand import RecentDemand
from .leader import GroupChangedError
from .planner import map_policy, step_length

log = logbook.Logger("balancing")

LOOK_INTERVAL_MS = 300.0
COUNTS_INTERVAL_MS = 400.0  # Between two notices of a rank's counts.
CHANGE_PAUSE_MS = 400.0  # Counts of the new map must be seen before the next.
# A change takes 0.3 to 0.8 s. One that takes longer has met orders that go unanswered,
# which lasts for seconds, and may have held a pass back until they were answered.
SLOW_CHANGE_MS = 1500.0
SLOW_CHANGE_PAUSE_MS = 10_000.0
# Copying one expert lengthens steps by 15 % for about 50 ms, and costs the
# memory links; it must shorten all steps until demand shifts, some 3 s, by this.
MOVE_PRICE_RATIO = 0.0023
CHANGE_PRICE_RATIO = 0.03  # Orders, reports and the risk of a held pass.
IDLE_USE_RATIO = 0.35  # Below it shorter steps serve nobody sooner.
FULL_USE_RATIO = 0.9  # Above it every shorter step serves somebody more.


class MapBalancer:
    """Watches the demand of the group whose rank 0 stands beside this agent.

    Attributes:
        shape: The ``GroupShape``; ``None`` until the configuration is known.

    Args:
        view: The ``GroupView``.
        leader: The ``Leader`` that carries changes out.
        policy: Name of the planner.
        count: Counts an event by name.
    """

    def __init__(self, *, clock, view, leader, policy, count):
        self._clock = clock
        self._view = view
        self._leader = leader
        self._count = count
        self._policy = map_policy.make(policy)
        self._demand = RecentDemand()
        self._totals = CountTotals()
        self._held = {}
        self._epoch = None
        self.shape = None

    def add_counts(self, notice):
        """Take in the counts of one rank of the group."""
        key = (notice.group, notice.epoch)
        if key != (self._view.name, self._view.epoch):
            return
        if key != self._epoch:
            self._epoch = key
            self._demand.clear()
            self._totals.clear()
            self._held = {}
        grown = unpack(notice.scales, notice.grown)
        now_ms = self._clock.now_ms()
        if not self._totals.has_rank(notice.rank, born_ms=notice.born_ms):
            self._take_totals(notice, _zeros(grown), now_ms - COUNTS_INTERVAL_MS)
        totals = self._totals.add(notice.rank, grown, born_ms=notice.born_ms)
        self._take_totals(notice, totals, now_ms)
        self._held[notice.rank] = (notice.map_version, notice.held)

    def _take_totals(self, notice, totals, now_ms):
        self._demand.add_counts(
            rank=notice.rank, born_ms=notice.born_ms, counts=totals, now_ms=now_ms
        )

    async def run(self, *, is_leader, is_deputy):
        """Look at the demand again and again until cancelled.

        Args:
            is_leader: Tells whether this agent leads the group.
            is_deputy: Tells whether it finishes what a silent leader began.
        """
        while True:
            await self._clock.sleep_ms(LOOK_INTERVAL_MS)
            if not self._view.is_complete():
                continue
            try:
                if is_leader() and self.shape is not None:
                    await self._look()
                elif is_deputy() and self._leader.is_unfinished():
                    await self._leader.finish()
            except GroupChangedError as error:
                self._count("abandoned_changes")
                log.info("change abandoned", extra={"reason": str(error)})

    async def _look(self):
        if self._leader.is_unfinished():
            await self._leader.finish()
            return
        epoch = self._view.epoch
        plan = await self._plan()
        if plan is None or self._view.epoch != epoch:
            return
        started_ms = self._clock.now_ms()
        done = await self._leader.change_map(plan)
        took_ms = self._clock.now_ms() - started_ms
        self._count("changes" if done else "unprepared_changes")
        log.info(
            "map change ended",
            extra={"done": done, "took_ms": round(took_ms)},
        )
        await self._clock.sleep_ms(pause_after_ms(done=done, took_ms=took_ms))

    async def _plan(self):
        """Return a better map as experts by set and rank, or ``None``."""
        demand = self._demand.by_set()
        held = self._held_by_set()
        if demand is None or held is None:
            return None
        worth = self._worth_of_speed()
        if not worth:
            return None
        share = self.shape.expert_share
        move_price = MOVE_PRICE_RATIO / worth * len(demand) / share
        # Off the event loop: the other agents must go on hearing this one.
        plans = await asyncio.to_thread(self._plan_sets, demand, held, move_price)
        before = step_length([one.skew_before for one in plans], expert_share=share)
        after = step_length([one.skew for one in plans], expert_share=share)
        moves_count = sum(one.moves_count for one in plans)
        gain = worth * (before - after) / before
        if (
            not moves_count
            or gain < CHANGE_PRICE_RATIO + MOVE_PRICE_RATIO * moves_count
        ):
            return None
        log.info(
            "map planned",
            extra={
                "moves": moves_count,
                "worth": round(worth, 2),
                "step_before": round(before, 3),
                "step_after": round(after, 3),
            },
        )
        return [[sorted(experts) for experts in one.ranks] for one in plans]

    def _plan_sets(self, demand, held, move_price):
        return [
            self._policy.plan_set(
                demand=set_demand,
                ranks=ranks,
                shape=self.shape,
                move_price=move_price,
            )
            for set_demand, ranks in zip(demand, held)
        ]

    def _worth_of_speed(self):
        """Return what shorter steps are worth now, from 0 (idle) to 1 (full)."""
        notices = self._view.notices().values()
        held_count = sum(one.running_count + one.waiting_count for one in notices)
        use = held_count / (len(notices) * self.shape.slots_count)
        return min(
            1.0, max(0.0, use - IDLE_USE_RATIO) / (FULL_USE_RATIO - IDLE_USE_RATIO)
        )

    def _held_by_set(self):
        """Return per set and rank the experts held; ``None`` if not yet known."""
        versions = {version for version, _ in self._held.values()}
        if len(self._held) != self._view.size or len(versions) != 1:
            return None
        notices = self._view.notices().values()
        if versions != {one.map_version for one in notices}:
            return None
        ranks = [self._held[rank][1] for rank in range(self._view.size)]
        return [list(experts) for experts in zip(*ranks)]


def pause_after_ms(*, done, took_ms):
    """Return how long to leave a group's map alone after a change.

    Answers: orders that are carried out seconds late or not at all, when each
    change may stop the whole group until its last order has come through.
    """
    if not done or took_ms > SLOW_CHANGE_MS:
        return SLOW_CHANGE_PAUSE_MS
    return CHANGE_PAUSE_MS


def _zeros(rows):
    return [[0] * len(row) for row in rows]
