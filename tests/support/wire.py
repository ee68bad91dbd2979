"""A TCP relay between two processes that takes the faults of a network."""

import asyncio
import enum

READ_BYTES = 65536


class Direction(enum.Enum):
    """A direction through a wire, seen from the side that connects."""

    FORWARD = "there"
    BACKWARD = "back"


class _Flow:
    """One direction of one connection."""

    def __init__(self, *, way, reader, writer):
        self.way = way
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

    A cut holds bytes back, as a network does that drops packets: they arrive
    once the cut is over. A silent connection never carries anything again.

    Args:
        port: Where the connections go.
    """

    def __init__(self, *, port):
        self._target_port = port
        self._server = None
        self._flows = set()
        self._tasks = set()
        self._open = {way: asyncio.Event() for way in Direction}
        self.delay_ms = 0
        self.port = None
        for gate in self._open.values():
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

    def cut(self, *ways):
        """Hold back everything, or only what goes one way, until ``restore``."""
        for way in ways or Direction:
            self._open[way].clear()

    def restore(self):
        """Carry what was held back, and go on; silent connections stay so."""
        self.delay_ms = 0
        for gate in self._open.values():
            gate.set()

    def silence(self):
        """Let every connection that is open now carry nothing more."""
        for flow in self._flows:
            flow.silent.set()

    def break_connections(self):
        """Break every connection that is open now."""
        for flow in self._flows:
            flow.writer.transport.abort()

    async def wait_until_open(self, flow):
        """Return when ``flow`` may carry on; a silent one never does."""
        await self._open[flow.way].wait()
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
            far_reader, far_writer = await asyncio.open_connection(
                "127.0.0.1", self._target_port
            )
        except OSError:
            writer.transport.abort()
            return
        flows = {
            _Flow(way=Direction.FORWARD, reader=reader, writer=far_writer),
            _Flow(way=Direction.BACKWARD, reader=far_reader, writer=writer),
        }
        self._flows |= flows
        try:
            await asyncio.gather(*(flow.pump(self) for flow in flows))
        finally:
            self._flows -= flows
            writer.transport.abort()
            far_writer.transport.abort()
