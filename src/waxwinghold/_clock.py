"""The clock that every process uses, in milliseconds."""

import asyncio
import time
from dataclasses import dataclass, field
from typing import Callable

NANOSECONDS_PER_MS = 1_000_000
MS_PER_SECOND = 1000


def _wall_now_ms():
    return time.time_ns() // NANOSECONDS_PER_MS


def processor_ms():
    """Return the processor time that this process has used, in milliseconds."""
    return time.process_time_ns() / NANOSECONDS_PER_MS


@dataclass(frozen=True, kw_only=True)
class Clock:
    """Returns monotonic and wall time in milliseconds.

    Wall time is the wall time when the clock was created plus the monotonic time
    since then, so steps of the host's clock do not change it.

    Args:
        read_ns: Returns monotonic time in nanoseconds; tests pass their own.
        wall_start_ms: Wall time when the clock was created.

    Attributes:
        start_ns: Monotonic time when the clock was created, in nanoseconds.
    """

    read_ns: Callable[[], int] = time.monotonic_ns
    wall_start_ms: int = field(default_factory=_wall_now_ms)
    start_ns: int = field(init=False)

    def __post_init__(self):
        object.__setattr__(self, "start_ns", self.read_ns())

    def now_ms(self):
        """Return monotonic milliseconds since an arbitrary start, as a float."""
        return self.read_ns() / NANOSECONDS_PER_MS

    def wall_ms(self):
        """Return wall milliseconds since the Unix epoch, unaffected by clock steps."""
        elapsed_ns = self.read_ns() - self.start_ns
        return self.wall_start_ms + elapsed_ns // NANOSECONDS_PER_MS

    async def sleep_ms(self, duration_ms):
        """Sleep for ``duration_ms`` of the event loop's time."""
        await asyncio.sleep(duration_ms / MS_PER_SECOND)
