"""Connections to one target that wait for their next request."""

from .connection import open_connection

CONNECT_LIMIT_MS = 200.0  # Many round trips; a lost packet is sent again after 1 s.
IDLE_LIMIT_MS = 2000.0  # Targets may drop idle connections earlier than announced.
IDLE_MARGIN_MS = 500.0  # A request must arrive before the target's own time-out.
IDLE_LIMIT_COUNT = 8  # The slots of one target seen from one gateway.


class ConnectionPool:
    """Opens connections to a target and keeps some of them for reuse.

    Args:
        address: ``(ip, port)`` of the target.
    """

    def __init__(self, *, clock, address):
        self._clock = clock
        self._address = address
        self._idle = []

    async def take(self, *, fresh, limit_ms):
        """Return a connection that no other request uses.

        Args:
            fresh: Whether it must be a new one. A kept connection may have
                been dropped unnoticed, and what is sent then may have run.
            limit_ms: Longest time that opening one may take.

        Raises:
            ConnectError: No connection could be opened.
        """
        while self._idle and not fresh:
            connection = self._idle.pop()
            if connection.reusable and not self._expired(connection):
                return connection
            connection.abort()
        return await open_connection(
            self._address, limit_ms=min(limit_ms, CONNECT_LIMIT_MS)
        )

    def put_back(self, connection):
        """Keep ``connection`` for reuse if it may be used again."""
        if not connection.reusable or len(self._idle) >= IDLE_LIMIT_COUNT:
            connection.abort()
            return
        connection.idle_since_ms = self._clock.now_ms()
        self._idle.append(connection)

    def drop_expired(self):
        """Close what has been idle for too long."""
        kept = []
        for connection in self._idle:
            if connection.reusable and not self._expired(connection):
                kept.append(connection)
            else:
                connection.abort()
        self._idle = kept

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
