"""Writing of streamed answers as server-sent events."""

import asyncio
import json

from aiohttp import web

from .error_responses import error_document

MS_PER_SECOND = 1000
SSE_TYPE = "text/event-stream"


class StreamWriter:
    """Writes a streamed answer to one caller as server-sent events.

    An event's id is its position in the answer, counted from 1. A caller that
    sends the last id it received as the offset therefore gets the next event.

    Args:
        process: The ``EntryProcess``.
        request: The caller's HTTP request.
        offset: Offset of the first event, counted from 0.
    """

    def __init__(self, *, process, request, offset):
        self._clock = process.clock
        self._metrics = process.metrics
        self._request = request
        self._next_offset = offset
        self._keepalive_ms = process.settings.keepalive_interval_ms
        self._last_event_ms = process.clock.now_ms()
        self._written_ms = self._last_event_ms
        self._target_name = ""
        self.response = None

    @property
    def started(self):
        """Whether the response to the caller has begun."""
        return self.response is not None

    async def send_all(self, attempts):
        """Send all events and the end of the answer.

        Raises:
            RequestError: The answer cannot be completed.
        """
        batches = attempts.stream()
        keep_alive_task = asyncio.create_task(self._keep_alive())
        try:
            async for batch in batches:
                await self._send_batch(attempts, batch)
        finally:
            keep_alive_task.cancel()
            await batches.aclose()
        await self._start_response(attempts)
        await self._write(f'event: end\ndata: {{"length": {self._next_offset}}}\n\n')
        await self.response.write_eof()

    async def abort(self, error):
        """Send ``error`` as an event and close the connection."""
        document = json.dumps(error_document(error))
        await self._write(f"event: error\ndata: {document}\n\n")
        if self._request.transport is not None:
            # Without the last chunk of the transfer encoding, an HTTP client sees
            # that the response is incomplete.
            self._request.transport.close()

    async def _start_response(self, attempts):
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
        metric = "between_events" if self.started else "first_event"
        await self._start_response(attempts)
        self._record_delay(metric)
        parts = []
        if attempts.target.name != self._target_name:
            self._target_name = attempts.target.name
            token = json.dumps({"request": attempts.token()})
            parts.append(f"event: request\ndata: {token}\n\n")
        for event in batch:
            self._next_offset += 1
            parts.append(f"id: {self._next_offset}\ndata: {json.dumps(event)}\n\n")
        await self._write("".join(parts))

    def _record_delay(self, metric):
        now_ms = self._clock.now_ms()
        self._metrics.record_ms(metric, now_ms - self._last_event_ms)
        self._last_event_ms = now_ms

    async def _keep_alive(self):
        """Write a comment whenever nothing was written for the keep-alive interval."""
        while True:
            idle_ms = self._clock.now_ms() - self._written_ms
            if idle_ms < self._keepalive_ms:
                await self._clock.sleep_ms(self._keepalive_ms - idle_ms)
                continue
            self._written_ms = self._clock.now_ms()
            if self.started:
                await self._write(": keep-alive\n\n")

    async def _write(self, text):
        self._written_ms = self._clock.now_ms()
        await self.response.write(text.encode())
