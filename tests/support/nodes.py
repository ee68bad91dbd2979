"""The system's processes and their targets, to be killed and started again."""

import asyncio
from dataclasses import replace

from waxwinghold._agent.process import AgentProcess
from waxwinghold._clock import Clock
from waxwinghold._entry.process import EntryProcess
from waxwinghold._messages import decode, encode
from waxwinghold._settings import split_ip_port
from waxwinghold_standins.engine import Engine
from waxwinghold_standins.service import PlainService

from .taps import Tap
from .teardown import DeferredContext


class Node:
    """One process of the system, in the test's event loop.

    Args:
        settings: The process's settings; each start is a new incarnation.
    """

    process_class = None

    def __init__(self, *, settings):
        self.settings = settings
        self.process = None
        self.tap = None
        self._task = None

    @property
    def up(self):
        """Whether the process runs."""
        return self._task is not None and not self._task.done()

    async def start(self, *, clock=None):
        """Start a new process on the same addresses."""
        self.tap = Tap()
        self.process = self.process_class(
            clock=clock or Clock(), settings=self.settings
        )
        self._prepare()
        self._task = asyncio.create_task(self.process.run())
        while self.process.server is None:
            await asyncio.sleep(0)
            if self._task.done():
                self._task.result()
        self.process.context = DeferredContext(context=self.process.context)
        server, tap = self.process.server, self.tap
        send = server.send

        def send_tapped(routing_id, frames):
            for frame in frames:
                tap.forward(decode(frame), lambda one: send(routing_id, [encode(one)]))

        server.send = send_tapped

    async def kill(self):
        """End the process as SIGKILL would: nothing more leaves it."""
        if self._task is None:
            return
        self.tap.closed = True
        self._cut_connections()
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        # Where the process was stopping already, it did not come to its end.
        await self.process.stop_role()
        await self._until_closed()
        self._task = None

    async def ensure_running(self):
        """Start the process if it is dead or leaving."""
        if self.up and not self.process.leaving:
            return
        await self.kill()
        await self.start()

    async def wait_until_ended(self):
        """Return once a drained process has ended by itself."""
        await self._task
        await self._until_closed()

    async def _until_closed(self):
        if isinstance(self.process.context, DeferredContext):
            await self.process.context.until_destroyed()

    def _prepare(self):
        """Change the process before it runs."""

    def _cut_connections(self):
        """Break the connections that are no links."""


class EntryNode(Node):
    """An entry.

    Args:
        address_of: Returns the address at which this entry reaches an agent.
    """

    process_class = EntryProcess

    def __init__(self, *, settings, address_of):
        super().__init__(settings=settings)
        self._address_of = address_of

    def _prepare(self):
        pool, tap = self.process.target_pool, self.tap
        apply = pool.apply

        def apply_routed(sheet):
            apply(self._address_of(sheet))
            for target in pool.targets.values():
                tap_link(target.link, tap)

        pool.apply = apply_routed

    def _cut_connections(self):
        server = self.process._runner and self.process._runner.server
        for connection in server.connections if server else ():
            if connection.transport is not None:
                connection.transport.abort()


class AgentNode(Node):
    """An agent."""

    process_class = AgentProcess

    def _cut_connections(self):
        client = self.process.client
        for session in (client._pooled, client._fresh):
            if not session.closed:
                session._connector._close()

        async def tell_nobody(request_id):
            return None

        client.cancel = tell_nobody
        for work in list(self.process.runner._running):
            work.task.cancel()


def tap_link(link, tap):
    """Let what ``link`` sends pass ``tap``."""
    if "send" in vars(link):
        return
    send = link.send

    def send_tapped(message):
        if not link.up:
            send(message)
        tap.forward(message, send)

    link.send = send_tapped


class TargetNode:
    """An engine or a plain service behind an agent.

    Args:
        name: The target's name; its service comes before the dash.
        port: Where it serves.
        step_ms: Time of an engine's step or of a service's call.
    """

    def __init__(self, *, name, port, step_ms):
        self.name = name
        self._port = port
        self._step_ms = step_ms
        self.standins = []

    @property
    def standin(self):
        """The stand-in that runs, or ran last."""
        return self.standins[-1]

    async def start(self):
        """Start a new stand-in on the same port."""
        if self.name.startswith("booking"):
            standin = PlainService(name=self.name, call_ms=self._step_ms)
        else:
            standin = Engine(step_ms=self._step_ms)
        await standin.start(port=self._port)
        self.standins.append(standin)

    async def kill(self):
        """End the stand-in at once."""
        if self.standin._runner is not None:
            await self.standin.crash()
            await self.standin.stop()

    def effects_count(self, call):
        """Return how often ``call`` has run here, over all lives."""
        return sum(sum(life.effects[call].values()) for life in self.standins)

    def set_faults(self, **changes):
        """Change the faults of the stand-in."""
        holder = self.standin if self.name.startswith("booking") else self.standin.rank
        holder.faults = replace(holder.faults, **changes)


def http_url(address):
    """Return the URL of an ``IP:PORT``."""
    host, port = split_ip_port(address)
    return f"http://{host}:{port}"
