"""A TCP relay between two processes that injects network faults."""

import asyncio
import enum

READ_BYTES = 65536


class Direction(enum.Enum):
    """A direction through a wire, seen from the process that connects."""

    FORWARD = "there"
    BACKWARD = "back"


class _Flow:
    """Forwards one direction of one connection."""

    def __init__(self, *, direction, reader, writer):
        self.direction = direction
        self.reader = reader
        self.writer = writer
        self.silent = asyncio.Event()

    async def pump(self, wire):
        try:
            while data := await self.reader.read(READ_BYTES):
                await wire.wait_until_open(self)
                self.writer.write(data)
                await self.writer.drain()
        except OSError:
            pass
        finally:
            self.writer.close()


class Wire:
    """Relays connections to one address.

    A cut holds bytes back, like a network that drops packets: they arrive once
    the cut is over. A silent connection never carries anything again.

    Args:
        port: Port of the loopback to which connections are forwarded.

    Attributes:
        delay_ms: Delay of each chunk of bytes, in milliseconds.
        port: Port on which the wire listens, or ``None`` before it is started.
    """

    def __init__(self, *, port):
        self._server_port = port
        self._server = None
        self._flows = set()
        self._tasks = set()
        self._gates = {direction: asyncio.Event() for direction in Direction}
        self.delay_ms = 0
        self.port = None
        for gate in self._gates.values():
            gate.set()

    async def start(self):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self):
        """Close the listener and every connection."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def cut(self, *directions):
        """Hold back the given directions, or both, until ``restore``."""
        for direction in directions or Direction:
            self._gates[direction].clear()

    def restore(self):
        """End cuts and delays; silent connections stay silent."""
        self.delay_ms = 0
        for gate in self._gates.values():
            gate.set()

    def silence(self):
        """Make every connection that is open now silent, until it is closed."""
        for flow in self._flows:
            flow.silent.set()

    def break_connections(self):
        """Break every connection that is open now."""
        for flow in self._flows:
            flow.writer.transport.abort()

    async def wait_until_open(self, flow):
        """Wait until ``flow`` may forward its bytes; forever if it is silent."""
        await self._gates[flow.direction].wait()
        if self.delay_ms:
            await asyncio.sleep(self.delay_ms / 1000)
        if flow.silent.is_set():
            await asyncio.Event().wait()

    def _accept(self, reader, writer):
        task = asyncio.create_task(self._relay(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _relay(self, reader, writer):
        try:
            server_reader, server_writer = await asyncio.open_connection(
                "127.0.0.1", self._server_port
            )
        except OSError:
            writer.transport.abort()
            return
        flows = {
            _Flow(direction=Direction.FORWARD, reader=reader, writer=server_writer),
            _Flow(direction=Direction.BACKWARD, reader=server_reader, writer=writer),
        }
        self._flows |= flows
        try:
            await asyncio.gather(*(flow.pump(self) for flow in flows))
        finally:
            self._flows -= flows
            writer.transport.abort()
            server_writer.transport.abort()
