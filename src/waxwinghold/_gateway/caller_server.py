"""The HTTP server of a gateway for its callers."""

import asyncio

import logbook
import msgspec
from aiohttp import web

from .._caller_connections import CallerConnections
from .._errors import BodyTooLargeError, RequestError
from .errors import (
    BodyTimeoutError,
    FailedAnswerError,
    HeadersTooLargeError,
    SendError,
)

log = logbook.Logger("caller_server")

MS_PER_SECOND = 1000
# Limit of the HTTP parser; the configured limit is checked after parsing.
PARSER_LIMIT_BYTES = 64 * 1024
BODY_READ_LIMIT_MS = 10_000.0  # Several times the slowest upload that meets a deadline.
FINISH_INTERVAL_MS = 50.0
PIECE_BYTES = 64 * 1024  # A longer body is written in pieces, as it is read.
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class CallerAnswer:
    """Writes the answer to one request.

    Args:
        request: The ``aiohttp`` request.
        closing: Returns whether to close the connection after the answer.

    Attributes:
        response: The ``aiohttp`` response; ``None`` before the answer is begun.
        source: The ``TargetConnection`` from which a streamed answer is passed on.
    """

    def __init__(self, *, request, closing):
        self._request = request
        self._closing = closing
        self.response = None
        self.source = None

    async def start(self, *, status, headers):
        """Begin a streamed answer."""
        self.response = web.StreamResponse(status=status, headers=headers)
        self.response.headers.popall("Content-Length", None)
        await self._prepare()

    async def write(self, data):
        """Send a part of a streamed answer."""
        self._request.protocol.record_waiting(
            lambda: len(data) + self.source.buffered_bytes
        )
        await self.response.write(data)

    async def finish(self):
        """End a streamed answer that is complete."""
        await self.response.write_eof()

    async def send_whole(self, *, status, headers, body):
        """Send an answer that is not streamed."""
        if len(body) <= PIECE_BYTES:
            self.response = web.Response(status=status, headers=headers, body=body)
            await self._prepare()
            await self.response.write_eof()
            return
        # The transport would keep a copy of all that the caller has not read.
        self._request.protocol.record_waiting(lambda: len(body))
        self.response = web.StreamResponse(status=status, headers=headers)
        self.response.content_length = len(body)
        await self._prepare()
        view = memoryview(body)
        for start in range(0, len(body), PIECE_BYTES):
            await self.response.write(view[start : start + PIECE_BYTES])
        await self.response.write_eof()

    def abort(self):
        """Reset the connection to show the caller that the answer is incomplete."""
        transport = self._request.transport
        if transport is not None:
            transport.abort()

    async def _prepare(self):
        if self._closing():
            self.response.force_close()
        await self.response.prepare(self._request)


class CallerServer:
    """Accepts callers' connections and passes their requests to the gateway.

    Args:
        gateway: The ``Gateway`` that serves the requests.
    """

    def __init__(self, *, gateway):
        self._gateway = gateway
        self._clock = gateway.clock
        self._connections = CallerConnections(
            clock=self._clock,
            limits=lambda: gateway.limits,
            head_line_limit_bytes=PARSER_LIMIT_BYTES,
            decodes_bodies=False,
            count_limit=gateway.settings.callers_connections_limit_count,
            limit_bytes=lambda: gateway.settings.callers_memory_limit_bytes,
            body_limit_bytes=lambda: gateway.limits.body_bytes,
        )
        self._connections.memory.add_gauges(gateway.metrics)

    @property
    def open_count(self):
        """Return the number of connections on which an answer is due."""
        return self._connections.due_count

    async def start(self, address):
        """Listen at ``address``, an ``(ip, port)`` pair."""
        server = web.Server(self._handle, handler_cancellation=True)
        await self._connections.listen(address, server)

    async def sweep(self):
        """Close connections of callers that exceed their limits, until cancelled."""
        await self._connections.sweep()

    async def finish(self, *, until_ms):
        """Answer what callers have sent, and close each connection that is idle.

        New connections are accepted until nothing is left to answer.

        Args:
            until_ms: When to return in any case.
        """
        while self.open_count and self._clock.now_ms() < until_ms:
            self._connections.close_idle()
            await self._clock.sleep_ms(FINISH_INTERVAL_MS)
        self._connections.stop_listening()
        while self._connections.open and self._clock.now_ms() < until_ms:
            self._connections.close_idle()
            await self._clock.sleep_ms(FINISH_INTERVAL_MS)

    def close(self):
        """Stop listening and close every connection."""
        self._connections.close()

    async def _handle(self, request):
        connection = request.protocol
        arrived_ms = self._clock.now_ms()
        connection.begin_request(request)
        answer = CallerAnswer(
            request=request,
            # Requests sent ahead on the connection are answered, too.
            closing=lambda: self._gateway.is_stopping() and not connection.is_read,
        )
        try:
            await self._serve(request, answer, arrived_ms)
        except ConnectionError as error:
            log.info("caller disconnected", extra={"reason": repr(error)})
        finally:
            connection.end_request()
        return answer.response

    async def _serve(self, request, answer, arrived_ms):
        call = None
        try:
            call = await self._read(request, arrived_ms)
            await self._gateway.serve(call, answer)
        except FailedAnswerError as error:
            headers = self._gateway.codec.answer_headers(error.head)
            await answer.send_whole(
                status=error.head.status, headers=headers, body=error.body
            )
        except SendError as error:
            self._log_end(call, error, answer)
            answer.abort()
        except RequestError as error:
            self._log_end(call, error, answer)
            await self._reject(call, answer, error)

    async def _read(self, request, arrived_ms):
        limits = self._gateway.limits
        headers = request.raw_headers
        # 4 bytes for the colon, the space and the line end of each header.
        size = sum(len(name) + len(value) + 4 for name, value in headers)
        if size > limits.header_bytes:
            raise HeadersTooLargeError(
                f"headers larger than {limits.header_bytes} bytes"
            )
        body = await self._read_body(request, limits.body_bytes)
        return self._gateway.codec.read_request(
            method=request.method,
            raw_path=request.raw_path,
            raw_headers=headers,
            body=body,
            arrived_ms=arrived_ms,
        )

    async def _read_body(self, request, limit_bytes):
        if not request.body_exists:
            return b""
        if request.content_length is not None and request.content_length > limit_bytes:
            raise BodyTooLargeError(limit_bytes=limit_bytes)
        if request.headers.get("Expect", "").lower() == "100-continue":
            request.transport.write(CONTINUE)
        parts = []
        size = 0
        try:
            async with asyncio.timeout(BODY_READ_LIMIT_MS / MS_PER_SECOND):
                async for part in request.content.iter_any():
                    size += len(part)
                    if size > limit_bytes:
                        raise BodyTooLargeError(limit_bytes=limit_bytes)
                    parts.append(part)
        except TimeoutError as error:
            raise BodyTimeoutError("the body did not arrive in time") from error
        return b"".join(parts)

    async def _reject(self, call, answer, error):
        if answer.response is not None:
            answer.abort()
            return
        headers = self._gateway.codec.rejection_headers(
            request_id=call.request_id if call else None,
            retry_after_ms=error.retry_after_ms,
        )
        headers.append(("Content-Type", "application/json"))
        document = {"error": {"code": error.code, "reason": str(error)}}
        body = msgspec.json.encode(document)
        await answer.send_whole(status=error.status, headers=headers, body=body)

    def _log_end(self, call, error, answer):
        self._gateway.metrics.count("refusals", label=error.code)
        is_cut = answer.response is not None or isinstance(error, SendError)
        if is_cut:
            self._gateway.metrics.count("cut_answers", label=error.code)
        log.info(
            "request failed",
            extra={
                "request": call.request_id if call else None,
                "code": error.code,
                "reason": str(error),
                "ran": error.ran.value,
                "cut": is_cut,
                "held_ms": (
                    round(self._clock.now_ms() - call.arrived_ms) if call else None
                ),
                "retry_after_ms": getattr(error, "retry_after_ms", None),
            },
        )
