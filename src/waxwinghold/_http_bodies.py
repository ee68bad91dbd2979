"""Reads bodies of answers that the HTTP client received, up to a limit of their size.

The client bounds the heads of answers itself, but neither the size of a body nor the
depth of a JSON document.
"""

import json

import aiohttp
import logbook

from ._decisions.answer_origin import has_joined_head
from ._gateway.answer_sizes import answer_sizes

log = logbook.Logger("http_bodies")

BODY_LIMIT_BYTES = 3 * 1024 * 1024


class LongBodyError(aiohttp.ClientError):
    """The body of an answer exceeds a limit."""


async def read_body(response, *, limit_bytes=BODY_LIMIT_BYTES):
    """Return the body of an ``aiohttp`` response.

    Raises:
        LongBodyError: It is longer than ``limit_bytes``, or it is the longest of all
            bodies that the process receives and they need too much memory; the
            connection is closed.
    """
    received = _ReceivedBody(response)
    try:
        async for piece in response.content.iter_any():
            received.add(piece)
            if len(received.body) > limit_bytes:
                raise close_long(response, what="body", limit_bytes=limit_bytes)
        received.check()
        return bytes(received.body)
    finally:
        received.close()


class _ReceivedBody:
    """A body, accounted for among all that the process receives at once."""

    def __init__(self, response):
        self._response = response
        self._error = None
        self.body = bytearray()

    def add(self, piece):
        self.check()
        self.body += piece
        answer_sizes.record(self, len(self.body))
        self.check()

    def check(self):
        """Raise the error of a body that was ended for its memory."""
        if self._error is not None:
            raise self._error

    def close(self):
        # An error keeps the frames that it passed, and they keep the body.
        self.body.clear()
        answer_sizes.release(self)

    def end_for_memory(self, limit_bytes):
        self.close()
        self._error = close_long(
            self._response, what="sum of all bodies with that", limit_bytes=limit_bytes
        )


async def read_json(response, *, limit_bytes=BODY_LIMIT_BYTES):
    """Return the JSON document in the body of an ``aiohttp`` response.

    Raises:
        LongBodyError: The body is longer than ``limit_bytes``.
        ValueError: The body is no JSON document.
    """
    body = await read_body(response, limit_bytes=limit_bytes)
    try:
        return json.loads(body)
    except RecursionError as error:
        raise ValueError("JSON nested too deeply") from error


def check_head(response):
    """Check that a head that was broken off was not joined with that of another answer.

    Raises:
        aiohttp.ClientPayloadError: It was; the status may be that of either.
    """
    values = (value for _, value in response.raw_headers)
    reason = (response.reason or "").encode("utf-8", "surrogateescape")
    if has_joined_head((reason, *values)):
        response.close()
        raise aiohttp.ClientPayloadError("another answer begins inside the answer")


def close_long(response, *, what, limit_bytes):
    """Close the connection of a too long answer and return the ``LongBodyError``."""
    response.close()
    answer_sizes.overlong_count += 1
    url = str(response.url)
    log.warn(
        "answer too long, connection closed",
        extra={"url": url, "what": what, "limit": f"{limit_bytes} bytes"},
    )
    return LongBodyError(f"{what} of {url} exceeds {limit_bytes} bytes")
