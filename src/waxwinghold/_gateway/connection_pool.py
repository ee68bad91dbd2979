"""The idle connections of one target, kept for reuse."""

from .._decisions.connections import IDLE_LIMIT_COUNT
from .._decisions.crash_suspects import Reachability
from .connection import open_connection
from .errors import ConnectError

CONNECT_LIMIT_MS = 200.0  # Many round trips; TCP resends a lost packet after 1 s.
IDLE_LIMIT_MS = 2000.0  # Targets may close idle connections sooner than announced.
IDLE_MARGIN_MS = 500.0  # A request has to arrive before the target's idle time-out.


class ConnectionPool:
    """Opens connections to a target and keeps some of them for reuse.

    Args:
        address: ``(ip, port)`` of the target.

    Attributes:
        idle_limit_count: How many idle connections are kept at most.
    """

    def __init__(self, *, clock, address):
        self.idle_limit_count = IDLE_LIMIT_COUNT
        self._clock = clock
        self._address = address
        self._idle = []

    async def acquire(self, *, fresh, limit_ms, request_id=""):
        """Return a connection that no other request uses.

        Args:
            fresh: Whether it has to be a new one. The target may have closed an
                idle connection unnoticed, and then it is unknown whether a request
                sent on it has run.
            limit_ms: Longest time in milliseconds to open a connection.
            request_id: Id of the request; empty if it has none. A connection that has
                carried it may bring a late copy of the answer to that request.

        Raises:
            ConnectError: No connection could be opened.
        """
        while self._idle and not fresh:
            connection = self._idle.pop()
            is_repeated = connection.has_carried(request_id)
            if connection.reusable and not (is_repeated or self._expired(connection)):
                return connection
            connection.abort()
        return await open_connection(
            self._address, limit_ms=min(limit_ms, CONNECT_LIMIT_MS)
        )

    async def reachability(self):
        """Return the ``Reachability`` of the target, by a new connection."""
        try:
            connection = await open_connection(self._address, limit_ms=CONNECT_LIMIT_MS)
        except ConnectError as error:
            if isinstance(error.__cause__, ConnectionRefusedError):
                return Reachability.REFUSING
            return Reachability.SILENT
        connection.abort()
        return Reachability.ACCEPTING

    def release(self, connection):
        """Keep ``connection`` for reuse, or close it if it cannot be used again."""
        if not connection.reusable or len(self._idle) >= self.idle_limit_count:
            connection.abort()
            return
        connection.idle_since_ms = self._clock.now_ms()
        self._idle.append(connection)

    def drop_expired(self):
        """Close connections that have been idle for too long or exceed the limit."""
        kept = []
        for connection in reversed(self._idle):
            is_sound = connection.reusable and not self._expired(connection)
            if is_sound and len(kept) < self.idle_limit_count:
                kept.append(connection)
            else:
                connection.abort()
        self._idle = kept[::-1]

    def close(self):
        """Close every idle connection."""
        for connection in self._idle:
            connection.abort()
        self._idle = []

    def _expired(self, connection):
        limit_ms = IDLE_LIMIT_MS
        if connection.idle_limit_ms is not None:
            limit_ms = min(limit_ms, connection.idle_limit_ms - IDLE_MARGIN_MS)
        return self._clock.now_ms() - connection.idle_since_ms > limit_ms
