"""The agent's client of its target: a model engine or a plain service."""

import asyncio
import enum
import math
from dataclasses import dataclass
from typing import Annotated

import aiohttp
import msgspec

from .._errors import (
    TargetCrashedError,
    TargetFailedError,
    TargetPausedError,
    TargetRefusedError,
)
from .._gateway.notices import Count
from .._http_bodies import LongBodyError, check_head, close_long, read_body, read_json
from .announcements import requested_pause_ms
from .events import EventParser

HEALTH_LIMIT_MS = 400
PROBE_LIMIT_MS = 1000
ERROR_TEXT_LIMIT_BYTES = 200
STREAM_LIMIT_BYTES = 16 * 1024 * 1024  # All events are kept for callers that resume.
CONNECTIONS_LIMIT_COUNT = 1024
BODILESS_STATUSES = frozenset({204, 304})
RESUME_INTERVAL_MS = 50


Milliseconds = Annotated[float, msgspec.Meta(ge=0, le=1e9)]


class Health(enum.Enum):
    """The result of a health check."""

    GOOD = "good"
    BAD = "bad"
    SILENT = "silent"


@dataclass(frozen=True, kw_only=True)
class PlainAnswer:
    """A target's answer to a call that is not streamed."""

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, kw_only=True)
class EngineLoad:
    """Load figures of an engine, which are ``age_ms`` old."""

    waiting_count: Count = 0
    running_count: Count = 0
    slots_count: Count = 0
    step_ms: Milliseconds = 0.0
    age_ms: Milliseconds = 0.0


class CacheEvent(msgspec.Struct, frozen=True):
    """A prefix that an engine stored or dropped."""

    sequence: Count = 0
    prefix: str = ""
    kind: str = ""


class CacheEvents(msgspec.Struct, frozen=True):
    """An engine's answer with its cache events."""

    events: list[CacheEvent] = []


class RequestState(msgspec.Struct, frozen=True):
    """An engine's answer about one request."""

    length: int = 0
    state: str = ""


class TargetClient:
    """HTTP client of a target.

    ``docs/design/engine-protocol.md`` describes the protocol.

    Args:
        url: The target's URL, ``http://IP:PORT``.
        silence_ms: Time without data on a stream after which the engine is asked,
            over a new connection, whether it has more events.
        trace_configs: The ``aiohttp.TraceConfig`` objects of all requests.
    """

    def __init__(self, *, url, silence_ms, trace_configs=()):
        self._url = url
        self._silence_ms = silence_ms
        self._pooled = _session(force_close=False, trace_configs=trace_configs)
        # A pooled connection may be dead or closed by the target. A request that
        # fails on it might have run or not, so requests use new connections.
        self._fresh = _session(force_close=True, trace_configs=trace_configs)

    async def close(self):
        """Close all connections."""
        await self._pooled.close()
        await self._fresh.close()

    async def is_healthy(self):
        """Return whether the target passes its health check now."""
        return await self.health() is Health.GOOD

    async def health(self):
        """Return the ``Health`` that a check of the target shows now.

        A pooled connection may be dead, so only a good result over it counts.
        Any other result is checked again over a new connection.
        """
        if await self._check_health(self._pooled) is Health.GOOD:
            return Health.GOOD
        return await self._check_health(self._fresh)

    async def _check_health(self, session):
        timeout = aiohttp.ClientTimeout(total=HEALTH_LIMIT_MS / 1000)
        try:
            async with session.get(f"{self._url}/health", timeout=timeout) as response:
                document = await read_json(response)
        except TimeoutError:
            return Health.SILENT
        except (aiohttp.ClientError, ValueError):
            return Health.BAD
        if not isinstance(document, dict):
            return Health.BAD
        # An engine that makes no steps still answers health checks.
        is_stalled = not document.get("steps_running", True)
        return Health.GOOD if document.get("healthy") and not is_stalled else Health.BAD

    async def load(self):
        """Return the engine's ``EngineLoad``, or ``None`` if it cannot be read."""
        timeout = aiohttp.ClientTimeout(total=PROBE_LIMIT_MS / 1000)
        try:
            async with self._pooled.get(
                f"{self._url}/load", timeout=timeout
            ) as response:
                return msgspec.json.decode(await read_body(response), type=EngineLoad)
        except (
            aiohttp.ClientError,
            TimeoutError,
            msgspec.DecodeError,
            RecursionError,
        ):
            return None

    async def cache_events(self, *, after):
        """Return the engine's cache events with a sequence above ``after``."""
        timeout = aiohttp.ClientTimeout(total=PROBE_LIMIT_MS / 1000)
        url = f"{self._url}/cache_events?after={after}"
        try:
            async with self._pooled.get(url, timeout=timeout) as response:
                document = await read_json(response)
            return msgspec.convert(document, CacheEvents).events
        except (aiohttp.ClientError, TimeoutError, ValueError):
            return []

    async def call(self, submit):
        """Send a plain call and return its whole answer.

        Raises:
            TargetRefusedError: Nothing was sent.
            TargetPausedError: The target rejected the call and asked for a pause.
            TargetCrashedError: The target crashed; the call may have run.
            TargetFailedError: The answer was incomplete or too large.
        """
        headers = {
            "Content-Type": submit.content_type or "application/json",
            "Waxwing-Request-Id": submit.request_id,
            "Waxwing-Customer": submit.customer,
        }
        url = f"{self._url}/calls/{submit.call}"
        try:
            async with self._fresh.post(
                url, data=submit.body, headers=headers
            ) as response:
                _raise_if_paused(response)
                check_head(response)
                closed = _closed(response)
                body = await read_body(response)
                await _check_end(response, closed)
                return PlainAnswer(
                    status=response.status,
                    content_type=response.headers.get("Content-Type", ""),
                    body=body,
                )
        except LongBodyError as error:
            raise TargetFailedError(str(error)) from error
        except aiohttp.ClientConnectorError as error:
            raise TargetRefusedError(f"the target is not reachable: {error}") from error
        except aiohttp.ClientError as error:
            raise await self._classify(error) from error

    async def generate(self, submit):
        """Yield lists of events of a generated answer, in order, until its end.

        A silent connection is replaced if a probe over a new connection shows
        that the engine has produced more events. A slow engine keeps its
        connection.

        Raises:
            TargetRefusedError: Nothing was sent.
            TargetPausedError: The engine rejected the request and asked for a pause.
            TargetCrashedError: The engine crashed.
            TargetFailedError: The engine refused or lost the request.
        """
        offset = len(submit.given)
        stream_size = _StreamSize()
        request = self._post(submit)
        was_sent = False
        while True:
            stream = await self._open(request, submit.request_id, was_sent=was_sent)
            was_sent = True
            if stream is not None:
                try:
                    async for events, length in self._read(
                        stream, submit, offset, stream_size
                    ):
                        if events:
                            offset += len(events)
                            yield events
                        if length is not None:
                            _check_length(length, offset)
                            return
                finally:
                    stream.close()
            # The deadline of the request limits the number of attempts.
            await asyncio.sleep(RESUME_INTERVAL_MS / 1000)
            url = f"{self._url}/requests/{submit.request_id}/stream?offset={offset}"
            request = self._fresh.get(url)

    async def cancel(self, request_id):
        """Ask the engine to stop a request; errors are ignored."""
        timeout = aiohttp.ClientTimeout(total=PROBE_LIMIT_MS / 1000)
        url = f"{self._url}/requests/{request_id}"
        try:
            async with self._pooled.delete(url, timeout=timeout):
                pass
        except (aiohttp.ClientError, TimeoutError):
            pass

    def _post(self, submit):
        document = _generate_document(submit)
        return self._fresh.post(f"{self._url}/generate", json=document)

    async def _open(self, request, request_id, *, was_sent):
        """Open the stream of a request.

        Args:
            was_sent: Whether the request was sent to the engine before.

        Returns:
            The response; ``None`` if none came in time although the engine
            holds the request.
        """
        try:
            async with asyncio.timeout(self._silence_ms / 1000):
                response = await request
        except TimeoutError:
            await self._check_request_held(request_id)
            return None
        except aiohttp.ClientConnectorError as error:
            if was_sent:
                raise TargetCrashedError(f"the engine is gone: {error}") from error
            raise TargetRefusedError(f"the engine is not reachable: {error}") from error
        except aiohttp.ClientError as error:
            raise await self._classify(error) from error
        if response.status != 200:
            if not was_sent:
                _raise_if_paused(response)
            text = await self._error_text(response)
            raise TargetFailedError(f"the engine answered {response.status}: {text}")
        return response

    async def _error_text(self, response):
        """Return the beginning of the body of an error, and close the connection."""
        try:
            async with asyncio.timeout(PROBE_LIMIT_MS / 1000):
                text = await response.content.read(ERROR_TEXT_LIMIT_BYTES)
        except (aiohttp.ClientError, TimeoutError) as error:
            return f"no reason given: {error!r}"
        finally:
            response.close()
        return text.decode("utf-8", "replace")

    async def _read(self, response, submit, offset, stream_size):
        """Yield (events, length) pairs of ``EventParser.feed`` until the stream ends.

        Stops early if the connection is lost but the engine holds the request.

        Raises:
            TargetFailedError: The events exceed ``STREAM_LIMIT_BYTES``.
        """
        parser = EventParser()
        try:
            while True:
                try:
                    async with asyncio.timeout(self._silence_ms / 1000):
                        data = await response.content.readany()
                except TimeoutError:
                    if await self._has_advanced(submit.request_id, offset):
                        return
                    continue
                if not data:
                    await self._check_request_held(submit.request_id)
                    return
                stream_size.add(response, data)
                events, length = parser.feed(data)
                offset += len(events)
                yield events, length
                if length is not None:
                    return
        except LongBodyError as error:
            raise TargetFailedError(str(error)) from error
        except aiohttp.ClientError:
            await self._check_request_held(submit.request_id)

    async def _has_advanced(self, request_id, offset):
        """Return whether the request has ended or has events beyond ``offset``."""
        try:
            state = await self._read_state(request_id)
        except TargetCrashedError as error:
            # An engine that does not answer may only be paused.
            if isinstance(error.__cause__, aiohttp.ClientConnectorError):
                raise
            return False
        return state.length > offset or state.state == "ended"

    async def _check_request_held(self, request_id):
        """Raise unless the engine still holds the request and can resume it."""
        await self._read_state(request_id)

    async def _read_state(self, request_id):
        """Return the engine's state of a request.

        Raises:
            TargetCrashedError: The engine does not answer.
            TargetFailedError: The engine does not hold the request.
        """
        timeout = aiohttp.ClientTimeout(total=PROBE_LIMIT_MS / 1000)
        url = f"{self._url}/requests/{request_id}"
        try:
            async with self._fresh.get(url, timeout=timeout) as response:
                if response.status == 404:
                    raise TargetFailedError("the engine lost the request")
                return msgspec.convert(await read_json(response), RequestState)
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            raise TargetCrashedError(f"the engine is gone: {error!r}") from error

    async def _classify(self, error):
        """Return the ``RequestError`` for a connection error."""
        if await self.is_healthy():
            return TargetFailedError(f"the connection to the target failed: {error!r}")
        return TargetCrashedError(f"the target crashed: {error!r}")


class _StreamSize:
    """Counts the bytes of a stream over all connections that carried parts of it."""

    def __init__(self):
        self._size_bytes = 0

    def add(self, response, data):
        """Count ``data``.

        Raises:
            LongBodyError: The stream exceeds ``STREAM_LIMIT_BYTES``.
        """
        self._size_bytes += len(data)
        if self._size_bytes > STREAM_LIMIT_BYTES:
            raise close_long(response, what="stream", limit_bytes=STREAM_LIMIT_BYTES)


def _generate_document(submit):
    try:
        document = msgspec.json.decode(submit.body, type=dict)
    except (msgspec.DecodeError, RecursionError):
        document = {}
    return {
        "request_id": submit.request_id,
        "prompt": document.get("prompt", ""),
        "max_tokens": document.get("max_tokens", 64),
        "priority": submit.priority,
        "adapter": submit.adapter,
        "given": list(submit.given),
    }


def _check_length(length, offset):
    if length != offset:
        raise TargetFailedError(
            f"the engine counts {length} events, the agent {offset}"
        )


def _raise_if_paused(response):
    pause_ms = requested_pause_ms(response.status, response.headers)
    if pause_ms is not None:
        response.close()
        raise TargetPausedError(retry_after_ms=math.ceil(pause_ms))


def _closed(response):
    """Return the future of the end of a connection; ``None`` if it has ended."""
    connection = response.connection
    if connection is None:
        return None
    closed = connection.protocol.closed
    if closed is not None:
        # Without a reader, a failure would be reported as one that nobody handles.
        closed.add_done_callback(_retrieve_exception)
    return closed


def _retrieve_exception(future):
    if not future.cancelled():
        future.exception()


async def _check_end(response, closed):
    """Check that an answer without a length was not cut by a reset of its connection.

    The client takes the reset for the end of such an answer.

    Args:
        response: The response, whose body was read.
        closed: The result of ``_closed`` before the body was read.

    Raises:
        aiohttp.ClientConnectionError: The connection was reset, or it is unknown.
    """
    has_end = "Content-Length" in response.headers or _is_chunked(response)
    if has_end or response.status in BODILESS_STATUSES:
        return
    if closed is None:
        raise aiohttp.ClientConnectionError("the end of the answer was not seen")
    await closed


def _is_chunked(response):
    coding = response.headers.get("Transfer-Encoding", "")
    return coding.strip().lower().endswith("chunked")


def _session(*, force_close, trace_configs):
    connector = aiohttp.TCPConnector(
        limit=CONNECTIONS_LIMIT_COUNT, force_close=force_close
    )
    timeout = aiohttp.ClientTimeout(total=None, sock_connect=HEALTH_LIMIT_MS / 1000)
    return aiohttp.ClientSession(
        connector=connector, timeout=timeout, trace_configs=list(trace_configs)
    )
