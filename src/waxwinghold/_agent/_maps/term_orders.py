"""Sends orders to all agents of a group under one term and tracks the outcomes."""

import asyncio

import msgspec

from ..._messages.maps import MapBeat, MapOrder
from .errors import TermLostError
from .waiting import wait_event


class _Peer:
    """What the leader knows about one member, itself included."""

    def __init__(self):
        self.incarnation = None
        self.report = None
        self.engine = None
        # When the member sent its latest message, on its own clock.
        self.sent_ms = 0.0
        # When the leader sent the latest message that the member has answered.
        self.contact_ms = 0.0
        self.last_seen_ms = 0.0
        self.sequence = 0
        self.order = None
        self.done = None
        # When the current order first failed, and the reason in its latest outcome.
        self.failed_ms = None
        self.reason = ""


class TermOrders:
    """Sends orders under one term until every member has executed them.

    Args:
        name: This agent's name.
        members: Names of all agents of the group, this one included.
        term: The ``Term`` of the orders.
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
        self._answered = asyncio.Event()
        self._lost = None

    def on_denial(self, denial):
        """Abort if another term or a newer incarnation has taken over."""
        if denial.retired or denial.granted > self.term:
            self.abort(f"term {denial.granted} has been granted")

    def abort(self, reason, *, start_over=False):
        """Stop leading under this term.

        Args:
            reason: Why the term ends, for the log.
            start_over: Whether this agent should claim a new term at once.
        """
        self._lost = TermLostError(term=self.term, reason=reason, start_over=start_over)
        self._answered.set()

    def on_grant(self, name, grant):
        """Record that a member granted the term, and its report."""
        peer = self._peers[name]
        if peer.incarnation not in (None, grant.incarnation):
            self.abort(f'agent "{name}" has restarted')
            return
        peer.incarnation = grant.incarnation
        peer.report = grant.report
        self._record_contact(peer, grant)
        self._answered.set()

    def on_done(self, name, done):
        """Record the outcome of an order."""
        peer = self._peers[name]
        if done.incarnation != peer.incarnation:
            return
        self._record_contact(peer, done)
        if peer.order is not None and done.sequence == peer.order.sequence:
            peer.done = done
            peer.engine = done.engine or peer.engine
            peer.reason = done.reason
            if done.map_lost:
                self.abort(f'agent "{name}": {done.reason}', start_over=True)
            if done.reason and peer.failed_ms is None:
                peer.failed_ms = self._clock.now_ms()
            self._answered.set()

    def on_beat_reply(self, name, reply):
        """Record that a member still follows this term."""
        peer = self._peers[name]
        if reply.incarnation == peer.incarnation:
            self._record_contact(peer, reply)

    def _record_contact(self, peer, message):
        peer.last_seen_ms = self._clock.now_ms()
        peer.sent_ms = max(peer.sent_ms, message.sent_ms)
        peer.contact_ms = max(peer.contact_ms, message.echo_ms)

    def _may_act(self):
        """Return whether no newer incarnation of this agent can be active.

        A newer one becomes active only after every other agent has stopped
        answering this one, so one recent answer is enough.
        """
        peers = [peer for name, peer in self._peers.items() if name != self._name]
        if not peers:
            return True
        limit_ms = self._clock.now_ms() - self._timing.lease_ms
        return any(peer.contact_ms >= limit_ms for peer in peers)

    def _check(self):
        """Raise ``TermLostError`` if the term is lost."""
        if self._lost is not None:
            raise self._lost

    async def _wait_for_answers(self, timeout_ms):
        """Wait until no answer is missing, for ``timeout_ms`` at most."""
        until_ms = self._clock.now_ms() + timeout_ms
        while self._lost is None and self._is_answer_missing():
            left_ms = until_ms - self._clock.now_ms()
            if left_ms <= 0:
                return
            self._answered.clear()
            await wait_event(self._answered, self._clock, left_ms)

    def _is_answer_missing(self):
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

    async def _order_all(self, kind, expert_map=None, *, step=None, limit_ms=None):
        """Send an order to every member until each has executed it.

        Raises:
            TermLostError: A member is silent or fails for too long.
        """
        until_ms = self._clock.now_ms() + (limit_ms or self._timing.phase_limit_ms)
        self._new_orders(kind, expert_map, step)
        while True:
            self._check()
            open_names = [n for n, p in self._peers.items() if not is_done(p)]
            if not open_names:
                return
            for name in open_names:
                self._check_member(name, until_ms)
                self._send_order(name)
            await self._wait_for_answers(self._timing.retry_ms)

    def _new_orders(self, kind, expert_map, step):
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

    def _check_member(self, name, until_ms):
        """Raise ``TermLostError`` if a member is silent or has failed for too long."""
        peer, now_ms = self._peers[name], self._clock.now_ms()
        if now_ms - peer.last_seen_ms > self._timing.lost_ms:
            raise TermLostError(term=self.term, reason=f'agent "{name}" is silent')
        if now_ms - (peer.failed_ms or now_ms) > self._timing.phase_limit_ms:
            until_ms = now_ms - 1
        if now_ms > until_ms:
            reason = peer.reason or "no outcome"
            raise TermLostError(term=self.term, reason=f'agent "{name}": {reason}')

    def _send_order(self, name):
        if name == self._name and not self._may_act():
            return
        peer = self._peers[name]
        if peer.done is not None:
            # The order failed: it is sent again under a new sequence number.
            order = peer.order
            self._new_order(peer, order.kind, order.expert_map, order.step)
        stamped = msgspec.structs.replace(
            peer.order, sent_ms=self._clock.now_ms(), echo_ms=peer.sent_ms
        )
        self._send(name, stamped)


def is_done(peer):
    """Return whether a member has executed its current order."""
    return peer.done is not None and not peer.done.reason
