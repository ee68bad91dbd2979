"""The sheet that is in force in a process."""

import collections
from dataclasses import dataclass, replace

from .._errors import SheetConflictError, SheetError
from .checking import check_sheet
from .listeners import Listeners
from .model import Sheet
from .reading import read_sheet, sheet_digest
from .tables import ROW_TYPES, rows_by_name, same_row

HISTORY_LIMIT_COUNT = 16
REFUSALS_LIMIT_COUNT = 64


@dataclass(frozen=True, kw_only=True)
class StoredSheet:
    """A sheet that is or was in force, and its digest."""

    sheet: Sheet
    digest: str


class SheetStore:
    """Holds the sheet in force; only a valid sheet of a higher version replaces it.

    Args:
        clock: Tells when a sheet came into force.
        audit: The trail that hears of accepted and refused sheets.
        history_limit_count: Versions kept as bases for deltas.
    """

    def __init__(self, *, clock, audit, history_limit_count=HISTORY_LIMIT_COUNT):
        self._clock = clock
        self._audit = audit
        self._history = collections.deque(maxlen=history_limit_count)
        self._listeners = Listeners()
        self._refusals = collections.deque(maxlen=REFUSALS_LIMIT_COUNT)
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
        """Return the kept sheet of this version and digest, or ``None``."""
        for item in self._history:
            if item.sheet.version == version and item.digest == digest:
                return item.sheet
        return None

    def listen(self, listener):
        """Call ``listener(old, new)`` at each change; ``old`` may be ``None``."""
        self._listeners.add(listener)

    def offer_document(self, document, source):
        """Offer the sheet that ``document``, plain JSON, holds.

        Returns:
            Whether it came into force.
        """
        try:
            sheet = read_sheet(document, with_comments=False)
        except SheetError as error:
            self.reject(error, subject="unreadable sheet", source=source)
            return False
        return self.offer(sheet, source)

    def offer(self, sheet, source):
        """Put ``sheet`` into force if it is valid and of a higher version.

        Args:
            source: Where it came from, for the audit trail.

        Returns:
            Whether it came into force. What was refused and why is in the
            audit trail and in ``last_error``.
        """
        if sheet.version < self.version:
            return False
        if self.current is not None:
            sheet = _sharing_rows(self.current, sheet)
        try:
            digest = sheet_digest(sheet)
            if sheet.version == self.version:
                self._check_same(sheet.version, digest)
                return False
            check_sheet(sheet, valid=self.current)
        except (SheetConflictError, SheetError) as error:
            self.reject(error, subject=f"version {sheet.version}", source=source)
            return False
        self._accept(StoredSheet(sheet=sheet, digest=digest), source)
        return True

    def record_conflict(self, *, version, digest, source):
        """Report a peer that holds another sheet under the version in force."""
        try:
            if version == self.version:
                self._check_same(version, digest)
        except SheetConflictError as error:
            subject = f"version {version}, digest {digest}"
            self.reject(error, subject=subject, source=source)

    def reject(self, error, *, subject, source):
        """Record a refused sheet, once for each cause in a row of repeats."""
        self.last_error = error
        cause = (subject, str(error))
        if cause in self._refusals:
            return
        self._refusals.append(cause)
        self._audit.record(
            what=f"{error.code}.refused",
            subject=subject,
            before=self._label(),
            after=self._label(),
            reason=str(error),
            by=source,
        )

    def _check_same(self, version, digest):
        if digest != self.digest:
            raise SheetConflictError(version=version)

    def _accept(self, held, source):
        old = self.current
        before = self._label()
        self._history.append(held)
        self.since_ms = self._clock.wall_ms()
        self.last_error = None
        self._audit.record(
            what="sheet.accepted",
            subject="sheet",
            before=before,
            after=self._label(),
            reason=f"a higher version, issued by {held.sheet.issued_by}",
            by=source,
        )
        self._listeners.call(old, held.sheet)

    def _label(self):
        return f"{self.version}/{self.digest}" if self._history else ""


def _sharing_rows(old, new):
    """Return ``new`` with the row objects of ``old`` where they are equal.

    Without it each kept version holds all of its rows again, and the digests of
    all rows are worked out again.
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
