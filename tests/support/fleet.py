"""A whole fleet in one event loop, with a wire wherever a network would be."""

import asyncio
import contextlib
from dataclasses import replace

import msgspec

from waxwinghold._convert import convert
from waxwinghold._settings import AgentSettings, EntrySettings
from waxwinghold_standins.platform import Platform

from .caller import Caller
from .nodes import AgentNode, EntryNode, TargetNode, http_url
from .sheet_document import (
    AGENT_KEYS,
    ENTRY_KEYS,
    KNOWN_KEYS,
    TOKEN_SECRET,
    free_port,
    make_document,
)
from .wire import Wire

HEARTBEAT_MS = 150
SILENCE_MS = 500
READY_LIMIT_S = 15.0
DEADLINE_MS = 2000
STEP_MS = 5.0

TWO_ENTRIES = {"entry-a": "nadi", "entry-b": "lautoka"}
TWO_WORKERS = {"booking-a": "nadi", "booking-b": "lautoka"}
THREE_WORKERS = TWO_WORKERS | {"booking-c": "lautoka"}
TWO_ENGINES = {"fitting-a": "nadi", "fitting-b": "lautoka"}


class Fleet:
    """Entries, agents, targets and the platform, with a wire on each path.

    Wires are named by (who connects, whom to): an entry to an agent, another
    entry or ``platform``; an agent, by its target's name, to ``target``; and
    ``caller`` to an entry.

    Args:
        entries: Data centres of the entries, by name.
        targets: Data centres of the targets, by name.
        deadline_ms: Deadline of every call.
        step_ms: Time of an engine's step or a service's call.
        entry_options: More settings of the entries.
        agent_options: More settings of the agents.
    """

    def __init__(
        self,
        *,
        entries=None,
        targets=None,
        deadline_ms=DEADLINE_MS,
        step_ms=STEP_MS,
        entry_options=None,
        agent_options=None,
    ):
        self._entry_places = entries or TWO_ENTRIES
        self._target_places = targets or THREE_WORKERS
        self._deadline_ms = deadline_ms
        self._step_ms = step_ms
        self._options = {
            "entry": dict(entry_options or {}),
            "agent": dict(agent_options or {}),
        }
        self.wires = {}
        self.entries = {}
        self.agents = {}
        self.targets = {}
        self.platform = Platform()
        self.callers = []
        self.version = 0
        self._agent_ports = {name: free_port() for name in self._target_places}
        self._link_ports = {name: free_port() for name in self._entry_places}

    @contextlib.asynccontextmanager
    async def running(self):
        """Run the fleet for the length of an ``async with`` block."""
        try:
            await self.start()
            yield self
        finally:
            await self.stop()

    async def start(self):
        """Start everything and wait until it serves."""
        await self.platform.start()
        self.publish(version=1)
        await self._start_targets()
        await self._make_entries()
        nodes = [*self.entries.values(), *self.agents.values()]
        await asyncio.gather(*(node.start() for node in nodes))
        await self.until_ready()

    async def stop(self):
        """Kill everything."""
        for caller in self.callers:
            await caller.close()
        nodes = [*self.entries.values(), *self.agents.values()]
        await asyncio.gather(*(node.kill() for node in nodes))
        await asyncio.gather(*(target.kill() for target in self.targets.values()))
        await asyncio.gather(*(wire.stop() for wire in self.wires.values()))
        await self.platform.stop()

    def caller(self, customer="suva"):
        """Return a new caller."""
        caller = Caller(
            url_of=self.url_of, customer=customer, token=f"{customer}-token"
        )
        self.callers.append(caller)
        return caller

    def url_of(self, entry):
        """Return where callers reach an entry."""
        return f"http://127.0.0.1:{self.wires['caller', entry].port}"

    def document(self, *, version, without=()):
        """Return the sheet of ``version`` as plain types."""
        targets = [
            {"name": name, "data_centre": place, "agent_port": self._agent_ports[name]}
            for name, place in self._target_places.items()
            if name not in without
        ]
        return make_document(
            version=version, targets=targets, deadline_ms=self._deadline_ms
        )

    def publish(self, *, version, without=()):
        """Publish a sheet, perhaps without some of the targets."""
        self.version = version
        document = self.document(version=version, without=without)
        self.platform.publish(msgspec.json.encode(document))

    def effects_count(self, call):
        """Return how often ``call`` has run, over all targets and their lives."""
        workers = [t for t in self.targets.values() if t.name.startswith("booking")]
        return sum(worker.effects_count(call) for worker in workers)

    def wires_between(self, data_centres, other_data_centres):
        """Return the wires between processes of two sets of data centres."""
        at = self._entry_places | self._target_places | {"platform": "platform"}
        return [
            wire
            for (source, goal), wire in self.wires.items()
            if source in at and goal in at
            if (at[source] in data_centres and at[goal] in other_data_centres)
            or (at[source] in other_data_centres and at[goal] in data_centres)
        ]

    async def until_ready(self, *, limit_s=None):
        """Wait until every running entry may send work to every running agent."""
        await until(
            self.is_ready, limit_s=limit_s or READY_LIMIT_S, what="a fleet that serves"
        )

    def is_ready(self):
        """Return whether every running entry reaches every running agent."""
        agents = [node for node in self.agents.values() if node.up]
        entries = [node for node in self.entries.values() if node.up]
        return all(_agent_serves(node) for node in agents) and all(
            _entry_reaches(entry, agent) for entry in entries for agent in agents
        )

    async def restore(self):
        """Undo every fault: start what is dead, mend wires, and wait."""
        for wire in self.wires.values():
            wire.restore()
        self.platform.set_faults(outage=False, stale_version=None, lag_ms=0.0)
        for target in self.targets.values():
            if target.standin._runner is None or not target.standin._runner.sites:
                await target.start()
            target.set_faults(stalled=False, crash_marker=None, unhealthy=False)
        for node in [*self.entries.values(), *self.agents.values()]:
            await node.ensure_running()
            node.tap.rules.clear()
        self.publish(version=self.version + 1)
        await until(self._all_hold_sheet, limit_s=READY_LIMIT_S, what="one sheet")
        await self.until_ready()

    def _all_hold_sheet(self):
        nodes = [*self.entries.values(), *self.agents.values()]
        return all(node.process.store.version == self.version for node in nodes)

    async def _start_targets(self):
        for name, place in self._target_places.items():
            port = free_port()
            target = TargetNode(name=name, port=port, step_ms=self._step_ms)
            await target.start()
            self.targets[name] = target
            wire = await self._add_wire(name, "target", port)
            settings = self._settings(
                AgentSettings,
                "agent",
                name=name,
                data_centre=place,
                keys=AGENT_KEYS,
                link_port=self._agent_ports[name],
                target_url=f"http://127.0.0.1:{wire.port}",
                health_interval_ms=100,
                target_silence_ms=400,
            )
            self.agents[name] = AgentNode(settings=settings)

    async def _make_entries(self):
        for name, place in self._entry_places.items():
            http_port = free_port()
            await self._add_wire("caller", name, http_port)
            for target, port in self._agent_ports.items():
                await self._add_wire(name, target, port)
            wire = await self._add_wire(
                name, "platform", int(self.platform.url.rpartition(":")[2])
            )
            peers = [await self._peer(name, other) for other in self._entry_places]
            settings = self._settings(
                EntrySettings,
                "entry",
                name=name,
                data_centre=place,
                keys=ENTRY_KEYS,
                link_port=self._link_ports[name],
                platform_url=f"http://127.0.0.1:{wire.port}",
                peers=[peer for peer in peers if peer is not None],
                http_address=f"127.0.0.1:{http_port}",
                drain_notice_ms=100,
            )
            self.entries[name] = EntryNode(
                settings=settings, address_of=self._router(name)
            )

    async def _peer(self, name, other):
        if name == other:
            return None
        wire = await self._add_wire(name, other, self._link_ports[other])
        return {
            "name": other,
            "data_centre": self._entry_places[other],
            "address": f"tcp://127.0.0.1:{wire.port}",
            "public_key": ENTRY_KEYS[0],
        }

    async def _add_wire(self, source, goal, port):
        wire = self.wires[source, goal] = Wire(port=port)
        await wire.start()
        return wire

    def _router(self, entry):
        """Return what leads an entry's links through its wires."""

        def routed(sheet):
            return replace(
                sheet,
                targets=tuple(self._through_wire(entry, row) for row in sheet.targets),
            )

        return routed

    def _through_wire(self, entry, row):
        port = self.wires[entry, row.name].port
        return replace(row, agent_address=f"tcp://127.0.0.1:{port}")

    def _settings(self, kind, role, *, keys, link_port, **values):
        document = {
            "link_address": f"tcp://127.0.0.1:{link_port}",
            "link_public_key": keys[0],
            "link_secret_key": keys[1],
            "token_secrets": [TOKEN_SECRET],
            "known_keys": list(KNOWN_KEYS),
            "platform_url": self.platform.url,
            "heartbeat_interval_ms": HEARTBEAT_MS,
            "silence_limit_ms": SILENCE_MS,
            "drain_limit_ms": 5000,
            "watch_wait_ms": 1000,
        }
        return convert(document | values | self._options[role], kind)


def _agent_serves(node):
    return node.process.target is not None and node.process.monitor.healthy


def _entry_reaches(entry, agent):
    process = entry.process
    if process._runner is None or not process._runner.sites:
        return False
    seat = process.target_pool.targets.get(agent.settings.name)
    if seat is None:
        # The sheet in force may not name the target.
        return process.target_pool.index is not None and (
            agent.settings.name not in process.target_pool.index.targets
        )
    current = seat.link.incarnation == agent.process.incarnation
    return current and seat.takes_work and seat.candidate.healthy


async def until(condition, *, limit_s, what):
    """Wait until ``condition()`` holds.

    Raises:
        AssertionError: It did not come to hold in time.
    """
    loop = asyncio.get_running_loop()
    end_s = loop.time() + limit_s
    while not condition():
        if loop.time() > end_s:
            raise AssertionError(f"waited {limit_s} s for {what}")
        await asyncio.sleep(0.02)


__all__ = ["Fleet", "TWO_ENGINES", "TWO_ENTRIES", "http_url", "until"]
