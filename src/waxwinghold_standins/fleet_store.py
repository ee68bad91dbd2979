"""Stand-in of the users' platform's store: range pages, watch, and its troubles."""

import asyncio
import base64
import json
import urllib.parse

from ._raw_http import RawServer, answer_bytes, reset_connection

MS_PER_SECOND = 1000


class FleetStore(RawServer):
    """Holds items under a revision counter.

    Args:
        page_count: Items of one page.

    Attributes:
        fault: ``""``, ``"busy"`` (503), ``"many"`` (429), ``"silent"`` or
            ``"reset"``; holds for every call.
        calls: Path and query of every call.
    """

    def __init__(self, *, page_count=50):
        super().__init__()
        self.fault = ""
        self.calls = []
        self._page_count = page_count
        self._items = {}
        self._history = []
        self._forgotten_at = 0
        self._revision = 10
        self._changed = asyncio.Event()

    def put(self, key, value):
        """Write an item; ``value`` is bytes or something that JSON can hold."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._revision += 1
        text = base64.b64encode(data).decode()
        item = {"key": key, "value": text, "revision": self._revision}
        self._items[key] = item
        self._record(item)

    def delete(self, key):
        """Remove an item."""
        self._revision += 1
        self._items.pop(key, None)
        self._record({"key": key, "revision": self._revision, "deleted": True})

    def forget_history(self):
        """Answer 410 to whoever watches from before now."""
        self._history = []
        self._forgotten_at = self._revision
        self._wake()

    async def handle(self, request, writer):
        self.calls.append(request.path)
        if self.fault == "silent":
            await asyncio.sleep(3600)
        if self.fault == "reset":
            reset_connection(writer)
            return False
        if self.fault in ("busy", "many"):
            writer.write(answer_bytes({"busy": 503, "many": 429}[self.fault]))
            return True
        path, _, query = request.path.partition("?")
        fields = dict(urllib.parse.parse_qsl(query))
        answer = {"/v1/kv-range": self._range, "/v1/kv-watch": self._watch}[path]
        status, document = await answer(fields)
        body = json.dumps(document).encode()
        writer.write(answer_bytes(status, [("Content-Type", "application/json")], body))
        return True

    async def _range(self, fields):
        after = fields.get("after", "")
        keys = [
            key
            for key in sorted(self._items)
            if key.startswith(fields["prefix"]) and key > after
        ]
        page = keys[: self._page_count]
        document = {
            "items": [self._items[key] for key in page],
            "more-pages": len(keys) > len(page),
            "at": self._revision,
        }
        return 200, document

    async def _watch(self, fields):
        after = int(fields["after"])
        loop = asyncio.get_running_loop()
        end = loop.time() + int(fields["wait-ms"]) / MS_PER_SECOND
        while True:
            if after < self._forgotten_at:
                return 410, {}
            events = [one for one in self._history if one["revision"] > after]
            left = end - loop.time()
            if events or left <= 0:
                return 200, {"events": events, "at": self._revision}
            try:
                async with asyncio.timeout(left):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _record(self, event):
        self._history.append(event)
        self._wake()

    def _wake(self):
        self._changed.set()
        self._changed = asyncio.Event()


def worker_entry(*, service, address, zone="dc-a", slots=6, state="ready", **fields):
    """Return the entry under which a worker registers."""
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
    """Return a route of the operator's configuration."""
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
