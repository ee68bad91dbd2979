"""A TCP relay whose directions can be cut while connections stay open."""

import asyncio
import contextlib

CHUNK_BYTES = 64 * 1024


class Relay:
    """Forwards connections to a port of this machine.

    Bytes that come while a direction is cut are lost, as in a network that
    drops them: both ends keep an open connection that has gone silent.

    Args:
        target_port: Where connections are forwarded to.
    """

    def __init__(self, *, target_port):
        self._target_port = target_port
        self._cut = set()
        self._server = None
        self._tasks = set()
        self.port = None

    async def start(self):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self):
        """Close every connection."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def cut(self, *directions):
        """Lose what goes ``out`` to the target or ``back`` from it."""
        self._cut.update(directions)

    def heal(self):
        """Forward both directions again, for new connections."""
        self._cut.clear()
        # What was lost cannot be made up for: a stream with a hole is useless.
        for task in list(self._tasks):
            task.cancel()

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            far_reader, far_writer = await asyncio.open_connection(
                "127.0.0.1", self._target_port
            )
            await asyncio.gather(
                self._pump("out", reader, far_writer),
                self._pump("back", far_reader, writer),
            )
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            with contextlib.suppress(UnboundLocalError):
                far_writer.close()
            writer.close()

    async def _pump(self, direction, reader, writer):
        while data := await reader.read(CHUNK_BYTES):
            if direction not in self._cut:
                writer.write(data)
                await writer.drain()
        raise ConnectionResetError
