"""Detects requests that may crash the targets that run them."""

import hashlib
from collections import OrderedDict

LOSSES_LIMIT_COUNT = 3  # A single outage can cause two losses by chance.
MEMORY_MS = 30_000.0  # Callers retry, and lost targets restart, within seconds.
SUSPECTS_LIMIT_COUNT = 2000  # Entries of about 200 bytes each.


class SuspectRequests:
    """Counts the targets that were lost while they ran requests of the same content.

    After ``LOSSES_LIMIT_COUNT`` lost targets, requests of that content are blocked
    for ``MEMORY_MS``. One complete answer resets the count.
    """

    def __init__(self):
        self._losses = OrderedDict()

    def record_loss(self, admitted, *, target_name, now_ms):
        """Record that the connection to a target was lost while it had the request."""
        key = content_digest(admitted)
        losses, _ = self._losses.get(key, (frozenset(), 0.0))
        self._losses[key] = (losses | {target_name}, now_ms)
        self._losses.move_to_end(key)
        while len(self._losses) > SUSPECTS_LIMIT_COUNT:
            self._losses.popitem(last=False)

    def record_answer(self, admitted):
        """Record that the request was answered."""
        if self._losses:
            self._losses.pop(content_digest(admitted), None)

    def is_blocked(self, admitted, *, now_ms):
        """Return whether requests of this content must not be sent at present."""
        if not self._losses:
            return False
        losses, last_loss_ms = self._losses.get(content_digest(admitted), ((), 0.0))
        return len(losses) >= LOSSES_LIMIT_COUNT and now_ms - last_loss_ms < MEMORY_MS


def content_digest(admitted):
    """Return a digest of the method, path, customer and body of a request."""
    call = admitted.call
    digest = hashlib.blake2b(digest_size=12)
    for part in (call.method, call.path, admitted.customer_name):
        digest.update(part.encode())
        digest.update(b"\0")
    digest.update(call.body)
    return digest.digest()
