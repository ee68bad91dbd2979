"""Workers that run every kind of request and note what reached them, and when."""

import asyncio
import random
from dataclasses import dataclass

from waxwinghold_standins.fleet_worker import FleetWorker

STREAM_FAULTS = ("stream_cut", "stream_halted")
FAULTS = ("failing", "shed", "reset", "silent", "truncated", "garbage", "late_extra")


@dataclass(frozen=True, kw_only=True)
class Arrival:
    """One request at one worker.

    Args:
        at: Seconds of the loop's time.
        ran: Whether the worker began to work on it.
    """

    request_id: str
    worker: str
    at: float
    ran: bool


class SoakWorker(FleetWorker):
    """Answers rightly, but for a part of the requests while it is sick.

    Args:
        seed: Decides which requests fail.

    Attributes:
        failure_ratio: Part of the requests that it fails.
        arrivals: Every ``Arrival``.
    """

    def __init__(self, *, name, seed):
        super().__init__(name=name, events_count=8, event_ms=15.0)
        self.failure_ratio = 0.0
        self.arrivals = []
        self._random = random.Random(seed)

    async def handle(self, request, writer):
        ran_before = len(self.runs)
        at = asyncio.get_running_loop().time()
        request_id = request.headers.get("attempt-id", "")
        self.body = expected_body(request_id, request.path)
        is_stream = request.path.startswith(("/stream/", "/once/"))
        self.behaviour = "stream" if is_stream else "whole"
        if self._random.random() < self.failure_ratio:
            faults = STREAM_FAULTS if is_stream else FAULTS
            self.behaviour = self._random.choice(faults)
        try:
            return await super().handle(request, writer)
        finally:
            ran = request_id in self.runs[ran_before:]
            arrival = Arrival(request_id=request_id, worker=self.name, at=at, ran=ran)
            self.arrivals.append(arrival)


def expected_body(request_id, path):
    """Return the whole body of the answer to one request."""
    return f"the whole answer to {request_id} at {path}".encode()
