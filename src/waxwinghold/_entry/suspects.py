"""Requests that were running when their targets crashed."""

from collections import OrderedDict
from dataclasses import dataclass, field

from .._messages import SuspectNotice

SUSPECT_LIFETIME_MS = 10 * 60 * 1000
CONDEMNED_LIFETIME_MS = 24 * 60 * 60 * 1000
SUSPECTS_LIMIT_COUNT = 10_000


@dataclass(kw_only=True)
class _Suspect:
    crashes: set = field(default_factory=set)
    condemned: bool = False
    seen_ms: float = 0.0


class SuspectRequests:
    """Records requests that may have crashed targets, by content digest.

    A request that was running when a target crashed becomes a suspect: it is
    retried at most once, and runs alone on its target. If that target crashes
    too, the request is condemned: it is rejected until its record expires. A
    request that ran beside others is not condemned for the crash.

    Args:
        limit_count: Suspects kept; the least recently seen are dropped first.
    """

    def __init__(self, *, clock, limit_count=SUSPECTS_LIMIT_COUNT):
        self._clock = clock
        self._limit_count = limit_count
        self._suspects = OrderedDict()

    def __len__(self):
        return len(self._suspects)

    def is_suspect(self, digest):
        """Return whether the request must run alone."""
        return self._find_valid(digest) is not None

    def is_condemned(self, digest):
        """Return whether the request is rejected without an attempt."""
        suspect = self._find_valid(digest)
        return suspect is not None and suspect.condemned

    def crashes_count(self, digest):
        """Return how many targets crashed while they ran the request."""
        suspect = self._find_valid(digest)
        return len(suspect.crashes) if suspect else 0

    def record_crash(self, digest, *, target, alone):
        """Record that ``target`` crashed; return the notice for other entries.

        Args:
            target: The target's name and its agent's incarnation.
            alone: Whether the target ran no other request.
        """
        suspect = self._suspects.setdefault(digest, _Suspect())
        suspect.crashes.add(target)
        suspect.condemned = suspect.condemned or alone
        self._mark_seen(digest, suspect)
        return self._notice(digest, suspect)

    def record_run(self, digest):
        """Clear a suspect that a target ran without a crash.

        Returns:
            The notice for other entries; ``None`` if nothing was cleared.
        """
        suspect = self._suspects.get(digest)
        if suspect is None or suspect.condemned:
            return None
        del self._suspects[digest]
        return SuspectNotice(digest=digest, crashes=(), cleared=True)

    def apply(self, notice):
        """Apply the notice of another entry; return whether it changed anything."""
        suspect = self._suspects.get(notice.digest)
        if notice.cleared:
            if suspect is None or suspect.condemned:
                return False
            del self._suspects[notice.digest]
            return True
        if suspect is None:
            suspect = self._suspects[notice.digest] = _Suspect()
        previous = (len(suspect.crashes), suspect.condemned)
        suspect.crashes.update(notice.crashes)
        suspect.condemned = suspect.condemned or notice.condemned
        self._mark_seen(notice.digest, suspect)
        return previous != (len(suspect.crashes), suspect.condemned)

    def notices(self):
        """Return the notices of all suspects, for a peer that has just connected."""
        return [
            self._notice(digest, suspect) for digest, suspect in self._suspects.items()
        ]

    def _find_valid(self, digest):
        suspect = self._suspects.get(digest)
        if suspect is None:
            return None
        lifetime_ms = (
            CONDEMNED_LIFETIME_MS if suspect.condemned else SUSPECT_LIFETIME_MS
        )
        if self._clock.now_ms() - suspect.seen_ms > lifetime_ms:
            del self._suspects[digest]
            return None
        return suspect

    def _mark_seen(self, digest, suspect):
        suspect.seen_ms = self._clock.now_ms()
        self._suspects.move_to_end(digest)
        while len(self._suspects) > self._limit_count:
            self._suspects.popitem(last=False)

    def _notice(self, digest, suspect):
        return SuspectNotice(
            digest=digest,
            crashes=tuple(sorted(suspect.crashes)),
            condemned=suspect.condemned,
        )
