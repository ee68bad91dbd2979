"""Callers' connections to a gateway or an entry, and the limits on them."""

import asyncio
import fcntl
import resource
import socket
import sys
import termios
from dataclasses import dataclass

import logbook
from aiohttp import web

from ._callers_memory import CallersMemory, ReceivedBytes
from ._decisions.held_memory import CONNECTIONS_LIMIT_COUNT, SMALL_BYTES, Holder
from ._memory import return_large_blocks

log = logbook.Logger("caller_connections")

SWEEP_INTERVAL_MS = 1000.0
# The other descriptors are for targets, links, the store and files.
CALLERS_DESCRIPTORS_SHARE = 0.6
UNLIMITED_DESCRIPTORS_COUNT = 65_536  # Where the system sets no limit.
# The parser bounds each header alone: a whole head could take several MB.
UNFINISHED_HEAD_LIMIT_BYTES = 256 * 1024
HEAD_LINE_LIMIT_BYTES = 8 * 1024  # Of the request line and of each header field.
LISTEN_QUEUE_COUNT = 512
# What is read at once, and the most that waits to be written before a handler waits.
PIECE_BYTES = 16 * 1024
UNSENT_BYTES = 128 * 1024  # In the kernel, beyond the window of the caller.
# With so many, a connection is not read until they are served. With one, reading would
# stop for a moment at each request.
QUEUED_REQUESTS_COUNT = 2
QUEUED_REQUEST_BYTES = 4 * 1024  # Memory of a parsed head beside its content.
LOG_INTERVAL_MS = 1000.0
# A caller that reads slowly takes the system's buffer of several MB in steps.
UNREAD_LIMIT_MS = 60_000.0
NO_TIMEOUT_S = 1e6  # The sweep applies the configured limit instead.


@dataclass(frozen=True, kw_only=True)
class ConnectionLimits:
    """Time limits on callers' connections.

    Args:
        header_timeout_ms: Time from the first byte of a request until its header is
            whole.
        idle_timeout_ms: Time without a request.
    """

    header_timeout_ms: float
    idle_timeout_ms: float


class CallerConnection(web.RequestHandler):
    """A caller's connection, which knows whether an answer is due on it.

    ``aiohttp`` starts to handle a request some turns of the event loop after it has
    read it. Until then the connection would look idle.

    Args:
        clock: The process's clock.
        owner: The ``CallerConnections``.

    Attributes:
        idle_since_ms: When the last answer ended, or the connection was opened.
        requested_ms: When the first byte after that arrived; ``None`` if none did.
        is_served: Whether a request is being handled.
        is_read: Whether the head of a request was read that is not handled yet.
        waiting_bytes: Returns the size of what waits to be written on the connection,
            beside the buffer of its transport; ``None`` if nothing does.
    """

    __slots__ = (
        "_clock",
        "_content",
        "_head_bytes",
        "_last_body",
        "_next_requested_ms",
        "_held_since_ms",
        "_owner",
        "_received",
        "_unread_bytes",
        "_unread_since_ms",
        "idle_since_ms",
        "requested_ms",
        "is_read",
        "is_served",
        "waiting_bytes",
    )

    def __init__(self, manager, *, clock, owner, **options):
        super().__init__(manager, **options)
        self._clock = clock
        self._owner = owner
        self.idle_since_ms = clock.now_ms()
        self.requested_ms = None
        self.is_read = False
        self.is_served = False
        self._content = None
        self._head_bytes = 0
        self._last_body = None
        self._next_requested_ms = None
        self._unread_bytes = 0
        self._unread_since_ms = None
        self._received = ReceivedBytes()
        self._held_since_ms = None
        self.waiting_bytes = None
        # ``aiohttp`` would read 32 requests ahead, with their bodies.
        self._max_msg_queue_size = QUEUED_REQUESTS_COUNT
        self._msg_queue_resume_size = QUEUED_REQUESTS_COUNT - 1

    def connection_made(self, transport):
        super().connection_made(transport)
        transport.max_size = PIECE_BYTES
        transport.set_write_buffer_limits(high=PIECE_BYTES)
        _limit_unsent(transport.get_extra_info("socket"))
        self._owner.record_opened(self)

    def connection_lost(self, exc):
        self._owner.record_closed(self)
        super().connection_lost(exc)

    def data_received(self, data):
        # ``aiohttp`` goes on with what it has read already by a call without data.
        if data:
            self._record_arrival()
        is_head = self._last_body is None or self._last_body.is_eof()
        heads_count = self._request_count
        super().data_received(data)
        if self._request_count > heads_count:
            self.is_read = True
            self._last_body = self._messages[-1][1]
            self._head_bytes = 0
        elif is_head:
            self._head_bytes += len(data)
            if self._head_bytes > UNFINISHED_HEAD_LIMIT_BYTES:
                self._refuse_head()
        new_count = self._request_count - heads_count
        is_next = is_head and not new_count
        self._record_received(
            self._request_count + is_next,
            len(data) + new_count * QUEUED_REQUEST_BYTES,
        )

    def _record_received(self, number, size_bytes):
        if size_bytes:
            self._received.add(number, size_bytes)
            self._owner.memory.record_growth(size_bytes)

    def record_waiting(self, waiting_bytes):
        """Record what waits to be written, until the request was answered.

        Args:
            waiting_bytes: Returns its size now.
        """
        self.waiting_bytes = waiting_bytes
        self._owner.memory.record_growth(waiting_bytes())

    @property
    def caller_name(self):
        """The caller's address as ``ip:port``, or ``None`` if it is unknown."""
        address = self.transport.get_extra_info("peername")
        return "{}:{}".format(*address[:2]) if address else None

    @property
    def held_bytes(self):
        """The memory that the caller takes by what it sent and has not read."""
        size_bytes = self._received.total_bytes
        if self.waiting_bytes is not None:
            size_bytes += self.waiting_bytes()
        if self.transport is not None:
            size_bytes += self.transport.get_write_buffer_size()
            if not (self.transport.is_reading() or self.transport.is_closing()):
                size_bytes += _unread_bytes(self.transport.get_extra_info("socket"))
        return size_bytes

    def update_holder(self):
        """Return the ``Holder`` of the present memory.

        Times count from the first call that finds more than ``SMALL_BYTES``.
        """
        held_bytes, now_ms = self.held_bytes, self._clock.now_ms()
        if held_bytes <= SMALL_BYTES:
            self._held_since_ms = None
        elif self._held_since_ms is None:
            self._held_since_ms = now_ms
        held_ms = 0.0 if self._held_since_ms is None else now_ms - self._held_since_ms
        return Holder(connection=self, held_bytes=held_bytes, held_ms=held_ms)

    def _record_arrival(self):
        if self.requested_ms is None:
            self.requested_ms = self._clock.now_ms()
            self._owner.record_busy(self)
        elif self._content is not None and self._content.is_eof():
            # The request was read: this belongs to the next one.
            if self._next_requested_ms is None:
                self._next_requested_ms = self._clock.now_ms()

    def _refuse_head(self):
        if self.transport is None or self.transport.is_closing():
            return
        log.warn(
            "head of a request too long, connection reset",
            extra={
                "caller": self.caller_name,
                "limit": f"{UNFINISHED_HEAD_LIMIT_BYTES} bytes",
            },
        )
        self.transport.abort()

    def begin_request(self, request):
        """Record that the ``aiohttp`` request is being handled."""
        self.is_read = bool(self._messages)
        self.is_served = True
        self._content = request.content
        if self.requested_ms is None:
            # It arrived together with the one before it.
            self.requested_ms = self._clock.now_ms()
            self._owner.record_busy(self)

    def end_request(self):
        """Record that the request was answered."""
        self.waiting_bytes = None
        self._received.release(self._request_count - len(self._messages))
        self.is_served = False
        self._content = None
        self.requested_ms, self._next_requested_ms = self._next_requested_ms, None
        self.idle_since_ms = self._clock.now_ms()
        if self.requested_ms is None and self.is_read:
            # The next request arrived together with this one.
            self.requested_ms = self.idle_since_ms
        if self.transport is None:
            return
        if self.requested_ms is None:
            self._owner.record_idle(self)
        else:
            self._owner.record_busy(self)

    @property
    def is_receiving(self):
        """Whether all that the caller has sent is the beginning of a request."""
        if self.requested_ms is None:
            return False
        if self.is_served:
            return self._content is not None and not self._content.is_eof()
        if not self.is_read:
            return True
        body = self._messages[0][1] if self._messages else self._last_body
        return not body.is_eof()

    @property
    def incomplete_since_ms(self):
        """Since when the caller has sent no whole request, if none is being served."""
        if self.requested_ms is None:
            return self.idle_since_ms
        return self.requested_ms

    def is_expired(self, limits):
        """Return whether the caller exceeds a time limit without a whole request.

        Args:
            limits: Has the times ``idle_timeout_ms`` and ``header_timeout_ms``.
        """
        now_ms = self._clock.now_ms()
        if self.requested_ms is None:
            return now_ms - self.idle_since_ms > limits.idle_timeout_ms
        if self.is_served or self.is_read:
            return False
        return now_ms - self.requested_ms > limits.header_timeout_ms

    def resume_writing(self):
        self._unread_since_ms = None  # The caller has read most of the buffer.
        super().resume_writing()

    def is_unread(self):
        """Return whether the caller has read nothing of its answer for too long.

        Counts from the first call that finds the present number of unread bytes.
        """
        if not self.writing_paused or self.transport is None:
            self._unread_since_ms = None
            return False
        now_ms = self._clock.now_ms()
        unread_bytes = self.transport.get_write_buffer_size()
        if self._unread_since_ms is None or unread_bytes != self._unread_bytes:
            self._unread_bytes = unread_bytes
            self._unread_since_ms = now_ms
        return now_ms - self._unread_since_ms > UNREAD_LIMIT_MS

    def close_transport(self):
        """Close the connection once what was written has been sent.

        ``close`` is not enough: it ends the task that reads requests but leaves the
        connection open, so the caller's next request would never be read.
        """
        if self.transport is not None:
            self.transport.close()


class CallerConnections:
    """Accepts the connections of callers, and closes those that exceed the limits.

    Beyond ``count_limit`` each new connection replaces the one that has sent no whole
    request for longest. Without descriptors left, the process could neither accept a
    caller nor reach a target.

    Args:
        limits: Returns the limits in force, with the times ``idle_timeout_ms`` and
            ``header_timeout_ms``.
        head_line_limit_bytes: Longest request line and header field.
        decodes_bodies: Whether bodies with a content coding are decoded as they are
            read. A body that is passed on with its headers must not be.
        count_limit: Highest number of connections, if a share of the process's
            descriptors allows it.
        memory_limits: Arguments ``limit_bytes`` and ``body_limit_bytes`` of the
            ``CallersMemory``.

    Attributes:
        memory: The ``CallersMemory`` of the connections.
        opened_count: Connections that were accepted so far.
    """

    def __init__(
        self,
        *,
        clock,
        limits,
        head_line_limit_bytes=HEAD_LINE_LIMIT_BYTES,
        decodes_bodies=True,
        count_limit=CONNECTIONS_LIMIT_COUNT,
        **memory_limits,
    ):
        self.memory = CallersMemory(
            connections=lambda: self._open,
            reset=self._reset_for_memory,
            **memory_limits,
        )
        self._clock = clock
        self._limits = limits
        self._head_line_limit_bytes = head_line_limit_bytes
        self._decodes_bodies = decodes_bodies
        self._count_limit = min(count_limit, _descriptors_share())
        self._listener = None
        self.opened_count = 0
        self._open = set()
        self._closed_count = 0
        self._logged_ms = float("-inf")
        # Ordered by time; ``_receiving`` may have some whose request is whole by now.
        self._idle = {}
        self._receiving = {}

    @property
    def open(self):
        """Return the open connections."""
        return list(self._open)

    @property
    def due_count(self):
        """Return the number of connections on which an answer is due."""
        return sum(connection.requested_ms is not None for connection in self._open)

    async def listen(self, address, server):
        """Accept connections, and return the ``asyncio`` server that does.

        Args:
            address: ``(ip, port)``.
            server: The ``web.Server`` that handles the requests.
        """
        return_large_blocks()
        loop = asyncio.get_running_loop()

        def make_connection():
            return CallerConnection(
                server,
                clock=self._clock,
                owner=self,
                loop=loop,
                access_log=None,
                keepalive_timeout=NO_TIMEOUT_S,
                auto_decompress=self._decodes_bodies,
                max_line_size=self._head_line_limit_bytes,
                max_field_size=self._head_line_limit_bytes,
            )

        self._listener = await loop.create_server(
            make_connection, *address, backlog=LISTEN_QUEUE_COUNT
        )
        return self._listener

    def stop_listening(self):
        """Accept no more connections."""
        if self._listener is not None:
            self._listener.close()

    async def sweep(self):
        """Close connections of callers that exceed a time limit, until cancelled."""
        while True:
            await self._clock.sleep_ms(SWEEP_INTERVAL_MS)
            self.close_expired(self._limits())
            self.reset_unread()
            self.memory.sweep()

    def close_expired(self, limits):
        """Close the connections that exceed a time limit of ``limits``."""
        for connection in self.open:
            if connection.is_expired(limits):
                if connection.requested_ms is not None:
                    log.info("caller sent its request too slowly")
                connection.close_transport()

    def reset_unread(self):
        """Reset the connections of callers that do not read their answers.

        Otherwise their requests, and a planned stop, would wait for them without end.
        """
        for connection in self.open:
            if connection.is_unread():
                log.info("caller does not read its answer, connection reset")
                connection.transport.abort()

    def _reset_for_memory(self, connection):
        # Its loss is reported later; meanwhile its memory must not count again.
        self.record_closed(connection)
        connection.transport.abort()

    def close_idle(self):
        """Close the connections on which no answer is due."""
        for connection in self.open:
            if connection.requested_ms is None:
                connection.close_transport()

    def close(self):
        """Stop listening and close every connection."""
        if self._listener is None:
            return
        self._listener.close()
        for connection in self.open:
            connection.close_transport()

    def record_opened(self, connection):
        """Record a new connection."""
        self.opened_count += 1
        self._open.add(connection)
        self.record_idle(connection)
        if len(self._open) > self._count_limit:
            self._close_for_new()

    def record_closed(self, connection):
        """Record that a connection is closed."""
        self._open.discard(connection)
        self._idle.pop(connection, None)
        self._receiving.pop(connection, None)

    def record_idle(self, connection):
        """Record that no answer is due on ``connection``."""
        self._receiving.pop(connection, None)
        self._idle[connection] = None

    def record_busy(self, connection):
        """Record that a request begins to arrive on ``connection``."""
        self._idle.pop(connection, None)
        self._receiving[connection] = None

    def _longest_incomplete(self):
        """Return the connection that has sent no whole request for longest."""
        longest_idle = next(iter(self._idle))
        while self._receiving:
            receiving = next(iter(self._receiving))
            if receiving.is_receiving:
                return min(
                    longest_idle,
                    receiving,
                    key=lambda connection: connection.incomplete_since_ms,
                )
            del self._receiving[receiving]
        return longest_idle

    def _close_for_new(self):
        connection = self._longest_incomplete()
        self.record_closed(connection)
        connection.close_transport()
        self._closed_count += 1
        now_ms = self._clock.now_ms()
        if now_ms - self._logged_ms >= LOG_INTERVAL_MS:
            self._logged_ms = now_ms
            log.warn(
                "connections without a request closed for new ones",
                extra={"open": len(self._open), "closed": self._closed_count},
            )


def _limit_unsent(sock):
    """Limit what the kernel buffers beyond the caller's window.

    By default it takes several MB, and room for more is reported after a third of
    that was sent: a caller that reads slowly would seem to read nothing.
    """
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, UNSENT_BYTES)
    except OSError as error:
        log.debug("unsent bytes cannot be limited: {!r}", error)


def _unread_bytes(sock):
    """Return what the kernel has received on a socket and the process has not read."""
    try:
        count = fcntl.ioctl(sock.fileno(), termios.FIONREAD, bytes(4))
    except OSError as error:
        log.debug("unread bytes cannot be counted: {!r}", error)
        return 0
    return int.from_bytes(count, sys.byteorder)


def _descriptors_share():
    descriptors_count, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if descriptors_count == resource.RLIM_INFINITY:
        descriptors_count = UNLIMITED_DESCRIPTORS_COUNT
    return int(CALLERS_DESCRIPTORS_SHARE * descriptors_count)
