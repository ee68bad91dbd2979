"""Requests that were running as their targets crashed."""

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
    """Remembers, by content, requests that may have crashed targets.

    A request that ran as a target crashed is a suspect: it is retried at most
    once, alone on its target. If that target crashes too, the request is
    condemned. One that ran beside others is never condemned for it.

    Args:
        limit_count: Suspects remembered; the oldest go first.
    """

    def __init__(self, *, clock, limit_count=SUSPECTS_LIMIT_COUNT):
        self._clock = clock
        self._limit_count = limit_count
        self._suspects = OrderedDict()

    def __len__(self):
        return len(self._suspects)

    def is_suspect(self, digest):
        """Return whether the content must run alone."""
        return self._find(digest) is not None

    def is_condemned(self, digest):
        """Return whether the content is refused for good."""
        suspect = self._find(digest)
        return suspect is not None and suspect.condemned

    def crashes_count(self, digest):
        """Return how many targets crashed under the content."""
        suspect = self._find(digest)
        return len(suspect.crashes) if suspect else 0

    def record_crash(self, digest, *, target, alone):
        """Take in that ``target`` crashed; return the notice for other entries.

        Args:
            target: Names the target and its agent's incarnation.
            alone: Whether nothing else ran on the target.
        """
        suspect = self._suspects.setdefault(digest, _Suspect())
        suspect.crashes.add(target)
        suspect.condemned = suspect.condemned or alone
        self._touch(digest, suspect)
        return self._notice(digest, suspect)

    def record_success(self, digest):
        """Clear a suspect that ran to its end; return the notice, or ``None``."""
        suspect = self._suspects.get(digest)
        if suspect is None or suspect.condemned:
            return None
        del self._suspects[digest]
        return SuspectNotice(digest=digest, crashes=(), cleared=True)

    def apply(self, notice):
        """Take in what another entry knows; return whether it was news."""
        suspect = self._suspects.get(notice.digest)
        if notice.cleared:
            if suspect is None or suspect.condemned:
                return False
            del self._suspects[notice.digest]
            return True
        if suspect is None:
            suspect = self._suspects[notice.digest] = _Suspect()
        before = (len(suspect.crashes), suspect.condemned)
        suspect.crashes.update(notice.crashes)
        suspect.condemned = suspect.condemned or notice.condemned
        self._touch(notice.digest, suspect)
        return before != (len(suspect.crashes), suspect.condemned)

    def notices(self):
        """Return all that a peer which just connected should know."""
        return [
            self._notice(digest, suspect) for digest, suspect in self._suspects.items()
        ]

    def _find(self, digest):
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

    def _touch(self, digest, suspect):
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
