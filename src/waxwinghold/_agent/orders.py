"""Client for orders to an engine, each with a fencing number."""

import aiohttp

from .._errors import WaxwingError
from .._http_bodies import check_head, read_json

ORDER_LIMIT_MS = 2000
OK = 200
CONFLICT = 409
# Attempts to send an order with a fencing number that the engine accepts.
FENCE_TRIES_COUNT = 3


class EngineUnreachableError(WaxwingError):
    """Raised when the engine gave no answer to an order or a query."""

    code = "engine_unreachable"

    def __init__(self, *, path, cause):
        super().__init__(f'the engine gave no answer at "{path}": {cause!r}')


class OrderRefusedError(WaxwingError):
    """Raised when the engine answered that it cannot execute an order."""

    code = "order_refused"

    def __init__(self, *, order, status, reason):
        super().__init__(f'the engine refused order "{order}" ({status}): {reason}')
        self.status = status


class OrderClient:
    """Sends orders and queries to one engine over HTTP.

    Args:
        url: The engine's URL, ``http://IP:PORT``.
        fencing: The ``FencingNumbers`` of this agent incarnation.
        trace_configs: The ``aiohttp.TraceConfig`` objects of all requests.
    """

    def __init__(self, *, url, fencing, trace_configs=()):
        self._url = url
        self._fencing = fencing
        timeout = aiohttp.ClientTimeout(total=ORDER_LIMIT_MS / 1000)
        # An order must never be sent over a connection that the engine closed.
        connector = aiohttp.TCPConnector(force_close=True)
        self._session = aiohttp.ClientSession(
            timeout=timeout, connector=connector, trace_configs=list(trace_configs)
        )

    async def close(self):
        """Close all connections."""
        await self._session.close()

    async def read(self, path):
        """Return the engine's answer at ``path``.

        Returns:
            The JSON object; empty if the answer is JSON but not an object.

        Raises:
            EngineUnreachableError: There was no answer, or it was an error or not
                JSON.
        """
        try:
            async with self._session.get(self._url + path) as response:
                check_head(response)
                response.raise_for_status()
                document = await read_json(response)
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            raise EngineUnreachableError(path=path, cause=error) from error
        return document if isinstance(document, dict) else {}

    async def send_order(self, name, **fields):
        """Send an order with the next fencing number.

        An engine that has seen a higher number returns it, and the order is
        sent again with a number above it.

        Raises:
            EngineUnreachableError: The order may or may not have arrived.
            OrderRefusedError: The engine cannot execute the order.
            SupersededError: A newer agent sends orders to this engine.
        """
        for _ in range(FENCE_TRIES_COUNT):
            fence = self._fencing.next()
            status, document = await self._post(name, fence, fields)
            if status == OK:
                self._fencing.record_accepted()
                return
            if status != CONFLICT:
                break
            seen_fence = document.get("fence", fence)
            if not isinstance(seen_fence, int):
                break
            self._fencing.record_refused(fence=fence, seen_fence=seen_fence)
        reason = document.get("reason", "no reason given")
        raise OrderRefusedError(order=name, status=status, reason=reason)

    async def _post(self, name, fence, fields):
        body = {"fence": fence, "order": name, **fields}
        try:
            async with self._session.post(f"{self._url}/orders", json=body) as response:
                check_head(response)
                document = await read_json(response)
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            raise EngineUnreachableError(path="/orders", cause=error) from error
        return response.status, document if isinstance(document, dict) else {}
