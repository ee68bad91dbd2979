"""The leader of one term, which brings a group to one map and may change it."""

import asyncio

import msgspec

from ..._messages.maps import ExpertMap, MapClaim, OrderKind
from .choice import choose_map
from .errors import TermLostError
from .term_orders import TermOrders, is_done


class Leader(TermOrders):
    """Leads a group under one term, until done or until the term is lost.

    Safety rule: an engine may pass the switch step only after *every* engine
    has reported under this term that it is on the same map and has no other
    map loaded.

    Args:
        members: Names of all agents of the group, this one included.
        plan: Coroutine function that returns an ``ExpertMap``, for a group in
            which no agent knows one.
        known_map_ids: Maps whose experts this agent knows.
        fields: Further arguments of ``TermOrders``.

    Attributes:
        current: The ``ExpertMap`` that the group uses; ``None`` until it is
            known.
    """

    def __init__(self, *, members, plan, known_map_ids=(), **fields):
        super().__init__(members=members, **fields)
        self.current = None
        self._members = tuple(members)
        self._plan = plan
        self._known_map_ids = tuple(known_map_ids)

    async def run(self, wanted=None):
        """Bring the group to one map, then change it to ``wanted``.

        Returns:
            The ``ExpertMap`` that the group uses, under its final id.

        Raises:
            TermLostError: Another leader took over or a member is lost.
        """
        await self._claim()
        beats = asyncio.create_task(self._beat())
        try:
            await self._synchronize()
            if wanted is not None:
                await self._change(wanted)
        finally:
            beats.cancel()
        return self.current

    async def _claim(self):
        until_ms = self._clock.now_ms() + self._timing.lost_ms
        while True:
            self._check()
            missing = [n for n, peer in self._peers.items() if peer.report is None]
            if not missing:
                return
            if self._clock.now_ms() > until_ms:
                names = ", ".join(missing)
                raise TermLostError(term=self.term, reason=f"no grant from {names}")
            for name in missing:
                self._send_claim(name)
            await self._wait_for_answers(self._timing.retry_ms)

    def _send_claim(self, name):
        claim = MapClaim(
            group=self._group,
            term=self.term,
            members=self._members,
            sent_ms=self._clock.now_ms(),
            known_map_ids=self._known_map_ids,
        )
        self._send(name, claim)

    async def _synchronize(self):
        """Bring every engine to the map that the reports call for."""
        reports = [peer.report for peer in self._peers.values()]
        choice = choose_map(reports)
        if choice.in_force:
            await self._order_all(OrderKind.RESUME, _without_experts(choice.expert_map))
            self.current = choice.expert_map
            return
        expert_map = choice.expert_map
        if expert_map is None or not self._can_load(expert_map):
            expert_map = self._with_new_id(await self._plan())
        await self._order_all(OrderKind.HOLD)
        await self._switch(expert_map)

    def _can_load(self, expert_map):
        """Return whether every engine has the map or its experts are known."""
        return bool(expert_map.experts) or all(
            expert_map.map_id in peer.report.engine.loaded
            for peer in self._peers.values()
        )

    def _with_new_id(self, expert_map):
        """Return the map under an id of this term, which no earlier order refers to."""
        map_id = f"{expert_map.map_id}@{self.term}"
        return msgspec.structs.replace(expert_map, map_id=map_id)

    async def _change(self, wanted):
        expert_map = self._with_new_id(wanted)
        try:
            await self._order_all(
                OrderKind.LOAD, expert_map, limit_ms=self._timing.load_limit_ms
            )
            step = await self._hold_ahead()
        except TermLostError:
            await self._roll_back()
            raise
        await self._switch(_without_experts(expert_map), step)
        self.current = expert_map

    async def _hold_ahead(self):
        """Make every engine stop before the same future step, and return it."""
        await self._order_all(OrderKind.READ)
        last_step = max(peer.engine.step for peer in self._peers.values())
        step = last_step + 1 + self._timing.ahead_steps_count
        limit_ms = self._timing.hold_limit_ms
        await self._order_all(OrderKind.HOLD, step=step, limit_ms=limit_ms)
        return step

    async def _switch(self, expert_map, step=None):
        limit_ms = self._timing.load_limit_ms
        await self._order_all(
            OrderKind.SWITCH, expert_map, step=step, limit_ms=limit_ms
        )
        await self._order_all(OrderKind.RESUME, _without_experts(expert_map))
        self.current = expert_map

    async def _roll_back(self):
        """Resume on the old map, which no engine has been ordered to leave.

        Agents that do not answer are ignored: their engines can only use the
        old map.
        """
        until_ms = self._clock.now_ms() + self._timing.phase_limit_ms
        self._new_orders(OrderKind.RESUME, _without_experts(self.current), None)
        while self._lost is None and self._clock.now_ms() < until_ms:
            open_names = [n for n, p in self._peers.items() if not is_done(p)]
            for name in open_names:
                self._send_order(name)
            if not open_names:
                return
            await self._wait_for_answers(self._timing.retry_ms)


def _without_experts(expert_map):
    """Return the map's id without its experts, for agents that know them."""
    return ExpertMap(map_id=expert_map.map_id)
