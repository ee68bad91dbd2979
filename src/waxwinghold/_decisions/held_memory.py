"""Decides which callers' connections are reset when all of them hold too much memory.

It handles callers that send requests ahead, stop in the middle of a body or read long
answers slowly. Each stays within the limits of one request, but many of them together
do not fit into the memory of a host. ``tests.test_decisions_held_memory`` replays it.
"""

from dataclasses import dataclass

MIB = 1024 * 1024
# Of all callers together; the smallest hosts have 200 MB.
LIMIT_BYTES = 32 * MIB
# Of all callers; an idle connection takes about 15 KB.
CONNECTIONS_LIMIT_COUNT = 4096
# Whoever holds no more than this waits for no one; such callers are reset last.
SMALL_BYTES = 16 * 1024
SHORTEST_HOLD_MS = 1000.0  # About the time in which a sound caller takes its answer.


@dataclass(frozen=True, kw_only=True)
class Holder:
    """A connection that holds memory.

    Args:
        connection: The connection.
        held_bytes: What it holds now.
        held_ms: For how long it has held more than ``SMALL_BYTES``, in milliseconds.
    """

    connection: object
    held_bytes: int
    held_ms: float

    @property
    def cost(self):
        """How much the others lose by it: memory times time."""
        return self.held_bytes * (SHORTEST_HOLD_MS + self.held_ms)


def holders_to_reset(holders, *, limit_bytes):
    """Return the holders to reset so that the others stay within the limit.

    A single one is never reset: the limits of one request bound it.

    Args:
        holders: A ``Holder`` for each connection that holds anything.
        limit_bytes: Limit of all of them together.

    Returns:
        The worst holders, those with the highest cost first.
    """
    total_bytes = sum(holder.held_bytes for holder in holders)
    chosen = []
    for holder in sorted(holders, key=lambda holder: holder.cost, reverse=True):
        if total_bytes <= limit_bytes or len(chosen) + 1 >= len(holders):
            break
        chosen.append(holder)
        total_bytes -= holder.held_bytes
    return chosen
