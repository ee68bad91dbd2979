"""Watching the platform's sheet."""

import logbook

from .._errors import SheetError
from .platform import ANSWER_LIMIT_MS, Backoff, PlatformError, fetch
from .reading import read_sheet

READER_CHECK_MS = 250

_log = logbook.Logger("waxwinghold.platform")


class PlatformWatch:
    """Reads the platform's sheet as it changes; one read waits at a time.

    Args:
        clock: Sleeps between reads.
        store: The ``SheetStore`` that the sheets are offered to.
        url: The platform's base URL.
        wait_ms: How long the platform may hold a read. A connection that went
            silent is found out this much and ``ANSWER_LIMIT_MS`` later.
        session: The ``aiohttp.ClientSession`` to read with.
        may_read: Returns whether this process reads from the platform now.
    """

    def __init__(self, *, clock, store, url, wait_ms, session, may_read=lambda: True):
        self._clock = clock
        self._store = store
        self._url = url.rstrip("/")
        self._wait_ms = wait_ms
        self._session = session
        self._may_read = may_read
        self._backoff = Backoff()
        # What the platform showed last, which may be less than what is in force:
        # asking after that version keeps a stale platform from answering at once.
        # Without a last read, what is in force need not be read again.
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
                _log.warning("sheet not read: {}", error)
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
            # Read a refused or stale sheet again: it may have been mended.
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
            raise PlatformError(f"sheet {after} was sent to a read after {after}")
        self._seen_version = sheet.version
