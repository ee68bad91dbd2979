"""A TCP proxy on the loopback that injects network faults."""

import asyncio
import enum

from waxwinghold_standins._raw_http import reset_connection

MS_PER_SECOND = 1000
CHUNK_BYTES = 65_536


class ProxyFault(enum.StrEnum):
    """What a proxy does to its connections.

    ``SILENCE`` holds back the data of both directions until the fault ends,
    ``CUT_OUT`` only the data sent to the server, ``CUT_BACK`` only the data that
    the server sends. ``REFUSE`` closes new connections at once.
    """

    NONE = "none"
    DELAY = "delay"
    SILENCE = "silence"
    CUT_OUT = "cut_out"
    CUT_BACK = "cut_back"
    REFUSE = "refuse"


class Proxy:
    """Forwards connections to one server.

    Args:
        name: Name of the proxy.
        server_address: ``(ip, port)`` of the server.

    Attributes:
        fault: The current ``ProxyFault``. All but ``REFUSE`` apply to open
            connections too.
        delay_ms: Delay of each chunk during ``DELAY``, in milliseconds.
        address: ``(ip, port)`` of the proxy, or ``None`` before it is started.
    """

    def __init__(self, *, name, server_address):
        self.name = name
        self.fault = ProxyFault.NONE
        self.delay_ms = 0.0
        self.address = None
        self._server_address = server_address
        self._server = None
        self._writers = set()
        self._tasks = set()

    async def start(self, ip="127.0.0.1"):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, ip, 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    async def stop(self):
        """Stop listening and reset every connection."""
        self._server.close()
        self.reset()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def reset(self):
        """Reset every connection that is open now."""
        for writer in list(self._writers):
            reset_connection(writer)

    async def _serve(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        self._writers.add(writer)
        server_writer = None
        try:
            if self.fault is ProxyFault.REFUSE:
                return
            server_reader, server_writer = await asyncio.open_connection(
                *self._server_address
            )
            self._writers.add(server_writer)
            directions = (
                self._forward(reader, server_writer, ProxyFault.CUT_OUT),
                self._forward(server_reader, writer, ProxyFault.CUT_BACK),
            )
            await asyncio.gather(*directions)
        except (OSError, asyncio.CancelledError):
            return
        finally:
            for open_writer in (writer, server_writer):
                if open_writer is not None:
                    open_writer.transport.abort()
                    self._writers.discard(open_writer)
            self._tasks.discard(asyncio.current_task())

    async def _forward(self, reader, writer, one_way_cut):
        while data := await reader.read(CHUNK_BYTES):
            if self.fault is ProxyFault.DELAY:
                await asyncio.sleep(self.delay_ms / MS_PER_SECOND)
            while self.fault in (ProxyFault.SILENCE, one_way_cut):
                await asyncio.sleep(0.01)
            writer.write(data)
            await writer.drain()
        writer.write_eof()
