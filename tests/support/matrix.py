"""The fault matrix: every fault at every step, for every kind of call."""

import asyncio
from dataclasses import dataclass
from typing import Callable

import msgspec

from .request_scenario import KINDS, RequestScenario
from .wire import Direction

RESTART_PAUSE_S = 0.15
LATE_S = 0.3
LATE_COPY_S = 0.7

STEPS = {
    "before_submit": None,
    "submit_on_its_way": RequestScenario.until_submit_leaves,
    "queued_at_agent": RequestScenario.until_queued,
    "started_at_target": RequestScenario.until_started,
    "answer_on_its_way": RequestScenario.until_answer_leaves,
    "answer_at_entry": RequestScenario.until_answer_at_entry,
    "after": RequestScenario.until_done,
}
SENT_STEPS = tuple(STEPS)[1:]
AT_AGENT_STEPS = SENT_STEPS[1:-1]
MESSAGE_STEPS = ("submit_on_its_way", "answer_on_its_way")

FAULTS = {}


@dataclass(frozen=True, kw_only=True)
class Fault:
    """A fault of the matrix.

    Args:
        inject: Brings the fault about in a ``RequestScenario``.
        harmless_at: Steps at which the request must still be answered,
            whatever its kind.
        affects_message: Whether it happens to a message on its way.
    """

    name: str
    inject: Callable
    harmless_at: tuple[str, ...] = ()
    affects_message: bool = False


def fault(*, harmless_at=(), affects_message=False):
    """Register the decorated function as the fault of its name."""

    def register(inject):
        FAULTS[inject.__name__] = Fault(
            name=inject.__name__,
            inject=inject,
            harmless_at=harmless_at,
            affects_message=affects_message,
        )
        return inject

    return register


@dataclass(frozen=True, kw_only=True)
class Cell:
    """One fault at one step of one kind of call."""

    fault: str
    step: str
    kind: str

    def __str__(self):
        return f"{self.fault} x {self.step} x {self.kind}"


def cells():
    """Return all cells, those that cannot happen included."""
    return [
        Cell(fault=name, step=step, kind=kind)
        for name in FAULTS
        for step in STEPS
        for kind in KINDS
    ]


def why_impossible(cell):
    """Return why a cell cannot happen, or an empty text if it can."""
    streamed = KINDS[cell.kind].streamed
    if FAULTS[cell.fault].affects_message and cell.step not in MESSAGE_STEPS:
        return "no message is on its way at this step"
    if cell.fault == "message_reordered" and not streamed:
        return "a single message has no order"
    if cell.fault == "message_reordered" and cell.step == "submit_on_its_way":
        return "one submit has no order among others"
    return ""


async def restart(node):
    """Kill a process and start it again: a new incarnation, no memory."""
    await node.kill()
    await asyncio.sleep(RESTART_PAUSE_S)
    await node.start()


@fault()
async def kill_agent(scene):
    """The agent dies and is replaced."""
    await restart(scene.agent)


@fault()
async def kill_agent_twice(scene):
    """The agent dies, and dies again as it comes back."""
    agent = scene.agent
    await restart(agent)
    await restart(agent)


@fault()
async def kill_entry(scene):
    """The caller's entry dies."""
    await scene.fleet.entries[scene.entry].kill()


@fault()
async def kill_target(scene):
    """The target dies and stays dead."""
    await scene.fleet.targets[scene.target].kill()


@fault()
async def kill_agent_and_entry(scene):
    """Agent and entry die together; the agent is replaced."""
    agent = scene.agent
    await asyncio.gather(scene.fleet.entries[scene.entry].kill(), agent.kill())
    await agent.start()


@fault(harmless_at=SENT_STEPS, affects_message=True)
async def message_late(scene):
    """The message arrives late."""
    await asyncio.sleep(LATE_S)


@fault(affects_message=True)
async def message_lost(scene):
    """The message is lost, and the link stays up."""
    scene.hold_rule.drop()


@fault(harmless_at=SENT_STEPS, affects_message=True)
async def message_doubled(scene):
    """The message arrives twice."""
    scene.hold_rule.release(copies_count=2)


@fault(harmless_at=SENT_STEPS, affects_message=True)
async def message_doubled_late(scene):
    """A copy of the message arrives when the request may be long over."""
    asyncio.get_running_loop().call_later(LATE_COPY_S, scene.hold_rule.copies())


@fault(harmless_at=SENT_STEPS, affects_message=True)
async def message_reordered(scene):
    """Messages arrive in reverse order."""
    scene.hold_rule.release(reverse=True)


@fault()
async def link_silent(scene):
    """The open connection goes silent for good; new ones work."""
    scene.fleet.wires[scene.entry, scene.target].silence()


@fault()
async def one_way_cut_there(scene):
    """Nothing reaches the agent from the entry."""
    scene.fleet.wires[scene.entry, scene.target].cut(Direction.FORWARD)


@fault()
async def one_way_cut_back(scene):
    """Nothing reaches the entry from the agent."""
    scene.fleet.wires[scene.entry, scene.target].cut(Direction.BACKWARD)


@fault()
async def data_centre_cut(scene):
    """The entry is cut off from the target, the other entry and the platform."""
    wires = scene.fleet.wires
    target = scene.target
    wires[scene.entry, target].cut()
    wires[scene.entry, scene.other_entry].cut()
    wires[scene.other_entry, scene.entry].cut()
    wires[scene.entry, "platform"].cut()


@fault(harmless_at=SENT_STEPS)
async def platform_down(scene):
    """The platform refuses every read."""
    scene.fleet.platform.set_faults(outage=True)


@fault(harmless_at=SENT_STEPS)
async def platform_stale(scene):
    """The platform shows an old sheet."""
    scene.fleet.platform.set_faults(stale_version=1)


@fault(harmless_at=SENT_STEPS)
async def sheet_bad(scene):
    """A broken sheet is published, and another one under the same version."""
    fleet = scene.fleet
    version = fleet.version
    document = fleet.document(version=version)
    document["issued_by"] = "somebody else"
    fleet.platform.publish(b'{"version": 1000000', version=1_000_000)
    fleet.platform.publish(msgspec.json.encode(document), version=version)


@fault(harmless_at=AT_AGENT_STEPS)
async def target_removed(scene):
    """A new sheet no longer names the target."""
    fleet = scene.fleet
    target = scene.target
    fleet.publish(version=fleet.version + 1, without=(target,))
    await asyncio.sleep(LATE_S)


@fault()
async def target_stalled(scene):
    """The target accepts work and makes no progress."""
    scene.keep_target_stalled = True
    scene.fleet.targets[scene.target].set_faults(stalled=True, unhealthy=True)


@fault(harmless_at=SENT_STEPS)
async def entry_drained(scene):
    """The entry is stopped as planned."""
    process = scene.fleet.entries[scene.entry].process
    process.drain(reason="a planned stop", by="test")


@fault(harmless_at=AT_AGENT_STEPS)
async def agent_drained(scene):
    """The agent is stopped as planned."""
    scene.agent.process.drain(reason="a planned stop", by="test")
