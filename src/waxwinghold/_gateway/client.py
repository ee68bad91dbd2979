"""An HTTP client with one persistent connection."""

import asyncio

from .answer_sizes import BODY_LIMIT_BYTES
from .connection import open_connection
from .errors import BodyTooLongError, SilentTargetError

MS_PER_SECOND = 1000
# A round trip takes a few ms; TCP resends a lost packet after 1 s.
CONNECT_LIMIT_MS = 500.0


class KeepAliveClient:
    """Sends HTTP requests to one address over one connection, reopened when needed.

    Args:
        address: ``(ip, port)``.
    """

    def __init__(self, *, address):
        self._address = address
        self._connection = None
        self._lock = asyncio.Lock()

    async def call(self, method, path, *, limit_ms, body=None):
        """Send a request and return the ``(status, body)`` of its answer.

        ``exchange`` does the same and returns the ``AnswerHead`` and the body.
        """
        head, body = await self.exchange(method, path, limit_ms=limit_ms, body=body)
        return head.status, body

    async def exchange(
        self,
        method,
        path,
        *,
        limit_ms,
        body=None,
        body_limit_bytes=BODY_LIMIT_BYTES,
    ):
        """Send a request and return the ``AnswerHead`` and the body of its answer.

        Concurrent calls are sent one after another.

        Args:
            method: The HTTP method.
            path: Path and query.
            limit_ms: Longest time in milliseconds for this call, without the wait
                for earlier calls.
            body: JSON to send, as bytes; ``None`` for no body.
            body_limit_bytes: Longest body of the answer. A longer one is not read.

        Raises:
            BodyTooLongError: The answer's body is longer.
            SendError: No complete answer arrived in time.
        """
        async with self._lock:
            try:
                async with asyncio.timeout(limit_ms / MS_PER_SECOND):
                    return await self._exchange(
                        method, path, body, body_limit_bytes=body_limit_bytes
                    )
            except TimeoutError as error:
                self.close()
                reason = f"no answer within {limit_ms:.0f} ms"
                raise SilentTargetError(reason) from error
            except BaseException:
                self.close()
                raise

    def close(self):
        """Reset the connection, if there is one."""
        if self._connection is not None:
            self._connection.abort()
            self._connection = None

    async def _exchange(self, method, path, body, *, body_limit_bytes):
        connection = self._connection
        if connection is None or not connection.reusable:
            self.close()
            connection = await open_connection(self._address, limit_ms=CONNECT_LIMIT_MS)
            self._connection = connection
        connection.send(
            self._request(method, path, body), body_limit_bytes=body_limit_bytes
        )
        head = await connection.head()
        length = head.get(b"content-length") or ""
        if length.isdecimal() and int(length) > body_limit_bytes:
            raise BodyTooLongError(what="body", limit=f"{body_limit_bytes} bytes")
        return head, await connection.whole_body()

    def _request(self, method, path, body):
        lines = [f"{method} {path} HTTP/1.1"]
        lines.append(f"Host: {self._address[0]}:{self._address[1]}")
        if body is not None:
            lines.append("Content-Type: application/json")
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join([*lines, "", ""]).encode() + (body or b"")
