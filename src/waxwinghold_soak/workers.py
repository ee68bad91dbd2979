"""Workers that serve every kind of request and record every arrival."""

import asyncio
import random
from dataclasses import dataclass

from waxwinghold_standins.fleet_worker import FleetWorker

STREAM_FAULTS = ("stream_cut", "stream_halted")
FAULTS = (
    *("failing", "shed", "reset", "silent", "truncated", "garbage", "late_extra"),
    "endless",
)


@dataclass(frozen=True, kw_only=True)
class Arrival:
    """One request that reached a worker.

    Args:
        request_id: The request's ``Attempt-Id`` header.
        worker: Name of the worker.
        at: When it arrived, in seconds of the event loop's clock.
        ran: Whether the worker started to run it.
        broken: Whether the worker failed the request or broke off its answer.
        pause_s: The pause that the worker asked for as it rejected the request, in
            seconds; 0 for none.
        ended_at: When the worker was done with it, in seconds of the event loop's
            clock.
    """

    request_id: str
    worker: str
    at: float
    ran: bool
    broken: bool = False
    pause_s: float = 0.0
    ended_at: float = 0.0


class SoakWorker(FleetWorker):
    """Answers correctly except for a random share of the requests.

    Args:
        name: Name of the worker.
        seed: Seed that decides which requests fail and how.

    Attributes:
        failure_ratio: Share of the requests that fail, from 0 to 1.
        arrivals: Every ``Arrival`` so far.
    """

    def __init__(self, *, name, seed):
        super().__init__(name=name, events_count=8, event_ms=15.0)
        self.failure_ratio = 0.0
        self.arrivals = []
        self._random = random.Random(seed)

    async def handle(self, request, writer):
        earlier_runs_count = len(self.runs)
        at = asyncio.get_running_loop().time()
        request_id = request.headers.get("attempt-id", "")
        self.body = expected_body(request_id, request.path)
        is_stream = request.path.startswith(("/stream/", "/once/"))
        self.behaviour = "stream" if is_stream else "whole"
        is_broken = self._random.random() < self.failure_ratio
        if is_broken:
            faults = STREAM_FAULTS if is_stream else FAULTS
            self.behaviour = self._random.choice(faults)
        pause_text = self.pause_text
        if pause_text:
            self.behaviour, is_broken = "shed", False
        try:
            return await super().handle(request, writer)
        finally:
            ran = request_id in self.runs[earlier_runs_count:]
            arrival = Arrival(
                request_id=request_id,
                worker=self.name,
                at=at,
                ran=ran,
                broken=is_broken,
                pause_s=float(pause_text or 0.0),
                ended_at=asyncio.get_running_loop().time(),
            )
            self.arrivals.append(arrival)


def expected_body(request_id, path):
    """Return the complete body of the answer to a request."""
    return f"the whole answer to {request_id} at {path}".encode()
