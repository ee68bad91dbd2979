"""Load reports of an engine that are delayed by a configurable lag."""

import collections
from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class LoadReport:
    """Load of an engine at one time; the body of ``GET /load``.

    Args:
        waiting_count: Generations that wait for a slot.
        running_count: Generations that run.
        slots_count: Generations that can run at once.
        step_ms: Duration of a step.
        kv_used_bytes: Size of the KV cache in use.
        age_ms: The lag that was configured when the report was recorded. It stands for
            the age of the other fields.
    """

    waiting_count: int
    running_count: int
    slots_count: int
    step_ms: float
    kv_used_bytes: int
    age_ms: float = 0.0


class LoadHistory:
    """Keeps past load reports and returns the one that was current ``lag_ms`` ago.

    Args:
        clock: Clock for the times at which reports are recorded.
        lag_ms: Age of the returned reports.
    """

    def __init__(self, *, clock, lag_ms=0.0):
        self.lag_ms = lag_ms
        self._clock = clock
        # Pairs of the time in ms and the ``LoadReport``, the latest last.
        self._entries = collections.deque()

    def add(self, **fields):
        """Record the current load, given as fields of ``LoadReport``."""
        report = LoadReport(age_ms=self.lag_ms, **fields)
        if self._entries and self._entries[-1][1] == report:
            return
        self._entries.append((self._clock.now_ms(), report))
        self._drop_old()

    def report(self):
        """Return the ``LoadReport`` of ``lag_ms`` ago, or the oldest one."""
        self._drop_old()
        return self._entries[0][1]

    def _drop_old(self):
        """Drop the reports before the one that was current ``lag_ms`` ago."""
        until_ms = self._clock.now_ms() - self.lag_ms
        while len(self._entries) > 1 and self._entries[1][0] <= until_ms:
            self._entries.popleft()
