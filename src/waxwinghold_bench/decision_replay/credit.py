"""Credit of a replay: what callers got in all and in the worst seconds."""

from dataclasses import dataclass

from .patterns import BURST_END_MS, BURST_START_MS, LENGTH_MS, MEAN_SIZE_MS

ON_TIME_CREDIT = 1.0
LATE_CREDIT = 0.5
FIXED_WORTH = 0.3
WINDOW_MS = 2000.0
WINDOWS_COUNT = int(LENGTH_MS / WINDOW_MS)
WORST_WINDOWS_COUNT = 2
WORST_WEIGHT = 0.4


def worth(size_ms):
    """Return the worth of a request: a fixed part, and one that grows with its size."""
    return FIXED_WORTH + (1 - FIXED_WORTH) * size_ms / MEAN_SIZE_MS


def window(at_ms):
    """Return the number of the window in which a request arrived."""
    return min(WINDOWS_COUNT - 1, int(at_ms / WINDOW_MS))


@dataclass(kw_only=True)
class Credit:
    """Worth that was asked for and earned, by window and by any other property.

    Attributes:
        asked: Worth of the requests that arrived in each window.
        earned: Worth earned by them.
    """

    asked: list
    earned: list

    @classmethod
    def of(cls, outcomes):
        """Return the credit of ``(arrival, share)`` pairs; share is 0 for no answer."""
        asked, earned = [0.0] * WINDOWS_COUNT, [0.0] * WINDOWS_COUNT
        for arrival, share in outcomes:
            number = window(arrival.at_ms)
            asked[number] += worth(arrival.size_ms)
            earned[number] += share * worth(arrival.size_ms)
        return cls(asked=asked, earned=earned)

    @property
    def whole(self):
        """Return the earned part of what was asked for."""
        return sum(self.earned) / sum(self.asked)

    @property
    def worst(self):
        """Return the mean of the same in the worst windows."""
        parts = sorted(
            earned / asked for earned, asked in zip(self.earned, self.asked) if asked
        )
        return sum(parts[:WORST_WINDOWS_COUNT]) / WORST_WINDOWS_COUNT

    @property
    def score(self):
        """Return the weighted mean of ``whole`` and ``worst``."""
        return (1 - WORST_WEIGHT) * self.whole + WORST_WEIGHT * self.worst


def credit_of_kind(outcomes, *, priority):
    """Return the earned part of what one kind asked for while the burst lasts.

    Args:
        outcomes: ``(arrival, share)`` pairs.
        priority: That of the kind.
    """
    asked = earned = 0.0
    for arrival, share in outcomes:
        is_within = BURST_START_MS <= arrival.at_ms < BURST_END_MS
        if arrival.priority == priority and is_within:
            asked += worth(arrival.size_ms)
            earned += share * worth(arrival.size_ms)
    return earned / asked
