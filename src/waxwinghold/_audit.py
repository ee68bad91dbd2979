"""The audit trail: a record of each change with old and new value and reason."""

import collections
import dataclasses
from dataclasses import dataclass

import logbook
import msgspec

DOCUMENT_LIMIT_BYTES = 2 * 1024 * 1024

_log = logbook.Logger("waxwinghold.audit")


@dataclass(frozen=True, kw_only=True)
class AuditEntry:
    """One change, made or rejected.

    Args:
        wall_ms: Wall time of the change.
        process: The process that made or rejected the change.
        what: The kind of change, such as ``sheet.accepted``.
        subject: The thing that was changed.
        before: The value before the change, as text.
        after: The value after the change, as text.
        reason: The reason in one sentence.
        by: Who ordered the change: an operator, a peer or the platform.
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
    """A bounded list of audit entries that drops the oldest first.

    Args:
        clock: The process's ``Clock``, used for the entries' wall time.
        limit_count: Number of entries kept.
        process: The name of the process.
    """

    def __init__(self, *, clock, limit_count, process):
        self._clock = clock
        self._process = process
        self._entries = collections.deque(maxlen=limit_count)

    def __len__(self):
        return len(self._entries)

    def record(self, *, what, subject, before="", after="", reason="", by=""):
        """Store, log and return a new entry; see ``AuditEntry`` for the fields."""
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
        """Return the entries recorded at ``wall_ms`` or later, oldest first."""
        return tuple(entry for entry in self._entries if entry.wall_ms >= wall_ms)

    def document_since(self, wall_ms, *, limit_bytes=DOCUMENT_LIMIT_BYTES):
        """Return the entries recorded at ``wall_ms`` or later as JSON, oldest first.

        Args:
            wall_ms: Wall time of the oldest entry to include.
            limit_bytes: Size limit of the document. The oldest entries are left
                out if needed, because a reply larger than a frame is not delivered.
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
