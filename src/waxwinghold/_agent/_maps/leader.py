"""The leader of one term: it settles the group on a map, and may change it."""

import asyncio

import msgspec

from ..._messages.maps import ExpertMap, MapBeat, MapClaim, MapOrder, OrderKind
from .choice import choose_map
from .errors import TermLostError
from .waiting import wait_event


class _Peer:
    """What the leader knows of one agent, itself included."""

    def __init__(self):
        self.incarnation = None
        self.report = None
        self.engine = None
        self.sent_ms = 0.0
        # When the leader sent the last message that the agent has answered.
        self.contact_ms = 0.0
        self.heard_ms = 0.0
        self.sequence = 0
        self.order = None
        self.done = None
        # Since when the present order fails, and why.
        self.failed_ms = None
        self.reason = ""


class Leader:
    """Leads a group under one term, until done or lost.

    The one rule: an engine is let past the switch step only after *every*
    engine, by its own word and under this term, is on the same map and can
    use no other.

    Args:
        members: Names of all agents of the group, this one included.
        send: ``send(name, message)``; messages may be lost.
        plan: Returns an ``ExpertMap`` for a group that knows none.
        known_map_ids: Maps whose experts this agent knows.
    """

    def __init__(
        self,
        *,
        name,
        group,
        members,
        term,
        send,
        clock,
        timing,
        plan,
        known_map_ids=(),
    ):
        self.term = term
        self.current = None
        self._name = name
        self._group = group
        self._members = tuple(members)
        self._send = send
        self._clock = clock
        self._timing = timing
        self._plan = plan
        self._known_map_ids = tuple(known_map_ids)
        self._peers = {member: _Peer() for member in members}
        self._news = asyncio.Event()
        self._lost = None

    async def run(self, wanted=None):
        """Settle the group on one map; then change it to ``wanted``.

        Raises:
            TermLostError: Another leader took over or a member is lost.
        """
        await self._claim()
        beats = asyncio.create_task(self._beat())
        try:
            await self._settle()
            if wanted is not None:
                await self._change(wanted)
        finally:
            beats.cancel()
        return self.current

    def on_denial(self, denial):
        """Give up: another term or incarnation has taken over."""
        if denial.retired or denial.granted > self.term:
            self.lose(f"term {denial.granted} has been granted")

    def lose(self, reason, *, start_over=False):
        """Stop leading.

        Args:
            start_over: Whether a new term should begin at once.
        """
        self._lost = TermLostError(term=self.term, reason=reason, start_over=start_over)
        self._news.set()

    def on_grant(self, name, grant):
        """Take in an agent's promise and report."""
        peer = self._peers[name]
        if peer.incarnation not in (None, grant.incarnation):
            self.lose(f'agent "{name}" has restarted')
            return
        peer.incarnation = grant.incarnation
        peer.report = grant.report
        self._note_contact(peer, grant)
        self._news.set()

    def on_done(self, name, done):
        """Take in the outcome of an order."""
        peer = self._peers[name]
        if done.incarnation != peer.incarnation:
            return
        self._note_contact(peer, done)
        if peer.order is not None and done.sequence == peer.order.sequence:
            peer.done = done
            peer.engine = done.engine or peer.engine
            peer.reason = done.reason
            if done.map_lost:
                self.lose(f'agent "{name}": {done.reason}', start_over=True)
            if done.reason and peer.failed_ms is None:
                peer.failed_ms = self._clock.now_ms()
            self._news.set()

    def on_beat_reply(self, name, reply):
        """Take in that an agent still obeys."""
        peer = self._peers[name]
        if reply.incarnation == peer.incarnation:
            self._note_contact(peer, reply)

    def _note_contact(self, peer, message):
        peer.heard_ms = self._clock.now_ms()
        peer.sent_ms = max(peer.sent_ms, message.sent_ms)
        peer.contact_ms = max(peer.contact_ms, message.echo_ms)

    def _may_act(self):
        """Return whether no newer incarnation of this agent can be acting.

        A newer one acts only after every other agent has stopped answering
        this one, so one recent answer is enough.
        """
        others = [peer for name, peer in self._peers.items() if name != self._name]
        if not others:
            return True
        limit_ms = self._clock.now_ms() - self._timing.lease_ms
        return any(peer.contact_ms >= limit_ms for peer in others)

    def _check(self):
        if self._lost is not None:
            raise self._lost

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
            await self._wait_news(self._timing.retry_ms)

    def _send_claim(self, name):
        claim = MapClaim(
            group=self._group,
            term=self.term,
            members=self._members,
            sent_ms=self._clock.now_ms(),
            known_map_ids=self._known_map_ids,
        )
        self._send(name, claim)

    async def _wait_news(self, timeout_ms):
        """Wait ``timeout_ms``, or less if all that is awaited has come."""
        until_ms = self._clock.now_ms() + timeout_ms
        while self._lost is None and self._awaits_any():
            left_ms = until_ms - self._clock.now_ms()
            if left_ms <= 0:
                return
            self._news.clear()
            await wait_event(self._news, self._clock, left_ms)

    def _awaits_any(self):
        return any(
            peer.report is None or (peer.order is not None and not _is_done(peer))
            for peer in self._peers.values()
        )

    async def _beat(self):
        while self._lost is None:
            await self._clock.sleep_ms(self._timing.beat_ms)
            for name, peer in self._peers.items():
                if name != self._name or self._may_act():
                    self._send(name, self._beat_to(peer))

    def _beat_to(self, peer):
        return MapBeat(
            group=self._group,
            term=self.term,
            incarnation=peer.incarnation,
            sent_ms=self._clock.now_ms(),
            echo_ms=peer.sent_ms,
        )

    async def _ask_all(self, kind, expert_map=None, *, step=None, limit_ms=None):
        """Give one order to every agent until each has carried it out.

        Raises:
            TermLostError: A member is silent or fails for too long.
        """
        until_ms = self._clock.now_ms() + (limit_ms or self._timing.phase_limit_ms)
        self._order_all(kind, expert_map, step)
        while True:
            self._check()
            open_names = [n for n, p in self._peers.items() if not _is_done(p)]
            if not open_names:
                return
            for name in open_names:
                self._give_up_if_lost(name, until_ms)
                self._ask(name)
            await self._wait_news(self._timing.retry_ms)

    def _order_all(self, kind, expert_map, step):
        for peer in self._peers.values():
            peer.failed_ms = None
            peer.reason = ""
            self._new_order(peer, kind, expert_map, step)

    def _new_order(self, peer, kind, expert_map, step):
        peer.sequence += 1
        peer.done = None
        peer.order = MapOrder(
            group=self._group,
            term=self.term,
            incarnation=peer.incarnation,
            sequence=peer.sequence,
            kind=kind,
            sent_ms=0.0,
            echo_ms=0.0,
            expert_map=expert_map,
            step=step,
        )

    def _give_up_if_lost(self, name, until_ms):
        peer, now_ms = self._peers[name], self._clock.now_ms()
        if now_ms - peer.heard_ms > self._timing.lost_ms:
            raise TermLostError(term=self.term, reason=f'agent "{name}" is silent')
        if now_ms - (peer.failed_ms or now_ms) > self._timing.phase_limit_ms:
            until_ms = now_ms - 1
        if now_ms > until_ms:
            reason = peer.reason or "no outcome"
            raise TermLostError(term=self.term, reason=f'agent "{name}": {reason}')

    def _ask(self, name):
        if name == self._name and not self._may_act():
            return
        peer = self._peers[name]
        if peer.done is not None:
            # The order failed; under a new sequence it is tried again.
            order = peer.order
            self._new_order(peer, order.kind, order.expert_map, order.step)
        stamped = msgspec.structs.replace(
            peer.order, sent_ms=self._clock.now_ms(), echo_ms=peer.sent_ms
        )
        self._send(name, stamped)

    async def _settle(self):
        """Bring every engine to the one map that the reports speak for."""
        reports = [peer.report for peer in self._peers.values()]
        choice = choose_map(reports)
        if choice.in_force:
            await self._ask_all(OrderKind.RESUME, _named(choice.expert_map))
            self.current = choice.expert_map
            return
        expert_map = choice.expert_map
        if expert_map is None or not self._can_load(expert_map):
            expert_map = self._attempt(await self._plan())
        await self._ask_all(OrderKind.HOLD)
        await self._switch(expert_map)

    def _can_load(self, expert_map):
        """Return whether every engine has the map or its experts are known."""
        return bool(expert_map.experts) or all(
            expert_map.map_id in peer.report.engine.loaded
            for peer in self._peers.values()
        )

    def _attempt(self, expert_map):
        """Name the map anew, so that no late order of an old attempt fits."""
        map_id = f"{expert_map.map_id}@{self.term}"
        return msgspec.structs.replace(expert_map, map_id=map_id)

    async def _change(self, wanted):
        expert_map = self._attempt(wanted)
        try:
            await self._ask_all(
                OrderKind.LOAD, expert_map, limit_ms=self._timing.load_limit_ms
            )
            step = await self._hold_ahead()
        except TermLostError:
            await self._go_back()
            raise
        await self._switch(_named(expert_map), step)
        self.current = expert_map

    async def _hold_ahead(self):
        """Have every engine stop before one step ahead, and return it."""
        await self._ask_all(OrderKind.READ)
        last_step = max(peer.engine.step for peer in self._peers.values())
        step = last_step + 1 + self._timing.ahead_steps_count
        limit_ms = self._timing.hold_limit_ms
        await self._ask_all(OrderKind.HOLD, step=step, limit_ms=limit_ms)
        return step

    async def _switch(self, expert_map, step=None):
        limit_ms = self._timing.load_limit_ms
        await self._ask_all(OrderKind.SWITCH, expert_map, step=step, limit_ms=limit_ms)
        await self._ask_all(OrderKind.RESUME, _named(expert_map))
        self.current = expert_map

    async def _go_back(self):
        """Resume on the old map, which no engine has been told to leave.

        Agents that are gone need not answer: their engines can use the old
        map only.
        """
        until_ms = self._clock.now_ms() + self._timing.phase_limit_ms
        self._order_all(OrderKind.RESUME, _named(self.current), None)
        while self._lost is None and self._clock.now_ms() < until_ms:
            open_names = [n for n, p in self._peers.items() if not _is_done(p)]
            for name in open_names:
                self._ask(name)
            if not open_names:
                return
            await self._wait_news(self._timing.retry_ms)


def _is_done(peer):
    return peer.done is not None and not peer.done.reason


def _named(expert_map):
    """Return the map without its experts, for agents that have them."""
    return ExpertMap(map_id=expert_map.map_id)
