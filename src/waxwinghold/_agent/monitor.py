"""Polls the target's health and load, and builds the agent's load reports."""

import asyncio
from collections import OrderedDict

from .._messages import Report
from .._sheet.model import Kind
from .target import Health

REPORTED_PREFIXES_COUNT = 8
KEPT_PREFIXES_COUNT = 1024
# Consecutive health checks without an answer that make a target unhealthy.
SILENT_LIMIT_COUNT = 2


class TargetMonitor:
    """Polls the target and builds the agent's load reports.

    Args:
        client: The ``TargetClient``.
        interval_ms: Time between polls.
        kind: Returns the target's ``Kind``, or ``None`` if no sheet lists it.

    Attributes:
        healthy: Whether the target counts as healthy.
    """

    def __init__(self, *, clock, client, interval_ms, kind):
        self._clock = clock
        self._client = client
        self._interval_ms = interval_ms
        self._kind = kind
        self._load = None
        self._load_read_ms = 0.0
        self._prefixes = OrderedDict()
        self._last_sequence = 0
        self._silent_count = 0
        self.healthy = False

    async def run(self):
        """Poll until cancelled."""
        while True:
            await self.check()
            if self._kind() == Kind.MODEL and self.healthy:
                await asyncio.gather(self._read_load(), self._read_cache_events())
            await self._clock.sleep_ms(self._interval_ms)

    async def check(self):
        """Check the target now and return whether this check succeeded.

        A single check without an answer may only mean that the host is busy,
        so ``healthy`` changes on the second in a row. A bad answer changes it
        at once.
        """
        health = await self._client.health()
        if health is Health.SILENT:
            self._silent_count += 1
            self.healthy = self.healthy and self._silent_count < SILENT_LIMIT_COUNT
        else:
            self._silent_count = 0
            self.healthy = health is Health.GOOD
        return health is Health.GOOD

    def report(
        self, *, waiting_count, running_count, slots_count, ready, queue_wait_ms
    ):
        """Return the current load report."""
        step_ms = self._load.step_ms if self._load else 0.0
        age_ms = 0.0
        if self._load:
            age_ms = self._load.age_ms + self._clock.now_ms() - self._load_read_ms
        newest = list(self._prefixes)[-REPORTED_PREFIXES_COUNT:]
        return Report(
            waiting_count=waiting_count,
            running_count=running_count,
            slots_count=slots_count,
            step_ms=round(step_ms, 1),
            queue_wait_ms=round(queue_wait_ms, 1),
            age_ms=round(age_ms, 1),
            healthy=self.healthy and ready,
            prefixes=tuple(newest),
        )

    async def _read_load(self):
        load = await self._client.load()
        if load is not None:
            self._load = load
            self._load_read_ms = self._clock.now_ms()

    async def _read_cache_events(self):
        events = await self._client.cache_events(after=self._last_sequence)
        for event in events:
            self._last_sequence = max(self._last_sequence, event.sequence)
            prefix = event.prefix
            self._prefixes.pop(prefix, None)
            if event.kind == "stored":
                self._prefixes[prefix] = True
        while len(self._prefixes) > KEPT_PREFIXES_COUNT:
            self._prefixes.popitem(last=False)
