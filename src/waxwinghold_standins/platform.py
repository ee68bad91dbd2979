"""Stand-in for the platform's configuration service, which serves sheets and hosts."""

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
        outage: Whether every read is answered with 503.
        stale_version: Sheets above this version are not visible; ``None`` shows all.
        lag_ms: Delay until a published sheet or host list becomes visible.
    """

    outage: bool = False
    stale_version: int | None = None
    lag_ms: float = 0.0


@dataclass(frozen=True, kw_only=True)
class Publication:
    """One published sheet or host list.

    Args:
        version: Version of the sheet; 0 for a host list.
        document: The bytes that readers receive.
        published_ms: When it was published.
    """

    version: int
    document: bytes
    published_ms: float


class ReadCounter:
    """Counts reads and checks them against a limit per second.

    Args:
        limit_count: Number of reads allowed within any second.

    Attributes:
        total_count: Number of reads so far.
        refused_count: Number of reads above the limit.
        peak_count: Highest number of reads within any second.
    """

    def __init__(self, *, limit_count=READS_LIMIT_PER_S):
        self.limit_count = limit_count
        self.total_count = 0
        self.refused_count = 0
        self.peak_count = 0
        self._recent_ms = collections.deque()

    def count_read(self, now_ms):
        """Count one read and return whether it is within the limit.

        Args:
            now_ms: The current time.
        """
        while self._recent_ms and self._recent_ms[0] <= now_ms - MS_PER_SECOND:
            self._recent_ms.popleft()
        self._recent_ms.append(now_ms)
        self.total_count += 1
        self.peak_count = max(self.peak_count, len(self._recent_ms))
        if len(self._recent_ms) <= self.limit_count:
            return True
        self.refused_count += 1
        return False


class Platform(HttpStandIn):
    """Serves the published sheets and the host list, with long polling for sheets.

    Args:
        sheet: The first sheet as bytes of JSON, or ``None``.
        hosts: The first host list, a list of dicts.
        reads_limit_per_s: Number of reads allowed within any second.
        options: Options of ``HttpStandIn``.

    Attributes:
        faults: The current ``PlatformFaults``.
        reads: The ``ReadCounter``.
        waiting_count: Number of reads of a sheet that are in progress.
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
        """Publish a sheet, which may be invalid.

        Args:
            document: The sheet as bytes of JSON.
            version: Version of the sheet; by default the one in ``document``.
        """
        if version is None:
            version = msgspec.json.decode(document)["version"]
        self._sheets.append(self._create_publication(version, document))
        self._wake_watches()

    def publish_hosts(self, hosts):
        """Publish a host list, given as dicts."""
        document = msgspec.json.encode({"hosts": list(hosts)})
        self._hosts.append(self._create_publication(0, document))

    def set_faults(self, **changes):
        """Change some fields of ``faults``."""
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

    def _create_publication(self, version, document):
        now_ms = self.clock.now_ms()
        return Publication(version=version, document=document, published_ms=now_ms)

    def _wake_watches(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def _visible(self, publications):
        """Return the last publication that is visible to readers, or ``None``."""
        until_ms = self.clock.now_ms() - self.faults.lag_ms
        visible = [item for item in publications if item.published_ms <= until_ms]
        limit = self.faults.stale_version
        if limit is not None:
            visible = [item for item in visible if item.version <= limit]
        return visible[-1] if visible else None

    def _count_read(self):
        """Count a read; return the error response if it is rejected, or ``None``."""
        if not self.reads.count_read(self.clock.now_ms()):
            return json_answer({"reason": "too many reads"}, status=429)
        if self.faults.outage:
            return json_answer({"reason": "outage"}, status=503)
        return None

    async def _sheet(self, request):
        rejection = self._count_read()
        if rejection is not None:
            return rejection
        after = _parse_query_number(request, "after")
        wait_ms = min(_parse_query_number(request, "wait_ms") or 0, WAIT_LIMIT_MS)
        self.waiting_count += 1
        try:
            return await self._watch(after, self.clock.now_ms() + wait_ms)
        finally:
            self.waiting_count -= 1

    async def _watch(self, after, deadline_ms):
        """Wait for a sheet with another version than ``after``, and answer with it.

        Answers with 204 at the deadline, and with 503 during an outage.
        """
        while True:
            if self.faults.outage:
                return json_answer({"reason": "outage"}, status=503)
            visible = self._visible(self._sheets)
            if visible is not None and visible.version != after:
                return _document_answer(visible)
            left_ms = deadline_ms - self.clock.now_ms()
            if left_ms <= 0:
                return web.Response(status=204)
            await self._wait_for_change(left_ms)

    async def _wait_for_change(self, limit_ms):
        """Wait for a change, or until a delayed sheet becomes visible.

        Args:
            limit_ms: Longest time to wait.
        """
        if self.faults.lag_ms:
            limit_ms = min(limit_ms, self._next_visible_in_ms(limit_ms))
        try:
            await asyncio.wait_for(self._changed.wait(), limit_ms / MS_PER_SECOND)
        except TimeoutError:
            pass

    def _next_visible_in_ms(self, limit_ms):
        """Return the time until the next delayed sheet is visible, or the limit."""
        now_ms = self.clock.now_ms()
        due_ms = [item.published_ms + self.faults.lag_ms for item in self._sheets]
        return min([due - now_ms for due in due_ms if due > now_ms], default=limit_ms)

    async def _host_list(self, request):
        rejection = self._count_read()
        if rejection is not None:
            return rejection
        visible = self._visible(self._hosts)
        if visible is None:
            return json_answer({"hosts": []})
        return _document_answer(visible)

    async def _publish(self, request):
        """Publish the body; with ``?version=N`` it may be invalid JSON."""
        version = _parse_query_number(request, "version")
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


def _parse_query_number(request, name):
    """Return a parameter of the query as an int, or ``None`` if it is missing.

    Raises:
        web.HTTPBadRequest: It is not a whole number.
    """
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
    """Return the content of a JSON or JSON5 file as bytes of plain JSON."""
    text = Path(path).read_text()
    try:
        return msgspec.json.encode(msgspec.json.decode(text))
    except msgspec.DecodeError:
        return msgspec.json.encode(json5.loads(text))


def serve(*, address, sheet=None, hosts=None, reads_limit_per_s=READS_LIMIT_PER_S):
    """Serve the platform until SIGTERM.

    Args:
        address: ``IP:PORT`` to serve on.
        sheet: File with the first sheet.
        hosts: File with the first host list, ``{"hosts": [...]}``.
        reads_limit_per_s: Number of reads allowed within any second.
    """
    host_list = msgspec.json.decode(read_document(hosts))["hosts"] if hosts else ()
    platform = Platform(
        sheet=read_document(sheet) if sheet else None,
        hosts=host_list,
        reads_limit_per_s=reads_limit_per_s,
        exits_on_crash=True,
    )
    run_until_ended(platform, address)


if __name__ == "__main__":
    fire.Fire(serve)
