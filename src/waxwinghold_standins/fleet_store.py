"""Stand-in for the store of the users' platform: paged reads, watches and faults."""

import asyncio
import base64
import json
import urllib.parse

from ._endless import send_endless
from ._raw_http import RawServer, answer_bytes, reset_connection

MS_PER_SECOND = 1000


class FleetStore(RawServer):
    """A key-value store with a revision counter.

    Args:
        page_count: Maximum number of items in a page.

    Attributes:
        fault: Fault of every call: ``"busy"`` (503), ``"many"`` (429), ``"silent"``
            (no answer), ``"reset"`` (TCP reset), ``"endless"`` or ``""`` (none).
        repeats_pages: Whether every page says that more pages follow.
        endless: Kind of the ``ENDLESS`` answers of the fault ``endless``.
        endless_bytes: Bytes of endless answers sent so far.
        calls: Path and query of every call so far.
        era: Number of copies that the store came back from, plus one.
    """

    def __init__(self, *, page_count=50):
        super().__init__()
        self.fault = ""
        self.repeats_pages = False
        self.endless = "chunked"
        self.endless_bytes = 0
        self.calls = []
        self._page_count = page_count
        self._items = {}
        self._history = []
        self._compacted_revision = 0
        self._revision = 10
        self._changed = asyncio.Event()
        self.era = 1

    def snapshot(self):
        """Return a copy of the present state, for ``restore``."""
        return dict(self._items), self._revision

    def restore(self, snapshot):
        """Come back from a copy: what was written since is lost, and a new era begins.

        Revisions go back; a watch from one that does not exist is answered 410.
        """
        items, self._revision = snapshot
        self._items = dict(items)
        self._history = []
        self._compacted_revision = self._revision
        self.era += 1
        self._wake_watches()

    def put(self, key, value):
        """Write an item.

        Args:
            key: Key of the item.
            value: Its content: bytes, or a value to encode as JSON.
        """
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._revision += 1
        text = base64.b64encode(data).decode()
        item = {"key": key, "value": text, "revision": self._revision}
        self._items[key] = item
        self._record(item)

    def delete(self, key):
        """Delete an item; it need not exist."""
        self._revision += 1
        self._items.pop(key, None)
        self._record({"key": key, "revision": self._revision, "deleted": True})

    def forget_history(self):
        """Drop the past events; a watch from an earlier revision is answered 410."""
        self._history = []
        self._compacted_revision = self._revision
        self._wake_watches()

    async def handle(self, request, writer):
        self.calls.append(request.path)
        if self.fault == "silent":
            await asyncio.sleep(3600)
        if self.fault == "endless":
            await send_endless(writer, self.endless, on_sent=self._count_endless)
            return False
        if self.fault == "reset":
            reset_connection(writer)
            return False
        if self.fault in ("busy", "many"):
            status = {"busy": 503, "many": 429}[self.fault]
            writer.write(answer_bytes(status, self._headers()))
            return True
        path, _, query = request.path.partition("?")
        fields = dict(urllib.parse.parse_qsl(query))
        handler = {"/v1/kv-range": self._range, "/v1/kv-watch": self._watch}[path]
        status, document = await handler(fields)
        body = json.dumps(document).encode()
        headers = [("Content-Type", "application/json"), *self._headers()]
        writer.write(answer_bytes(status, headers, body))
        return True

    def _count_endless(self, size_bytes):
        self.endless_bytes += size_bytes

    def _headers(self):
        return [("Store-Era", str(self.era))]

    async def _range(self, fields):
        """Return the status and document of one page of the items of a key prefix."""
        after = "" if self.repeats_pages else fields.get("after", "")
        keys = [
            key
            for key in sorted(self._items)
            if key.startswith(fields["prefix"]) and key > after
        ]
        page = keys[: self._page_count]
        document = {
            "items": [self._items[key] for key in page],
            "more-pages": self.repeats_pages or len(keys) > len(page),
            "at": self._revision,
        }
        return 200, document

    async def _watch(self, fields):
        """Return the status and document of the events after a revision.

        Waits for the first event for at most ``wait-ms`` of the query.
        """
        after = int(fields["after"])
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + int(fields["wait-ms"]) / MS_PER_SECOND
        while True:
            if after < self._compacted_revision or after > self._revision:
                return 410, {}
            events = [event for event in self._history if event["revision"] > after]
            left_s = deadline_s - loop.time()
            if events or left_s <= 0:
                return 200, {"events": events, "at": self._revision}
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _record(self, event):
        self._history.append(event)
        self._wake_watches()

    def _wake_watches(self):
        self._changed.set()
        self._changed = asyncio.Event()


def worker_entry(*, service, address, zone="dc-a", slots=6, state="ready", **fields):
    """Return the entry with which a worker registers in the store.

    Args:
        service: Name of the service that the worker runs.
        address: ``(ip, port)`` of the worker.
        zone: The worker's data centre.
        slots: Number of requests that it can run at once.
        state: Its state, such as ``ready``.
        fields: Further fields of the entry, which override the defaults.
    """
    return {
        "service": service,
        "address": f"{address[0]}:{address[1]}",
        "zone": zone,
        "version": "v1",
        "slots": slots,
        "state": state,
        "cold-left-ms": 0,
        "seq": 1,
        **fields,
    }


def route_entry(*, name, prefix, kind, service, host="shop.example", **fields):
    """Return the store's entry for a route of the operator's configuration.

    Args:
        name: Name of the route.
        prefix: Prefix of the request paths that the route matches.
        kind: Kind of the route (``route-kind``).
        service: Name of the service that the requests go to.
        host: Name in the ``Host`` header of the requests.
        fields: Further fields of the entry, which override the defaults.
    """
    return {
        "name": name,
        "host": host,
        "prefix": prefix,
        "route-kind": kind,
        "timeout-ms": 2000,
        "goal-ms": 200,
        "priority": 1,
        "service": service,
        "max-attempts": 2,
        "anonymous": False,
        **fields,
    }
