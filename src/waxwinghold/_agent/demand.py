"""Measures the demand for an engine's experts from the token counts it keeps."""

import logbook
import msgspec

from .._errors import WaxwingError

log = logbook.Logger("waxwinghold.demand")

# Weight of the newest interval in the smoothed demand.
SMOOTHING_RATIO = 0.5


class ExpertCounts(msgspec.Struct, frozen=True, kw_only=True):
    """The engine's answer at ``/experts``.

    Args:
        layers: Tokens routed to each expert of each layer so far.
        since_step: Step after which the engine started to count.
    """

    layers: tuple[tuple[int, ...], ...]
    since_step: int


class DemandMeter:
    """Measures the smoothed demand for the experts of one engine.

    The demand for an expert is the number of tokens routed to it per interval.

    Args:
        read: Coroutine function that returns the engine's answer at a path.
        clock: The agent's ``Clock``.
        interval_ms: Length of the interval that the demand refers to.

    Attributes:
        layers: Demand for each expert of each layer; empty until two readings
            of the same run of the engine can be compared.
    """

    def __init__(self, *, read, clock, interval_ms):
        self._read = read
        self._clock = clock
        self._interval_ms = interval_ms
        self._counts = None
        self._read_ms = 0.0
        self.layers = ()

    async def take_reading(self):
        """Read the counts and add their growth to the smoothed demand."""
        try:
            document = await self._read("/experts")
            counts = msgspec.convert(document, ExpertCounts)
        except (WaxwingError, msgspec.ValidationError) as error:
            log.info("cannot read the expert counts: {}", error)
            self._counts, self.layers = None, ()
            return
        previous, now_ms = self._counts, self._clock.now_ms()
        elapsed_ms = now_ms - self._read_ms
        self._counts, self._read_ms = counts, now_ms
        if previous is None or not _is_same_run(previous, counts):
            self.layers = ()
        elif elapsed_ms > 0:
            self._smooth(previous, counts, self._interval_ms / elapsed_ms)

    def _smooth(self, previous, counts, scale):
        demand = tuple(
            tuple((new - old) * scale for new, old in zip(*pair))
            for pair in zip(counts.layers, previous.layers)
        )
        if not self.layers:
            self.layers = demand
            return
        self.layers = tuple(
            tuple(old + SMOOTHING_RATIO * (new - old) for new, old in zip(*pair))
            for pair in zip(demand, self.layers)
        )


def _is_same_run(previous, counts):
    """Return whether the engine was not restarted between two readings."""
    if previous.since_step != counts.since_step:
        return False
    if list(map(len, previous.layers)) != list(map(len, counts.layers)):
        return False
    pairs = zip(previous.layers, counts.layers)
    return all(old <= new for pair in pairs for old, new in zip(*pair))
