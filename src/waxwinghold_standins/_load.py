"""Load reports that show an engine as it was a while ago."""

import collections
from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class LoadReport:
    """The load of an engine, ``age_ms`` ago."""

    waiting_count: int
    running_count: int
    slots_count: int
    step_ms: float
    kv_used_bytes: int
    age_ms: float = 0.0


class LoadHistory:
    """Remembers load figures until they are old enough to be shown.

    Args:
        clock: Tells the time.
        lag_ms: How old the figures of a report are.
    """

    def __init__(self, *, clock, lag_ms=0.0):
        self.lag_ms = lag_ms
        self._clock = clock
        self._entries = collections.deque()

    def add(self, **figures):
        """Take down the figures of now."""
        load = LoadReport(age_ms=self.lag_ms, **figures)
        if self._entries and self._entries[-1][1] == load:
            return
        self._entries.append((self._clock.now_ms(), load))
        self._drop_old()

    def report(self):
        """Return the figures that held ``lag_ms`` ago, or the oldest known."""
        self._drop_old()
        return self._entries[0][1]

    def _drop_old(self):
        until_ms = self._clock.now_ms() - self.lag_ms
        while len(self._entries) > 1 and self._entries[1][0] <= until_ms:
            self._entries.popleft()
