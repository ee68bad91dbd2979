"""Fakes for the map change protocol: time, processes, network, lock-step engines."""

import asyncio
import random
from dataclasses import dataclass

from waxwinghold import Clock
from waxwinghold._agent._maps import MapCoordinator
from waxwinghold._agent.fencing import FencingNumbers
from waxwinghold._agent.orders import EngineUnreachableError, OrderRefusedError
from waxwinghold._messages.maps import EngineMap, ExpertMap

STEP_MS = 20.0
HOP_MS = 0.5
ORDER_MS = 0.2
ORDER_LIMIT_MS = 200.0


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop that jumps to the next timer instead of waiting for it."""

    def __init__(self):
        super().__init__()
        self._now = 1.0
        select = self._selector.select

        def jump(timeout):
            self._now += timeout or 0.0
            return select(0)

        self._selector.select = jump

    def time(self):
        return self._now


@dataclass(frozen=True, kw_only=True)
class ProcessClock(Clock):
    """A clock whose sleeps do not end while the process is frozen."""

    process: object

    async def sleep_ms(self, duration_ms):
        await super().sleep_ms(duration_ms)
        await self.process.awake()


class FakeEngine:
    """One agent's engine, which applies orders as they arrive."""

    def __init__(self, *, checks_orders, map_id=""):
        self.checks_orders = checks_orders
        self.map_id = map_id
        self.loaded = [map_id] if map_id else []
        self.hold = None
        self.fence = 0

    def may_begin(self, step):
        return self.map_id != "" and (self.hold is None or step < self.hold)

    def apply(self, fence, kind, *args):
        """Apply an order, and return ``None`` or the reason for a refusal.

        The reason is the highest number seen if the fencing number is too low.
        """
        if self.checks_orders and fence < self.fence:
            return self.fence
        self.fence = max(self.fence, fence)
        if kind == "hold_before":
            self.hold = args[0]
        elif kind == "load_experts":
            self.loaded += [args[0]] if args[0] not in self.loaded else []
        elif args[0] not in self.loaded:
            return "not loaded"
        elif kind == "switch_map":
            self.map_id = args[0]
        elif args[0] == self.map_id:
            return "in use"
        else:
            self.loaded.remove(args[0])
        return None


class EngineClient:
    """Sends one process's orders to its engine over a network with faults."""

    def __init__(self, *, world, process):
        self.world, self.process = world, process
        self.numbers = FencingNumbers(clock=process.clock)

    async def read_map(self):
        await self.process.clock.sleep_ms(ORDER_MS)
        engine = self.world.engines[self.process.name]
        if engine is None:
            raise EngineUnreachableError(path="/map", cause="down")
        return EngineMap(
            map_id=engine.map_id,
            step=self.world.step,
            hold_before=engine.hold,
            loaded=tuple(engine.loaded),
        )

    async def hold_before(self, step):
        await self._order("hold_before", step)

    async def load_experts(self, map_id, experts):
        await self._order("load_experts", map_id)

    async def switch_map(self, map_id, step):
        await self._order("switch_map", map_id)

    async def drop_map(self, map_id):
        await self._order("drop_map", map_id)

    async def _order(self, kind, *args):
        fence = self.numbers.next()
        self.world.event(self.process, kind, args)
        # A process that is frozen here has already checked its term and lease.
        await self.process.awake()
        outcome = asyncio.get_running_loop().create_future()
        delays_ms = self.world.copy_delays_ms(self.process.name, "engine")
        for delay_ms in delays_ms:
            self.world.after(
                ORDER_MS + delay_ms, self._arrive, outcome, fence, kind, args
            )
        if min(delays_ms, default=ORDER_LIMIT_MS) >= ORDER_LIMIT_MS or (
            ("engine", self.process.name) in self.world.cuts
        ):
            await self.process.clock.sleep_ms(ORDER_LIMIT_MS)
            raise EngineUnreachableError(path="/orders", cause="silent")
        refusal = await outcome
        await self.process.clock.sleep_ms(ORDER_MS)
        if isinstance(refusal, int):
            self.numbers.record_refused(fence=fence, seen_fence=refusal)
        if refusal is not None:
            raise OrderRefusedError(order=kind, status=422, reason=refusal)
        self.numbers.record_accepted()

    def _arrive(self, outcome, fence, kind, args):
        engine = self.world.engines[self.process.name]
        refusal = "down" if engine is None else engine.apply(fence, kind, *args)
        if not outcome.done():
            outcome.set_result(refusal)


class Process:
    """One incarnation of an agent, which can be killed, frozen and woken."""

    def __init__(self, *, world, name, incarnation, **parts):
        self.world, self.name = world, name
        self.alive = True
        self.clock = ProcessClock(
            process=self,
            read_ns=lambda: int(world.loop.time() * 1e9),
            wall_start_ms=world.wall_start_ms,
        )
        self._awake = asyncio.Event()
        self._awake.set()
        self._inbox, self._outbox = [], []
        self.tasks = []
        kinds = {"coordinator": MapCoordinator, "engine": EngineClient, **parts}
        self.coordinator = kinds["coordinator"](
            name=name,
            group="g",
            members=world.names,
            incarnation=incarnation,
            engine=kinds["engine"](world=world, process=self),
            send=self.send,
            clock=self.clock,
            plan=self._plan,
            jitter=world.random.random,
        )
        self.spawn(self.coordinator.run())

    async def _plan(self):
        return self.world.new_map("planned")

    def spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.append(task)
        return task

    async def awake(self):
        """Wait until the process is not frozen; forever if it was killed."""
        await self._awake.wait()

    def kill(self):
        self.alive = False
        self._awake.clear()
        for task in self.tasks:
            task.cancel()

    def pause(self):
        if self.alive:
            self._awake.clear()

    def wake(self):
        if not self.alive:
            return
        self._awake.set()
        inbox, self._inbox = self._inbox, []
        outbox, self._outbox = self._outbox, []
        for name, message in outbox:
            self.send(name, message)
        for name, message in inbox:
            self.receive(name, message)

    def send(self, name, message):
        if not self.alive:
            return
        if not self._awake.is_set():
            self._outbox.append((name, message))
            return
        for delay_ms in self.world.copy_delays_ms(self.name, name):
            self.world.after(
                HOP_MS + delay_ms, self.world.deliver, self.name, name, message
            )
        self.world.messages_count += 1
        self.world.event(self, "sent", message)

    def receive(self, name, message):
        if not self.alive:
            return
        if not self._awake.is_set():
            self._inbox.append((name, message))
            return
        self.coordinator.on_message(name, message)
        self.world.event(self, "received", message)


class World:
    """A group of agents and engines, and the results of its steps.

    Attributes:
        current: The latest ``Process`` of each agent, by name.
        cuts: (source, destination) pairs between which messages are lost.
        draw_delays_ms: Returns the delay of each copy of a message; ``None`` without
            faults.
        on_event: Called as ``on_event(process, what, detail)``, or ``None``.
        mixed_count: Steps in which engines used different maps.
        stall_ms: Longest time without a step.
    """

    def __init__(self, *, names, seed=0, checks_orders=False, map_id="m0", **parts):
        self.loop = asyncio.get_running_loop()
        self.random = random.Random(seed)
        self.names = tuple(names)
        self.wall_start_ms = 1_000_000
        self.checks_orders = checks_orders
        self.parts = parts
        self.engines = {
            name: FakeEngine(checks_orders=checks_orders, map_id=map_id)
            for name in names
        }
        self.step = 0
        self.mixed_count = 0
        self.stall_ms = 0.0
        self.messages_count = 0
        self.cuts = set()
        self.draw_delays_ms = None
        self.on_event = None
        self.processes = []
        self.current = {}
        self._starts_count = 0
        for name in names:
            self.start(name)
        self._steps = asyncio.create_task(self._run_steps())

    def after(self, delay_ms, call, *args):
        self.loop.call_later(delay_ms / 1000, call, *args)

    def event(self, process, kind, detail):
        if self.on_event is not None:
            self.on_event(process, kind, detail)

    def copy_delays_ms(self, source, destination):
        """Return the delay of each copy of a message that is sent now."""
        if (source, destination) in self.cuts:
            return []
        return self.draw_delays_ms() if self.draw_delays_ms else [0.0]

    def deliver(self, source, destination, message):
        for process in list(self.processes):
            if process.name == destination:
                process.receive(source, message)

    def start(self, name):
        self._starts_count += 1
        self.wall_start_ms += 1000
        process = Process(
            world=self, name=name, incarnation=self._starts_count, **self.parts
        )
        self.processes.append(process)
        self.current[name] = process
        return process

    def replace_engine(self, name):
        self.engines[name] = FakeEngine(checks_orders=self.checks_orders)

    def new_map(self, map_id):
        return ExpertMap(map_id=map_id, experts={name: ("e1",) for name in self.names})

    def maps_in_use(self):
        return {engine.map_id for engine in self.engines.values()}

    async def sleep_ms(self, duration_ms):
        await asyncio.sleep(duration_ms / 1000)

    async def close(self):
        self._steps.cancel()
        for process in self.processes:
            process.kill()
        await self.sleep_ms(1)

    async def _run_steps(self):
        ended_ms = self.loop.time() * 1000
        while True:
            engines = list(self.engines.values())
            if not all(e is not None and e.may_begin(self.step + 1) for e in engines):
                await self.sleep_ms(1)
                self.stall_ms = max(self.stall_ms, self.loop.time() * 1000 - ended_ms)
                continue
            self.mixed_count += len({engine.map_id for engine in engines}) > 1
            await self.sleep_ms(STEP_MS)
            self.step += 1
            ended_ms = self.loop.time() * 1000


def run_world(scenario):
    """Run a coroutine function in virtual time."""
    loop = VirtualTimeLoop()
    try:
        return loop.run_until_complete(scenario())
    finally:
        loop.close()
