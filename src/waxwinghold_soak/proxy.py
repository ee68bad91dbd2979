"""A loopback proxy that delays, silences, cuts one way or resets connections."""

import asyncio
import enum

from waxwinghold_standins._raw_http import reset_connection

MS_PER_SECOND = 1000
CHUNK_BYTES = 65_536


class ProxyFault(enum.StrEnum):
    """What a proxy does to its connections."""

    NONE = "none"
    DELAY = "delay"
    SILENCE = "silence"
    CUT_OUT = "cut_out"
    CUT_BACK = "cut_back"
    REFUSE = "refuse"


class Proxy:
    """Passes connections on to one server.

    Args:
        target: ``(ip, port)`` of the server.
        name: Named in the record of faults.

    Attributes:
        fault: The ``ProxyFault`` in force; it holds for open connections too.
        address: ``(ip, port)`` once started.
    """

    def __init__(self, *, name, target):
        self.name = name
        self.fault = ProxyFault.NONE
        self.delay_ms = 0.0
        self.address = None
        self._target = target
        self._server = None
        self._writers = set()
        self._tasks = set()

    async def start(self, ip="127.0.0.1"):
        """Listen at a free port."""
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
        """Reset all connections, once."""
        for writer in list(self._writers):
            reset_connection(writer)

    async def _serve(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        self._writers.add(writer)
        far_writer = None
        try:
            if self.fault is ProxyFault.REFUSE:
                return
            far_reader, far_writer = await asyncio.open_connection(*self._target)
            self._writers.add(far_writer)
            ways = (
                self._pass_on(reader, far_writer, ProxyFault.CUT_OUT),
                self._pass_on(far_reader, writer, ProxyFault.CUT_BACK),
            )
            await asyncio.gather(*ways)
        except (OSError, asyncio.CancelledError):
            return
        finally:
            for one in (writer, far_writer):
                if one is not None:
                    one.transport.abort()
                    self._writers.discard(one)
            self._tasks.discard(asyncio.current_task())

    async def _pass_on(self, reader, writer, cut):
        while data := await reader.read(CHUNK_BYTES):
            if self.fault is ProxyFault.DELAY:
                await asyncio.sleep(self.delay_ms / MS_PER_SECOND)
            while self.fault in (ProxyFault.SILENCE, cut):
                await asyncio.sleep(0.01)
            writer.write(data)
            await writer.drain()
        writer.write_eof()
