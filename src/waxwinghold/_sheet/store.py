"""Storage of the sheet that is in force in a process."""

import collections
from dataclasses import dataclass, replace

from .._errors import SheetConflictError, SheetError
from .checking import check_sheet
from .listeners import Listeners
from .model import Sheet
from .reading import read_sheet, sheet_digest
from .tables import ROW_TYPES, rows_by_name, same_row

HISTORY_LIMIT_COUNT = 16
REJECTIONS_LIMIT_COUNT = 64


@dataclass(frozen=True, kw_only=True)
class StoredSheet:
    """A sheet that is or was in force, and its digest."""

    sheet: Sheet
    digest: str


class SheetStore:
    """Stores the sheet in force and replaces it by valid sheets of higher versions.

    Args:
        clock: The process's ``Clock``, used for the time of acceptance.
        audit: The ``AuditTrail`` that records accepted and rejected sheets.
        history_limit_count: Number of versions kept as bases for deltas.

    Attributes:
        since_ms: Wall time when the current sheet came into force, or ``None``.
        last_error: The error of the last rejected sheet; ``None`` after a sheet
            was accepted.
    """

    def __init__(self, *, clock, audit, history_limit_count=HISTORY_LIMIT_COUNT):
        self._clock = clock
        self._audit = audit
        self._history = collections.deque(maxlen=history_limit_count)
        self._listeners = Listeners()
        self._rejections = collections.deque(maxlen=REJECTIONS_LIMIT_COUNT)
        self.since_ms = None
        self.last_error = None

    @property
    def current(self):
        """The sheet in force, or ``None``."""
        return self._history[-1].sheet if self._history else None

    @property
    def digest(self):
        """The digest of the sheet in force, or an empty string."""
        return self._history[-1].digest if self._history else ""

    @property
    def version(self):
        """The version of the sheet in force, or 0."""
        return self._history[-1].sheet.version if self._history else 0

    def find(self, *, version, digest):
        """Return the stored sheet with this version and digest, or ``None``."""
        for stored in self._history:
            if stored.sheet.version == version and stored.digest == digest:
                return stored.sheet
        return None

    def listen(self, listener):
        """Call ``listener(old, new)`` after each change; ``old`` may be ``None``."""
        self._listeners.add(listener)

    def offer_document(self, document, source):
        """Parse a sheet and put it into force if it is valid and newer.

        Args:
            document: The sheet as JSON without comments.
            source: Where the sheet came from, for the audit trail.

        Returns:
            Whether the sheet came into force.
        """
        try:
            sheet = read_sheet(document, with_comments=False)
        except SheetError as error:
            self.reject(error, subject="unreadable sheet", source=source)
            return False
        return self.offer(sheet, source)

    def offer(self, sheet, source):
        """Put ``sheet`` into force if it is valid and has a higher version.

        A sheet that is invalid, or that differs from the sheet in force but has
        the same version, is rejected: the reason is recorded in the audit trail
        and in ``last_error``. Other sheets without a higher version are ignored.

        Args:
            sheet: The new sheet.
            source: Where the sheet came from, for the audit trail.

        Returns:
            Whether the sheet came into force.
        """
        if sheet.version < self.version:
            return False
        if self.current is not None:
            sheet = _share_equal_rows(self.current, sheet)
        try:
            digest = sheet_digest(sheet)
            if sheet.version == self.version:
                self._check_digest(sheet.version, digest)
                return False
            check_sheet(sheet, valid=self.current)
        except (SheetConflictError, SheetError) as error:
            self.reject(error, subject=f"version {sheet.version}", source=source)
            return False
        self._accept(StoredSheet(sheet=sheet, digest=digest), source)
        return True

    def record_conflict(self, *, version, digest, source):
        """Record a peer whose sheet has the version in force but other content.

        Args:
            version: The version of the peer's sheet.
            digest: The digest of the peer's sheet.
            source: The peer's name, for the audit trail.
        """
        try:
            if version == self.version:
                self._check_digest(version, digest)
        except SheetConflictError as error:
            subject = f"version {version}, digest {digest}"
            self.reject(error, subject=subject, source=source)

    def reject(self, error, *, subject, source):
        """Record a rejected sheet; repeats of a recent cause are not audited again.

        Args:
            error: The ``SheetError`` or ``SheetConflictError``.
            subject: What was rejected, for the audit trail.
            source: Where the sheet came from, for the audit trail.
        """
        self.last_error = error
        cause = (subject, str(error))
        if cause in self._rejections:
            return
        self._rejections.append(cause)
        self._audit.record(
            what=f"{error.code}.refused",
            subject=subject,
            before=self._label(),
            after=self._label(),
            reason=str(error),
            by=source,
        )

    def _check_digest(self, version, digest):
        if digest != self.digest:
            raise SheetConflictError(version=version)

    def _accept(self, stored, source):
        old = self.current
        before = self._label()
        self._history.append(stored)
        self.since_ms = self._clock.wall_ms()
        self.last_error = None
        self._audit.record(
            what="sheet.accepted",
            subject="sheet",
            before=before,
            after=self._label(),
            reason=f"a higher version, issued by {stored.sheet.issued_by}",
            by=source,
        )
        self._listeners.call(old, stored.sheet)

    def _label(self):
        return f"{self.version}/{self.digest}" if self._history else ""


def _share_equal_rows(old, new):
    """Return ``new`` with its rows replaced by equal row objects of ``old``.

    Otherwise each stored version would keep its own copy of every row, and the
    digest of every row would be computed again.
    """
    shared = {}
    for table in ROW_TYPES:
        before = rows_by_name(old, table)
        rows = getattr(new, table)
        shared[table] = tuple(
            before[row.name] if same_row(before.get(row.name), row) else row
            for row in rows
        )
    return replace(new, **shared)
