"""A TCP relay whose directions can be cut while connections stay open."""

import asyncio
import contextlib

CHUNK_BYTES = 64 * 1024


class Relay:
    """Forwards connections to a local port.

    Bytes that arrive while their direction is cut are dropped, as by a faulty
    network: both ends keep an open connection on which nothing arrives.

    Args:
        target_port: The port that connections are forwarded to.
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
        """Drop the bytes of the given directions.

        Args:
            directions: ``out`` to the target, ``back`` from it.
        """
        self._cut.update(directions)

    def heal(self):
        """Forward both directions again, for new connections."""
        self._cut.clear()
        # Bytes are missing from the open connections, so they cannot be used again.
        for task in list(self._tasks):
            task.cancel()

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            target_reader, target_writer = await asyncio.open_connection(
                "127.0.0.1", self._target_port
            )
            await asyncio.gather(
                self._pump("out", reader, target_writer),
                self._pump("back", target_reader, writer),
            )
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            with contextlib.suppress(UnboundLocalError):
                target_writer.close()
            writer.close()

    async def _pump(self, direction, reader, writer):
        while data := await reader.read(CHUNK_BYTES):
            if direction not in self._cut:
                writer.write(data)
                await writer.drain()
        raise ConnectionResetError
