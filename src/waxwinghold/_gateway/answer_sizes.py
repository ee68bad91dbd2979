"""Limits of the size of answers, and the memory that their bodies take."""

KIB = 1024
MIB = 1024 * KIB
HEAD_LIMIT_BYTES = 64 * KIB  # Also of a trailer and of the framing between two chunks.
HEAD_FIELDS_LIMIT_COUNT = 256
# Several times a page of the store that holds one value of 1 MiB in base64.
BODY_LIMIT_BYTES = 16 * MIB
# Hosts have 160 MB or more, and a body is copied once when it is complete.
BODIES_LIMIT_BYTES = 48 * MIB
SKIPPED_LIMIT_BYTES = 1 * MIB
SKIPPED_ANSWERS_LIMIT_COUNT = 4


class AnswerSizes:
    """Bounds the memory of all whole bodies that a process receives at once.

    One body may be long, but not many at once: the longest one is ended first.

    Args:
        limit_bytes: Limit of all bodies together.

    Attributes:
        overlong_count: Number of connections that were reset for a too long answer.
    """

    def __init__(self, *, limit_bytes=BODIES_LIMIT_BYTES):
        self._limit_bytes = limit_bytes
        self._sizes_bytes = {}
        self._total_bytes = 0
        self.overlong_count = 0

    @property
    def total_bytes(self):
        """Return the size of all whole bodies that are being received."""
        return self._total_bytes

    def record(self, connection, size_bytes):
        """Record how much of a body ``connection`` has received."""
        self._total_bytes += size_bytes - self._sizes_bytes.get(connection, 0)
        self._sizes_bytes[connection] = size_bytes
        if self._total_bytes > self._limit_bytes:
            longest = max(self._sizes_bytes, key=self._sizes_bytes.get)
            longest.end_for_memory(self._limit_bytes)

    def release(self, connection):
        """Forget the body that ``connection`` was receiving."""
        self._total_bytes -= self._sizes_bytes.pop(connection, 0)


# The memory limit of a host applies to the whole process.
answer_sizes = AnswerSizes()
