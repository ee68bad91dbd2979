"""Measures the cost of queues, ledger and map changes of an agent.

Run it with ``python -m waxwinghold_bench.agent_cost``.
"""

import asyncio
import collections
import gc
import random
import time
import tracemalloc

import fire

from waxwinghold import Clock
from waxwinghold._agent._maps import MapCoordinator
from waxwinghold._agent.ledger import Ledger, RecordedAnswer
from waxwinghold._agent.queueing import QUEUE_POLICIES, QueuedRequest
from waxwinghold._messages import encode
from waxwinghold._messages.maps import EngineMap, ExpertMap

CUSTOMERS_COUNT = 2500
WAITING_COUNT = 1024
OPERATIONS_COUNT = 50_000
KEYS_COUNT = 20_000
ANSWER_BYTES = 300
LIFETIME_MS = 600_000
LAYERS_COUNT = 58
EXPERTS_PER_LAYER_COUNT = 2
STEP_MS = 20.0
NS_PER_US = 1000
ROW = "{:<44} {:>12}"


def _per_call_us(start_ns, count):
    return f"{(time.perf_counter_ns() - start_ns) / count / NS_PER_US:.2f} us"


def _make_requests(count, rng):
    return [
        QueuedRequest(
            request_id=f"request-{number}",
            customer=f"customer-{rng.randrange(CUSTOMERS_COUNT)}",
            priority=rng.randrange(4),
            share=rng.choice([1.0, 2.0, 10.0]),
            deadline_ms=1e12,
            queued_ms=0.0,
        )
        for number in range(count)
    ]


def queue_cost(policy, *, seed=1):
    """Print the time of a put and a take while the queue is nearly full.

    Args:
        policy: Name of the queue policy.
        seed: Seed of the requests.
    """
    requests = _make_requests(WAITING_COUNT + OPERATIONS_COUNT, random.Random(seed))
    queue = QUEUE_POLICIES[policy](limit_count=WAITING_COUNT + 1)
    for request in requests[:WAITING_COUNT]:
        queue.put(request)
    start_ns = time.perf_counter_ns()
    for request in requests[WAITING_COUNT:]:
        queue.put(request)
        queue.take(0.0)
    cost = _per_call_us(start_ns, OPERATIONS_COUNT)
    print(ROW.format(f"{policy} queue, put and take", cost))


def ledger_cost():
    """Print the time that a ledger takes for a key and the size of its record."""
    answers = [
        RecordedAnswer(
            status=200, content_type="application/json", body=bytes(ANSWER_BYTES)
        )
        for _ in range(KEYS_COUNT)
    ]
    keys = [f"{number:032x}" for number in range(KEYS_COUNT)]
    clock = Clock()
    gc.collect()
    tracemalloc.start()
    ledger = _filled_ledger(clock, keys, answers)
    used_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    counted_bytes = ledger.used_bytes // KEYS_COUNT
    start_ns = time.perf_counter_ns()
    _filled_ledger(clock, keys, answers)
    cost = _per_call_us(start_ns, KEYS_COUNT)
    print(ROW.format("ledger, begin, start and finish", cost))
    measured_bytes = used_bytes // KEYS_COUNT
    print(ROW.format("ledger record, without its strings", f"{measured_bytes} bytes"))
    print(
        ROW.format("ledger record, as counted by the ledger", f"{counted_bytes} bytes")
    )


def _filled_ledger(clock, keys, answers):
    ledger = Ledger(clock=clock, limit_bytes=1 << 30)
    expiry_ms = clock.wall_ms() + LIFETIME_MS
    for key, answer in zip(keys, answers, strict=True):
        ledger.begin(key_id=key, digest="digest", expiry_ms=expiry_ms)
        ledger.start(key)
        ledger.finish(key, answer)
    return ledger


class _Engine:
    """An engine that executes every order immediately."""

    def __init__(self, group):
        self._group = group
        self._map_id = "old"
        self._held_step = None
        self._loaded = ("old",)

    def may_begin_step(self, step):
        return self._held_step is None or step < self._held_step

    async def read_map(self):
        return EngineMap(
            map_id=self._map_id,
            step=self._group.step,
            hold_before=self._held_step,
            loaded=self._loaded,
        )

    async def hold_before(self, step):
        self._held_step = step

    async def load_experts(self, map_id, experts):
        self._loaded += (map_id,)

    async def switch_map(self, map_id, step):
        self._map_id = map_id

    async def drop_map(self, map_id):
        self._loaded = tuple(name for name in self._loaded if name != map_id)


class _Group:
    """A group of agents in one process that counts the messages between them.

    Attributes:
        step: The last step that the engines have made.
        stall_ms: The longest time in milliseconds without a step.
        counts: Number of messages by type.
        sizes: Bytes of messages by type.
    """

    def __init__(self, *, agents_count):
        self.step = 0
        self.stall_ms = 0.0
        self.counts = collections.Counter()
        self.sizes = collections.Counter()
        self.names = [f"agent-{number:03}" for number in range(agents_count)]
        self.engines = [_Engine(self) for _ in self.names]
        self.coordinators = {
            name: self._make_coordinator(name, engine)
            for name, engine in zip(self.names, self.engines, strict=True)
        }

    def _make_coordinator(self, name, engine):
        def send(receiver, message):
            kind = type(message).__name__
            self.counts[kind] += 1
            self.sizes[kind] += len(encode(message))
            asyncio.get_running_loop().call_soon(
                self.coordinators[receiver].on_message, name, message
            )

        return MapCoordinator(
            name=name,
            group="group",
            members=self.names,
            incarnation=1,
            engine=engine,
            send=send,
            clock=Clock(),
            plan=self._plan,
        )

    async def _plan(self):
        return self.new_map()

    def new_map(self):
        experts = tuple(
            f"{layer}/{index}"
            for layer in range(LAYERS_COUNT)
            for index in range(EXPERTS_PER_LAYER_COUNT)
        )
        return ExpertMap(map_id="new", experts=dict.fromkeys(self.names, experts))

    async def run_steps(self):
        last_step_ns = time.monotonic_ns()
        while True:
            while not all(
                engine.may_begin_step(self.step + 1) for engine in self.engines
            ):
                await asyncio.sleep(0.001)
                stalled_ms = (time.monotonic_ns() - last_step_ns) / 1e6
                self.stall_ms = max(self.stall_ms, stalled_ms)
            await asyncio.sleep(STEP_MS / 1000)
            self.step += 1
            last_step_ns = time.monotonic_ns()


async def _map_change_cost(agents_count):
    group = _Group(agents_count=agents_count)
    tasks = [asyncio.create_task(group.run_steps())]
    tasks += [asyncio.create_task(item.run()) for item in group.coordinators.values()]
    while not all(item.incarnations.joined for item in group.coordinators.values()):
        await asyncio.sleep(0.05)
    group.counts.clear()
    group.sizes.clear()
    start_ns = time.process_time_ns()
    await group.coordinators[group.names[0]].change_to(group.new_map())
    cpu_ms = (time.process_time_ns() - start_ns) / 1e6
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return group, cpu_ms


def map_change_cost(agents_count):
    """Print the cost of one map change in a group of ``agents_count`` agents."""
    group, cpu_ms = asyncio.run(_map_change_cost(agents_count))
    messages_count = sum(group.counts.values())
    size_bytes = sum(group.sizes.values())
    label = f"map change, {agents_count} agents"
    print(ROW.format(f"{label}, messages", messages_count))
    print(ROW.format(f"{label}, bytes", size_bytes))
    orders_bytes = group.sizes["MapOrder"]
    print(ROW.format(f"{label}, bytes of orders", orders_bytes))
    print(ROW.format(f"{label}, CPU time, all agents", f"{cpu_ms:.0f} ms"))
    print(ROW.format(f"{label}, stall", f"{group.stall_ms:.0f} ms"))


def main():
    """Print all costs."""
    for policy in sorted(QUEUE_POLICIES):
        queue_cost(policy)
    ledger_cost()
    for agents_count in (16, 64):
        map_change_cost(agents_count)


if __name__ == "__main__":
    fire.Fire(main)
