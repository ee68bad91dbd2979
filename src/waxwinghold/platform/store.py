"""The one client for the platform's store: range pages, watch, and its troubles."""

import base64
import binascii
import random
import urllib.parse

import logbook
import msgspec

from .._errors import WaxwingError
from .._gateway.client import KeepAliveClient
from .._gateway.errors import SendError
from .._gateway.readers import UnreadableChangesError
from .entries import read_configuration, read_target

log = logbook.Logger("store")

CONFIGURATION_KEY = "op/config"
TARGETS_PREFIX = "servers/"
OK = 200
HISTORY_GONE = 410
ANSWER_LIMIT_MS = 1500.0  # A slow store takes some 50 times its usual 4 ms.
RETRY_BASE_MS = 150.0
RETRY_LIMIT_MS = 800.0  # Recovers well within the bounds of configuration.


class StoreError(WaxwingError):
    """A call to the store that did not succeed.

    Args:
        status: The store's answer; ``None`` without one.
    """

    code = "store"

    def __init__(self, *, status, reason):
        super().__init__(f"the store answered {status}: {reason}")
        self.status = status


class _Item(msgspec.Struct, rename="kebab"):
    key: str
    value: str | None = None
    revision: int = 0
    deleted: bool = False


class _Page(msgspec.Struct, rename="kebab"):
    items: list[_Item]
    at: int
    more_pages: bool = False


class _Events(msgspec.Struct, rename="kebab"):
    events: list[_Item]
    at: int


_page_decoder = msgspec.json.Decoder(_Page)
_events_decoder = msgspec.json.Decoder(_Events)


async def read_store(client, path, *, limit_ms, **query):
    """Return the body of a successful reading call.

    Args:
        client: The ``KeepAliveClient`` of the store.

    Raises:
        StoreError: The store refused, or gave no answer in time.
    """
    target = f"{path}?{urllib.parse.urlencode(query)}"
    try:
        status, body = await client.call("GET", target, limit_ms=limit_ms)
    except SendError as error:
        raise StoreError(status=None, reason=repr(error)) from error
    if status != OK:
        raise StoreError(status=status, reason=body[:100].decode("latin-1"))
    return body


async def read_range(client, prefix, **query):
    """Return all items below ``prefix`` and the revision of the first page.

    Raises:
        StoreError: A page could not be read.
    """
    items, after, first_at = [], None, None
    while True:
        page_query = {"prefix": prefix, **query}
        if after is not None:
            page_query["after"] = after
        body = await read_store(
            client, "/v1/kv-range", limit_ms=ANSWER_LIMIT_MS, **page_query
        )
        page = _page_decoder.decode(body)
        items.extend(page.items)
        first_at = page.at if first_at is None else first_at
        if not page.more_pages or not page.items:
            return items, first_at
        after = page.items[-1].key


class StoreWatcher:
    """Keeps ``PublishedState`` up to date with the store.

    Args:
        published: Takes configurations, targets and the age of both.
        readers: The ``StoreReaders`` that say when the store is to be asked.
        address: ``(ip, port)`` of the store.
        rng: Source of the jitter between tries.
    """

    def __init__(self, *, clock, published, readers, address, rng=None):
        self._clock = clock
        self._published = published
        self._readers = readers
        readers.apply_changes = self.apply_changes
        self._client = KeepAliveClient(address=address)
        self._rng = rng or random.Random()
        self._targets = {}
        self._at = None
        self._failures_count = 0

    async def run(self):
        """Read and watch until cancelled."""
        while True:
            wait_ms = 0.0 if self._at is None else await self._readers.wait_until_due()
            asked_ms = self._clock.now_ms()
            try:
                if self._at is None:
                    await self._read_all()
                else:
                    await self._watch(self._at, wait_ms)
            except (StoreError, msgspec.MsgspecError) as error:
                self._published.record_failure(error)
                await self._pause(error)
                continue
            self._failures_count = 0
            self._published.record_answer(asked_ms=asked_ms)

    def apply_changes(self, answer):
        """Take in a watch's answer that another gateway passed on.

        Raises:
            UnreadableChangesError: It is no such answer.
        """
        try:
            found = _events_decoder.decode(answer)
        except msgspec.MsgspecError as error:
            raise UnreadableChangesError(f"changes passed on: {error}") from error
        self._take_events(found)

    async def _read_all(self):
        """Read configuration and targets from the start."""
        config, at = await read_range(self._client, CONFIGURATION_KEY)
        entries, _ = await read_range(self._client, TARGETS_PREFIX)
        self._targets = {}
        for item in entries:
            self._take_target(item)
        for item in config:
            self._take_configuration(item)
        self._published.record_answer(asked_ms=self._published.asked_ms)
        self._published.apply_targets(self._targets.values())
        # Changes since the first page come again with the watch.
        self._at = at
        self._readers.record_read(at)

    async def _watch(self, after, wait_ms):
        query = {"prefix": "", "after": after, "wait-ms": int(wait_ms)}
        try:
            limit_ms = wait_ms + ANSWER_LIMIT_MS
            body = await read_store(
                self._client, "/v1/kv-watch", limit_ms=limit_ms, **query
            )
        except StoreError as error:
            if error.status == HISTORY_GONE:
                log.info("history of the store is gone", extra={"at": self._at})
                self._at = None
                self._readers.reset()
            raise
        found = _events_decoder.decode(body)
        if after < self._at and found.at <= self._at:
            return  # Another gateway passed on as much meanwhile, or more.
        self._take_events(found)
        self._readers.record_read(self._at, after=after, answer=body)

    def _take_events(self, found):
        changed = False
        for item in found.events:
            if item.key == CONFIGURATION_KEY:
                self._take_configuration(item)
            elif item.key.startswith(TARGETS_PREFIX):
                self._take_target(item)
                changed = True
        self._at = max(self._at, found.at)
        if changed:
            self._published.apply_targets(self._targets.values())

    def _take_configuration(self, item):
        data = _value(item)
        if item.key != CONFIGURATION_KEY or data is None:
            return
        configuration = read_configuration(data)
        if configuration is not None:
            self._published.apply_configuration(configuration)

    def _take_target(self, item):
        name = item.key.removeprefix(TARGETS_PREFIX)
        data = _value(item)
        target = read_target(name, data) if data is not None else None
        if target is None:
            self._targets.pop(name, None)
        else:
            self._targets[name] = target

    async def _pause(self, error):
        if getattr(error, "status", None) == HISTORY_GONE:
            return
        self._failures_count += 1
        limit_ms = min(
            RETRY_LIMIT_MS, RETRY_BASE_MS * 2 ** min(4, self._failures_count)
        )
        await self._clock.sleep_ms(self._rng.uniform(RETRY_BASE_MS, limit_ms))


def _value(item):
    """Return the bytes of an item, or ``None`` if it is gone or unreadable."""
    if item.deleted or item.value is None:
        return None
    try:
        return base64.b64decode(item.value, validate=True)
    except (binascii.Error, ValueError) as error:
        log.warn("value set aside", extra={"key": item.key, "reason": str(error)})
        return None
