"""A minimal HTTP/1.1 server for stand-ins that have to send malformed answers."""

import abc
import asyncio
import socket
import struct
from dataclasses import dataclass, field

import logbook

log = logbook.Logger("raw_http")


@dataclass(kw_only=True)
class RawRequest:
    """A request that was read from a connection.

    Args:
        method: Method of the request line.
        path: Path of the request line, with the query.
        headers: Values by name in lower case.
        body: The whole body.
        arrived_s: When it was read, by the clock of the event loop.
    """

    method: str
    path: str
    headers: dict = field(default_factory=dict)
    body: bytes = b""
    arrived_s: float = 0.0


class RawServer(abc.ABC):
    """Base class of servers that read requests and pass each to ``handle``.

    Attributes:
        address: ``(ip, port)`` of the server once it was started.
        connections_count: Number of connections accepted so far.
        used_connections_count: Number of those that have carried a request.
    """

    def __init__(self):
        self.address = None
        self.connections_count = 0
        self.used_connections_count = 0
        self._server = None
        self._writers = set()
        self._tasks = set()

    async def start(self, ip="127.0.0.1", port=0):
        """Start listening; port 0 selects a free port."""
        self._server = await asyncio.start_server(self._serve, ip, port)
        self.address = self._server.sockets[0].getsockname()[:2]

    async def stop(self):
        """Stop listening and abort every connection."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    @abc.abstractmethod
    async def handle(self, request, writer):
        """Answer one request and return whether the connection stays open.

        Args:
            request: The ``RawRequest``.
            writer: The ``asyncio.StreamWriter`` of its connection.
        """

    async def _serve(self, reader, writer):
        self.connections_count += 1
        self._writers.add(writer)
        self._tasks.add(asyncio.current_task())
        is_used = False
        try:
            while (request := await read_request(reader)) is not None:
                if not is_used:
                    is_used = True
                    self.used_connections_count += 1
                if not await self.handle(request, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            self._tasks.discard(asyncio.current_task())
            writer.close()


def reset_connection(writer):
    """Close a connection with a TCP reset, unless its peer has reset it already."""
    sock = writer.get_extra_info("socket")
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    except OSError as error:
        log.debug("connection was closed before its reset: {!r}", error)
    writer.transport.abort()


async def read_request(reader):
    """Return the next ``RawRequest``, or ``None`` if the connection has ended."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    request_line, *lines = head.decode("latin-1").split("\r\n")[:-2]
    method, path, _ = request_line.split(" ", 2)
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return RawRequest(
        method=method,
        path=path,
        headers=headers,
        body=body,
        arrived_s=asyncio.get_running_loop().time(),
    )


def answer_bytes(status, headers=(), body=b"", *, with_length=True):
    """Return the bytes of an HTTP answer.

    Args:
        status: HTTP status.
        headers: Pairs of name and value.
        body: The body.
        with_length: Whether to add ``Content-Length``; without it the body ends where
            the connection ends.
    """
    lines = [f"HTTP/1.1 {status} Answer"]
    lines += [f"{name}: {value}" for name, value in headers]
    if with_length:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body
