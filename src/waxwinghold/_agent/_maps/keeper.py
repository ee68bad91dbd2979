"""Keeps one agent in step with its group: joins, grants, watches and claims."""

import asyncio
import random

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
from .errors import MapBusyError, TermLostError
from .incarnations import Incarnations
from .leader import Leader
from .member import Member
from .timing import MapTiming

log = logbook.Logger("waxwinghold.maps")

_HANDLERS = {}


def _handles(kind):
    def register(method):
        _HANDLERS[kind] = method
        return method

    return register


class GroupKeeper:
    """The agent's part in keeping its group on one expert map.

    Args:
        name: This agent's name.
        members: Names of all agents of the group, this one included.
        incarnation: A number that is higher than that of any earlier start of
            this agent.
        engine: An ``EngineOrders``.
        send: ``send(name, message)``: sends to another agent of the group;
            the message may be lost.
        plan: Awaitable that returns an ``ExpertMap`` for a group that has none.
        jitter: Returns a random number from 0 to 1.
    """

    def __init__(
        self,
        *,
        name,
        group,
        members,
        incarnation,
        engine,
        send,
        clock,
        plan,
        timing=MapTiming(),
        jitter=random.random,
    ):
        self.members = tuple(sorted(members))
        self.incarnations = Incarnations(
            group=group,
            number=incarnation,
            others=[member for member in self.members if member != name],
            send=self._send,
            clock=clock,
            timing=timing,
            on_restart=self._on_restart,
        )
        self.member = Member(
            name=name,
            group=group,
            incarnations=self.incarnations,
            engine=engine,
            clock=clock,
            timing=timing,
        )
        self._name = name
        self._group = group
        self._engine = engine
        self._send_out = send
        self._clock = clock
        self._plan = plan
        self._timing = timing
        self._jitter = jitter
        self._leader = None
        self._highest = Term()
        self._starts_over = False
        self._tasks = set()

    async def run(self):
        """Join the group, then watch the engine and the leader, until cancelled."""
        try:
            while not self.incarnations.retired:
                replies = await self.incarnations.join()
                await self._settle_in(replies)
                await self._watch()
        finally:
            self.incarnations.retire("it ends")
            for task in list(self._tasks):
                task.cancel()

    async def change_to(self, expert_map):
        """Lead the group to ``expert_map``, and return it as it was named.

        Raises:
            MapBusyError: Another agent leads at the moment.
            TermLostError: The change was given up; the group settles by itself.
        """
        if self._leader is not None or not self.incarnations.joined or self._is_led():
            raise MapBusyError(group=self._group, term=self.member.guard.granted)
        return await self._lead(expert_map)

    def on_message(self, name, message):
        """Take in a message from the agent ``name`` of the group."""
        handler = _HANDLERS.get(type(message))
        if handler is None or message.group != self._group or self.incarnations.retired:
            return
        if name in self.members:
            handler(self, name, message)

    def _send(self, name, message):
        if name == self._name:
            # As any other message, it is taken in after what runs now.
            asyncio.get_running_loop().call_soon(self.on_message, name, message)
        else:
            self._send_out(name, message)

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _is_led(self):
        if self.member.settled:
            return False
        silence_ms = self._clock.now_ms() - self.member.heard_ms
        return silence_ms < self._timing.lease_ms

    async def _read_engine(self):
        """Return the engine's map; keep asking until it answers."""
        while True:
            try:
                return await self._engine.read_map()
            except WaxwingError as error:
                log.warn("engine cannot be read: {}", error)
                await self._clock.sleep_ms(self._timing.retry_ms)

    async def _settle_in(self, replies):
        """Take what the engine uses for settled if the group agrees."""
        if self.incarnations.retired:
            return
        engine = await self._read_engine()
        self._highest = max([self._highest, *(reply.granted for reply in replies)])
        targets = [reply.target for reply in replies]
        known = [target for target in targets if target is not None]
        agreed = all(target.map_id == engine.map_id for target in known)
        clean = engine.map_id and engine.is_clean_on(engine.map_id)
        if self.member.target is None and known and agreed:
            self.member.target = known[0]
        self.member.settled = bool(agreed and clean and engine.hold_before is None)
        # A leader, if there is one, is heard within two tries of its claim.
        grace_ms = self._timing.claim_after_ms - 2 * self._timing.retry_ms
        self.member.heard_ms = self._clock.now_ms() - grace_ms
        self.incarnations.joined = True

    async def _watch(self):
        """Look at the engine and the leader; return if this process was frozen."""
        looked_ms = self._clock.now_ms()
        while not self.incarnations.retired:
            before_ms = self._clock.now_ms()
            await self._clock.sleep_ms(self._timing.beat_ms)
            now_ms = self._clock.now_ms()
            if now_ms - before_ms > self._timing.lease_ms:
                self.incarnations.joined = False
                return
            if self.member.settled and now_ms - looked_ms >= self._timing.watch_ms:
                looked_ms = now_ms
                await self._look_at_engine()
            if not self.member.settled and self._leader is None:
                await self._claim_when_silent()

    async def _look_at_engine(self):
        try:
            engine = await self._engine.read_map()
            if not self.member.settled:
                return
            target = self.member.target
            if target is not None and engine.map_id != target.map_id:
                self.member.settled = False
                await self.member.stop_steps()
            elif engine.hold_before is not None or len(engine.loaded) != 1:
                self.member.settled = False
        except SupersededError as error:
            self.incarnations.retire(str(error))
        except WaxwingError as error:
            log.warn("engine cannot be read: {}", error)

    async def _claim_when_silent(self):
        place = self.members.index(self._name)
        after_ms = (
            self._timing.claim_after_ms
            + place * self._timing.claim_stagger_ms
            + self._jitter() * self._timing.claim_jitter_ms
        )
        silent_ms = self._clock.now_ms() - self.member.heard_ms
        if silent_ms < after_ms and not self._starts_over:
            return
        self._starts_over = False
        # Whoever else claims gets as much time as this agent had.
        self.member.heard_ms = self._clock.now_ms()
        try:
            await self._lead()
        except TermLostError as error:
            log.info("group {}: {}", self._group, error)

    async def _lead(self, wanted=None):
        number = max(self._highest.number, self.member.guard.granted.number) + 1
        term = Term(
            number=number, leader=self._name, incarnation=self.incarnations.number
        )
        self._highest = max(self._highest, term)
        leader = self._leader = Leader(
            name=self._name,
            group=self._group,
            members=self.members,
            term=term,
            send=self._send,
            clock=self._clock,
            timing=self._timing,
            plan=self._plan,
            known_map_ids=[known.map_id for known in self.member.known_maps()],
        )
        try:
            return await leader.run(wanted)
        except TermLostError as error:
            self._starts_over = error.start_over
            raise
        finally:
            self._leader = None

    def _deny(self, name, incarnation, *, retired=False):
        denial = MapDenial(
            group=self._group,
            granted=max(self.member.guard.granted, self._highest),
            retired=retired,
            incarnation=incarnation,
        )
        self._send(name, denial)

    def _on_restart(self, name):
        if self._leader is not None:
            self._leader.lose(f'agent "{name}" has restarted')

    @_handles(MapJoin)
    def _on_join(self, name, join):
        granted = max(self.member.guard.granted, self._highest)
        self.incarnations.on_join(
            name, join, granted=granted, target=self.member.target
        )

    @_handles(MapJoinReply)
    def _on_join_reply(self, name, reply):
        self.incarnations.on_join_reply(name, reply)

    @_handles(MapClaim)
    def _on_claim(self, name, claim):
        self._highest = max(self._highest, claim.term)
        if claim.term.leader != name:
            return
        if self.incarnations.is_old(name, claim.term.incarnation):
            self._deny(name, claim.term.incarnation, retired=True)
        elif claim.term < self.member.guard.granted:
            self._deny(name, claim.term.incarnation)
        elif self.incarnations.joined and claim.members == self.members:
            if self._leader is not None and claim.term > self._leader.term:
                self._leader.lose(f"term {claim.term} has been granted")
            self._spawn(self._grant(name, claim))

    async def _grant(self, name, claim):
        try:
            report = await self.member.grant(claim.term)
            if name != self._name:
                report = _without_experts(report, claim.known_map_ids)
        except SupersededError as error:
            self.incarnations.retire(str(error))
        except StaleTermError:
            self._deny(name, claim.term.incarnation)
        except WaxwingError as error:
            log.warn("engine cannot be read: {}", error)
        else:
            grant = MapGrant(
                group=self._group,
                term=claim.term,
                incarnation=self.incarnations.number,
                report=report,
                sent_ms=self._clock.now_ms(),
                echo_ms=claim.sent_ms,
            )
            self._send(name, grant)

    def _is_obeyed(self, name, message):
        """Return whether a leader's message is for this incarnation's term."""
        if (
            message.incarnation != self.incarnations.number
            or not self.incarnations.joined
        ):
            return False
        if self.incarnations.is_old(message.term.leader, message.term.incarnation):
            self._deny(name, message.term.incarnation, retired=True)
            return False
        if message.term != self.member.guard.granted:
            self._deny(name, message.term.incarnation)
            return False
        return True

    @_handles(MapOrder)
    def _on_order(self, name, order):
        if self._is_obeyed(name, order):
            self._spawn(self._obey(name, order))

    async def _obey(self, name, order):
        try:
            done = await self.member.obey(order)
        except SupersededError as error:
            self.incarnations.retire(str(error))
        except StaleTermError:
            self._deny(name, order.term.incarnation)
        else:
            if done is not None:
                self._send(name, done)

    @_handles(MapBeat)
    def _on_beat(self, name, beat):
        if not self._is_obeyed(name, beat):
            return
        self.member.renew(beat)
        reply = MapBeatReply(
            group=self._group,
            term=beat.term,
            incarnation=self.incarnations.number,
            sent_ms=self._clock.now_ms(),
            echo_ms=beat.sent_ms,
        )
        self._send(name, reply)

    @_handles(MapDenial)
    def _on_denial(self, name, denial):
        if denial.incarnation != self.incarnations.number:
            return
        self._highest = max(self._highest, denial.granted)
        if denial.retired:
            self.incarnations.retire(f'agent "{name}" knows a newer incarnation')
        elif self._leader is not None:
            self._leader.on_denial(denial)

    def _leads(self, name, message):
        """Return whether a follower's message counts for the present term."""
        if self.incarnations.is_old(name, message.incarnation):
            self._deny(name, message.incarnation, retired=True)
            return False
        return self._leader is not None and message.term == self._leader.term

    @_handles(MapGrant)
    def _on_grant(self, name, grant):
        if self._leads(name, grant):
            self._leader.on_grant(name, grant)

    @_handles(MapOrderDone)
    def _on_done(self, name, done):
        if self._leads(name, done):
            self._leader.on_done(name, done)

    @_handles(MapBeatReply)
    def _on_beat_reply(self, name, reply):
        if self._leads(name, reply):
            self._leader.on_beat_reply(name, reply)


def _without_experts(report, map_ids):
    """Return the report without the experts of maps that the leader knows."""
    short = {
        field: ExpertMap(map_id=expert_map.map_id)
        for field in ("target", "prepared")
        if (expert_map := getattr(report, field)) and expert_map.map_id in map_ids
    }
    return msgspec.structs.replace(report, **short)
