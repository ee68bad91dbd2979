"""An HTTP/1.1 connection to a target that carries one request at a time.

The client of ``aiohttp`` is not used for targets. It accepts the reset of a
connection as the end of an answer without a length, and it returns an answer that
arrives late on a reused connection as the answer to the next request.
"""

import asyncio
import socket
from collections import deque
from dataclasses import dataclass

import httptools

from .errors import ConnectError, ConnectionLostError, MalformedAnswerError

MS_PER_SECOND = 1000
BUFFER_LIMIT_BYTES = 256 * 1024  # Reading pauses above this: the caller is slow.
ACKNOWLEDGE_LIMIT_MS = 2000  # Longer than two retransmissions on a lossy link.
KEEPALIVE_IDLE_S = 1  # Three unanswered probes close a silent connection in 4 s.
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES_COUNT = 3
BODILESS_STATUSES = frozenset({204, 304})
_END = object()


@dataclass(frozen=True, kw_only=True)
class AnswerHead:
    """Status and headers of an answer.

    Args:
        headers: ``(name, value)`` pairs, names in lower case.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]

    def get(self, name):
        """Return the first header ``name`` (lower case) as text, or ``None``."""
        for key, value in self.headers:
            if key == name:
                return value.decode("latin-1")
        return None


class TargetConnection(asyncio.Protocol):
    """An open connection to a target, made by ``open_connection``.

    Attributes:
        idle_since_ms: When it was returned to its pool, in milliseconds of the
            gateway's clock.
        idle_limit_ms: Time for which the target keeps the connection open while
            idle, in milliseconds, or ``None`` if it did not announce one.
    """

    def __init__(self):
        self.idle_since_ms = 0.0
        self.idle_limit_ms = None
        self._parser = httptools.HttpResponseParser(self)
        self._transport = None
        self._pieces = deque()
        self._buffered_bytes = 0
        self._waiter = None
        self._failure = None
        self._headers = []
        self._until_close = False
        self._answered = True
        self._keep_alive = True
        self._paused = False

    @property
    def reusable(self):
        """Whether the next request may be sent on this connection."""
        return (
            self._keep_alive
            and self._answered
            and self._failure is None
            and not self._pieces
            and self._transport.get_write_buffer_size() == 0
            and not self._transport.is_closing()
        )

    def send(self, data):
        """Send a whole request."""
        self._answered = False
        self._transport.write(data)

    @property
    def ends_answer(self):
        """Whether the end of the connection is the only end of the current answer."""
        return self._until_close

    async def head(self):
        """Return the ``AnswerHead`` of the next answer.

        Raises:
            ConnectionLostError: The connection ended first.
            MalformedAnswerError: The bytes received are no HTTP answer.
        """
        piece = await self._next()
        if not isinstance(piece, AnswerHead):
            raise MalformedAnswerError("the target sent a body without a head")
        return piece

    async def body(self):
        """Return the next bytes of the answer's body, or no bytes at its end.

        Raises:
            ConnectionLostError: The connection ended before the end of the body.
            MalformedAnswerError: The body's framing is invalid.
        """
        piece = await self._next()
        if piece is _END:
            self._answered = True
            return b""
        if isinstance(piece, AnswerHead):
            raise MalformedAnswerError("a second answer began inside the first")
        return piece

    async def whole_body(self):
        """Return the whole body of the current answer."""
        parts = []
        while data := await self.body():
            parts.append(data)
        return b"".join(parts)

    def abort(self):
        """Reset the connection, so the target can see that no answer is expected."""
        self._transport.abort()

    def connection_made(self, transport):
        self._transport = transport
        _set_silence_limits(transport.get_extra_info("socket"))

    def data_received(self, data):
        if self._answered:
            # The bytes belong to no request, so nothing after them can be trusted.
            self._fail(
                MalformedAnswerError("bytes received after the end of an answer")
            )
            self.abort()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(MalformedAnswerError(f"not a valid HTTP answer: {error}"))
            self.abort()

    def eof_received(self):
        if self._until_close and not self._answered:
            self._put(_END)
            self._keep_alive = False
        return False

    def connection_lost(self, exc):
        reason = f": {exc}" if exc else ""
        self._fail(ConnectionLostError(f"the connection ended{reason}"))

    def on_message_begin(self):
        self._headers = []

    def on_header(self, name, value):
        self._headers.append((name.lower(), value))

    def on_headers_complete(self):
        status = self._parser.get_status_code()
        head = AnswerHead(status=status, headers=tuple(self._headers))
        framed = any(
            name in (b"content-length", b"transfer-encoding")
            for name, _ in head.headers
        )
        self._until_close = not framed and status not in BODILESS_STATUSES
        self._keep_alive = self._keep_alive and not self._until_close
        self._keep_alive = self._keep_alive and self._parser.should_keep_alive()
        self.idle_limit_ms = _announced_idle_limit_ms(head)
        self._put(head)

    def on_body(self, data):
        self._buffered_bytes += len(data)
        self._put(data)
        if self._buffered_bytes > BUFFER_LIMIT_BYTES and not self._paused:
            self._paused = True
            self._transport.pause_reading()

    def on_message_complete(self):
        self._put(_END)

    def _put(self, piece):
        self._pieces.append(piece)
        self._wake()

    def _fail(self, error):
        if self._failure is None:
            self._failure = error
        self._keep_alive = False
        self._wake()

    def _wake(self):
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def _next(self):
        while not self._pieces:
            if self._failure is not None:
                raise self._failure
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        piece = self._pieces.popleft()
        if isinstance(piece, bytes):
            self._buffered_bytes -= len(piece)
        if self._paused and self._buffered_bytes <= BUFFER_LIMIT_BYTES:
            self._paused = False
            self._transport.resume_reading()
        return piece


async def open_connection(address, *, limit_ms):
    """Return a new ``TargetConnection``.

    Args:
        address: ``(ip, port)``.
        limit_ms: Longest time in milliseconds to open the connection.

    Raises:
        ConnectError: The connection was refused or did not open in time.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(limit_ms / MS_PER_SECOND):
            _, connection = await loop.create_connection(TargetConnection, *address)
    except (OSError, TimeoutError) as error:
        raise ConnectError(f"no connection to {address[0]}: {error!r}") from error
    return connection


def _set_silence_limits(sock):
    """Make the kernel close the connection if the other end stops responding."""
    options = (
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, ACKNOWLEDGE_LIMIT_MS),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES_COUNT),
    )
    for level, option, value in options:
        sock.setsockopt(level, option, value)


def _announced_idle_limit_ms(head):
    """Return the idle time-out in the answer's ``Keep-Alive`` header, or ``None``."""
    for part in (head.get(b"keep-alive") or "").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.strip().isdigit():
            return int(value) * MS_PER_SECOND
    return None
