"""The agent's client of its target: a model engine or a plain service."""

import asyncio
import enum
from dataclasses import dataclass

import aiohttp
import msgspec

from .._errors import TargetCrashedError, TargetFailedError, TargetRefusedError
from .events import EventParser

HEALTH_LIMIT_MS = 400
PROBE_LIMIT_MS = 1000
ANSWER_LIMIT_BYTES = 3 * 1024 * 1024
CONNECTIONS_LIMIT_COUNT = 1024
RESUME_INTERVAL_MS = 50


class Health(enum.Enum):
    """What a health check of the target shows."""

    GOOD = "good"
    BAD = "bad"
    SILENT = "silent"


@dataclass(frozen=True, kw_only=True)
class PlainAnswer:
    """What a target answered to a call that is not streamed."""

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, kw_only=True)
class EngineLoad:
    """The engine's own figures, which lag by ``age_ms``."""

    waiting_count: int = 0
    running_count: int = 0
    slots_count: int = 0
    step_ms: float = 0.0
    age_ms: float = 0.0


class TargetClient:
    """Speaks HTTP with the target, as ``docs/design/engine-protocol.md`` says.

    Args:
        url: The target, ``http://IP:PORT``.
        silence_ms: Silence of a stream's connection before it is probed.
    """

    def __init__(self, *, url, silence_ms):
        self._url = url
        self._silence_ms = silence_ms
        self._pooled = _session(force_close=False)
        # A pooled connection may have gone silent or been closed by the target,
        # which would leave open whether a request ran: requests go over new ones.
        self._fresh = _session(force_close=True)

    async def close(self):
        """Close every connection."""
        await self._pooled.close()
        await self._fresh.close()

    async def is_healthy(self):
        """Return whether the target answers its health check now."""
        return await self.health() is Health.GOOD

    async def health(self):
        """Return what a health check shows now.

        A pooled connection may have gone silent, so that only a good answer
        over it counts; anything else is checked over a new one.
        """
        if await self._check_health(self._pooled) is Health.GOOD:
            return Health.GOOD
        return await self._check_health(self._fresh)

    async def _check_health(self, session):
        timeout = aiohttp.ClientTimeout(total=HEALTH_LIMIT_MS / 1000)
        try:
            async with session.get(f"{self._url}/health", timeout=timeout) as response:
                document = await response.json()
        except TimeoutError:
            return Health.SILENT
        except (aiohttp.ClientError, ValueError):
            return Health.BAD
        if not isinstance(document, dict):
            return Health.BAD
        # An engine whose steps stand answers all the same.
        stands = not document.get("steps_running", True)
        return Health.GOOD if document.get("healthy") and not stands else Health.BAD

    async def load(self):
        """Return the engine's load, or ``None`` where it cannot be read."""
        timeout = aiohttp.ClientTimeout(total=PROBE_LIMIT_MS / 1000)
        try:
            async with self._pooled.get(
                f"{self._url}/load", timeout=timeout
            ) as response:
                return msgspec.json.decode(await response.read(), type=EngineLoad)
        except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError):
            return None

    async def cache_events(self, *, after):
        """Return the engine's cache events behind the sequence ``after``."""
        timeout = aiohttp.ClientTimeout(total=PROBE_LIMIT_MS / 1000)
        url = f"{self._url}/cache_events?after={after}"
        try:
            async with self._pooled.get(url, timeout=timeout) as response:
                return (await response.json()).get("events", [])
        except (aiohttp.ClientError, TimeoutError, ValueError, AttributeError):
            return []

    async def call(self, submit):
        """Run a plain call and return its whole answer.

        Raises:
            TargetRefusedError: Nothing was sent.
            TargetCrashedError: The target went away; the call may have run.
            TargetFailedError: The answer broke off or was too large.
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
                body = await _read_limited(response)
                return PlainAnswer(
                    status=response.status,
                    content_type=response.headers.get("Content-Type", ""),
                    body=body,
                )
        except aiohttp.ClientConnectorError as error:
            raise TargetRefusedError(f"the target is not reachable: {error}") from error
        except aiohttp.ClientError as error:
            raise await self._explain(error) from error

    async def generate(self, submit):
        """Yield lists of events of a generated answer, in order, to its end.

        A connection that goes silent is replaced once a probe over a new one
        shows that the engine has gone on; slow work is left alone.

        Raises:
            TargetRefusedError: Nothing was sent.
            TargetCrashedError: The engine went away.
            TargetFailedError: The engine refused or lost the request.
        """
        place = len(submit.given)
        request = self._start(submit)
        begun = False
        while True:
            stream = await self._open(request, submit.request_id, begun=begun)
            begun = True
            if stream is not None:
                try:
                    async for events, length in self._read(stream, submit, place):
                        if events:
                            place += len(events)
                            yield events
                        if length is not None:
                            _check_length(length, place)
                            return
                finally:
                    stream.close()
            # The request's deadline bounds how often this is tried.
            await asyncio.sleep(RESUME_INTERVAL_MS / 1000)
            url = f"{self._url}/requests/{submit.request_id}/stream?offset={place}"
            request = self._fresh.get(url)

    async def cancel(self, request_id):
        """Ask the engine to stop a request; failures are of no consequence."""
        timeout = aiohttp.ClientTimeout(total=PROBE_LIMIT_MS / 1000)
        url = f"{self._url}/requests/{request_id}"
        try:
            async with self._pooled.delete(url, timeout=timeout):
                pass
        except (aiohttp.ClientError, TimeoutError):
            pass

    def _start(self, submit):
        document = _generate_document(submit)
        return self._fresh.post(f"{self._url}/generate", json=document)

    async def _open(self, request, request_id, *, begun):
        """Return the response, or ``None`` if the engine works on it in silence.

        Args:
            begun: Whether the engine has had the request before.
        """
        try:
            async with asyncio.timeout(self._silence_ms / 1000):
                response = await request
        except TimeoutError:
            await self._check_known(request_id)
            return None
        except aiohttp.ClientConnectorError as error:
            if begun:
                raise TargetCrashedError(f"the engine is gone: {error}") from error
            raise TargetRefusedError(f"the engine is not reachable: {error}") from error
        except aiohttp.ClientError as error:
            raise await self._explain(error) from error
        if response.status != 200:
            text = (await response.text())[:200]
            response.close()
            raise TargetFailedError(f"the engine answered {response.status}: {text}")
        return response

    async def _read(self, response, submit, place):
        """Yield (events, length) pairs; end early if the connection is dead."""
        parser = EventParser()
        try:
            while True:
                try:
                    async with asyncio.timeout(self._silence_ms / 1000):
                        data = await response.content.readany()
                except TimeoutError:
                    if await self._has_gone_on(submit.request_id, place):
                        return
                    continue
                if not data:
                    await self._check_known(submit.request_id)
                    return
                events, length = parser.feed(data)
                place += len(events)
                yield events, length
                if length is not None:
                    return
        except aiohttp.ClientError:
            await self._check_known(submit.request_id)

    async def _has_gone_on(self, request_id, place):
        """Return whether the engine is ahead of what its connection brought."""
        try:
            state = await self._state(request_id)
        except TargetCrashedError as error:
            # An engine that does not answer may be paused and come back.
            if isinstance(error.__cause__, aiohttp.ClientConnectorError):
                raise
            return False
        return state.get("length", 0) > place or state.get("state") == "ended"

    async def _check_known(self, request_id):
        """Return if the engine still holds the request, so that it can be resumed."""
        await self._state(request_id)

    async def _state(self, request_id):
        timeout = aiohttp.ClientTimeout(total=PROBE_LIMIT_MS / 1000)
        url = f"{self._url}/requests/{request_id}"
        try:
            async with self._fresh.get(url, timeout=timeout) as response:
                if response.status == 404:
                    raise TargetFailedError("the engine lost the request")
                return await response.json()
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            raise TargetCrashedError(f"the engine is gone: {error!r}") from error

    async def _explain(self, error):
        """Return the error that a broken connection stands for."""
        if await self.is_healthy():
            return TargetFailedError(f"the target broke off: {error!r}")
        return TargetCrashedError(f"the target went away: {error!r}")


def _generate_document(submit):
    try:
        document = msgspec.json.decode(submit.body, type=dict)
    except msgspec.DecodeError:
        document = {}
    return {
        "request_id": submit.request_id,
        "prompt": document.get("prompt", ""),
        "max_tokens": document.get("max_tokens", 64),
        "priority": submit.priority,
        "adapter": submit.adapter,
        "given": list(submit.given),
    }


def _check_length(length, place):
    if length != place:
        raise TargetFailedError(f"the engine ended at {length} after {place} events")


async def _read_limited(response):
    body = bytearray()
    async for piece in response.content.iter_any():
        body += piece
        if len(body) > ANSWER_LIMIT_BYTES:
            raise TargetFailedError(f"the answer exceeds {ANSWER_LIMIT_BYTES} bytes")
    return bytes(body)


def _session(*, force_close):
    connector = aiohttp.TCPConnector(
        limit=CONNECTIONS_LIMIT_COUNT, force_close=force_close
    )
    timeout = aiohttp.ClientTimeout(total=None, sock_connect=HEALTH_LIMIT_MS / 1000)
    return aiohttp.ClientSession(connector=connector, timeout=timeout)
