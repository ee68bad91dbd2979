"""Orders to every agent of a group under one term, and the word of each."""

import asyncio

import msgspec

from ..._messages.maps import MapBeat, MapOrder
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
        self.last_seen_ms = 0.0
        self.sequence = 0
        self.order = None
        self.done = None
        # Since when the present order fails, and why.
        self.failed_ms = None
        self.reason = ""


class TermOrders:
    """Gives orders under one term until every agent has carried them out.

    Args:
        members: Names of all agents of the group, this one included.
        send: ``send(name, message)``; messages may be lost.
    """

    def __init__(self, *, name, group, members, term, send, clock, timing):
        self.term = term
        self._name = name
        self._group = group
        self._send = send
        self._clock = clock
        self._timing = timing
        self._peers = {member: _Peer() for member in members}
        self._news = asyncio.Event()
        self._lost = None

    def on_denial(self, denial):
        """Give up: another term or incarnation has taken over."""
        if denial.retired or denial.granted > self.term:
            self.abort(f"term {denial.granted} has been granted")

    def abort(self, reason, *, start_over=False):
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
            self.abort(f'agent "{name}" has restarted')
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
                self.abort(f'agent "{name}": {done.reason}', start_over=True)
            if done.reason and peer.failed_ms is None:
                peer.failed_ms = self._clock.now_ms()
            self._news.set()

    def on_beat_reply(self, name, reply):
        """Take in that an agent still obeys."""
        peer = self._peers[name]
        if reply.incarnation == peer.incarnation:
            self._note_contact(peer, reply)

    def _note_contact(self, peer, message):
        peer.last_seen_ms = self._clock.now_ms()
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
            peer.report is None or (peer.order is not None and not is_done(peer))
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
            open_names = [n for n, p in self._peers.items() if not is_done(p)]
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
        if now_ms - peer.last_seen_ms > self._timing.lost_ms:
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


def is_done(peer):
    return peer.done is not None and not peer.done.reason
