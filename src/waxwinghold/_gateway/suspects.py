"""Requests that may end the targets that run them."""

import hashlib
from collections import OrderedDict

LOSSES_LIMIT_COUNT = 3  # Two losses of one content can be bad luck in one outage.
MEMORY_MS = 30_000.0  # The request comes again within seconds; targets restart.
SUSPECTS_LIMIT_COUNT = 2000  # Entries of some 200 bytes each.


class SuspectRequests:
    """Counts, by content, the targets that were lost under a request.

    Three lost targets condemn a content for a while; one whole answer clears it.
    """

    def __init__(self):
        self._losses = OrderedDict()

    def record_loss(self, admitted, *, target_name, now_ms):
        """Take in that ``target`` was lost while it had the request."""
        key = content_digest(admitted)
        losses, _ = self._losses.get(key, (frozenset(), 0.0))
        self._losses[key] = (losses | {target_name}, now_ms)
        self._losses.move_to_end(key)
        while len(self._losses) > SUSPECTS_LIMIT_COUNT:
            self._losses.popitem(last=False)

    def record_answer(self, admitted):
        """Take in that the request was answered."""
        if self._losses:
            self._losses.pop(content_digest(admitted), None)

    def condemned(self, admitted, *, now_ms):
        """Return whether the content is not to be sent again for now."""
        if not self._losses:
            return False
        losses, seen_ms = self._losses.get(content_digest(admitted), ((), 0.0))
        return len(losses) >= LOSSES_LIMIT_COUNT and now_ms - seen_ms < MEMORY_MS


def content_digest(admitted):
    """Return a digest of method, path, customer and body of a request."""
    call = admitted.call
    digest = hashlib.blake2b(digest_size=12)
    for part in (call.method, call.path, admitted.customer_name):
        digest.update(part.encode())
        digest.update(b"\0")
    digest.update(call.body)
    return digest.digest()
