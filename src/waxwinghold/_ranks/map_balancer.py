"""Decides when to change a group's expert map; a ``Leader`` carries the change out."""

import asyncio
from dataclasses import replace

import logbook

from .._decisions.map_worth import GroupPasses, change_price, copy_price, gain
from .._decisions.pass_limit import PassMeter
from .._decisions.target_signals import credible_hints
from .count_codec import CountTotals, unpack
from .demand import WINDOW_INTERVALS_COUNT, RecentDemand, counts_interval_ms
from .leader import GroupChangedError
from .planner import map_policy, map_skew, step_length

log = logbook.Logger("map_balancer")

CHECK_INTERVAL_MS = 100.0
# With a rank that was not heard for this long, several reports, a change would be given
# up after its copies were made.
PLAN_SILENCE_LIMIT_MS = 400.0
NAMED_RANKS_LIMIT_COUNT = 8  # In one log line.
SKIP_LOG_INTERVAL_MS = 1000.0  # Of one reason; the demand is checked more often.
CHANGE_PAUSE_MS = 200.0  # The next plan needs counts made on the new map.
# Arming takes some 60 ms. If it takes longer, some orders were not answered at once,
# and a step may have been held meanwhile. That fault lasts for seconds.
SLOW_ARMING_MS = 500.0
SLOW_CHANGE_PAUSE_MS = 10_000.0
# A rank copies its new experts one after the other, and the map is switched after the
# last copy. A few copies bring most of the gain; the next change brings the rest.
COPY_LIMIT_MS = 450.0


class MapBalancer:
    """Tracks the demand for experts in a group and starts map changes.

    Each agent has one, but only those of the leader and of a deputy change the map.

    Args:
        view: The ``GroupView``.
        leader: The ``Leader`` that carries out map changes.
        policy: Name of a ``map_policy``.
        count: ``count(name)`` counts an event.

    Attributes:
        late_max_ms: How late the event loop was at most for a check of the demand.
    """

    def __init__(self, *, clock, view, leader, policy, count):
        self._clock = clock
        self._view = view
        self._leader = leader
        self._count = count
        self._policy = map_policy.make(policy)
        self._demand = RecentDemand()
        self._totals = CountTotals()
        self._resident_experts = {}
        self._group_key = None
        self._shape = None
        self._pass_meter = PassMeter()
        self._pass_key = None
        self._logged_skip = (None, float("-inf"))  # Reason, and when.
        self.late_max_ms = 0.0

    @property
    def shape(self):
        """The ``GroupShape``; ``None`` until the configuration is known."""
        return self._shape

    @shape.setter
    def shape(self, shape):
        if shape != self._shape:
            # Counts that came earlier were not checked against it.
            self._group_key = None
            self._clear()
        self._shape = shape

    @property
    def counted_ranks(self):
        """Return the ranks of which the counts and the resident experts are known."""
        return self._resident_experts.keys()

    def _clear(self):
        self._demand.clear()
        self._totals.clear()
        self._resident_experts = {}

    def known_version(self):
        """Return the version of the map that is known for all ranks, or ``None``."""
        versions = {version for version, _ in self._resident_experts.values()}
        if len(self._resident_experts) != self._view.size or len(versions) != 1:
            return None
        return versions.pop()

    def add_counts(self, notice):
        """Add the expert counts of some ranks, from a ``CountsNotice``."""
        key = (notice.group, notice.epoch)
        if key != (self._view.name, self._view.epoch):
            return
        if not self._fits(notice):
            self._count("malformed_counts")
            details = {"ranks": [counted.rank for counted in notice.ranks]}
            log.warn("expert counts do not fit the group", extra=details)
            return
        if key != self._group_key:
            self._group_key = key
            self._clear()
        interval_ms = counts_interval_ms(self._view.size)
        self._demand.window_ms = WINDOW_INTERVALS_COUNT * interval_ms
        deltas = unpack(notice.scales, notice.grown)
        now_ms = self._clock.now_ms()
        if not self._totals.has_source(notice.block):
            # Demand is the difference of two samples. A sample of zeros, one interval
            # earlier, lets the first growth count.
            self._add_totals(notice, _zeros(deltas), now_ms - interval_ms)
        self._add_totals(notice, self._totals.add(notice.block, deltas), now_ms)
        for counted in notice.ranks:
            self._add_resident_experts(counted)

    def _add_resident_experts(self, counted):
        known_version, _ = self._resident_experts.get(counted.rank, (None, None))
        if counted.held:
            experts = (counted.map_version, counted.held)
            self._resident_experts[counted.rank] = experts
        elif counted.map_version != known_version:
            self._resident_experts.pop(counted.rank, None)

    def _fits(self, notice):
        """Return whether a ``CountsNotice`` has the sizes of the group's maps."""
        if not all(self._view.has_rank(counted.rank) for counted in notice.ranks):
            return False
        if notice.block >= max(1, self._view.size):
            return False
        if self.shape is None:
            return True
        sets_count, experts_count = self.shape.sets_count, self.shape.experts_count
        rows = [notice.scales, notice.grown]
        rows += [counted.held for counted in notice.ranks if counted.held]
        return (
            all(len(row) == sets_count for row in rows)
            and all(len(grown) == experts_count for grown in notice.grown)
            and all(
                expert < experts_count
                for counted in notice.ranks
                for experts in counted.held
                for expert in experts
            )
        )

    def _add_totals(self, notice, totals, now_ms):
        self._demand.add_counts(source=notice.block, counts=totals, now_ms=now_ms)

    def record_pass(self):
        """Measure the passes of the group after a report of the agent's own rank."""
        own_notice = self._view.notices()[self._view.own_rank]
        key = (self._view.name, self._view.epoch)
        if key != self._pass_key:
            self._pass_key = key
            self._pass_meter.restart()
        self._pass_meter.record(
            step=own_notice.step,
            running_count=sum(
                notice.running_count for notice in self._view.notices().values()
            ),
            now_ms=self._clock.now_ms(),
        )

    async def run(self, *, is_leader, is_deputy):
        """Check the demand periodically and change the map until cancelled.

        Args:
            is_leader: Returns whether this agent leads the group.
            is_deputy: Returns whether this agent finishes the map change of a silent
                leader.
        """
        while True:
            await self._sleep_until_check()
            try:
                if self._leader.is_unfinished():
                    if is_leader() or is_deputy():
                        await self._leader.finish()
                elif is_leader() and self._can_plan():
                    await self._balance()
            except GroupChangedError as error:
                self._count("abandoned_changes")
                log.info("map change abandoned", extra={"reason": str(error)})

    async def _sleep_until_check(self):
        due_ms = self._clock.now_ms() + CHECK_INTERVAL_MS
        await self._clock.sleep_ms(CHECK_INTERVAL_MS)
        self.late_max_ms = max(self.late_max_ms, self._clock.now_ms() - due_ms)

    def _can_plan(self):
        if self.shape is None:
            self._record_skip("shape_unknown")
            return False
        heard_ranks = self._view.notices().keys()
        if len(heard_ranks) != self._view.size:
            unheard_ranks = sorted(set(range(self._view.size)) - heard_ranks)
            self._record_skip(
                "ranks_unheard",
                heard=len(heard_ranks),
                unheard_ranks=unheard_ranks[:NAMED_RANKS_LIMIT_COUNT],
            )
            return False
        oldest_ms = self._clock.now_ms() - PLAN_SILENCE_LIMIT_MS
        if not self._view.is_complete_since(oldest_ms):
            self._record_skip("ranks_silent")
            return False
        return True

    def _record_skip(self, reason, **details):
        """Count why the map is left as it is, and log a reason that is new or lasts."""
        self._count(f"skipped_plans_{reason}")
        now_ms = self._clock.now_ms()
        logged_reason, logged_ms = self._logged_skip
        if reason == logged_reason and now_ms - logged_ms < SKIP_LOG_INTERVAL_MS:
            return
        self._logged_skip = (reason, now_ms)
        log.info(
            "map left as it is",
            extra={
                "reason": reason,
                "group": self._view.name,
                "size": self._view.size,
                "late_max_ms": round(self.late_max_ms),
                **details,
            },
        )

    async def _balance(self):
        epoch = self._view.epoch
        plan = await self._plan()
        if plan is None or self._view.epoch != epoch:
            return
        started_ms = self._clock.now_ms()
        ranks_by_set, base_by_set = plan
        done = await self._leader.change_map(ranks_by_set, base_by_set=base_by_set)
        took_ms = self._clock.now_ms() - started_ms
        arming_ms = self._leader.arming_ms
        if done and self._view.epoch == epoch:
            self._resident_experts = {
                rank: (self._leader.version, list(experts))
                for rank, experts in enumerate(zip(*ranks_by_set))
            }
        self._count("changes" if done else "unprepared_changes")
        log.info(
            "map change ended",
            extra={
                "done": done,
                "took_ms": round(took_ms),
                "arming_ms": round(arming_ms),
            },
        )
        await self._clock.sleep_ms(pause_after_ms(done=done, arming_ms=arming_ms))

    async def _plan(self):
        """Return a better map and the one in use, or ``None``.

        Both are experts by set and rank. A map is better if its gain exceeds the price
        of the change.
        """
        passes = self._passes()
        # Steps of half the length are more than most changes bring.
        if gain(passes, step_before=2.0, step_after=1.0) <= 0:
            self._record_skip("idle")
            return None
        demand = self._demand.by_set()
        if demand is None:
            self._record_skip("demand_unknown", counted=len(self._resident_experts))
            return None
        resident_experts = self._resident_experts_by_set()
        if resident_experts is None:
            self._record_skip("maps_differ", counted=len(self._resident_experts))
            return None
        started_ms = self._clock.now_ms()
        # In a thread, so that this agent keeps sending notices while it plans.
        plans = await asyncio.to_thread(
            self._plan_sets,
            demand,
            resident_experts,
            passes,
            self._paces(),
            self._leaving_ranks(),
        )
        planning_ms = self._clock.now_ms() - started_ms
        if not self._is_worth(plans, resident_experts, passes, planning_ms):
            return None
        ranks_by_set = [[sorted(experts) for experts in plan.ranks] for plan in plans]
        return ranks_by_set, resident_experts

    def _is_worth(self, plans, resident_experts, passes, planning_ms):
        """Return whether the ``SetPlan``s gain more than the change costs; log both."""
        step_before = self._step_length([plan.skew_before for plan in plans])
        step_after = self._step_length([plan.skew for plan in plans])
        moves_counts = _moves_by_rank(plans, resident_experts)
        gained = gain(passes, step_before=step_before, step_after=step_after)
        price = change_price(
            [count * self.shape.expert_copy_ms for count in moves_counts]
        )
        details = {
            "moves": sum(moves_counts),
            "moves_of_a_rank": max(moves_counts),
            "use": round(passes.use_ratio, 2),
            "pass_ms": passes.pass_ms and round(passes.pass_ms, 1),
            "gain": round(gained, 3),
            "price": round(price, 3),
            "step_before": round(step_before, 3),
            "step_after": round(step_after, 3),
            "planning_ms": round(planning_ms),
        }
        if not any(moves_counts) or gained < price:
            self._record_skip("price", **details)
            return False
        details["leaving_ranks"] = self._leaving_ranks()
        log.info("map planned", extra=details)
        return True

    def _paces(self):
        """Return how many times slower than usual each rank is, by rank."""
        notices = self._view.notices()
        return [max(1.0, notices[rank].pace) for rank in range(self._view.size)]

    def _leaving_ranks(self):
        """Return the ranks that leave, as far as their agents are believed."""
        notices = self._view.notices()
        told = [rank for rank, notice in notices.items() if notice.is_leaving]
        return credible_hints(told, targets_count=self._view.size)

    def _plan_sets(self, demand, resident_experts, passes, paces, leaving_ranks):
        sets = list(zip(demand, resident_experts))
        before = self._step_length(
            [
                map_skew(demand=set_demand, ranks=ranks, paces=paces)
                for set_demand, ranks in sets
            ]
        )
        move_price = self._move_price(passes, step_before=before)
        shape = with_few_copies(self.shape)
        return [
            self._policy.plan_set(
                demand=set_demand,
                ranks=ranks,
                shape=shape,
                move_price=move_price,
                paces=paces,
                leaving_ranks=leaving_ranks,
            )
            for set_demand, ranks in sets
        ]

    def _move_price(self, passes, *, step_before):
        """Return the decrease of the skew of one set that justifies one copy."""
        price = copy_price(
            copy_ms=self.shape.expert_copy_ms, ranks_count=self._view.size
        )
        gain_to_even = gain(passes, step_before=step_before, step_after=1.0)
        if not gain_to_even > 0:
            return 0.0
        step_decrease = price * (step_before - 1.0) / gain_to_even
        return step_decrease * self.shape.sets_count / self.shape.expert_share

    def _step_length(self, skews):
        return step_length(skews, expert_share=self.shape.expert_share)

    def _passes(self):
        notices = self._view.notices().values()
        requests_count = sum(
            notice.running_count + notice.waiting_count for notice in notices
        )
        slots_count = len(notices) * self.shape.slots_count
        return GroupPasses(
            use_ratio=requests_count / slots_count,
            pass_ms=self._pass_meter.pass_ms(now_ms=self._clock.now_ms()),
            gap_goal_ms=self.shape.gap_goal_ms,
        )

    def _resident_experts_by_set(self):
        """Return the resident experts by set and rank; ``None`` while unknown."""
        version = self.known_version()
        notices = self._view.notices().values()
        if version is None or {version} != {notice.map_version for notice in notices}:
            return None
        ranks = [self._resident_experts[rank][1] for rank in range(self._view.size)]
        return [list(experts) for experts in zip(*ranks)]


def _moves_by_rank(plans, resident_experts):
    """Return how many experts each rank has to copy for the ``SetPlan``s."""
    return [
        sum(
            len(plan.ranks[rank] - set(ranks[rank]))
            for plan, ranks in zip(plans, resident_experts)
        )
        for rank in range(len(resident_experts[0]))
    ]


def with_few_copies(shape):
    """Return a ``GroupShape`` that allows copies for about ``COPY_LIMIT_MS`` a rank."""
    copies_ms = shape.sets_count * shape.expert_copy_ms
    limit_count = int(COPY_LIMIT_MS / copies_ms) if copies_ms else shape.spare_count
    spare_count = min(shape.spare_count, max(1, limit_count))
    return replace(shape, spare_count=spare_count)


def pause_after_ms(*, done, arming_ms):
    """Return the time in ms to wait after a map change before the next one.

    While orders are carried out seconds late or not at all, each change may stop the
    whole group until its last order is carried out. After a slow or failed change the
    pause is therefore long.

    Args:
        done: Whether all ranks switched to the new map.
        arming_ms: Time that arming the ranks took, in which a step may be held.
    """
    if not done or arming_ms > SLOW_ARMING_MS:
        return SLOW_CHANGE_PAUSE_MS
    return CHANGE_PAUSE_MS


def _zeros(rows):
    return [[0] * len(row) for row in rows]
