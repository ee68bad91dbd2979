"""The member side of a map change: grants terms and executes leaders' orders."""

import asyncio

import msgspec

from ..._errors import WaxwingError
from ..._messages.maps import MapOrderDone, MapReport, OrderKind, Term
from ..fencing import StaleTermError, SupersededError, TermGuard
from .engine import TimestampedOrders
from .errors import LeaseExpiredError, MapLostError, OrderFailedError

HOLD_NOW_STEP = 0

_PROCEDURES = {}


def _procedure(kind):
    def register(method):
        _PROCEDURES[kind] = method
        return method

    return register


class Member:
    """Executes the orders of one term at a time, only while its lease lasts.

    Term and lease are checked directly before each order to the engine, so a
    process that was frozen sends at most the one order that it was about to
    send. Steps are allowed only on a map that the engine itself has reported.

    Args:
        name: The agent's name.
        incarnations: The ``Incarnations`` of the group.
        engine: The ``EngineOrders`` of this agent's engine.

    Attributes:
        guard: The ``TermGuard`` with the granted term.
        target: The ``ExpertMap`` that the engine uses or is to use, or ``None``.
        target_term: The term in which ``target`` was ordered.
        prepared: A map that is loaded ahead, or ``None``.
        in_sync: Whether the group has agreed on ``target`` and no change is
            under way.
        leader_seen_ms: Time of the last message from a leader.
    """

    def __init__(self, *, name, group, incarnations, engine, clock, timing):
        self.name = name
        self._incarnations = incarnations
        self.engine = TimestampedOrders(engine=engine, clock=clock)
        self.guard = TermGuard()
        self.target = None
        self.target_term = Term()
        self.prepared = None
        self.in_sync = True
        self.leader_seen_ms = clock.now_ms()
        self._group = group
        self._clock = clock
        self._timing = timing
        self._lease_until_ms = 0.0
        self._sequence = 0
        self._done = None
        self._lock = asyncio.Lock()

    async def grant(self, term):
        """Reject terms below ``term`` from now on, and return a ``MapReport``.

        An order that is being executed ends before the engine's map is read.

        Raises:
            StaleTermError: A higher term was granted.
        """
        if term != self.guard.granted:
            self.guard.admit(term)
            self._lease_until_ms = 0.0
            self._sequence = 0
            self._done = None
            self.in_sync = False
        self.leader_seen_ms = self._clock.now_ms()
        async with self._lock:
            self._check_term(term)
            engine_map = await self.engine.read_map()
        self._check_term(term)
        return MapReport(
            engine=engine_map,
            target=self.target,
            target_term=self.target_term,
            prepared=self.prepared,
        )

    def renew_lease(self, message):
        """Extend the lease to ``lease_ms`` after the time that the message echoes.

        Raises:
            StaleTermError: The message does not have the granted term.
        """
        self._check_term(message.term)
        self.leader_seen_ms = self._clock.now_ms()
        until_ms = message.echo_ms + self._timing.lease_ms
        self._lease_until_ms = max(self._lease_until_ms, until_ms)

    async def execute(self, order):
        """Execute an order and return its ``MapOrderDone``.

        A duplicate of an order is not executed again. It returns the outcome of
        the first copy; ``None`` if that is still being executed or a later
        order has arrived.

        Raises:
            StaleTermError: The order does not have the granted term.
            SupersededError: A newer agent sends orders to the engine.
        """
        self.renew_lease(order)
        if order.sequence <= self._sequence:
            done = self._done
            if done is None or done.sequence != order.sequence:
                return None
            return msgspec.structs.replace(
                done, sent_ms=self._clock.now_ms(), echo_ms=order.sent_ms
            )
        self._sequence = order.sequence
        self.in_sync = False
        async with self._lock:
            done = await self._run_procedure(order)
        self._check_term(order.term)
        if order.sequence == self._sequence:
            self._done = done
        return done

    async def stop_steps(self):
        """Hold the engine before its next step, without an order from a leader."""
        async with self._lock:
            await self.engine.hold_before(HOLD_NOW_STEP)

    async def _run_procedure(self, order):
        try:
            await _PROCEDURES[order.kind](self, order)
            engine_map = await self.engine.read_map()
        except MapLostError as error:
            return self._outcome(order, reason=str(error), map_lost=True)
        except (StaleTermError, SupersededError):
            raise
        except WaxwingError as error:
            return self._outcome(order, reason=str(error))
        return self._outcome(order, engine=engine_map)

    def _outcome(self, order, **outcome):
        return MapOrderDone(
            group=self._group,
            term=order.term,
            incarnation=self._incarnations.number,
            sequence=order.sequence,
            sent_ms=self._clock.now_ms(),
            echo_ms=order.sent_ms,
            **outcome,
        )

    def _check_term(self, term):
        if term != self.guard.granted:
            raise StaleTermError(term=term, granted=self.guard.granted)

    def _check(self, order):
        """Raise unless ``order`` may still reach the engine."""
        self._check_term(order.term)
        if self._clock.now_ms() > self._lease_until_ms:
            raise LeaseExpiredError(term=order.term)
        if order.sequence != self._sequence:
            raise OrderFailedError("a later order has arrived")

    async def _poll_until(self, order, condition):
        """Poll the engine until ``condition`` holds for its map, and return it."""
        while True:
            self._check(order)
            engine_map = await self.engine.read_map()
            if condition(engine_map):
                return engine_map
            await self._clock.sleep_ms(self._timing.poll_ms)

    async def _outlast_copies(self, order, ordered_ms):
        """Wait until no copy of an order sent by ``ordered_ms`` can arrive."""
        until_ms = ordered_ms + self._timing.copy_life_ms
        while self._clock.now_ms() < until_ms:
            self._check(order)
            await self._clock.sleep_ms(self._timing.poll_ms)
        self._check(order)

    @_procedure(OrderKind.READ)
    async def _read(self, order):
        # The engine continues its steps meanwhile. After this wait, no late copy
        # of an earlier order can end the hold that follows or change the map
        # during it.
        await self._outlast_copies(order, self.engine.latest_ms)

    @_procedure(OrderKind.LOAD)
    async def _load(self, order):
        expert_map = order.expert_map
        self.prepared = expert_map
        await self._load_experts(order, expert_map)

    @_procedure(OrderKind.HOLD)
    async def _hold(self, order):
        # If the engine has already passed the step, it stops before its next
        # one. This is safe, as ranks in lock-step still stop together.
        ordered_ms = self.engine.latest_ms
        await self._hold_engine(order)
        if order.step is None:
            # Outside a change, no READ order came before this one, so that late
            # copies of earlier orders may still arrive.
            await self._outlast_copies(order, ordered_ms)
            await self._hold_engine(order)

    @_procedure(OrderKind.SWITCH)
    async def _switch(self, order):
        expert_map = self._with_experts(order.expert_map)
        self.target, self.target_term = expert_map, order.term
        step = HOLD_NOW_STEP if order.step is None else order.step
        engine_map = await self._poll_until(
            order,
            lambda engine_map: engine_map.step + 1 >= step or not engine_map.map_id,
        )
        # An engine that was replaced has no map, so it would use the new map
        # before the step.
        _check_keeps_map(order, engine_map)
        if engine_map.hold_before != step:
            # The engine was replaced, or a late copy of an order ended its hold.
            await self._hold_engine(order)
        await self._load_experts(order, expert_map)
        if engine_map.map_id != expert_map.map_id:
            self._check(order)
            await self.engine.switch_map(expert_map.map_id, step)
        await self._drop_other_maps(order, expert_map)

    @_procedure(OrderKind.RESUME)
    async def _resume(self, order):
        expert_map = self._with_experts(order.expert_map)
        engine_map = await self.engine.read_map()
        if engine_map.map_id != expert_map.map_id:
            raise MapLostError(f'the engine is not on map "{expert_map.map_id}"')
        engine_map = await self._drop_other_maps(order, expert_map)
        if engine_map.hold_before is not None:
            self._check(order)
            await self.engine.hold_before(None)
        self._adopt(order, expert_map)

    def _with_experts(self, expert_map):
        """Return the map with its experts, if this agent knows them."""
        for known_map in self.known_maps():
            if known_map.map_id == expert_map.map_id:
                return known_map
        return expert_map

    def known_maps(self):
        """Return the maps whose experts this agent knows."""
        maps = (self.target, self.prepared)
        return [
            expert_map
            for expert_map in maps
            if expert_map is not None and expert_map.experts
        ]

    def _adopt(self, order, expert_map):
        if self.target is None or self.target.map_id != expert_map.map_id:
            self.target, self.target_term = expert_map, order.term
        self.prepared = None
        self.in_sync = True

    async def _hold_engine(self, order):
        step = HOLD_NOW_STEP if order.step is None else order.step
        self._check(order)
        await self.engine.hold_before(step)
        engine_map = await self.engine.read_map()
        if engine_map.hold_before != step:
            raise OrderFailedError(f"the engine does not hold before step {step}")
        _check_keeps_map(order, engine_map)

    async def _load_experts(self, order, expert_map):
        self._check(order)
        engine_map = await self.engine.read_map()
        if expert_map.map_id in engine_map.loaded:
            return
        if self.name not in expert_map.experts:
            raise OrderFailedError(f'experts of map "{expert_map.map_id}" unknown')
        self._check(order)
        experts = expert_map.experts[self.name]
        await self.engine.load_experts(expert_map.map_id, experts)
        await self._poll_until(
            order, lambda engine_map: expert_map.map_id in engine_map.loaded
        )

    async def _drop_other_maps(self, order, expert_map):
        """Drop all other maps, and return the engine's report that they are gone."""
        engine_map = await self.engine.read_map()
        for map_id in engine_map.loaded:
            if map_id not in (expert_map.map_id, engine_map.map_id):
                self._check(order)
                await self.engine.drop_map(map_id)
        engine_map = await self.engine.read_map()
        if not engine_map.has_only_map(expert_map.map_id):
            raise OrderFailedError(f'the engine is not on map "{expert_map.map_id}"')
        return engine_map


def _check_keeps_map(order, engine_map):
    """Raise if the engine has no map although the order is for a future step."""
    if order.step is not None and not engine_map.map_id:
        raise MapLostError("the engine has no map: it was replaced")
