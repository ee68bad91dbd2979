"""Client of the platform's store: range reads in pages, and the watch."""

import base64
import binascii
import random
import urllib.parse
from dataclasses import dataclass
from typing import Annotated

import logbook
import msgspec

from .._errors import WaxwingError
from .._gateway.answer_sizes import BODY_LIMIT_BYTES
from .._gateway.client import KeepAliveClient
from .._gateway.errors import BodyTooLongError, SendError
from .._gateway.notices import Count
from .._gateway.readers import UnreadableChangesError
from .entries import UNREADABLE_ERRORS, read_configuration, read_target
from .evacuation_keys import EvacuationKeys

log = logbook.Logger("store")

# What the operator writes: the configuration and the evacuations.
OPERATOR_PREFIX = "op/"
CONFIGURATION_KEY = "op/config"
TARGETS_PREFIX = "servers/"
ERA = b"store-era"
# Revisions are given out again in a later era; the position of a copy orders them all.
REVISIONS_PER_ERA_COUNT = 2**44
ERA_DIGITS_LIMIT_COUNT = 5
# Eras rise by one. After a mistaken high one, all later answers would count as old.
ERA_JUMP_LIMIT_COUNT = 1000
OK = 200
HISTORY_GONE = 410
ANSWER_LIMIT_MS = 1500.0  # A slow store takes about 50 times its usual 4 ms.
# A longer answer to a watch is not read: it holds every version of a value, which takes
# longer than its time limit over a narrow link. The items hold one version.
CHANGES_LIMIT_BYTES = 1_750_000  # One second over 14 Mbit/s.
CONFIGURATION_RATIO = 2.0  # Of the limit to the last configuration, at least.
RANGE_LIMIT_BYTES = 32 * 1024 * 1024  # About 30 pages of the usual 1 MB.
RANGE_PAGES_LIMIT_COUNT = 1000
RETRY_BASE_MS = 150.0
RETRY_LIMIT_MS = 800.0  # Far below the time in which a change must take effect.


class StoreError(WaxwingError):
    """A call to the store failed.

    Args:
        status: HTTP status of the answer; ``None`` if there was no answer.
        reason: Text for the error message.
    """

    code = "store"

    def __init__(self, *, status, reason):
        super().__init__(f"the store answered {status}: {reason}")
        self.status = status


class MalformedEraError(StoreError):
    """An answer's era is not valid, so that its place among others is unknown."""


class _NewEraError(StoreError):
    """The store answered in a later era.

    Args:
        era: That era.
    """

    def __init__(self, *, era):
        super().__init__(status=None, reason=f"era {era} began")
        self.era = era


class _Item(msgspec.Struct, rename="kebab"):
    key: str
    value: str | None = None
    revision: int = 0
    deleted: bool = False


_Revision = Annotated[int, msgspec.Meta(ge=0, lt=REVISIONS_PER_ERA_COUNT)]


class _Page(msgspec.Struct, rename="kebab"):
    items: list[_Item]
    at: _Revision
    more_pages: bool = False


class _Events(msgspec.Struct, rename="kebab"):
    events: list[_Item]
    at: _Revision


class _PackedItem(_Item, array_like=True):
    """An item whose value is not in base64, so that it compresses well."""

    value: bytes | None = None


class _PackedEvents(msgspec.Struct, array_like=True):
    events: list[_PackedItem]
    at: _Revision


class _Version(msgspec.Struct):
    version: Count


# Begins answers that ``StoreWatcher.pack_changes`` returned; JSON never begins so.
PACKED = b"\0"
_page_decoder = msgspec.json.Decoder(_Page)
_events_decoder = msgspec.json.Decoder(_Events)
_packed_decoder = msgspec.msgpack.Decoder(_PackedEvents)
_packed_encoder = msgspec.msgpack.Encoder()
_version_decoder = msgspec.json.Decoder(_Version)


@dataclass(frozen=True, kw_only=True)
class StoreAnswer:
    """The answer to a read call.

    Args:
        body: The body, as bytes.
        era: How often the store had come back from a copy; 0 if it does not say.
    """

    body: bytes
    era: int


async def read_store(client, path, *, limit_ms, **query):
    """Send a read call to the store and return the body of the answer.

    Raises:
        StoreError: The answer was an error, or none came in time.
    """
    answer = await ask_store(client, path, limit_ms=limit_ms, **query)
    return answer.body


async def ask_store(
    client, path, *, limit_ms, body_limit_bytes=BODY_LIMIT_BYTES, **query
):
    """Send a read call to the store and return the ``StoreAnswer``.

    Args:
        client: The ``KeepAliveClient`` of the store.
        path: Path of the call.
        limit_ms: Time limit of the call.
        body_limit_bytes: Longest body of the answer.
        query: Parameters of the query string.

    Raises:
        StoreError: The answer was an error, or none came in time.
    """
    path_and_query = f"{path}?{urllib.parse.urlencode(query)}"
    try:
        head, body = await client.exchange(
            "GET",
            path_and_query,
            limit_ms=limit_ms,
            body_limit_bytes=body_limit_bytes,
        )
    except SendError as error:
        raise StoreError(status=None, reason=repr(error)) from error
    if head.status != OK:
        raise StoreError(status=head.status, reason=body[:100].decode("latin-1"))
    return StoreAnswer(body=body, era=read_era(head))


async def read_range(client, prefix, **query):
    """Read all items whose keys begin with ``prefix``, page by page.

    Returns:
        The items, the store's revision of the first page, and the era of all pages.

    Raises:
        StoreError: A page could not be read, an era began between two pages, or the
            pages do not end.
    """
    items, after, first_revision, era = [], None, None, None
    size_bytes = 0
    for _ in range(RANGE_PAGES_LIMIT_COUNT):
        page_query = {"prefix": prefix, **query}
        if after is not None:
            page_query["after"] = after
        answer = await ask_store(
            client, "/v1/kv-range", limit_ms=ANSWER_LIMIT_MS, **page_query
        )
        size_bytes += len(answer.body)
        if size_bytes > RANGE_LIMIT_BYTES:
            break
        page = _page_decoder.decode(answer.body)
        era = answer.era if era is None else era
        if answer.era != era:
            raise StoreError(status=None, reason="an era began between two pages")
        items.extend(page.items)
        first_revision = page.at if first_revision is None else first_revision
        if not page.more_pages or not page.items:
            return items, first_revision, era
        after = page.items[-1].key
    reason = (
        f'pages of "{prefix}" exceed {RANGE_LIMIT_BYTES} bytes or '
        f"{RANGE_PAGES_LIMIT_COUNT} pages"
    )
    raise StoreError(status=None, reason=reason)


def _other_answer(client, reason):
    """Return the error for the answer to an earlier call on a client's connection.

    Answers of the store do not name their calls, so the connection is closed.
    """
    client.close()
    return StoreError(status=None, reason=reason)


class StoreWatcher:
    """Keeps the ``PublishedState`` up to date with the store.

    Args:
        published: The ``PublishedState``; gets configurations, targets and their age.
        readers: The ``StoreReaders``, which decides when to call the store.
        address: ``(ip, port)`` of the store.
        rng: Random source of the jitter between retries.

    Attributes:
        malformed_count: Answers that were not used, as their era is not valid.
    """

    def __init__(self, *, clock, published, readers, address, rng=None):
        self._clock = clock
        self._published = published
        self._readers = readers
        readers.apply_changes = self.apply_changes
        readers.pack_changes = self.pack_changes
        self._client = KeepAliveClient(address=address)
        self._rng = rng or random.Random()
        self._targets = {}
        self._keys = set()  # Of the operator's items and of those of targets.
        self._evacuation_keys = EvacuationKeys()
        self._era = 0
        self._revision = None
        self._failures_count = 0
        # The last configuration that could be read; saves reading it again.
        self._readable_data = None
        self.malformed_count = 0

    async def run(self):
        """Read the store, then watch it, until cancelled."""
        while True:
            wait_ms = (
                0.0 if self._revision is None else await self._readers.wait_until_due()
            )
            asked_ms = self._clock.now_ms()
            try:
                if self._revision is None:
                    await self._read_all()
                else:
                    await self._watch(self._revision, wait_ms)
            except _NewEraError as error:
                self._begin_era(error.era)
                continue
            except (StoreError, *UNREADABLE_ERRORS) as error:
                self.malformed_count += isinstance(error, MalformedEraError)
                self._published.record_failure(error)
                self._readers.ask_instead()
                await self._pause(error)
                continue
            self._failures_count = 0
            self._published.record_answer(asked_ms=asked_ms)

    def apply_changes(self, answer, *, at):
        """Apply the answer to a watch that another gateway passed on.

        Args:
            answer: The store's answer, as bytes.
            at: The position of that gateway's copy.

        Raises:
            UnreadableChangesError: The bytes are not the answer to a watch, or it is of
                another era.
        """
        era = at // REVISIONS_PER_ERA_COUNT
        if era != self._era:
            raise UnreadableChangesError(f"changes of era {era} in era {self._era}")
        try:
            changes = _decode_changes(answer)
        except UNREADABLE_ERRORS as error:
            raise UnreadableChangesError(
                f"malformed changes from another gateway: {error}"
            ) from error
        self._apply_events(changes)

    def pack_changes(self, answers):
        """Return one answer with the changes of several.

        Of the configurations, it holds only the one that would be in force in the end;
        of the other keys, the last event of each. All events are applied before any of
        them takes effect, so the result is the same.

        Args:
            answers: Answers to watches in their order, as bytes; each may be the result
                of this method.
        """
        changes = [_decode_changes(answer) for answer in answers]
        events = [item for part in changes for item in part.events]
        last = {item.key: item for item in events}
        last[CONFIGURATION_KEY] = self._newest_configuration(events)
        return _pack(
            [item for item in events if item is last[item.key]], at=changes[-1].at
        )

    def _newest_configuration(self, events):
        """Return the last item of the highest version that can be read, or ``None``."""
        versions = []
        for index, item in enumerate(events):
            data = item_value(item) if item.key == CONFIGURATION_KEY else None
            if data is None:
                continue
            try:
                versions.append((_version_decoder.decode(data).version, index, data))
            except UNREADABLE_ERRORS:
                continue
        for _, index, data in sorted(versions, reverse=True):
            if data == self._readable_data or read_configuration(data) is not None:
                return events[index]
        return None

    def _position(self, revision):
        """Return the position of a copy at ``revision`` of the present era."""
        return self._era * REVISIONS_PER_ERA_COUNT + revision

    def _check_era(self, era):
        """Check that an answer is of the present era.

        Raises:
            MalformedEraError: It cannot follow the present one.
            StoreError: It is of an earlier one.
            _NewEraError: It is of a later one.
        """
        if self._era and era > self._era + ERA_JUMP_LIMIT_COUNT:
            raise MalformedEraError(
                status=None, reason=f"answer of era {era} in era {self._era}"
            )
        if era > self._era and self._revision is not None:
            raise _NewEraError(era=era)
        if era < self._era:
            raise StoreError(
                status=None, reason=f"answer of era {era} in era {self._era}"
            )

    def _begin_era(self, era):
        """Read the store anew, as it came back from a copy."""
        log.warn(
            "store came back from a copy",
            extra={"era": era, "previous_era": self._era, "at": self._revision},
        )
        self._era = era
        self._revision = None
        self._readers.reset()
        self._published.begin_era()

    async def _read_all(self):
        """Read the configuration, the evacuations and all targets anew."""
        operator_items, target_items, revision, era = await self._read_items()
        if era > self._era and self._era:
            self._begin_era(era)
        self._era = era
        self._targets = {}
        self._keys = {item.key for item in (*operator_items, *target_items)}
        for item in target_items:
            self._apply_target(item)
        for item in operator_items:
            self._apply_configuration(item)
        self._published.replace_evacuations(
            self._evacuation_keys.listed(operator_items)
        )
        # Only ends an outage; ``run`` records the age of this copy after the read.
        self._published.record_answer(asked_ms=self._published.asked_ms)
        self._published.apply_targets(self._targets.values())
        # The watch starts at the first page and so returns changes made since then.
        self._revision = revision
        self._readers.record_read(self._position(revision))

    async def _read_items(self):
        """Return the operator's items, those of targets, their revision and era.

        The revision is that of the first page: later changes may be missing.
        """
        operator_items, revision, era = await self._read_range(OPERATOR_PREFIX)
        target_items, _, targets_era = await self._read_range(TARGETS_PREFIX)
        if targets_era != era:
            raise StoreError(status=None, reason="an era began between two reads")
        self._check_era(era)
        return operator_items, target_items, revision, era

    async def _read_range(self, prefix):
        items, revision, era = await read_range(self._client, prefix)
        if not all(item.key.startswith(prefix) for item in items):
            raise _other_answer(self._client, f'a page of "{prefix}" has other keys')
        return items, revision, era

    async def _watch(self, after, wait_ms):
        """Apply the changes after revision ``after``.

        Args:
            after: The revision that is known already.
            wait_ms: How long the store may hold the call if nothing changed.
        """
        query = {"prefix": "", "after": after, "wait-ms": int(wait_ms)}
        try:
            limit_ms = wait_ms + ANSWER_LIMIT_MS
            answer = await ask_store(
                self._client,
                "/v1/kv-watch",
                limit_ms=limit_ms,
                body_limit_bytes=self._changes_limit_bytes(),
                **query,
            )
        except StoreError as error:
            if isinstance(error.__cause__, BodyTooLongError):
                await self._read_newest(after)
                return
            if error.status == HISTORY_GONE:
                log.info(
                    "store dropped the history since the last read",
                    extra={"at": self._revision},
                )
                self._revision = None
                self._readers.reset()
            raise
        self._check_era(answer.era)
        changes = _events_decoder.decode(answer.body)
        if not all(item.revision > after for item in changes.events):
            raise _other_answer(self._client, f"changes after {after} have older ones")
        self._apply_read(changes, after, answer.body)

    def _changes_limit_bytes(self):
        """Return the longest answer to a watch; one version always fits into it."""
        configuration_bytes = len(self._readable_data or b"")
        return max(CHANGES_LIMIT_BYTES, int(CONFIGURATION_RATIO * configuration_bytes))

    async def _read_newest(self, after):
        """Read the items in place of all their changes after revision ``after``."""
        operator_items, target_items, revision, _ = await self._read_items()
        listed = {item.key: item for item in (*operator_items, *target_items)}
        events = [item for item in listed.values() if item.revision > after]
        events += [
            _Item(key=key, revision=revision, deleted=True)
            for key in sorted(self._keys - listed.keys())
        ]
        log.info(
            "items read in place of many changes",
            extra={"after": after, "at": revision, "changed": len(events)},
        )
        changes = _Events(events=events, at=revision)
        self._apply_read(changes, after, _pack(events, at=revision))

    def _apply_read(self, changes, after, answer):
        """Apply changes that were read from the store.

        Args:
            changes: All that changed after revision ``after``.
            answer: The same, as bytes for the other gateways.
        """
        if after < self._revision and changes.at <= self._revision:
            return  # Meanwhile another gateway passed on the same changes, or more.
        self._apply_events(changes)
        self._readers.record_read(
            self._position(self._revision),
            after=self._position(after),
            answer=answer,
        )

    def _apply_events(self, changes):
        evacuations = self._evacuation_keys.changes(changes.events)
        if evacuations:
            self._published.record_evacuations(evacuations)
        changed = False
        for item in changes.events:
            if item.deleted:
                self._keys.discard(item.key)
            elif item.key.startswith((OPERATOR_PREFIX, TARGETS_PREFIX)):
                self._keys.add(item.key)
            if item.key == CONFIGURATION_KEY:
                self._apply_configuration(item)
            elif item.key.startswith(TARGETS_PREFIX):
                self._apply_target(item)
                self._published.record_written(item.key.removeprefix(TARGETS_PREFIX))
                changed = True
        self._revision = max(self._revision, changes.at)
        if changed:
            self._published.apply_targets(self._targets.values())

    def _apply_configuration(self, item):
        data = item_value(item)
        if item.key != CONFIGURATION_KEY or data is None:
            return
        configuration = read_configuration(data)
        if configuration is not None:
            self._readable_data = data
            self._published.apply_configuration(configuration)

    def _apply_target(self, item):
        name = item.key.removeprefix(TARGETS_PREFIX)
        data = item_value(item)
        target = None
        if data is not None:
            target = read_target(name, data, written=item.revision)
        if target is None:
            self._targets.pop(name, None)
        else:
            self._targets[name] = target

    async def _pause(self, error):
        """Wait before a retry, unless the history is gone: then read anew at once."""
        if getattr(error, "status", None) == HISTORY_GONE:
            return
        self._failures_count += 1
        limit_ms = min(
            RETRY_LIMIT_MS, RETRY_BASE_MS * 2 ** min(4, self._failures_count)
        )
        await self._clock.sleep_ms(self._rng.uniform(RETRY_BASE_MS, limit_ms))


def read_era(head):
    """Return the era in the head of an answer; 0 if it names none.

    Raises:
        MalformedEraError: It is no number of at most ``ERA_DIGITS_LIMIT_COUNT`` digits.
    """
    text = head.get(ERA) or "0"
    if text.isascii() and text.isdigit() and len(text) <= ERA_DIGITS_LIMIT_COUNT:
        return int(text)
    log.warn("malformed era header", extra={"value": text[:40]})
    raise MalformedEraError(status=head.status, reason="malformed era")


def _pack(events, *, at):
    """Return items and the revision that they lead to, as bytes."""
    packed = [
        _PackedItem(
            key=item.key,
            value=item_value(item),
            revision=item.revision,
            deleted=item.deleted,
        )
        for item in events
    ]
    return PACKED + _packed_encoder.encode(_PackedEvents(events=packed, at=at))


def _decode_changes(answer):
    if answer.startswith(PACKED):
        return _packed_decoder.decode(answer[len(PACKED) :])
    return _events_decoder.decode(answer)


def item_value(item):
    """Return an item's value as bytes; ``None`` if deleted or not decodable."""
    if item.deleted or item.value is None:
        return None
    if isinstance(item.value, bytes):
        return item.value
    try:
        return base64.b64decode(item.value, validate=True)
    except (binascii.Error, ValueError) as error:
        log.warn(
            "unreadable value ignored", extra={"key": item.key, "reason": str(error)}
        )
        return None
