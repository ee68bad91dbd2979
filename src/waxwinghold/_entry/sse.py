"""Streamed answers as server-sent events."""

import asyncio
import json

from aiohttp import web

from .error_responses import error_document

MS_PER_SECOND = 1000
SSE_TYPE = "text/event-stream"


class StreamWriter:
    """Writes server-sent events to one caller.

    An event's id is the number of events up to and with it, so that a caller
    that sends the last id it saw gets what follows.

    Args:
        process: The ``EntryProcess``.
        request: The caller's HTTP request.
        offset: The place of the first event.
    """

    def __init__(self, *, process, request, offset):
        self._clock = process.clock
        self._metrics = process.metrics
        self._request = request
        self._place = offset
        self._keepalive_ms = process.settings.keepalive_interval_ms
        self._last_ms = process.clock.now_ms()
        self._written_ms = self._last_ms
        self._target_name = ""
        self.response = None

    @property
    def started(self):
        """Whether the caller has got the beginning of the answer."""
        return self.response is not None

    async def send_all(self, attempts):
        """Send every event and the end.

        Raises:
            RequestError: The answer cannot be completed.
        """
        batches = attempts.stream()
        keeper = asyncio.create_task(self._keep_alive())
        try:
            async for batch in batches:
                await self._send_batch(attempts, batch)
        finally:
            keeper.cancel()
            await batches.aclose()
        await self._start(attempts)
        await self._write(f'event: end\ndata: {{"length": {self._place}}}\n\n')
        await self.response.write_eof()

    async def break_off(self, error):
        """Tell what is known and cut the transfer, so that it looks broken."""
        document = json.dumps(error_document(error))
        await self._write(f"event: error\ndata: {document}\n\n")
        if self._request.transport is not None:
            # Without the closing chunk no client takes the answer for whole.
            self._request.transport.close()

    async def _start(self, attempts):
        if self.started:
            return
        response = web.StreamResponse()
        response.content_type = SSE_TYPE
        response.headers["Cache-Control"] = "no-store"
        response.headers["Waxwing-Request"] = attempts.token()
        response.headers["Waxwing-Target"] = attempts.target.name
        self._target_name = attempts.target.name
        await response.prepare(self._request)
        self.response = response

    async def _send_batch(self, attempts, batch):
        name = "between_events" if self.started else "first_event"
        await self._start(attempts)
        self._record(name)
        pieces = []
        if attempts.target.name != self._target_name:
            self._target_name = attempts.target.name
            token = json.dumps({"request": attempts.token()})
            pieces.append(f"event: request\ndata: {token}\n\n")
        for event in batch:
            self._place += 1
            pieces.append(f"id: {self._place}\ndata: {json.dumps(event)}\n\n")
        await self._write("".join(pieces))

    def _record(self, name):
        now_ms = self._clock.now_ms()
        self._metrics.record_ms(name, now_ms - self._last_ms)
        self._last_ms = now_ms

    async def _keep_alive(self):
        """Write a comment whenever nothing was written for the interval."""
        while True:
            quiet_ms = self._clock.now_ms() - self._written_ms
            if quiet_ms < self._keepalive_ms:
                await self._clock.sleep_ms(self._keepalive_ms - quiet_ms)
                continue
            self._written_ms = self._clock.now_ms()
            if self.started:
                await self._write(": keep-alive\n\n")

    async def _write(self, text):
        self._written_ms = self._clock.now_ms()
        await self.response.write(text.encode())
