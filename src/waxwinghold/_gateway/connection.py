"""An HTTP/1.1 connection to a target that carries one request at a time.

The client of ``aiohttp`` is not used for targets. It accepts the reset of a
connection as the end of an answer without a length, and it returns an answer that
arrives late on a reused connection as the answer to the next request.
"""

import asyncio
import re
import socket
import zlib
from array import array
from collections import deque
from dataclasses import dataclass

import httptools
import logbook

from .._decisions.answer_origin import has_joined_end, has_joined_head
from .answer_doubts import Doubt, answer_doubts
from .answer_sizes import (
    BODY_LIMIT_BYTES,
    HEAD_FIELDS_LIMIT_COUNT,
    HEAD_LIMIT_BYTES,
    SKIPPED_ANSWERS_LIMIT_COUNT,
    SKIPPED_LIMIT_BYTES,
    answer_sizes,
)
from .errors import (
    AnswerTooLongError,
    BodyTooLongError,
    ConnectError,
    ConnectionLostError,
    HeadTooLongError,
    MalformedAnswerError,
    SkippedAnswerTooLongError,
)

log = logbook.Logger("connection")

MS_PER_SECOND = 1000
BUFFER_LIMIT_BYTES = 256 * 1024  # Reading pauses above this: the caller is slow.
PIECE_BYTES = 64  # Memory of a buffered piece beside its content.
FIELD_FRAMING_BYTES = 4  # Colon, space and line end of a header field.
ACKNOWLEDGE_LIMIT_MS = 2000  # Longer than two retransmissions on a lossy link.
KEEPALIVE_IDLE_S = 1  # Three unanswered probes close a silent connection in 4 s.
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES_COUNT = 3
BODILESS_STATUSES = frozenset({204, 304})
SWITCHING_PROTOCOLS = 101
FIRST_FINAL_STATUS = 200
IDLE_LIMIT_PATTERN = re.compile("[0-9]{1,9}")
# Bounds the ids that a connection remembers.
REQUESTS_LIMIT_COUNT = 256
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

    An answer that exceeds a limit of its size resets the connection.

    Attributes:
        idle_since_ms: When it was returned to its pool, in milliseconds of the
            gateway's clock.
        idle_limit_ms: Time for which the target keeps the connection open while
            idle, in milliseconds, or ``None`` if it did not announce one.
        requests_count: Number of requests that were sent on it.
    """

    def __init__(self):
        self.idle_since_ms = 0.0
        self.idle_limit_ms = None
        self.requests_count = 0
        self._sent_ids = array("I")  # Checksums of the ids of all its requests.
        self._parser = httptools.HttpResponseParser(self)
        self._transport = None
        self._pieces = deque()
        self._buffered_bytes = 0
        self._waiter = None
        self._failure = None
        self._headers = []
        self._reason = b""
        self._head_bytes = 0
        self._is_interim = False
        # Received since the last head, piece of a body or end of an answer.
        self._framing_bytes = 0
        self._in_message = False  # From the first byte of any head on.
        self._in_body = False
        # While bytes are parsed: all of them, and the last part of a body in them.
        self._received = b""
        self._last_part = b""
        self._has_length = False
        self._body_bytes = 0
        self._body_limit_bytes = BODY_LIMIT_BYTES
        self._skips = False
        self._skipped_count = 0
        self._until_close = False
        self._answered = True
        self._keep_alive = True
        self._paused = False

    @property
    def peer_name(self):
        """Return the target's address as ``ip:port``, or ``None`` if it is unknown."""
        address = self._transport.get_extra_info("peername")
        return "{}:{}".format(*address[:2]) if address else None

    @property
    def reusable(self):
        """Whether the next request may be sent on this connection."""
        return (
            self._keep_alive
            and self._answered
            and self.requests_count < REQUESTS_LIMIT_COUNT
            and self._failure is None
            and not self._pieces
            and not self._in_message
            and self._transport.get_write_buffer_size() == 0
            and not self._transport.is_closing()
        )

    def send(self, data, *, request_id="", body_limit_bytes=BODY_LIMIT_BYTES):
        """Send a whole request.

        Args:
            data: The request, as bytes.
            request_id: Its id, which the answer repeats; empty if it has none.
            body_limit_bytes: Largest body of an answer, with its framing and
                ``PIECE_BYTES`` for each piece.
        """
        self._answered = False
        self._body_limit_bytes = body_limit_bytes
        self._skips = False
        self._skipped_count = 0
        self.requests_count += 1
        if request_id:
            self._sent_ids.append(_checksum(request_id))
        self._transport.write(data)

    def has_carried(self, request_id):
        """Return whether a request with this id was sent on the connection.

        A late copy of the answer to that one could not be told from the answer to the
        next one. Rarely, it is also returned for another id.
        """
        return bool(request_id) and _checksum(request_id) in self._sent_ids

    def lift_body_limit(self):
        """Accept a body of any size, which is passed on as it arrives.

        The limits of the head, the framing and the buffer remain.
        """
        self._body_limit_bytes = None
        answer_sizes.release(self)

    def close_after_answer(self):
        """Send no further request on this connection."""
        self._keep_alive = False

    @property
    def buffered_bytes(self):
        """The memory of what has arrived and was not read yet."""
        return self._buffered_bytes

    @property
    def has_arrived(self):
        """Whether the next part of an answer, or its failure, can be read at once."""
        return bool(self._pieces) or self._failure is not None

    @property
    def is_first_answer(self):
        """Whether no answer came before the current one on the connection."""
        return self.requests_count == 1 and not self._skipped_count

    @property
    def ends_answer(self):
        """Whether the end of the connection is the only end of the current answer."""
        return self._until_close

    async def head(self):
        """Return the ``AnswerHead`` of the next answer.

        Raises:
            ConnectionLostError: The connection ended first.
            HeadTooLongError: The head exceeds a limit.
            MalformedAnswerError: The bytes received are no HTTP answer.
        """
        piece = await self._next()
        if not isinstance(piece, AnswerHead):
            raise MalformedAnswerError("the target sent a body without a head")
        return piece

    async def body(self):
        """Return the next bytes of the answer's body, or no bytes at its end.

        Raises:
            BodyTooLongError: The body or its framing exceeds a limit.
            ConnectionLostError: The connection ended before the end of the body.
            MalformedAnswerError: The body's framing is invalid.
        """
        piece = await self._next()
        if piece is _END:
            self._answered = True
            answer_sizes.release(self)
            if not self._skips and self._has_extra_bytes():
                answer_doubts.record(Doubt.EXTRA_BYTES, self)
            return b""
        if isinstance(piece, AnswerHead):
            raise MalformedAnswerError("a second answer began inside the first")
        return piece

    def _has_extra_bytes(self):
        """Return whether bytes have arrived behind the answer that has ended."""
        has_begun = bool(self._pieces) or self._in_message
        return has_begun or isinstance(self._failure, MalformedAnswerError)

    async def whole_body(self):
        """Return the whole body of the current answer."""
        parts = []
        while data := await self.body():
            parts.append(data)
        return b"".join(parts)

    async def skip_body(self):
        """Drop the body of the current answer; another answer may follow it.

        Raises:
            SkippedAnswerTooLongError: The body, or the number of bodies skipped since
                ``send``, exceeds a limit.
        """
        self._skipped_count += 1
        if self._skipped_count > SKIPPED_ANSWERS_LIMIT_COUNT:
            limit = f"{SKIPPED_ANSWERS_LIMIT_COUNT} answers"
            raise self._refuse(
                SkippedAnswerTooLongError(what="number of skipped answers", limit=limit)
            )
        self._skips = True
        answer_sizes.release(self)
        while await self.body():
            pass
        self._answered = False
        self._skips = False

    def abort(self):
        """Reset the connection, so the target can see that no answer is expected."""
        self._reset()
        # A raised error keeps the frames that it passed, and they keep the connection:
        # without the error, all of it is freed at once.
        self._failure = ConnectionLostError("the connection was reset")
        self._pieces.clear()
        self._buffered_bytes = 0

    def _reset(self):
        answer_sizes.release(self)
        self._transport.abort()

    def end_for_memory(self, limit_bytes):
        """Reset the connection: all whole bodies together need too much memory."""
        limit = f"{limit_bytes} bytes of all bodies"
        self._refuse(BodyTooLongError(what="body", limit=limit))

    def connection_made(self, transport):
        self._transport = transport
        _set_silence_limits(transport.get_extra_info("socket"))

    def data_received(self, data):
        if self._answered:
            # The bytes belong to no request, so nothing after them can be trusted.
            answer_doubts.record(Doubt.EXTRA_BYTES, self)
            self._fail(
                MalformedAnswerError("bytes received after the end of an answer")
            )
            self._reset()
            return
        was_in_body = self._in_body
        self._framing_bytes += len(data)
        self._received, self._last_part = data, b""
        try:
            self._parser.feed_data(data)
            self._check_sizes(len(data) if was_in_body else 0)
        except AnswerTooLongError as error:
            self._refuse(error)
        except httptools.HttpParserError as error:
            cause = error.__context__  # Raised in a method that the parser called.
            if isinstance(cause, AnswerTooLongError):
                self._refuse(cause)
                return
            if not isinstance(cause, MalformedAnswerError):
                cause = MalformedAnswerError(f"not a valid HTTP answer: {error}")
            self._fail(cause)
            self._reset()
        except httptools.HttpParserUpgrade:
            self._fail(MalformedAnswerError("the target changed the protocol"))
            self._reset()
        finally:
            self._received = self._last_part = b""

    def _check_sizes(self, body_bytes):
        """Check what was received against the limits that the parser does not see.

        Args:
            body_bytes: Bytes of a body that was begun before, with its framing.

        Raises:
            AnswerTooLongError: A limit is exceeded.
        """
        if self._framing_bytes > HEAD_LIMIT_BYTES:
            raise self._framing_error(f"{HEAD_LIMIT_BYTES} bytes")
        if not self._in_body:
            return
        self._body_bytes += body_bytes
        if self._skips:
            if self._body_bytes > SKIPPED_LIMIT_BYTES:
                limit = f"{SKIPPED_LIMIT_BYTES} bytes"
                raise SkippedAnswerTooLongError(what="skipped body", limit=limit)
        elif self._body_limit_bytes is not None:
            if self._body_bytes > self._body_limit_bytes:
                limit = f"{self._body_limit_bytes} bytes"
                raise BodyTooLongError(what="body", limit=limit)
            answer_sizes.record(self, self._body_bytes)

    def eof_received(self):
        if self._until_close and not self._answered:
            self._in_message = False
            self._put(_END)
            self._keep_alive = False
        return False

    def connection_lost(self, exc):
        answer_sizes.release(self)
        reason = f": {exc}" if exc else ""
        self._fail(ConnectionLostError(f"the connection ended{reason}"))

    def on_message_begin(self):
        self._in_message = True
        self._headers = []
        self._reason = b""
        if not self._is_interim:
            self._head_bytes = 0

    def on_status(self, reason):
        self._reason += reason  # It may arrive in several pieces.

    def on_header(self, name, value):
        self._head_bytes += len(name) + len(value) + FIELD_FRAMING_BYTES
        if self._head_bytes > HEAD_LIMIT_BYTES:
            raise self._framing_error(f"{HEAD_LIMIT_BYTES} bytes")
        if len(self._headers) >= HEAD_FIELDS_LIMIT_COUNT:
            raise self._framing_error(f"{HEAD_FIELDS_LIMIT_COUNT} fields")
        self._headers.append((name.lower(), value))

    def on_headers_complete(self):
        status = self._parser.get_status_code()
        self._check_fields()
        self._is_interim = status < FIRST_FINAL_STATUS and status != SWITCHING_PROTOCOLS
        if self._is_interim:
            return
        head = AnswerHead(status=status, headers=tuple(self._headers))
        framed = any(
            name in (b"content-length", b"transfer-encoding")
            for name, _ in head.headers
        )
        self._has_length = head.get(b"content-length") is not None
        self._until_close = not framed and status not in BODILESS_STATUSES
        self._keep_alive = self._keep_alive and not self._until_close
        self._keep_alive = self._keep_alive and self._parser.should_keep_alive()
        self.idle_limit_ms = _announced_idle_limit_ms(head)
        self._headers = []  # Fields of a trailer follow.
        self._head_bytes = 0
        self._body_bytes = 0
        self._in_body = True
        self._put(head)

    def on_body(self, data):
        self._body_bytes += PIECE_BYTES
        self._last_part = data
        self._put(data)

    def on_message_complete(self):
        self._in_message = False
        if self._is_interim:
            return
        self._check_fields()
        self._check_end()
        self._in_body = False
        self._put(_END)

    def _check_fields(self):
        """Check that the head or trailer that ends holds no part of another answer.

        Raises:
            MalformedAnswerError: It does.
        """
        if has_joined_head((self._reason, *(value for _, value in self._headers))):
            raise self._joined_error()

    def _check_end(self):
        """Check that the body that ends was not filled up with another answer.

        Raises:
            MalformedAnswerError: It was.
        """
        part = self._last_part
        if not (self._has_length and part) or self._received.endswith(part):
            return
        # A body that has a length is one part of what was received.
        end = self._received.rfind(part) + len(part)
        if has_joined_end(part, self._received[end:]):
            raise self._joined_error()

    def _joined_error(self):
        answer_doubts.record(Doubt.JOINED, self, status=self._parser.get_status_code())
        return MalformedAnswerError("another answer begins inside the answer")

    def _put(self, piece):
        self._framing_bytes = 0
        self._pieces.append(piece)
        self._buffered_bytes += _buffered_size(piece)
        if self._buffered_bytes > BUFFER_LIMIT_BYTES and not self._paused:
            self._paused = True
            self._transport.pause_reading()
        self._wake()

    def _framing_error(self, limit):
        if self._in_body:
            return BodyTooLongError(what="framing of a body", limit=limit)
        return HeadTooLongError(what="head", limit=limit)

    def _refuse(self, error):
        """End the connection for an ``AnswerTooLongError``, and return the error."""
        if self._failure is None:
            answer_sizes.overlong_count += 1
            log.warn(
                "answer too long, connection reset",
                extra={
                    "address": self.peer_name,
                    "code": error.code,
                    "what": error.what,
                    "limit": error.limit,
                },
            )
        self._fail(error)
        self._reset()
        return error

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
        piece = self._take_piece()
        if self._paused and self._buffered_bytes <= BUFFER_LIMIT_BYTES:
            self._paused = False
            self._transport.resume_reading()
        return piece

    def _take_piece(self):
        """Return the first piece; pieces of a body that wait are joined."""
        piece = self._pieces.popleft()
        self._buffered_bytes -= _buffered_size(piece)
        if not isinstance(piece, bytes):
            return piece
        parts = [piece]
        while self._pieces and isinstance(self._pieces[0], bytes):
            parts.append(self._pieces.popleft())
            self._buffered_bytes -= _buffered_size(parts[-1])
        return b"".join(parts) if len(parts) > 1 else piece


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
    except (OSError, TimeoutError, OverflowError, ValueError) as error:
        # The last two stand for a port or a host that cannot be one.
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


def _checksum(request_id):
    return zlib.crc32(request_id.encode("utf-8", "surrogateescape"))


def _buffered_size(piece):
    """Return the memory that a buffered piece takes, in bytes."""
    if isinstance(piece, bytes):
        return PIECE_BYTES + len(piece)
    if isinstance(piece, AnswerHead):
        return PIECE_BYTES + sum(
            PIECE_BYTES + len(name) + len(value) for name, value in piece.headers
        )
    return PIECE_BYTES


def _announced_idle_limit_ms(head):
    """Return the idle time-out in the answer's ``Keep-Alive`` header, or ``None``."""
    for part in (head.get(b"keep-alive") or "").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and IDLE_LIMIT_PATTERN.fullmatch(value.strip()):
            return int(value) * MS_PER_SECOND
    return None
