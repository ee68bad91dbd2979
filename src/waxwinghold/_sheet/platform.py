"""Reads from the platform's configuration service."""

import random

import aiohttp

from .._clock import MS_PER_SECOND
from .._errors import WaxwingError

OK = 200
NO_CONTENT = 204
READ_LIMIT_BYTES = 1024 * 1024
ANSWER_LIMIT_MS = 1500
BACKOFF_FIRST_MS = 100
BACKOFF_MAX_MS = 2000


class PlatformError(WaxwingError):
    """The platform's service does not answer as it should."""

    code = "platform"
    exit_status = 6


class Backoff:
    """Waiting times that double up to a bound, with jitter.

    Args:
        random_ratio: Returns a number from 0 to 1; tests pass their own.
    """

    def __init__(self, *, random_ratio=random.random):
        self._random_ratio = random_ratio
        self._next_ms = BACKOFF_FIRST_MS

    def reset(self):
        """Begin again with the shortest wait."""
        self._next_ms = BACKOFF_FIRST_MS

    def next_ms(self):
        """Return the next wait, between half of its bound and the bound."""
        bound_ms = self._next_ms
        self._next_ms = min(BACKOFF_MAX_MS, bound_ms * 2)
        return bound_ms * (1 + self._random_ratio()) / 2


async def fetch(session, url, *, limit_ms):
    """Return the body of a read, or ``None`` for an answer without content.

    Raises:
        PlatformError: No answer in time, another status, or too large.
    """
    timeout = aiohttp.ClientTimeout(total=limit_ms / MS_PER_SECOND)
    try:
        async with session.get(url, timeout=timeout) as response:
            if response.status == NO_CONTENT:
                return None
            if response.status != OK:
                raise PlatformError(f"{url} answered with status {response.status}")
            return await _read_limited(response, url)
    except (aiohttp.ClientError, OSError) as error:
        cause = type(error).__name__
        raise PlatformError(f"{url} gave no answer: {cause} {error}") from error


async def _read_limited(response, url):
    chunks = []
    size = 0
    async for chunk in response.content.iter_any():
        size += len(chunk)
        if size > READ_LIMIT_BYTES:
            raise PlatformError(f"{url} sent more than {READ_LIMIT_BYTES} bytes")
        chunks.append(chunk)
    return b"".join(chunks)
