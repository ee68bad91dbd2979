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
# From the arrival at the agent until the entry has the complete answer.
IN_PROGRESS_STEPS = SENT_STEPS[1:-1]
MESSAGE_STEPS = ("submit_on_its_way", "answer_on_its_way")

FAULTS = {}


@dataclass(frozen=True, kw_only=True)
class Fault:
    """A fault of the matrix.

    Args:
        name: Name of the fault, which is the name of its function.
        inject: Coroutine function that injects the fault into a
            ``RequestScenario``.
        harmless_at: Steps at which requests of every kind must still be
            answered.
        affects_message: Whether the fault affects a message in transit.
    """

    name: str
    inject: Callable
    harmless_at: tuple[str, ...] = ()
    affects_message: bool = False


def fault(*, harmless_at=(), affects_message=False):
    """Register the decorated coroutine function as a fault with the function's name."""

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
    """A combination of a fault, a step of the request and a kind of call."""

    fault: str
    step: str
    kind: str

    def __str__(self):
        return f"{self.fault} x {self.step} x {self.kind}"


def cells():
    """Return all cells, including impossible ones."""
    return [
        Cell(fault=name, step=step, kind=kind)
        for name in FAULTS
        for step in STEPS
        for kind in KINDS
    ]


def why_impossible(cell):
    """Return why a cell is impossible, or an empty text if it is possible."""
    streamed = KINDS[cell.kind].streamed
    if FAULTS[cell.fault].affects_message and cell.step not in MESSAGE_STEPS:
        return "no message is in transit at this step"
    if cell.fault == "message_reordered" and not streamed:
        return "a single message can't be reordered"
    if cell.fault == "message_reordered" and cell.step == "submit_on_its_way":
        return "a single submit can't be reordered"
    return ""


async def restart(node):
    """Kill a process and start it again, as a new incarnation without memory."""
    await node.kill()
    await asyncio.sleep(RESTART_PAUSE_S)
    await node.start()


@fault()
async def kill_agent(scenario):
    """The agent is killed and restarted."""
    await restart(scenario.agent)


@fault()
async def kill_agent_twice(scenario):
    """The agent is killed and restarted, and again right after its restart."""
    agent = scenario.agent
    await restart(agent)
    await restart(agent)


@fault()
async def kill_entry(scenario):
    """The caller's entry is killed."""
    await scenario.fleet.entries[scenario.entry].kill()


@fault()
async def kill_target(scenario):
    """The target is killed and not restarted."""
    await scenario.fleet.targets[scenario.target].kill()


@fault()
async def kill_agent_and_entry(scenario):
    """The agent and the entry are killed together; only the agent is restarted."""
    agent = scenario.agent
    await asyncio.gather(scenario.fleet.entries[scenario.entry].kill(), agent.kill())
    await agent.start()


@fault(harmless_at=SENT_STEPS, affects_message=True)
async def message_late(scenario):
    """The message arrives late."""
    await asyncio.sleep(LATE_S)


@fault(affects_message=True)
async def message_lost(scenario):
    """The message is lost, and the link stays up."""
    scenario.hold_rule.drop()


@fault(harmless_at=SENT_STEPS, affects_message=True)
async def message_doubled(scenario):
    """The message arrives twice."""
    scenario.hold_rule.release(copies_count=2)


@fault(harmless_at=SENT_STEPS, affects_message=True)
async def message_doubled_late(scenario):
    """A copy of the message arrives late, when the request may have ended."""
    asyncio.get_running_loop().call_later(
        LATE_COPY_S, scenario.hold_rule.copies_sender()
    )


@fault(harmless_at=SENT_STEPS, affects_message=True)
async def message_reordered(scenario):
    """Messages arrive in reverse order."""
    scenario.hold_rule.release(reverse=True)


@fault()
async def link_silent(scenario):
    """The open connection stays silent until it is closed; new ones work."""
    scenario.fleet.wires[scenario.entry, scenario.target].silence()


@fault()
async def one_way_cut_there(scenario):
    """Nothing reaches the agent from the entry."""
    scenario.fleet.wires[scenario.entry, scenario.target].cut(Direction.FORWARD)


@fault()
async def one_way_cut_back(scenario):
    """Nothing reaches the entry from the agent."""
    scenario.fleet.wires[scenario.entry, scenario.target].cut(Direction.BACKWARD)


@fault()
async def data_centre_cut(scenario):
    """The entry is cut off from the target, the other entry and the platform."""
    wires = scenario.fleet.wires
    target = scenario.target
    wires[scenario.entry, target].cut()
    wires[scenario.entry, scenario.other_entry].cut()
    wires[scenario.other_entry, scenario.entry].cut()
    wires[scenario.entry, "platform"].cut()


@fault(harmless_at=SENT_STEPS)
async def platform_down(scenario):
    """The platform rejects every read."""
    scenario.fleet.platform.set_faults(outage=True)


@fault(harmless_at=SENT_STEPS)
async def platform_stale(scenario):
    """The platform returns an old sheet."""
    scenario.fleet.platform.set_faults(stale_version=1)


@fault(harmless_at=SENT_STEPS)
async def sheet_bad(scenario):
    """A broken sheet is published, then another sheet under the current version."""
    fleet = scenario.fleet
    version = fleet.version
    document = fleet.document(version=version)
    document["issued_by"] = "somebody else"
    fleet.platform.publish(b'{"version": 1000000', version=1_000_000)
    fleet.platform.publish(msgspec.json.encode(document), version=version)


@fault(harmless_at=IN_PROGRESS_STEPS)
async def target_removed(scenario):
    """A new sheet no longer names the target."""
    fleet = scenario.fleet
    target = scenario.target
    fleet.publish(version=fleet.version + 1, without=(target,))
    await asyncio.sleep(LATE_S)


@fault()
async def target_stalled(scenario):
    """The target accepts requests but makes no progress."""
    scenario.keep_target_stalled = True
    scenario.fleet.targets[scenario.target].set_faults(stalled=True, unhealthy=True)


@fault(harmless_at=SENT_STEPS)
async def entry_drained(scenario):
    """The entry is drained for a planned stop."""
    process = scenario.fleet.entries[scenario.entry].process
    process.drain(reason="a planned stop", by="test")


@fault(harmless_at=IN_PROGRESS_STEPS)
async def agent_drained(scenario):
    """The agent is drained for a planned stop."""
    scenario.agent.process.drain(reason="a planned stop", by="test")
