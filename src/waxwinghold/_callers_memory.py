"""The memory that callers take by what they have sent and not read."""

import gc
from collections import deque

import logbook

from ._decisions.held_memory import LIMIT_BYTES, holders_to_reset

log = logbook.Logger("callers_memory")

# Memory is checked after this growth, or once in a sweep.
UNCHECKED_LIMIT_BYTES = 2 * 1024 * 1024
# Whatever the limit of the memory, it has room for this many of the longest bodies.
LONGEST_BODIES_COUNT = 2


class ReceivedBytes:
    """Counts what a connection has received of requests that are not served yet."""

    def __init__(self):
        self._sizes = deque()  # ``[number of the request, bytes]``, in order.

    @property
    def total_bytes(self):
        """The size of all of it."""
        return sum(size_bytes for _, size_bytes in self._sizes)

    def add(self, number, size_bytes):
        """Add what belongs to the request ``number`` of the connection, or up to it."""
        if self._sizes and self._sizes[-1][0] == number:
            self._sizes[-1][1] += size_bytes
        else:
            self._sizes.append([number, size_bytes])

    def release(self, number):
        """Forget what belongs to requests up to ``number``, which are served."""
        while self._sizes and self._sizes[0][0] <= number:
            self._sizes.popleft()


class CallersMemory:
    """Bounds the memory that all callers of a process take together.

    Args:
        connections: Returns the open connections.
        limit_bytes: Returns the limit; the worst holders beyond it are reset.
        body_limit_bytes: Returns the longest body of a request.
        reset: Function that resets a connection.

    Attributes:
        reset_count: Connections that were reset so far.
    """

    def __init__(
        self,
        *,
        connections,
        limit_bytes=lambda: LIMIT_BYTES,
        body_limit_bytes=lambda: 0,
        reset,
    ):
        self._connections = connections
        self._limit_bytes = limit_bytes
        self._body_limit_bytes = body_limit_bytes
        self._reset = reset
        self._unchecked_bytes = 0
        self.reset_count = 0
        self._collected_count = 0

    @property
    def held_bytes(self):
        """The memory that all callers take by what they sent and have not read."""
        return sum(connection.held_bytes for connection in self._connections())

    def add_gauges(self, metrics):
        """Register the gauges of the callers' memory in the process's ``Metrics``."""
        metrics.gauge("callers_held_bytes", lambda: self.held_bytes)
        metrics.gauge("callers_reset_for_memory", lambda: self.reset_count)

    def record_growth(self, size_bytes):
        """Record that callers hold more memory than at the last check."""
        self._unchecked_bytes += size_bytes
        if self._unchecked_bytes > UNCHECKED_LIMIT_BYTES:
            self._unchecked_bytes = 0
            if self.held_bytes > self._effective_limit_bytes():
                self.limit()

    def sweep(self):
        """Update for how long each caller has held memory, and apply the limit."""
        self.limit()
        if self.reset_count > self._collected_count:
            self._collected_count = self.reset_count
            # Reset requests leave reference cycles. The collector counts objects and
            # not their bytes: by itself it would run much later.
            gc.collect()

    def limit(self):
        """Reset the worst holders while all callers together hold too much memory."""
        limit_bytes = self._effective_limit_bytes()
        holders = [connection.update_holder() for connection in self._connections()]
        for holder in holders_to_reset(holders, limit_bytes=limit_bytes):
            self._reset_holder(holder, limit_bytes)

    def _effective_limit_bytes(self):
        return max(self._limit_bytes(), LONGEST_BODIES_COUNT * self._body_limit_bytes())

    def _reset_holder(self, holder, limit_bytes):
        connection = holder.connection
        if connection.transport is None:
            return  # It is being closed.
        self.reset_count += 1
        log.warn(
            "callers hold too much memory, connection reset",
            extra={
                "caller": connection.caller_name,
                "held_bytes": holder.held_bytes,
                "held_ms": round(holder.held_ms),
                "limit_bytes": limit_bytes,
            },
        )
        self._reset(connection)
