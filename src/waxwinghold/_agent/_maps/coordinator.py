"""Coordinates one agent with its group: joins it, watches the engine, claims terms."""

import asyncio
import random

import logbook

from ..._errors import WaxwingError
from ..._messages.maps import Term
from ..fencing import SupersededError
from .errors import MapBusyError, TermLostError
from .incarnations import Incarnations
from .leader import Leader
from .member import Member
from .message_handler import MapMessageHandler
from .timing import MapTiming

log = logbook.Logger("waxwinghold.maps")


class MapCoordinator:
    """One agent's part in keeping its group on a single expert map.

    Args:
        name: This agent's name.
        group: The group's name.
        members: Names of all agents of the group, this one included.
        incarnation: A number that is higher than that of any earlier start of
            this agent.
        engine: The ``EngineOrders`` of this agent's engine.
        send: ``send(name, message)``: sends to another agent of the group;
            the message may be lost.
        clock: The agent's ``Clock``.
        plan: Coroutine function that returns an ``ExpertMap``, for a group that
            has none.
        timing: The ``MapTiming`` of the protocol.
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
            peers=[member for member in self.members if member != name],
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
        self._message_handler = MapMessageHandler(
            name=name,
            group=group,
            members=self.members,
            incarnations=self.incarnations,
            member=self.member,
            send=self._send,
            clock=clock,
        )
        self._leader_state = self._message_handler.leader_state
        self._starts_over = False

    async def run(self):
        """Join the group, then watch the engine and the leader, until cancelled.

        Returns early if a newer incarnation of this agent replaces this one.
        """
        try:
            while not self.incarnations.retired:
                replies = await self.incarnations.join()
                await self._start_in_group(replies)
                await self._watch()
        finally:
            self.incarnations.retire("the agent stops")
            self._message_handler.close()

    async def change_to(self, expert_map):
        """Lead the group to ``expert_map``.

        Returns:
            The map under the id that the change gave it.

        Raises:
            MapBusyError: Another agent leads at the moment.
            TermLostError: The change was abandoned; the group will synchronize
                on one map by itself.
        """
        if (
            self._leader_state.leader is not None
            or not self.incarnations.joined
            or self._is_led()
        ):
            raise MapBusyError(group=self._group, term=self.member.guard.granted)
        return await self._lead(expert_map)

    def on_message(self, name, message):
        """Handle a message from the agent ``name`` of the group."""
        self._message_handler.on_message(name, message)

    def _send(self, name, message):
        if name == self._name:
            # Like any other message, it is handled after the current call ends.
            asyncio.get_running_loop().call_soon(self.on_message, name, message)
        else:
            self._send_out(name, message)

    def _is_led(self):
        """Return whether a leader may be changing the map at the moment."""
        if self.member.in_sync:
            return False
        silence_ms = self._clock.now_ms() - self.member.leader_seen_ms
        return silence_ms < self._timing.lease_ms

    async def _read_engine(self):
        """Return the engine's map; retry until the engine answers."""
        while True:
            try:
                return await self._engine.read_map()
            except WaxwingError as error:
                log.warn("cannot read the engine's map: {}", error)
                await self._clock.sleep_ms(self._timing.retry_ms)

    async def _start_in_group(self, replies):
        """Start taking part, in sync if the engine uses the group's map."""
        if self.incarnations.retired:
            return
        engine_map = await self._read_engine()
        self._leader_state.highest_term = max(
            [self._leader_state.highest_term, *(reply.granted for reply in replies)]
        )
        targets = [reply.target for reply in replies]
        peer_maps = [expert_map for expert_map in targets if expert_map is not None]
        agreed = all(expert_map.map_id == engine_map.map_id for expert_map in peer_maps)
        has_one_map = engine_map.map_id and engine_map.has_only_map(engine_map.map_id)
        if self.member.target is None and peer_maps and agreed:
            self.member.target = peer_maps[0]
        self.member.in_sync = bool(
            agreed and has_one_map and engine_map.hold_before is None
        )
        # Claim no term yet: the claim of a leader, if there is one, arrives
        # within two attempts.
        grace_ms = self._timing.claim_after_ms - 2 * self._timing.retry_ms
        self.member.leader_seen_ms = self._clock.now_ms() - grace_ms
        self.incarnations.joined = True

    async def _watch(self):
        """Watch the engine and the leader.

        Returns if this process was frozen, so that it joins again, or has retired.
        """
        checked_ms = self._clock.now_ms()
        while not self.incarnations.retired:
            previous_ms = self._clock.now_ms()
            await self._clock.sleep_ms(self._timing.beat_ms)
            now_ms = self._clock.now_ms()
            if now_ms - previous_ms > self._timing.lease_ms:
                self.incarnations.joined = False
                return
            if self.member.in_sync and now_ms - checked_ms >= self._timing.watch_ms:
                checked_ms = now_ms
                await self._check_engine()
            if not self.member.in_sync and self._leader_state.leader is None:
                await self._claim_when_silent()

    async def _check_engine(self):
        """Clear ``in_sync`` unless the engine runs with the target map as its only map.

        An engine that uses another map is also stopped.
        """
        try:
            engine_map = await self._engine.read_map()
            if not self.member.in_sync:
                return
            target_map = self.member.target
            if target_map is not None and engine_map.map_id != target_map.map_id:
                self.member.in_sync = False
                await self.member.stop_steps()
            elif engine_map.hold_before is not None or len(engine_map.loaded) != 1:
                self.member.in_sync = False
        except SupersededError as error:
            self.incarnations.retire(str(error))
        except WaxwingError as error:
            log.warn("cannot read the engine's map: {}", error)

    async def _claim_when_silent(self):
        """Claim a term if no leader has been seen for long enough."""
        position = self.members.index(self._name)
        after_ms = (
            self._timing.claim_after_ms
            + position * self._timing.claim_stagger_ms
            + self._jitter() * self._timing.claim_jitter_ms
        )
        silent_ms = self._clock.now_ms() - self.member.leader_seen_ms
        if silent_ms < after_ms and not self._starts_over:
            return
        self._starts_over = False
        # The others get the same time to claim before this agent claims again.
        self.member.leader_seen_ms = self._clock.now_ms()
        try:
            await self._lead()
        except TermLostError as error:
            log.info("group {}: {}", self._group, error)

    async def _lead(self, wanted=None):
        number = (
            max(
                self._leader_state.highest_term.number, self.member.guard.granted.number
            )
            + 1
        )
        term = Term(
            number=number, leader=self._name, incarnation=self.incarnations.number
        )
        self._leader_state.highest_term = max(self._leader_state.highest_term, term)
        leader = self._leader_state.leader = Leader(
            name=self._name,
            group=self._group,
            members=self.members,
            term=term,
            send=self._send,
            clock=self._clock,
            timing=self._timing,
            plan=self._plan,
            known_map_ids=[
                expert_map.map_id for expert_map in self.member.known_maps()
            ],
        )
        try:
            return await leader.run(wanted)
        except TermLostError as error:
            self._starts_over = error.start_over
            raise
        finally:
            self._leader_state.leader = None

    def _on_restart(self, name):
        if self._leader_state.leader is not None:
            self._leader_state.leader.abort(f'agent "{name}" has restarted')
