"""HTTP responses for errors."""

import math

from aiohttp import web

MS_PER_SECOND = 1000


def error_response(error):
    """Return the HTTP response for a ``RequestError``, with its verdict."""
    headers = {"Waxwing-Ran": error.ran.value, "Waxwing-Error": error.code}
    if error.retry_after_ms is not None:
        seconds = math.ceil(error.retry_after_ms / MS_PER_SECOND)
        headers["Retry-After"] = str(seconds)
    return web.json_response(
        error_document(error), status=error.status, headers=headers
    )


def error_document(error):
    """Return a ``RequestError`` as the JSON document that callers get."""
    return {
        "error": {
            "code": error.code,
            "reason": str(error),
            "ran": error.ran.value,
            "retry_after_ms": error.retry_after_ms,
        }
    }
