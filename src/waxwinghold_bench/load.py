"""Generates a load of streamed requests and records latency histograms."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import aiohttp
from hdrh.histogram import HdrHistogram

NS_PER_US = 1000
US_PER_MS = 1000
HIGHEST_US = 60_000_000
SIGNIFICANT_DIGITS = 3
END_MARK = b"event: end"
TOKEN_MARK = b"id: "
ANSWER_LIMIT_S = 30


def _histogram():
    return HdrHistogram(1, HIGHEST_US, SIGNIFICANT_DIGITS)


@dataclass(frozen=True, kw_only=True)
class Call:
    """One HTTP request to send.

    Args:
        url: URL to post to.
        body: JSON body as plain types.
        headers: HTTP headers.
    """

    url: str
    body: dict
    headers: dict[str, str] = field(default_factory=dict)


@dataclass(kw_only=True)
class LoadResult:
    """Counts and latencies of a load.

    Attributes:
        first_token: Times to the first token in microseconds.
        between_tokens: Times between two chunks with tokens in microseconds.
        complete_count: Answers that arrived with their end event.
        failed_count: Requests with an error, or whose answer was cut short.
        tokens_count: Tokens of all answers.
        elapsed_s: Duration of the load in seconds.
    """

    first_token: HdrHistogram = field(default_factory=_histogram)
    between_tokens: HdrHistogram = field(default_factory=_histogram)
    complete_count: int = 0
    failed_count: int = 0
    tokens_count: int = 0
    elapsed_s: float = 0.0

    @property
    def requests_per_second(self):
        """Complete answers per second."""
        return self.complete_count / self.elapsed_s


def percentile_ms(histogram, percentile):
    """Return a percentile in milliseconds of a histogram in microseconds."""
    return histogram.get_value_at_percentile(percentile) / US_PER_MS


async def run_load(*, make_call: Callable[[], Call], callers_count, duration_s):
    """Send streamed requests from concurrent callers and measure them.

    Every caller sends its next request when the previous one has ended.

    Args:
        make_call: Returns the next request to send.
        callers_count: Number of concurrent callers.
        duration_s: Time in seconds after which no caller starts a request.

    Returns:
        The ``LoadResult``.
    """
    result = LoadResult()
    start_s = time.monotonic()
    connector = aiohttp.TCPConnector(limit=callers_count)
    timeout = aiohttp.ClientTimeout(total=ANSWER_LIMIT_S)
    async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
        callers = [
            _call_until(session, make_call, start_s + duration_s, result)
            for _ in range(callers_count)
        ]
        await asyncio.gather(*callers)
    result.elapsed_s = time.monotonic() - start_s
    return result


async def _call_until(session, make_call, end_s, result):
    while time.monotonic() < end_s:
        try:
            complete = await _send_call(session, make_call(), result)
        except (aiohttp.ClientError, TimeoutError):
            complete = False
        if complete:
            result.complete_count += 1
        else:
            result.failed_count += 1


async def _send_call(session, call, result):
    """Send one request and read its answer; return whether the end event arrived."""
    last_ns = time.monotonic_ns()
    is_first = True
    tail = b""
    async with session.post(call.url, json=call.body, headers=call.headers) as answer:
        if answer.status != 200:
            return False
        async for chunk in answer.content.iter_any():
            arrived_count = chunk.count(TOKEN_MARK)
            tail = (tail + chunk)[-256:]
            if not arrived_count:
                continue
            now_ns = time.monotonic_ns()
            histogram = result.first_token if is_first else result.between_tokens
            histogram.record_value(max(1, (now_ns - last_ns) // NS_PER_US))
            result.tokens_count += arrived_count
            is_first, last_ns = False, now_ns
    return END_MARK in tail
