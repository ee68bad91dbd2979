"""One agent's side of a map change: it grants terms and obeys their leader."""

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
    """Obeys one term at a time, and only while its lease lasts.

    Every order to the engine checks term and lease just before it goes out,
    so that a process which was frozen sends at most the one order that it was
    about to send. A step of the engine is never allowed on a map that the
    engine's own word does not prove.

    Args:
        name: The agent's name.
        incarnations: The ``Incarnations`` that know this start's number.
        engine: An ``EngineOrders``.
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
        """Obey no term below ``term`` from now on, and return a report.

        An order that is under way ends before the engine is asked.

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
            engine = await self.engine.read_map()
        self._check_term(term)
        return MapReport(
            engine=engine,
            target=self.target,
            target_term=self.target_term,
            prepared=self.prepared,
        )

    def renew_lease(self, message):
        """Extend the lease by what the leader's message echoes.

        Raises:
            StaleTermError: The message is not of the term granted.
        """
        self._check_term(message.term)
        self.leader_seen_ms = self._clock.now_ms()
        until_ms = message.echo_ms + self._timing.lease_ms
        self._lease_until_ms = max(self._lease_until_ms, until_ms)

    async def execute(self, order):
        """Carry out an order; return its ``MapOrderDone``, or ``None``.

        A doubled order is not carried out again: it gets the same outcome, or
        ``None`` if a later one has come since or it is still under way.
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
            done = await self._carry_out(order)
        self._check_term(order.term)
        if order.sequence == self._sequence:
            self._done = done
        return done

    async def stop_steps(self):
        """Hold the engine at once, whatever it does."""
        async with self._lock:
            await self.engine.hold_before(HOLD_NOW_STEP)

    async def _carry_out(self, order):
        try:
            await _PROCEDURES[order.kind](self, order)
            engine = await self.engine.read_map()
        except MapLostError as error:
            return self._outcome(order, reason=str(error), map_lost=True)
        except (StaleTermError, SupersededError):
            raise
        except WaxwingError as error:
            return self._outcome(order, reason=str(error))
        return self._outcome(order, engine=engine)

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
            raise OrderFailedError("a later order has come")

    async def _until(self, order, condition):
        """Poll the engine until ``condition`` holds for its map."""
        while True:
            self._check(order)
            engine = await self.engine.read_map()
            if condition(engine):
                return engine
            await self._clock.sleep_ms(self._timing.poll_ms)

    async def _outlast_copies(self, order, ordered_ms):
        """Wait until no copy of an order given by ``ordered_ms`` can arrive."""
        until_ms = ordered_ms + self._timing.copy_life_ms
        while self._clock.now_ms() < until_ms:
            self._check(order)
            await self._clock.sleep_ms(self._timing.poll_ms)
        self._check(order)

    @_procedure(OrderKind.READ)
    async def _read(self, order):
        # The steps go on meanwhile; the hold that follows can rely on no late
        # copy of an earlier order ending it or changing the map under it.
        await self._outlast_copies(order, self.engine.latest_ms)

    @_procedure(OrderKind.LOAD)
    async def _load(self, order):
        expert_map = order.expert_map
        self.prepared = expert_map
        await self._load_experts(order, expert_map)

    @_procedure(OrderKind.HOLD)
    async def _hold(self, order):
        # A step that has come already stops the engine at its next step, which
        # does no harm: ranks in lock-step stop together all the same.
        ordered_ms = self.engine.latest_ms
        await self._hold_engine(order)
        if order.step is None:
            # No read came before, as it does in a change.
            await self._outlast_copies(order, ordered_ms)
            await self._hold_engine(order)

    @_procedure(OrderKind.SWITCH)
    async def _switch(self, order):
        expert_map = self._with_experts(order.expert_map)
        self.target, self.target_term = expert_map, order.term
        step = HOLD_NOW_STEP if order.step is None else order.step
        engine = await self._until(
            order, lambda engine: engine.step + 1 >= step or not engine.map_id
        )
        # A fresh engine would be the one to use the new map before the step.
        _check_keeps_map(order, engine)
        if engine.hold_before != step:
            # The engine was replaced, or a late order ended its hold.
            await self._hold_engine(order)
        await self._load_experts(order, expert_map)
        if engine.map_id != expert_map.map_id:
            self._check(order)
            await self.engine.switch_map(expert_map.map_id, step)
        await self._drop_others(order, expert_map)

    @_procedure(OrderKind.RESUME)
    async def _resume(self, order):
        expert_map = self._with_experts(order.expert_map)
        engine = await self.engine.read_map()
        if engine.map_id != expert_map.map_id:
            raise MapLostError(f'the engine is not on map "{expert_map.map_id}"')
        engine = await self._drop_others(order, expert_map)
        if engine.hold_before is not None:
            self._check(order)
            await self.engine.hold_before(None)
        self._adopt(order, expert_map)

    def _with_experts(self, expert_map):
        """Return the map with its experts, if this agent knows them."""
        for known in self.known_maps():
            if known.map_id == expert_map.map_id:
                return known
        return expert_map

    def known_maps(self):
        """Return the maps whose experts this agent knows."""
        maps = (self.target, self.prepared)
        return [known for known in maps if known is not None and known.experts]

    def _adopt(self, order, expert_map):
        if self.target is None or self.target.map_id != expert_map.map_id:
            self.target, self.target_term = expert_map, order.term
        self.prepared = None
        self.in_sync = True

    async def _hold_engine(self, order):
        step = HOLD_NOW_STEP if order.step is None else order.step
        self._check(order)
        await self.engine.hold_before(step)
        engine = await self.engine.read_map()
        if engine.hold_before != step:
            raise OrderFailedError(f"the engine does not hold before step {step}")
        _check_keeps_map(order, engine)

    async def _load_experts(self, order, expert_map):
        self._check(order)
        engine = await self.engine.read_map()
        if expert_map.map_id in engine.loaded:
            return
        if self.name not in expert_map.experts:
            raise OrderFailedError(f'experts of map "{expert_map.map_id}" unknown')
        self._check(order)
        experts = expert_map.experts[self.name]
        await self.engine.load_experts(expert_map.map_id, experts)
        await self._until(order, lambda engine: expert_map.map_id in engine.loaded)

    async def _drop_others(self, order, expert_map):
        """Leave the engine no map but this one, by its own word."""
        engine = await self.engine.read_map()
        for map_id in engine.loaded:
            if map_id not in (expert_map.map_id, engine.map_id):
                self._check(order)
                await self.engine.drop_map(map_id)
        engine = await self.engine.read_map()
        if not engine.has_only_map(expert_map.map_id):
            raise OrderFailedError(f'the engine is not on map "{expert_map.map_id}"')
        return engine


def _check_keeps_map(order, engine):
    """Raise if the engine lost its map and the switch is at a step ahead."""
    if order.step is not None and not engine.map_id:
        raise MapLostError("the engine has no map: it was replaced")
