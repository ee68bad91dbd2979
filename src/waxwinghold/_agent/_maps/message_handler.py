"""Handles the messages that an agent receives from its group."""

import asyncio
from dataclasses import dataclass, field

import logbook
import msgspec

from ..._errors import WaxwingError
from ..._messages.maps import (
    ExpertMap,
    MapBeat,
    MapBeatReply,
    MapClaim,
    MapDenial,
    MapGrant,
    MapJoin,
    MapJoinReply,
    MapOrder,
    MapOrderDone,
    Term,
)
from ..fencing import StaleTermError, SupersededError

log = logbook.Logger("waxwinghold.maps")

_HANDLERS = {}


def _handles(kind):
    def register(method):
        _HANDLERS[kind] = method
        return method

    return register


@dataclass(kw_only=True)
class LeaderState:
    """What an agent knows about the terms of its group.

    Attributes:
        highest_term: The highest term seen in any message.
        leader: The ``Leader`` that this agent runs now, or ``None``.
    """

    highest_term: Term = field(default_factory=Term)
    leader: object = None


class MapMessageHandler:
    """Passes messages to the member or the leader of this agent and answers them.

    Args:
        members: Names of all agents of the group, this one included.
        incarnations: The ``Incarnations`` of the group.
        member: The ``Member`` that executes a leader's orders.
        send: ``send(name, message)``: sends to any agent, this one included.

    Attributes:
        leader_state: The ``LeaderState``, shared with the ``MapCoordinator``.
    """

    def __init__(self, *, name, group, members, incarnations, member, send, clock):
        self.leader_state = LeaderState()
        self._name = name
        self._group = group
        self._members = members
        self._incarnations = incarnations
        self._member = member
        self._send = send
        self._clock = clock
        self._tasks = set()

    def close(self):
        """Cancel the messages that are being handled."""
        for task in list(self._tasks):
            task.cancel()

    def on_message(self, name, message):
        """Handle a message from the agent ``name`` of the group."""
        handler = _HANDLERS.get(type(message))
        if (
            handler is None
            or message.group != self._group
            or self._incarnations.retired
        ):
            return
        if name in self._members:
            handler(self, name, message)

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _deny(self, name, incarnation, *, retired=False):
        denial = MapDenial(
            group=self._group,
            granted=max(self._member.guard.granted, self.leader_state.highest_term),
            retired=retired,
            incarnation=incarnation,
        )
        self._send(name, denial)

    @_handles(MapJoin)
    def _on_join(self, name, join):
        granted = max(self._member.guard.granted, self.leader_state.highest_term)
        self._incarnations.on_join(
            name, join, granted=granted, target=self._member.target
        )

    @_handles(MapJoinReply)
    def _on_join_reply(self, name, reply):
        self._incarnations.on_join_reply(name, reply)

    @_handles(MapClaim)
    def _on_claim(self, name, claim):
        self.leader_state.highest_term = max(self.leader_state.highest_term, claim.term)
        if claim.term.leader != name:
            return
        if self._incarnations.is_superseded(name, claim.term.incarnation):
            self._deny(name, claim.term.incarnation, retired=True)
        elif claim.term < self._member.guard.granted:
            self._deny(name, claim.term.incarnation)
        elif self._incarnations.joined and claim.members == self._members:
            if (
                self.leader_state.leader is not None
                and claim.term > self.leader_state.leader.term
            ):
                self.leader_state.leader.abort(f"term {claim.term} has been granted")
            self._spawn(self._grant(name, claim))

    async def _grant(self, name, claim):
        try:
            report = await self._member.grant(claim.term)
            if name != self._name:
                report = _without_experts(report, claim.known_map_ids)
        except SupersededError as error:
            self._incarnations.retire(str(error))
        except StaleTermError:
            self._deny(name, claim.term.incarnation)
        except WaxwingError as error:
            log.warn("cannot read the engine's map: {}", error)
        else:
            grant = MapGrant(
                group=self._group,
                term=claim.term,
                incarnation=self._incarnations.number,
                report=report,
                sent_ms=self._clock.now_ms(),
                echo_ms=claim.sent_ms,
            )
            self._send(name, grant)

    def _is_current(self, name, message):
        """Return whether to follow a leader's message; deny an outdated term."""
        if (
            message.incarnation != self._incarnations.number
            or not self._incarnations.joined
        ):
            return False
        if self._incarnations.is_superseded(
            message.term.leader, message.term.incarnation
        ):
            self._deny(name, message.term.incarnation, retired=True)
            return False
        if message.term != self._member.guard.granted:
            self._deny(name, message.term.incarnation)
            return False
        return True

    @_handles(MapOrder)
    def _on_order(self, name, order):
        if self._is_current(name, order):
            self._spawn(self._execute(name, order))

    async def _execute(self, name, order):
        try:
            done = await self._member.execute(order)
        except SupersededError as error:
            self._incarnations.retire(str(error))
        except StaleTermError:
            self._deny(name, order.term.incarnation)
        else:
            if done is not None:
                self._send(name, done)

    @_handles(MapBeat)
    def _on_beat(self, name, beat):
        if not self._is_current(name, beat):
            return
        self._member.renew_lease(beat)
        reply = MapBeatReply(
            group=self._group,
            term=beat.term,
            incarnation=self._incarnations.number,
            sent_ms=self._clock.now_ms(),
            echo_ms=beat.sent_ms,
        )
        self._send(name, reply)

    @_handles(MapDenial)
    def _on_denial(self, name, denial):
        if denial.incarnation != self._incarnations.number:
            return
        self.leader_state.highest_term = max(
            self.leader_state.highest_term, denial.granted
        )
        if denial.retired:
            self._incarnations.retire(f'agent "{name}" reports a newer incarnation')
        elif self.leader_state.leader is not None:
            self.leader_state.leader.on_denial(denial)

    def _is_for_leader(self, name, message):
        """Return whether a member's message belongs to the term led here."""
        if self._incarnations.is_superseded(name, message.incarnation):
            self._deny(name, message.incarnation, retired=True)
            return False
        return (
            self.leader_state.leader is not None
            and message.term == self.leader_state.leader.term
        )

    @_handles(MapGrant)
    def _on_grant(self, name, grant):
        if self._is_for_leader(name, grant):
            self.leader_state.leader.on_grant(name, grant)

    @_handles(MapOrderDone)
    def _on_done(self, name, done):
        if self._is_for_leader(name, done):
            self.leader_state.leader.on_done(name, done)

    @_handles(MapBeatReply)
    def _on_beat_reply(self, name, reply):
        if self._is_for_leader(name, reply):
            self.leader_state.leader.on_beat_reply(name, reply)


def _without_experts(report, map_ids):
    """Return the report without the experts of maps that the leader knows."""
    shortened = {
        field: ExpertMap(map_id=expert_map.map_id)
        for field in ("target", "prepared")
        if (expert_map := getattr(report, field)) and expert_map.map_id in map_ids
    }
    return msgspec.structs.replace(report, **shortened)
