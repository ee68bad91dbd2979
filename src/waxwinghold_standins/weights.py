"""Stand-in for the weight store: serves parts of models at a limited rate."""

import collections

import fire
from aiohttp import web

from waxwinghold._clock import MS_PER_SECOND

from ._faults import bad_request, json_answer
from ._http import HttpStandIn, run_until_ended

RATE_BYTES_PER_S = 100 * 1024 * 1024
CHUNK_LIMIT_BYTES = 64 * 1024
CHUNKS_PER_S_MIN = 50


class WeightStore(HttpStandIn):
    """Streams parts of models; all readers share one rate limit.

    Args:
        rate_bytes_per_s: Rate limit of all readers together.
        options: Options of ``HttpStandIn``.

    Attributes:
        served_bytes: Number of bytes sent so far.
        parts: Number of requests for each part, by ``model/version/part``.
    """

    def __init__(self, *, rate_bytes_per_s=RATE_BYTES_PER_S, **options):
        super().__init__(**options)
        self.rate_bytes_per_s = rate_bytes_per_s
        self.served_bytes = 0
        self.parts = collections.Counter()
        self._busy_until_ms = 0.0

    def routes(self):
        return [
            web.get("/weights/{model}/{version}/{part}", self._part),
            web.get("/_control/served", self._served),
        ]

    async def _part(self, request):
        try:
            left_bytes = int(request.query["bytes"])
        except (KeyError, ValueError) as error:
            raise bad_request('query "bytes": expected a whole number') from error
        self.parts["/".join(request.match_info.values())] += 1
        response = web.StreamResponse()
        response.content_length = left_bytes
        await response.prepare(request)
        while left_bytes > 0:
            chunk_bytes = min(left_bytes, self._chunk_bytes())
            await self._wait_for_rate(chunk_bytes)
            await self.block_while_silenced(request)
            await response.write(bytes(chunk_bytes))
            self.served_bytes += chunk_bytes
            left_bytes -= chunk_bytes
        return response

    def _chunk_bytes(self):
        """Return the size of one chunk: smaller at low rates, for an even stream."""
        rate_limit_bytes = int(self.rate_bytes_per_s / CHUNKS_PER_S_MIN)
        return max(min(CHUNK_LIMIT_BYTES, rate_limit_bytes), 1)

    async def _wait_for_rate(self, chunk_bytes):
        """Wait for the time of this chunk at the shared rate, after earlier chunks."""
        now_ms = self.clock.now_ms()
        duration_ms = chunk_bytes * MS_PER_SECOND / self.rate_bytes_per_s
        self._busy_until_ms = max(self._busy_until_ms, now_ms) + duration_ms
        await self.clock.sleep_ms(self._busy_until_ms - now_ms)

    async def _served(self, request):
        return json_answer({"served_bytes": self.served_bytes, "parts": self.parts})


def serve(*, address, rate_bytes_per_s=RATE_BYTES_PER_S):
    """Serve the weight store until SIGTERM.

    Args:
        address: ``IP:PORT`` to serve on.
        rate_bytes_per_s: Rate limit of all readers together.
    """
    store = WeightStore(rate_bytes_per_s=rate_bytes_per_s)
    run_until_ended(store, address)


if __name__ == "__main__":
    fire.Fire(serve)
