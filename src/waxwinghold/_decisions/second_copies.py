"""Decides whether a slow request is sent to a second target, and when.

It handles single slow answers while other targets have free slots. A copy of the
request goes to another target, and the first answer counts (a hedged request).
``tests.test_decisions_second_copies`` and ``tests.test_decisions_hedging_replay``
replay it; ``docs/design/second-copies.md`` has the alternatives.
"""

from collections import deque
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

DELAYS_WINDOW_MS = 10_000.0  # Two windows are kept, so that 10 to 20 s count.
# A window is longer while it has too few answers: at two a second it takes 25 s.
DELAYS_WINDOW_LIMIT_MS = 60_000.0
# With fewer answers, the 95th percentile is that of one or two of them.
ANSWERS_MIN_COUNT = 50
HIGHEST_DELAY_MS = 600_000
UNITS_PER_MS = 10
SIGNIFICANT_DIGITS = 2
COUNT_BYTES = 4
# Reading a percentile takes about half a millisecond.
TIMING_AGE_LIMIT_MS = 500.0
TYPICAL_PERCENTILE = 50.0
# The histograms of a kind take 18 KB. A configuration may have any number of kinds.
KINDS_LIMIT_COUNT = 64
# A copy takes a slot from other requests where fewer are free.
FREE_MIN_RATIO = 0.25
CELLS_COUNT = 100  # Parts of the window in which sends are counted.


@dataclass(frozen=True, kw_only=True)
class CopyTiming:
    """When a request is sent to a second target.

    Args:
        delay_ms: Time from its send after which it counts as slow.
        typical_ms: Median time from a send to the first answer.
    """

    delay_ms: float
    typical_ms: float


class AnswerDelays:
    """The first-answer times of recent sends of one service, by kind of work.

    Only first sends are recorded. If the copy answered first, the time at which the
    first send was cancelled is recorded in place of its answer. It is above the
    percentile, so that the percentile does not fall because of copies.
    """

    def __init__(self):
        self._kinds = {}

    def record(self, kind, delay_ms, *, now_ms):
        """Record the first answer to a request of ``kind``, or its cancelled send."""
        recent = self._kinds.pop(kind, None) or _RecentDelays(now_ms)
        self._kinds[kind] = recent  # The last used kind is the last one.
        recent.record(delay_ms, now_ms=now_ms)
        if len(self._kinds) > KINDS_LIMIT_COUNT:
            del self._kinds[next(iter(self._kinds))]

    def timing(self, kind, *, percentile, now_ms):
        """Return the ``CopyTiming`` of ``kind``; ``None`` without enough answers."""
        recent = self._kinds.get(kind)
        return recent and recent.timing(percentile, now_ms=now_ms)


class _RecentDelays:
    """Histograms of the delays in the current window and in the one before."""

    def __init__(self, now_ms):
        self._current = _histogram()
        self._previous = _histogram()
        self._began_ms = now_ms
        self._last_ms = now_ms
        self._timing = None
        self._timing_percentile = None
        self._read_ms = float("-inf")

    def record(self, delay_ms, *, now_ms):
        self._change_windows(now_ms)
        units = int(min(max(delay_ms, 0.0), HIGHEST_DELAY_MS) * UNITS_PER_MS)
        self._current.record_value(max(1, units))
        self._last_ms = now_ms

    def timing(self, percentile, *, now_ms):
        is_old = now_ms - self._read_ms >= TIMING_AGE_LIMIT_MS
        if is_old or percentile != self._timing_percentile:
            self._change_windows(now_ms)
            self._read_ms, self._timing_percentile = now_ms, percentile
            self._timing = self._read(percentile)
        return self._timing

    def _change_windows(self, now_ms):
        age_ms = now_ms - self._began_ms
        has_few = self._current.get_total_count() < ANSWERS_MIN_COUNT
        if age_ms < (DELAYS_WINDOW_LIMIT_MS if has_few else DELAYS_WINDOW_MS):
            return
        self._current, self._previous = self._previous, self._current
        self._current.reset()
        if now_ms - self._last_ms >= 2 * DELAYS_WINDOW_MS:
            self._previous.reset()
        self._began_ms = now_ms

    def _read(self, percentile):
        both = _histogram()
        both.add(self._current)
        both.add(self._previous)
        if both.get_total_count() < ANSWERS_MIN_COUNT:
            return None
        delay, typical = (
            both.get_value_at_percentile(value)
            for value in (percentile, TYPICAL_PERCENTILE)
        )
        return CopyTiming(
            delay_ms=delay / UNITS_PER_MS, typical_ms=typical / UNITS_PER_MS
        )


class CopyLimit:
    """Limits a gateway's copies of one service to a share of its own first sends.

    The share holds in each window of the time of day, in which all gateways agree.
    It therefore holds for all gateways together, also while some of them start, end
    or get the callers of others: what is not used in a window, or in the process
    that ended, is lost. It also holds in the window that ends with each copy, so
    that the copies of two windows are not sent together at their border.

    Args:
        window_ms: Length of the window in milliseconds.
    """

    def __init__(self, *, window_ms):
        self._window_ms = window_ms
        self._cell_ms = window_ms / CELLS_COUNT
        self._cells = deque()
        self._window = None
        self._first_sends_count = 0
        self._copies_count = 0

    def record_first_send(self, *, now_ms, wall_ms):
        """Record the first send of a request.

        Args:
            now_ms: Time in milliseconds of the gateway's clock.
            wall_ms: Time of day in milliseconds, about the same at all gateways.
        """
        self._advance(now_ms, wall_ms)
        self._first_sends_count += 1
        self._cells[-1].first_sends_count += 1

    def try_take(self, *, ratio, now_ms, wall_ms):
        """Return whether a copy may be sent now, and count it if so.

        Args:
            ratio: Copies allowed for each first send.
        """
        self._advance(now_ms, wall_ms)
        if not self._copies_count + 1 <= ratio * self._first_sends_count:
            return False
        # The oldest cell lies only partly in the window: its copies count.
        oldest = self._cells[-1].number - CELLS_COUNT
        copies_count = sum(cell.copies_count for cell in self._cells)
        first_sends_count = sum(
            cell.first_sends_count for cell in self._cells if cell.number > oldest
        )
        if not copies_count + 1 <= ratio * first_sends_count:
            return False
        self._copies_count += 1
        self._cells[-1].copies_count += 1
        return True

    def give_back(self, *, now_ms, wall_ms):
        """Count a copy of the last moments no longer that reached no target."""
        self._advance(now_ms, wall_ms)
        self._copies_count = max(0, self._copies_count - 1)
        for cell in reversed(self._cells):
            if cell.copies_count:
                cell.copies_count -= 1
                return

    def _advance(self, now_ms, wall_ms):
        window = int(wall_ms // self._window_ms)
        if window != self._window:
            self._window = window
            self._first_sends_count = self._copies_count = 0
        number = int(now_ms // self._cell_ms)
        if not self._cells or self._cells[-1].number != number:
            self._cells.append(_Cell(number=number))
        while self._cells[0].number < number - CELLS_COUNT:
            self._cells.popleft()


@dataclass(kw_only=True)
class _Cell:
    number: int
    first_sends_count: int = 0
    copies_count: int = 0


class SecondCopies:
    """What a gateway keeps about the copies of one service.

    Args:
        window_ms: Length of the window of the ``CopyLimit``.

    Attributes:
        delays: The ``AnswerDelays``.
        limit: The ``CopyLimit``.
    """

    def __init__(self, *, window_ms):
        self.delays = AnswerDelays()
        self.limit = CopyLimit(window_ms=window_ms)


def may_be_copied(route):
    """Return whether requests of ``route`` may run at two targets at once."""
    return route.repeatable and route.attempts_limit_count > 1


def obstacle(*, ratio, is_stopping, left_ms, typical_ms, free_ratio):
    """Return why a slow request gets no copy now, or an empty string.

    Args:
        ratio: Copies allowed for each first send.
        is_stopping: Whether the gateway has been asked to stop.
        left_ms: Time until the caller leaves.
        typical_ms: Median time from a send to the first answer.
        free_ratio: Free share of the service's slots.
    """
    if not ratio > 0:
        return "off"
    if is_stopping:
        return "stopping"
    if left_ms <= typical_ms:
        return "too_late"
    if free_ratio < FREE_MIN_RATIO:
        return "busy"
    return ""


def candidates(first, targets, *, pace, is_limited, now_ms):
    """Return the targets that are likely to answer before ``first``.

    What makes a target slow often makes its group or its host slow, too.

    Args:
        first: The target that has the request.
        targets: All targets of the service.
        pace: Returns how many times slower than usual a target's group steps.
        is_limited: Returns whether a target is cold or has named a limit.

    Returns:
        Lists of targets; those in the first one have least in common with ``first``.
    """
    by_independence = {}
    for target in targets:
        if target is first or target.is_silent(now_ms) or is_limited(target):
            continue
        if pace(target) > pace(first) or target.pace > first.pace:
            continue
        in_common = (
            _group(target) is not None and _group(target) == _group(first),
            target.listing.address[0] == first.listing.address[0],
        )
        by_independence.setdefault(in_common, []).append(target)
    return [by_independence[in_common] for in_common in sorted(by_independence)]


def _group(target):
    return target.rank_notice.group if target.rank_notice else None


def _histogram():
    return HdrHistogram(
        1, HIGHEST_DELAY_MS * UNITS_PER_MS, SIGNIFICANT_DIGITS, COUNT_BYTES
    )
