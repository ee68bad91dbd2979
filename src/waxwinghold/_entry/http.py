"""The HTTP interface for callers, described in ``docs/CALLERS.md``."""

import asyncio

import logbook
from aiohttp import web

from .._errors import (
    BadRequestError,
    BodyTooLargeError,
    DrainingError,
    InternalError,
    KeyRequiredError,
    OverloadedError,
    RequestError,
)
from .._sheet.model import Repeat
from .._verdict import Ran
from .callers import CallerHeaders
from .error_responses import error_response
from .sse import StreamWriter
from .tokens import read_token

log = logbook.Logger("http")

BODY_READ_LIMIT_MS = 10_000
MS_PER_SECOND = 1000


def make_app(process):
    """Return the web application that serves callers.

    Args:
        process: The ``EntryProcess``.
    """
    callers = CallersInterface(process=process)
    app = web.Application(
        client_max_size=process.settings.body_limit_bytes,
        middlewares=[callers.mark_served, callers.answer_errors],
    )
    app.router.add_post("/v1/services/{service}/calls/{call}", callers.call)
    app.router.add_post("/v1/services/{service}/keys", callers.issue_key)
    app.router.add_get("/v1/requests/{token}/stream", callers.resume)
    app.router.add_delete("/v1/requests/{token}", callers.cancel)
    app.router.add_get("/health", callers.health)
    return app


class CallersInterface:
    """HTTP handlers for the requests of callers.

    Args:
        process: The ``EntryProcess``.
    """

    def __init__(self, *, process):
        self._process = process

    @web.middleware
    async def mark_served(self, request, handler):
        """Mark the connection as busy until the response is written."""
        connection = request.protocol
        connection.begin_request(request)
        try:
            response = await handler(request)
            await self._write(request, response)
            return response
        finally:
            connection.end_request()

    async def _write(self, request, response):
        try:
            await response.prepare(request)
            await response.write_eof()
        except ConnectionError as error:
            log.info("caller disconnected: {!r}", error)

    @web.middleware
    async def answer_errors(self, request, handler):
        """Turn errors into responses with a verdict, and count them."""
        try:
            return await handler(request)
        except RequestError as error:
            return self._reject(error)
        except web.HTTPRequestEntityTooLarge:
            limit_bytes = self._process.settings.body_limit_bytes
            return self._reject(BodyTooLargeError(limit_bytes=limit_bytes))
        except (web.HTTPException, ConnectionError):
            raise
        except Exception:
            log.exception("request failed unexpectedly")
            return self._reject(InternalError())

    def _reject(self, error):
        self._process.metrics.count("refusals", label=error.code)
        return error_response(error)

    async def health(self, request):
        """Tell the platform's balancer whether to send callers to this entry."""
        index = self._process.target_pool.index
        ready = index is not None and not self._process.leaving
        document = {"ready": ready, "leaving": self._process.leaving}
        return web.json_response(document, status=200 if ready else 503)

    async def call(self, request):
        """Serve a call, streamed or not."""
        headers = _caller_headers(request)
        index = self._process.require_index()
        customer, service, call = self._process.admission.check(
            index,
            service_name=request.match_info["service"],
            call_name=request.match_info["call"],
            headers=headers,
        )
        if call.repeat == Repeat.ONCE and not headers.key:
            # Checked before the body is read, so that a call without its key is
            # cheap to reject.
            raise KeyRequiredError(call=call.name, service=service.name)
        self._check_capacity(keyed=call.repeat == Repeat.ONCE)
        with self._process.count_in_flight():
            body = await _read_body(request)
            admitted = self._process.admission.admit(
                index=index,
                customer=customer,
                service=service,
                call=call,
                headers=headers,
                body=body,
            )
            attempts = self._process.attempts(admitted)
            if call.streamed:
                return await self._stream(request, attempts)
            return await self._answer(attempts)

    async def issue_key(self, request):
        """Issue a once-only key for a healthy target."""
        headers = _caller_headers(request)
        index = self._process.require_index()
        customer = self._process.admission.customer(index, headers)
        service = self._process.admission.service(
            index, customer, request.match_info["service"]
        )
        self._check_capacity(keyed=False)
        with self._process.count_in_flight():
            version = self._process.admission.version(
                service, customer, headers.version
            )
            issued = await self._process.issuer.issue(
                service=service, version=version, customer=customer
            )
        return web.json_response(issued)

    async def resume(self, request):
        """Send a streamed answer from an offset on; any entry can do so."""
        headers = _caller_headers(request)
        customer = self._process.admission.customer(
            self._process.require_index(), headers
        )
        token = read_token(self._process, request.match_info["token"], customer)
        offset = _read_offset(request)
        with self._process.count_in_flight():
            resumption = self._process.resumption(token, offset)
            return await self._stream(request, resumption, offset=offset)

    async def cancel(self, request):
        """Ask the target of a request to stop it."""
        headers = _caller_headers(request)
        customer = self._process.admission.customer(
            self._process.require_index(), headers
        )
        token = read_token(self._process, request.match_info["token"], customer)
        await self._process.cancel(token)
        return web.Response(status=202)

    def _check_capacity(self, *, keyed):
        # With a key, another entry may have sent the call already: this one cannot
        # say that it has not run.
        ran = Ran.MAY_HAVE_RUN if keyed else Ran.NOT_RUN
        if self._process.rejecting:
            raise DrainingError(
                "this entry is being stopped; use another entry",
                ran=ran,
                retry_after_ms=self._process.retry_after_ms(0),
            )
        limit_count = self._process.settings.in_flight_limit_count
        if self._process.unfinished_count() >= limit_count:
            raise OverloadedError(
                f"this entry has reached its limit of {limit_count} requests in flight",
                ran=ran,
                retry_after_ms=self._process.retry_after_ms(0),
            )

    async def _answer(self, attempts):
        started_ms = self._process.clock.now_ms()
        try:
            answer = await attempts.answer()
        except asyncio.CancelledError:
            attempts.abandon()
            raise
        elapsed_ms = self._process.clock.now_ms() - started_ms
        self._process.metrics.record_ms("answer", elapsed_ms)
        return web.Response(
            status=answer.status,
            body=answer.body,
            headers={
                "Content-Type": answer.content_type,
                "Waxwing-Request": attempts.token(),
                "Waxwing-Target": attempts.target.name,
            },
        )

    async def _stream(self, request, attempts, *, offset=0):
        """Stream an answer to the caller.

        An answer that cannot be completed is cut off so that the caller can
        tell it from a complete one.
        """
        writer = StreamWriter(process=self._process, request=request, offset=offset)
        try:
            await writer.send_all(attempts)
        except asyncio.CancelledError:
            attempts.abandon()
            raise
        except ConnectionError:
            # The caller has disconnected.
            attempts.abandon()
        except RequestError as error:
            if not writer.started:
                raise
            await writer.abort(error)
        except Exception:
            if not writer.started:
                raise
            log.exception("streamed answer failed unexpectedly")
            await writer.abort(InternalError())
        return writer.response


def _caller_headers(request):
    return CallerHeaders(
        customer=request.headers.get("Waxwing-Customer", ""),
        authorization=request.headers.get("Authorization", ""),
        version=request.headers.get("Waxwing-Version", ""),
        adapter=request.headers.get("Waxwing-Adapter", ""),
        deadline_ms=request.headers.get("Waxwing-Deadline-Ms", ""),
        key=request.headers.get("Idempotency-Key"),
        content_type=request.headers.get("Content-Type", ""),
    )


async def _read_body(request):
    try:
        async with asyncio.timeout(BODY_READ_LIMIT_MS / MS_PER_SECOND):
            return await request.read()
    except TimeoutError:
        raise BadRequestError("the body did not arrive in time") from None


def _read_offset(request):
    text = request.query.get("offset") or request.headers.get("Last-Event-ID", "0")
    if not text.isascii() or not text.isdigit() or len(text) > 9:
        raise BadRequestError(f'offset: expected a number, got "{text[:32]}"')
    return int(text)
