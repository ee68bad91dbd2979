"""How many tokens an engine's experts get, from the counts it keeps."""

import logbook
import msgspec

from .._errors import WaxwingError

log = logbook.Logger("waxwinghold.demand")

SMOOTHING_RATIO = 0.5


class ExpertCounts(msgspec.Struct, frozen=True, kw_only=True):
    """An engine's answer at ``/experts``.

    Args:
        layers: Tokens routed to each expert of each layer so far.
        since_step: The step after which counting began.
    """

    layers: tuple[tuple[int, ...], ...]
    since_step: int


class DemandMeter:
    """Follows the demand for the experts of one engine.

    Args:
        read: Awaitable that reads the engine's answer at a path.
        clock: Tells the time between readings.
        interval_ms: The time that demand is stated for.
    """

    def __init__(self, *, read, clock, interval_ms):
        self._read = read
        self._clock = clock
        self._interval_ms = interval_ms
        self._counts = None
        self._read_ms = 0.0
        self.layers = ()

    async def take_reading(self):
        """Read the counts and smooth what came since the reading before."""
        try:
            document = await self._read("/experts")
            counts = msgspec.convert(document, ExpertCounts)
        except (WaxwingError, msgspec.ValidationError) as error:
            log.info("the demand for experts cannot be read: {}", error)
            self._counts, self.layers = None, ()
            return
        before, now_ms = self._counts, self._clock.now_ms()
        elapsed_ms = now_ms - self._read_ms
        self._counts, self._read_ms = counts, now_ms
        if before is None or not _continues(before, counts):
            self.layers = ()
        elif elapsed_ms > 0:
            self._smooth(before, counts, self._interval_ms / elapsed_ms)

    def _smooth(self, before, counts, scale):
        fresh = tuple(
            tuple((new - old) * scale for new, old in zip(*pair))
            for pair in zip(counts.layers, before.layers)
        )
        if not self.layers:
            self.layers = fresh
            return
        self.layers = tuple(
            tuple(old + SMOOTHING_RATIO * (new - old) for new, old in zip(*pair))
            for pair in zip(fresh, self.layers)
        )


def _continues(before, counts):
    """Return whether no engine was started between two readings."""
    if before.since_step != counts.since_step:
        return False
    if list(map(len, before.layers)) != list(map(len, counts.layers)):
        return False
    pairs = zip(before.layers, counts.layers)
    return all(old <= new for pair in pairs for old, new in zip(*pair))
