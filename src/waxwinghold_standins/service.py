"""Stand-in for a plain service: runs each call it receives and counts the runs."""

import collections

import fire
from aiohttp import web

from ._faults import TargetFaults, changed_faults, json_answer, read_json
from ._http import HttpStandIn, abort, run_until_ended

REQUEST_ID_HEADER = "Waxwing-Request-Id"
CUSTOMER_HEADER = "Waxwing-Customer"
STALL_POLL_MS = 20


class PlainService(HttpStandIn):
    """A service that runs every call it receives.

    It never deduplicates, so that a request that was run twice shows up in
    ``effects``.

    Args:
        name: Name of the service, part of each answer.
        call_ms: Duration of a call; its effect is counted at the end.
        options: Options of ``HttpStandIn``.

    Attributes:
        effects: Number of runs by call and request id.
    """

    def __init__(self, *, name="service", call_ms=5.0, **options):
        super().__init__(**options)
        self.name = name
        self.call_ms = call_ms
        self.faults = TargetFaults()
        self.effects = collections.defaultdict(collections.Counter)

    def current_faults(self):
        return self.faults

    def routes(self):
        return [
            web.post("/calls/{call}", self._call),
            web.get("/health", self._health),
            web.get("/effects", self._effects),
            web.post("/_control/fault", self._fault),
        ]

    async def _call(self, request):
        rejection = self.rejection()
        if rejection is not None:
            return rejection
        body = await request.read()
        if self.faults.fails:
            return json_answer({"reason": "out of order"}, status=500)
        marker = self.faults.crash_marker
        if marker and marker.encode() in body:
            await self.crash()
            raise ConnectionResetError("crashed")
        await self._wait_call_duration()
        call = request.match_info["call"]
        request_id = request.headers.get(REQUEST_ID_HEADER, "")
        self.effects[call][request_id] += 1
        if self.faults.drop_after_count is not None:
            abort(request)
        return json_answer(
            {
                "service": self.name,
                "call": call,
                "request_id": request_id,
                "customer": request.headers.get(CUSTOMER_HEADER, ""),
                "times_run": self.effects[call][request_id],
                "body": body.decode(errors="replace"),
            }
        )

    async def _wait_call_duration(self):
        """Wait for the duration of a call, and for the end of a stall.

        A stall delays calls that arrive during it and calls that would end during it.
        """
        while self.faults.stalled:
            await self.clock.sleep_ms(STALL_POLL_MS)
        fault_ms = self.faults.step_ms
        await self.clock.sleep_ms(self.call_ms if fault_ms is None else fault_ms)
        while self.faults.stalled:
            await self.clock.sleep_ms(STALL_POLL_MS)

    async def _health(self, request):
        return json_answer({"healthy": not self.faults.unhealthy})

    async def _effects(self, request):
        return json_answer(self.effects)

    async def _fault(self, request):
        changes = await read_json(request)
        if changes.pop("silence", False):
            self.silence()
        self.faults = changed_faults(self.faults, changes)
        return json_answer(self.faults)


def serve(*, address, name="service", call_ms=5.0):
    """Serve a plain service until SIGTERM.

    Args:
        address: ``IP:PORT`` to serve on.
        name: Name of the service, part of each answer.
        call_ms: Duration of a call.
    """
    service = PlainService(name=str(name), call_ms=call_ms, exits_on_crash=True)
    run_until_ended(service, address)


if __name__ == "__main__":
    fire.Fire(serve)
