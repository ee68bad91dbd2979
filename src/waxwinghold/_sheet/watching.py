"""The task that follows the platform's sheet with long polling."""

import logbook

from .._errors import SheetError
from .platform import ANSWER_LIMIT_MS, Backoff, PlatformError, fetch
from .reading import read_sheet

READER_CHECK_MS = 250

_log = logbook.Logger("waxwinghold.platform")


class PlatformWatch:
    """Follows the platform's sheet by long polling, one read at a time.

    Args:
        clock: The process's ``Clock``, used to sleep between reads.
        store: The ``SheetStore`` that new sheets are offered to.
        url: The platform's base URL.
        wait_ms: Longest time that the platform may wait for a new sheet before it
            answers a read. A silent connection is detected after this time plus
            ``ANSWER_LIMIT_MS``.
        session: The ``aiohttp.ClientSession`` used for reads.
        may_read: Returns whether this process may read from the platform now.

    Attributes:
        reads_count: Reads started.
        failures_count: Reads that failed or returned an unreadable sheet.
    """

    def __init__(self, *, clock, store, url, wait_ms, session, may_read=lambda: True):
        self._clock = clock
        self._store = store
        self._url = url.rstrip("/")
        self._wait_ms = wait_ms
        self._session = session
        self._may_read = may_read
        self._backoff = Backoff()
        # Version that the platform sent last, or None. A read names a version in
        # ``after``, and the platform waits up to ``wait_ms`` until it has another one.
        # Reads name the version that it sent last, since a stale platform would
        # answer at once to the version in force. If it is None, they name the version
        # in force, which need not be read again.
        self._seen_version = None
        self.reads_count = 0
        self.failures_count = 0

    async def run(self):
        """Watch until cancelled."""
        while True:
            if not self._may_read():
                self._seen_version = None
                await self._clock.sleep_ms(READER_CHECK_MS)
                continue
            try:
                await self._read_once()
                self._backoff.reset()
            except (PlatformError, SheetError) as error:
                self.failures_count += 1
                _log.warning("cannot read the sheet: {}", error)
                await self._clock.sleep_ms(self._backoff.next_ms())

    async def _read_once(self):
        after = self._seen_version
        if after is None:
            after = self._store.version
        self.reads_count += 1
        path = f"/sheet?after={after}&wait_ms={self._wait_ms}"
        document = await fetch(
            self._session, self._url + path, limit_ms=self._wait_ms + ANSWER_LIMIT_MS
        )
        if document is None:
            # The next read names the version in force, so that the platform sends a
            # rejected or stale sheet again: its content may have been corrected.
            self._seen_version = None
            return
        self._offer(document, after)

    def _offer(self, document, after):
        try:
            sheet = read_sheet(document, with_comments=False)
        except SheetError as error:
            self._store.reject(error, subject="unreadable sheet", source="platform")
            raise
        self._store.offer(sheet, "platform")
        if sheet.version == after:
            raise PlatformError(
                f"the answer to a read after version {after} has version {after}"
            )
        self._seen_version = sheet.version
