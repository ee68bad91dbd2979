"""The platform's read-only configuration service: sheet, watch, host list."""

import asyncio
import collections
from dataclasses import dataclass
from pathlib import Path

import fire
import json5
import msgspec
from aiohttp import web

from waxwinghold._clock import MS_PER_SECOND

from ._faults import bad_request, changed_faults, json_answer, read_json
from ._http import HttpStandIn, run_until_ended

READS_LIMIT_PER_S = 2000
HISTORY_LIMIT_COUNT = 64
WAIT_LIMIT_MS = 120_000


@dataclass(frozen=True, kw_only=True)
class PlatformFaults:
    """Faults of the platform.

    Args:
        outage: Every read gets 503.
        stale_version: Sheets above this version are not shown.
        lag_ms: How late a published sheet or host list is shown.
    """

    outage: bool = False
    stale_version: int | None = None
    lag_ms: float = 0.0


@dataclass(frozen=True, kw_only=True)
class Publication:
    """One published sheet or host list, as the bytes that readers get."""

    version: int
    document: bytes
    published_ms: float


class ReadCounter:
    """Counts reads in the last second against a limit.

    Args:
        limit_count: Reads allowed within any second.
    """

    def __init__(self, *, limit_count=READS_LIMIT_PER_S):
        self.limit_count = limit_count
        self.total_count = 0
        self.refused_count = 0
        self.peak_count = 0
        self._taken_ms = collections.deque()

    def count_read(self, now_ms):
        """Count one read and return whether it is within the limit."""
        while self._taken_ms and self._taken_ms[0] <= now_ms - MS_PER_SECOND:
            self._taken_ms.popleft()
        self._taken_ms.append(now_ms)
        self.total_count += 1
        self.peak_count = max(self.peak_count, len(self._taken_ms))
        if len(self._taken_ms) <= self.limit_count:
            return True
        self.refused_count += 1
        return False


class Platform(HttpStandIn):
    """Publishes sheets and the host list.

    Args:
        sheet: The first sheet as bytes of JSON, or ``None``.
        hosts: The first host list, a list of dicts.
        reads_limit_per_s: Reads allowed within any second.
    """

    def __init__(
        self, *, sheet=None, hosts=(), reads_limit_per_s=READS_LIMIT_PER_S, **options
    ):
        super().__init__(**options)
        self.faults = PlatformFaults()
        self.reads = ReadCounter(limit_count=reads_limit_per_s)
        self.waiting_count = 0
        self._sheets = collections.deque(maxlen=HISTORY_LIMIT_COUNT)
        self._hosts = collections.deque(maxlen=HISTORY_LIMIT_COUNT)
        self._changed = asyncio.Event()
        if sheet is not None:
            self.publish(sheet)
        self.publish_hosts(hosts)

    def publish(self, document, *, version=None):
        """Publish a sheet, valid or not.

        Args:
            document: The sheet as bytes of JSON.
            version: Its version; by default the one that it names.
        """
        if version is None:
            version = msgspec.json.decode(document)["version"]
        self._sheets.append(self._publication(version, document))
        self._wake_watches()

    def publish_hosts(self, hosts):
        """Publish the host list."""
        document = msgspec.json.encode({"hosts": list(hosts)})
        self._hosts.append(self._publication(0, document))

    def set_faults(self, **changes):
        """Change some of the faults."""
        self.faults = changed_faults(self.faults, changes)
        self._wake_watches()

    def routes(self):
        return [
            web.get("/sheet", self._sheet),
            web.get("/hosts", self._host_list),
            web.post("/_control/publish", self._publish),
            web.post("/_control/hosts", self._publish_hosts),
            web.post("/_control/fault", self._fault),
            web.get("/_control/reads", self._reads),
        ]

    def _publication(self, version, document):
        now_ms = self.clock.now_ms()
        return Publication(version=version, document=document, published_ms=now_ms)

    def _wake_watches(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def _visible(self, publications):
        """Return the last publication that readers may see now, or ``None``."""
        until_ms = self.clock.now_ms() - self.faults.lag_ms
        seen = [item for item in publications if item.published_ms <= until_ms]
        limit = self.faults.stale_version
        if limit is not None:
            seen = [item for item in seen if item.version <= limit]
        return seen[-1] if seen else None

    def _refusal(self):
        if not self.reads.count_read(self.clock.now_ms()):
            return json_answer({"reason": "too many reads"}, status=429)
        if self.faults.outage:
            return json_answer({"reason": "outage"}, status=503)
        return None

    async def _sheet(self, request):
        refusal = self._refusal()
        if refusal is not None:
            return refusal
        after = _whole_number(request, "after")
        wait_ms = min(_whole_number(request, "wait_ms") or 0, WAIT_LIMIT_MS)
        self.waiting_count += 1
        try:
            return await self._watch(after, self.clock.now_ms() + wait_ms)
        finally:
            self.waiting_count -= 1

    async def _watch(self, after, deadline_ms):
        while True:
            if self.faults.outage:
                return json_answer({"reason": "outage"}, status=503)
            seen = self._visible(self._sheets)
            if seen is not None and seen.version != after:
                return _document_answer(seen)
            left_ms = deadline_ms - self.clock.now_ms()
            if left_ms <= 0:
                return web.Response(status=204)
            await self._until_changed(left_ms)

    async def _until_changed(self, limit_ms):
        """Wait for a change, or until one that lags may have become visible."""
        if self.faults.lag_ms:
            limit_ms = min(limit_ms, self._next_visible_in_ms(limit_ms))
        try:
            await asyncio.wait_for(self._changed.wait(), limit_ms / MS_PER_SECOND)
        except TimeoutError:
            pass

    def _next_visible_in_ms(self, limit_ms):
        now_ms = self.clock.now_ms()
        due_ms = [item.published_ms + self.faults.lag_ms for item in self._sheets]
        return min([due - now_ms for due in due_ms if due > now_ms], default=limit_ms)

    async def _host_list(self, request):
        refusal = self._refusal()
        if refusal is not None:
            return refusal
        seen = self._visible(self._hosts)
        if seen is None:
            return json_answer({"hosts": []})
        return _document_answer(seen)

    async def _publish(self, request):
        """Publish the body; ``?version=N`` allows one that is not even JSON."""
        version = _whole_number(request, "version")
        document = await request.read()
        if version is None:
            version = (await read_json(request)).get("version")
        if not isinstance(version, int):
            raise bad_request('sheet: expected a whole number as "version"')
        self.publish(document, version=version)
        return json_answer({"version": version})

    async def _publish_hosts(self, request):
        self.publish_hosts((await read_json(request)).get("hosts", []))
        return json_answer({})

    async def _fault(self, request):
        changes = await read_json(request)
        if changes.pop("silence", False):
            self.silence()
        self.set_faults(**changes)
        return json_answer(self.faults)

    async def _reads(self, request):
        return json_answer(
            {
                "total_count": self.reads.total_count,
                "peak_count": self.reads.peak_count,
                "refused_count": self.reads.refused_count,
                "waiting_count": self.waiting_count,
            }
        )


def _whole_number(request, name):
    text = request.query.get(name)
    if text is None:
        return None
    try:
        return int(text)
    except ValueError as error:
        raise bad_request(f'query "{name}": expected a whole number') from error


def _document_answer(publication):
    return web.Response(body=publication.document, content_type="application/json")


def read_document(path):
    """Return a file of JSON with comments as bytes of plain JSON."""
    text = Path(path).read_text()
    try:
        return msgspec.json.encode(msgspec.json.decode(text))
    except msgspec.DecodeError:
        return msgspec.json.encode(json5.loads(text))


def serve(*, address, sheet=None, hosts=None, reads_limit_per_s=READS_LIMIT_PER_S):
    """Serve the platform until SIGTERM.

    Args:
        address: ``IP:PORT`` to serve on.
        sheet: A file with the first sheet.
        hosts: A file with the first host list, ``{"hosts": [...]}``.
        reads_limit_per_s: Reads allowed within any second.
    """
    rows = msgspec.json.decode(read_document(hosts))["hosts"] if hosts else ()
    platform = Platform(
        sheet=read_document(sheet) if sheet else None,
        hosts=rows,
        reads_limit_per_s=reads_limit_per_s,
        exits_on_crash=True,
    )
    run_until_ended(platform, address)


if __name__ == "__main__":
    fire.Fire(serve)
