"""HTTP reads from the platform's configuration service, and retry delays."""

import random

import aiohttp

from .._clock import MS_PER_SECOND
from .._errors import WaxwingError
from .._http_bodies import read_body

OK = 200
NO_CONTENT = 204
READ_LIMIT_BYTES = 1024 * 1024
ANSWER_LIMIT_MS = 1500
BACKOFF_FIRST_MS = 100
BACKOFF_MAX_MS = 2000


class PlatformError(WaxwingError):
    """The configuration service is unreachable or sent an unusable answer."""

    code = "platform"
    exit_status = 6


class Backoff:
    """Retry delays that double up to a limit, with jitter.

    Args:
        random_ratio: Returns a random number from 0 to 1; tests pass a fixed one.
    """

    def __init__(self, *, random_ratio=random.random):
        self._random_ratio = random_ratio
        self._next_ms = BACKOFF_FIRST_MS

    def reset(self):
        """Start again with the shortest delay."""
        self._next_ms = BACKOFF_FIRST_MS

    def next_ms(self):
        """Return the next delay in milliseconds.

        The delay lies between half of the current limit and that limit.
        """
        limit_ms = self._next_ms
        self._next_ms = min(BACKOFF_MAX_MS, limit_ms * 2)
        return limit_ms * (1 + self._random_ratio()) / 2


async def fetch(session, url, *, limit_ms):
    """Return the body of a GET request, or ``None`` for status 204.

    Args:
        session: The ``aiohttp.ClientSession`` to use.
        url: The URL to read.
        limit_ms: Time limit for the whole answer.

    Raises:
        PlatformError: There was no answer in time, the status is neither 200 nor
            204, or the body is larger than ``READ_LIMIT_BYTES``.
    """
    timeout = aiohttp.ClientTimeout(total=limit_ms / MS_PER_SECOND)
    try:
        async with session.get(url, timeout=timeout) as response:
            if response.status == NO_CONTENT:
                return None
            if response.status != OK:
                raise PlatformError(f"{url} answered with status {response.status}")
            return await read_body(response, limit_bytes=READ_LIMIT_BYTES)
    except (aiohttp.ClientError, OSError) as error:  # OSError includes TimeoutError.
        cause = type(error).__name__
        raise PlatformError(f"cannot read {url}: {cause} {error}") from error
