"""Fault matrix of a map change: every fault at every stage of the change."""

import asyncio

import fire

from waxwinghold import WaxwingError
from waxwinghold._messages.maps import MapClaim, MapOrder, MapOrderDone, OrderKind

from .map_fakes import World, run_world

LEADER, MEMBER, RIVAL = "b", "c", "a"
NAMES = "abc"
JOIN_MS = 2000
FAULT_MS = 3000
RECOVERY_MS = 9000
AGAIN_AFTER_MS = 100
# Sequence numbers of these orders within a change.
LOAD_SEQUENCE, HOLD_SEQUENCE = 2, 4

# Stages of a map change and faults, by their names in the printed table.
STAGES, FAULTS = {}, {}


def _stage(name):
    def register(is_reached):
        STAGES[name] = is_reached
        return is_reached

    return register


def _fault(name):
    def register(cause_fault):
        FAULTS[name] = cause_fault
        return cause_fault

    return register


def _is_order(process, what, detail, kind):
    return isinstance(detail, MapOrder) and detail.kind == kind


def _is_done(process, what, detail, sequence):
    at_leader = process.name == LEADER and what == "received"
    return (
        at_leader and isinstance(detail, MapOrderDone) and detail.sequence == sequence
    )


@_stage("weights loaded")
def _loaded(process, what, detail):
    return _is_done(process, what, detail, LOAD_SEQUENCE)


@_stage("prepare sent")
def _hold_sent(process, what, detail):
    return what == "sent" and _is_order(process, what, detail, OrderKind.HOLD)


@_stage("granted")
def _hold_done(process, what, detail):
    return _is_done(process, what, detail, HOLD_SEQUENCE)


@_stage("commit sent")
def _switch_sent(process, what, detail):
    return what == "sent" and _is_order(process, what, detail, OrderKind.SWITCH)


@_stage("commit received")
def _switch_received(process, what, detail):
    at_member = process.name == MEMBER and what == "received"
    return at_member and _is_order(process, what, detail, OrderKind.SWITCH)


@_stage("switched")
def _switched(process, what, detail):
    return process.name == MEMBER and what == "switch_map"


@_stage("old map dropped")
def _dropped(process, what, detail):
    return process.name == MEMBER and what == "drop_map"


@_stage("resumed")
def _resumed(process, what, detail):
    return process.name == MEMBER and what == "hold_before" and detail == (None,)


@_fault("kill leader")
def _kill_leader(world, leader, member):
    leader.kill()
    world.after(1000, world.start, leader.name)


@_fault("kill member")
def _kill_member(world, leader, member):
    _kill_leader(world, member, member)


@_fault("pause leader, wake late")
def _pause_leader(world, leader, member):
    leader.pause()
    world.after(FAULT_MS, leader.wake)


@_fault("pause member, wake late")
def _pause_member(world, leader, member):
    _pause_leader(world, member, member)


@_fault("pause leader, replace, wake late")
def _replace_paused_leader(world, leader, member):
    _pause_leader(world, leader, member)
    world.after(300, world.start, leader.name)


@_fault("pause member, replace, wake late")
def _replace_paused_member(world, leader, member):
    _replace_paused_leader(world, member, member)


def _disturb_network(world, draw_delays_ms, duration_ms):
    world.draw_delays_ms = draw_delays_ms
    world.after(duration_ms, setattr, world, "draw_delays_ms", None)


@_fault("lose")
def _lose(world, leader, member):
    _disturb_network(world, lambda: [], 400)


@_fault("double")
def _double(world, leader, member):
    _disturb_network(world, lambda: [0.0, 300.0], FAULT_MS)


@_fault("delay and reorder")
def _delay(world, leader, member):
    _disturb_network(
        world, lambda: [world.random.choice([0, 1, 50, 700, 1500])], FAULT_MS
    )


def _cut(world, *endpoints):
    world.cuts.add(endpoints)
    world.after(FAULT_MS, world.cuts.discard, endpoints)


@_fault("cut leader to member")
def _cut_to(world, leader, member):
    _cut(world, leader.name, member.name)


@_fault("cut member to leader")
def _cut_from(world, leader, member):
    _cut(world, member.name, leader.name)


@_fault("cut engine to member")
def _cut_engine(world, leader, member):
    _cut(world, "engine", member.name)


@_fault("replace the rank's engine")
def _replace_engine(world, leader, member):
    world.replace_engine(member.name)


@_fault("replace rank and agent")
def _replace_rank(world, leader, member):
    world.replace_engine(member.name)
    member.kill()
    world.after(500, world.start, member.name)


@_fault("two leaders race")
def _race(world, leader, member):
    rival = world.current[RIVAL]
    rival.spawn(rival.coordinator._lead(world.new_map("rival")))


class _Trigger:
    """Causes a fault when a stage is reached, and once more during the recovery."""

    def __init__(self, *, world, stage, fault, again):
        self._world, self._is_reached, self._fault = world, STAGES[stage], FAULTS[fault]
        self._again = again
        self.reached_ms = None

    def __call__(self, process, what, detail):
        now_ms = self._world.loop.time() * 1000
        if self.reached_ms is None:
            if self._is_reached(process, what, detail):
                self.reached_ms = now_ms
                self._cause_fault(LEADER)
        elif self._again and now_ms > self.reached_ms + AGAIN_AFTER_MS:
            if what == "sent" and isinstance(detail, MapClaim):
                self._again = False
                self._cause_fault(process.name)

    def _cause_fault(self, leader):
        current = self._world.current
        member = MEMBER if leader != MEMBER else LEADER
        self._fault(self._world, current[leader], current[member])


async def change(world, name, map_id):
    """Make an agent lead a change to a new map; ignore an abandoned change."""
    try:
        await world.current[name].coordinator.change_to(world.new_map(map_id))
    except WaxwingError:
        pass


async def run_cell(*, stage, fault, checks_orders, again):
    """Run one cell, and return its final world and whether its stage was reached."""
    world = World(names=NAMES, seed=7, checks_orders=checks_orders)
    await world.sleep_ms(JOIN_MS)
    world.stall_ms = 0.0
    trigger = _Trigger(world=world, stage=stage, fault=fault, again=again)
    world.on_event = trigger
    task = world.current[LEADER].spawn(change(world, LEADER, "m1"))
    await world.sleep_ms(FAULT_MS + RECOVERY_MS)
    previous_step = world.step
    await world.sleep_ms(1000)
    world.recovered = world.step - previous_step >= 40 and len(world.maps_in_use()) == 1
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    await world.close()
    return world, trigger.reached_ms is not None


def print_stalls(*, checks_orders=False, again=False):
    """Print how long the group stalled in each cell, as a table for the docs."""
    print("| fault |", " | ".join(STAGES), "|")
    print("|---" * (len(STAGES) + 1) + "|")
    for fault in FAULTS:
        cells = []
        for stage in STAGES:
            cell = {"stage": stage, "fault": fault, "again": again}
            world, _ = run_world(lambda: run_cell(checks_orders=checks_orders, **cell))
            mixed = f" ({world.mixed_count} mixed)" if world.mixed_count else ""
            stuck = "" if world.recovered else " (not recovered)"
            cells.append(f"{world.stall_ms:.0f}{mixed}{stuck}")
        print("|", fault, "|", " | ".join(cells), "|")


if __name__ == "__main__":
    fire.Fire(print_stalls)
