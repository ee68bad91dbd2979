"""The audit trail: what a process changed, from what to what, why, by whom."""

import collections
import dataclasses
from dataclasses import dataclass

import logbook
import msgspec

DOCUMENT_LIMIT_BYTES = 2 * 1024 * 1024

_log = logbook.Logger("waxwinghold.audit")


@dataclass(frozen=True, kw_only=True)
class AuditEntry:
    """One change, or one change that was refused.

    Args:
        wall_ms: Wall time of the change.
        process: The process that made or refused it.
        what: The kind of change, such as ``sheet.accepted``.
        subject: What was changed.
        before: The value before, as text.
        after: The value after, as text.
        reason: Why, in one sentence.
        by: Who ordered it: an operator, a peer or the platform.
    """

    wall_ms: int
    process: str
    what: str
    subject: str
    before: str = ""
    after: str = ""
    reason: str = ""
    by: str = ""


class AuditTrail:
    """A bounded list of audit entries, the oldest dropped first.

    Args:
        clock: Gives the entries their wall time.
        limit_count: Entries kept.
        process: The name of the process that keeps the trail.
    """

    def __init__(self, *, clock, limit_count, process):
        self._clock = clock
        self._process = process
        self._entries = collections.deque(maxlen=limit_count)

    def __len__(self):
        return len(self._entries)

    def record(self, *, what, subject, before="", after="", reason="", by=""):
        """Keep, log and return a new entry."""
        entry = AuditEntry(
            wall_ms=self._clock.wall_ms(),
            process=self._process,
            what=what,
            subject=subject,
            before=before,
            after=after,
            reason=reason,
            by=by,
        )
        self._entries.append(entry)
        _log.info("{} {}", what, subject, extra=dataclasses.asdict(entry))
        return entry

    def since(self, wall_ms):
        """Return the entries made at ``wall_ms`` or later, oldest first."""
        return tuple(entry for entry in self._entries if entry.wall_ms >= wall_ms)

    def document_since(self, wall_ms, *, limit_bytes=DOCUMENT_LIMIT_BYTES):
        """Return the entries made at ``wall_ms`` or later as JSON, oldest first.

        Args:
            limit_bytes: The document's bound; the newest entries that fit are
                kept, as a reply that is larger than a frame never arrives.
        """
        kept = collections.deque()
        size_bytes = len(b"[]")
        for entry in reversed(self.since(wall_ms)):
            row = msgspec.json.encode(entry)
            size_bytes += len(row) + len(b",")
            if size_bytes > limit_bytes:
                break
            kept.appendleft(row)
        return b"[" + b",".join(kept) + b"]"
