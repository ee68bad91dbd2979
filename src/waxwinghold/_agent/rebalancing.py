"""Balances the load of a group's ranks as the demand for experts changes."""

import asyncio
import copy
import statistics
from dataclasses import dataclass

import logbook

from .._errors import WaxwingError
from .._messages.maps import DemandQuery, DemandReply, ExpertMap
from .._policy import placement_policy, plan_skew
from ._maps.waiting import wait_event
from .demand import DemandMeter
from .expert_plans import layout_of, map_of, plans_of

log = logbook.Logger("waxwinghold.rebalancing")

REBALANCE_INTERVAL_MS = 10_000.0
REPLY_LIMIT_MS = 1000.0
# With fewer tokens, differences between experts are mostly random.
TOKENS_MIN_PER_EXPERT = 10
# A smaller gain is not worth a map change, which stops all ranks for a moment
# however few experts move.
SKEW_GAIN_MIN_RATIO = 0.01


@dataclass(frozen=True, kw_only=True)
class Proposal:
    """A proposed change of the group's map.

    A group's skew is the mean over its layers, because a step waits in each layer
    for the rank that is busiest there.

    Args:
        expert_map: The map to change to.
        moves_count: Number of experts that ranks have to load.
        skew: The skew under the new map.
        skew_before: The skew under the current map; ``None`` if the experts of
            that map are unknown.
    """

    expert_map: ExpertMap
    moves_count: int
    skew: float
    skew_before: float | None

    @property
    def is_worthwhile(self):
        """Whether the change is worth stopping the group for."""
        if self.skew_before is None:
            return True
        return self.skew_before - self.skew >= SKEW_GAIN_MIN_RATIO


class LayoutUnknownError(WaxwingError):
    """Raised when the sheet does not define which experts a group has."""

    code = "layout_unknown"

    def __init__(self, *, group):
        super().__init__(f'row "{group}" of table "groups": no experts to place')


class Rebalancer:
    """One agent's part in rebalancing its group.

    Every agent measures the demand at its engine. The first member of the group
    is the planner: it collects the demand of all members and leads the changes.

    Args:
        name: This agent's name.
        group: Has the group's ``name``, its ``members``, ``live_members()``,
            ``send(name, message)`` and its ``coordinator``, a ``MapCoordinator``.
        index: Returns the current ``SheetIndex``, or ``None``.
        read: Coroutine function that returns the engine's answer at a path.
        clock: The agent's ``Clock``.
        audit: The ``AuditTrail`` that changes are recorded in.
        policy: Name of the placement policy.
        interval_ms: Time between readings of the demand.
        reply_limit_ms: Time that the other agents have to reply.
        run_in_thread: Coroutine function that calls a function outside the
            event loop.

    Attributes:
        meter: The ``DemandMeter`` of this agent's engine.
    """

    def __init__(
        self,
        *,
        name,
        group,
        index,
        read,
        clock,
        audit,
        policy="repair",
        interval_ms=REBALANCE_INTERVAL_MS,
        reply_limit_ms=REPLY_LIMIT_MS,
        run_in_thread=asyncio.to_thread,
    ):
        self.meter = DemandMeter(read=read, clock=clock, interval_ms=interval_ms)
        self._name = name
        self._group = group
        self._index = index
        self._clock = clock
        self._audit = audit
        self._policy_name = policy
        self._interval_ms = interval_ms
        self._reply_limit_ms = reply_limit_ms
        self._run_in_thread = run_in_thread
        self._policies = ()
        self._query_number = 0
        self._replies = {}
        self._all_replied = asyncio.Event()

    async def run(self):
        """Measure the demand and rebalance periodically, until cancelled."""
        while True:
            await self._clock.sleep_ms(self._interval_ms)
            await self.meter.take_reading()
            try:
                await self.rebalance()
            except WaxwingError as error:
                log.info("cannot rebalance group {} now: {}", self._group.name, error)

    async def first_map(self):
        """Return an ``ExpertMap`` for even demand, for a group that has no map.

        Raises:
            LayoutUnknownError: The sheet does not define the group's experts.
        """
        layout = self._layout()
        if layout is None:
            raise LayoutUnknownError(group=self._group.name)
        policy = placement_policy.make(self._policy_name)
        plan = await self._run_in_thread(self._plan_layer, policy, layout, None, None)
        return map_of((plan,) * layout.layers_count, layout)

    async def rebalance(self):
        """Change the group's map if this agent is the planner and it is worthwhile.

        Raises:
            MapBusyError: Another agent leads at the moment.
            TermLostError: The change was abandoned.
        """
        layout = self._layout()
        if layout is None or not self._is_planner(layout):
            return
        replies = await self._collect_demand()
        target_map = self._group.coordinator.member.target
        policies = self._policy_copies(layout)
        proposal = await self._propose(layout, replies, target_map, policies)
        if proposal is None or not proposal.is_worthwhile:
            return
        # The map or the group may have changed while the plan was computed.
        if self._group.coordinator.member.target != target_map or not self._is_planner(
            layout
        ):
            return
        new_map = await self._group.coordinator.change_to(proposal.expert_map)
        self._policies = policies
        self._record(new_map, proposal)

    def on_message(self, name, message):
        """Handle a message from the agent ``name`` of the group."""
        if message.group != self._group.name or name not in self._group.members:
            return
        if isinstance(message, DemandQuery):
            self._group.send(name, self._reply_to(message))
        elif isinstance(message, DemandReply) and message.number == self._query_number:
            self._replies[name] = message
            if len(self._replies) == len(self._group.members):
                self._all_replied.set()

    def _layout(self):
        return layout_of(self._index(), self._group.name)

    def _is_planner(self, layout):
        """Return whether the group is up and in sync, with this agent as planner."""
        members = sorted(self._group.members)
        return (
            members == sorted(self._group.live_members())
            and members == sorted(layout.agents)
            and members[0] == self._name
            and self._group.coordinator.member.in_sync
        )

    def _reply_to(self, query):
        layers = tuple(tuple(map(round, layer)) for layer in self.meter.layers)
        return DemandReply(group=query.group, number=query.number, layers=layers)

    async def _collect_demand(self):
        """Return the demand by layer of each agent that replied in time."""
        self._query_number += 1
        self._replies = {}
        self._all_replied = asyncio.Event()
        query = DemandQuery(group=self._group.name, number=self._query_number)
        self.on_message(self._name, self._reply_to(query))
        for name in self._group.members:
            if name != self._name:
                self._group.send(name, query)
        await wait_event(self._all_replied, self._clock, self._reply_limit_ms)
        return [reply.layers for reply in self._replies.values()]

    def _policy_copies(self, layout):
        """Return a policy for each layer, to be kept if the change succeeds.

        Policies remember the changes that they plan. Copies are used so that a
        change that fails has no effect on later plans.
        """
        if len(self._policies) == layout.layers_count:
            return tuple(map(copy.copy, self._policies))
        layers = range(layout.layers_count)
        return tuple(placement_policy.make(self._policy_name) for _ in layers)

    async def _propose(self, layout, replies, target_map, policies):
        """Return a ``Proposal``, or ``None`` if the demand is incomplete.

        Work that grows with the layers and experts runs outside the event loop.
        """
        demand = await self._run_in_thread(_total_demand, replies, layout)
        if demand is None:
            log.info("group {}: the demand is incomplete", self._group.name)
            return None
        current = await self._run_in_thread(plans_of, target_map, layout)
        plans = []
        for number, policy in enumerate(policies):
            current_plan = current and current[number]
            plan = await self._run_in_thread(
                self._plan_layer, policy, layout, demand[number], current_plan
            )
            plans.append(plan)
        return await self._run_in_thread(_make_proposal, current, plans, demand, layout)

    def _plan_layer(self, policy, layout, demand, current):
        if demand is None or sum(demand) < TOKENS_MIN_PER_EXPERT * len(demand):
            if current is not None:
                return current
            demand = layout.even_demand
        return policy.plan(
            demand=demand,
            shape=layout.shape,
            weights=layout.weights,
            current=current,
            now_ms=self._clock.now_ms(),
        )

    def _record(self, new_map, proposal):
        before = "the experts of the map in force were not known"
        if proposal.skew_before is not None:
            before = f"skew {proposal.skew_before:.3f}"
        self._audit.record(
            what="map.rebalanced",
            subject=self._group.name,
            before=before,
            after=f"skew {proposal.skew:.3f} on map {new_map.map_id}",
            reason=f"{proposal.moves_count} experts moved, as demand drifted",
            by=self._name,
        )


def _total_demand(replies, layout):
    """Return the group's demand by layer, or ``None`` if an agent's is missing."""
    widths = [layout.experts_count] * layout.layers_count
    if len(replies) != len(layout.agents):
        return None
    if any(list(map(len, layers)) != widths for layers in replies):
        return None
    return [list(map(sum, zip(*layer))) for layer in zip(*replies)]


def _make_proposal(current, plans, demand, layout):
    pairs = zip(plans, current or (None,) * len(plans))
    return Proposal(
        expert_map=map_of(plans, layout),
        moves_count=sum(len(plan.moves) for plan, old in pairs if plan is not old),
        skew=_mean_skew(plans, demand),
        skew_before=None if current is None else _mean_skew(current, demand),
    )


def _mean_skew(plans, demand):
    pairs = zip(plans, demand, strict=True)
    return statistics.fmean(plan_skew(plan, demand=layer) for plan, layer in pairs)
