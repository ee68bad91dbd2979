"""An optimistic bound of the credit: a planner that knows everything beforehand."""

from collections import Counter

import numpy as np
from scipy.optimize import linprog
from scipy.sparse import coo_matrix

from .credit import (
    LATE_CREDIT,
    ON_TIME_CREDIT,
    WINDOWS_COUNT,
    WORST_WEIGHT,
    WORST_WINDOWS_COUNT,
    Credit,
    window,
    worth,
)
from .patterns import LENGTH_MS, SLOTS_COUNT, TARGETS_COUNT
from .world import (
    CLOSED_FAILURE_MS,
    DEADLINE_MS,
    FIRST_EVENT_MS,
    GAP_MS,
    HONOURED_SHARE,
)

BUCKET_MS = 250.0
# A caller waits for a whole gap, is then told to come back as late as it honours, and
# waits for another gap.
LAST_START_MS = GAP_MS + HONOURED_SHARE * (DEADLINE_MS - GAP_MS) + GAP_MS
# A target that is cut off fails its requests after this time, and callers leave after
# little more.
BREAK_MS = CLOSED_FAILURE_MS
# After the last arrival, answers may still be given.
BUCKETS_COUNT = int((LENGTH_MS + DEADLINE_MS) / BUCKET_MS)


def best_credit(pattern, found):
    """Return the ``Credit`` of a planner that knows all arrivals and outages.

    It is the optimum of a linear program, and optimistic in each simplification:
    requests can be divided; each can begin at any time until its caller has left for
    good, as if every retry came at the best moment; it counts as on time if the bucket
    of ``BUCKET_MS`` in which it begins does so before its goal ends; work that an
    outage of some targets stops goes on elsewhere and none is lost; a slow target
    divides its capacity by its pace; a failing target does all its work. No request
    lasts through an outage of all targets of ``BREAK_MS`` or more: whatever is decided,
    it is cut off.

    Args:
        pattern: The ``Pattern``.
        found: Its ``Arrival`` objects.
    """
    capacity = _capacity(pattern)
    counts = Counter(
        (int(arrival.at_ms / BUCKET_MS), arrival.size_ms, arrival.goal_ms)
        for arrival in found
    )
    program = _Program(capacity)
    for (bucket, size_ms, goal_ms), count in sorted(counts.items()):
        program.add(bucket, size_ms, goal_ms, count)
    return program.solve()


def _capacity(pattern):
    """Return the slot milliseconds of work that each bucket offers."""
    capacity = np.zeros(BUCKETS_COUNT)
    for bucket in range(BUCKETS_COUNT):
        middle_ms = (bucket + 0.5) * BUCKET_MS
        if not pattern.gateways_up(middle_ms):
            continue
        for number in range(TARGETS_COUNT):
            leaving = pattern.is_leaving(middle_ms, number)
            if pattern.works(middle_ms, number) and not leaving:
                pace = pattern.pace(middle_ms, number)
                capacity[bucket] += SLOTS_COUNT * BUCKET_MS / pace
    return capacity


class _Program:
    """The linear program; its columns are shares of requests that begin in a bucket."""

    def __init__(self, capacity):
        self._capacity = capacity
        self._open = [bucket for bucket in range(BUCKETS_COUNT) if capacity[bucket]]
        self._position = {bucket: index for index, bucket in enumerate(self._open)}
        self._gains, self._windows = [], []
        self._uses, self._owners, self._counts = [], [], []
        self._asked = np.zeros(WINDOWS_COUNT)

    def add(self, bucket, size_ms, goal_ms, count):
        """Add ``count`` requests of a size and goal that arrive in a bucket."""
        owner, number = len(self._counts), window(bucket * BUCKET_MS)
        self._counts.append(count)
        self._asked[number] += count * worth(size_ms)
        full_count, rest_ms = divmod(size_ms, BUCKET_MS)
        parts_ms = [BUCKET_MS] * int(full_count) + [rest_ms]
        arrives_ms = (bucket + 1) * BUCKET_MS
        longest_ms = min(DEADLINE_MS - size_ms, LAST_START_MS)
        last = int((arrives_ms + longest_ms) / BUCKET_MS)
        for start in range(bucket, min(last, BUCKETS_COUNT - 1) + 1):
            if start not in self._position:
                continue
            first = self._position[start]
            used_buckets = self._open[first : first + len(parts_ms)]
            if self._has_break(used_buckets):
                continue
            on_time = start * BUCKET_MS + FIRST_EVENT_MS <= arrives_ms + goal_ms
            credit = ON_TIME_CREDIT if on_time else LATE_CREDIT
            column = len(self._gains)
            self._gains.append(credit * worth(size_ms))
            self._windows.append(number)
            self._owners.append((owner, column))
            for used, part_ms in zip(used_buckets, parts_ms):
                self._uses.append((used, column, part_ms))

    @staticmethod
    def _has_break(buckets):
        gaps = (late - early - 1 for early, late in zip(buckets, buckets[1:]))
        return any(gap * BUCKET_MS >= BREAK_MS for gap in gaps)

    def solve(self):
        """Return the ``Credit`` of the optimum.

        The mean of the worst windows is concave: the sum of the two smallest parts is
        the largest value of ``2 t - sum(max(0, t - part))`` over ``t``.
        """
        columns = len(self._gains)
        level, slack = columns, columns + 1
        width = slack + WINDOWS_COUNT
        gains, asked = np.array(self._gains), np.maximum(self._asked, 1e-9)
        objective = np.zeros(width)
        objective[:columns] = (1 - WORST_WEIGHT) * gains / asked.sum()
        objective[level] = WORST_WEIGHT
        objective[slack:] = -WORST_WEIGHT / WORST_WINDOWS_COUNT
        rows, cols, values = [], [], []

        def put(row, column, value):
            rows.append(row)
            cols.append(column)
            values.append(value)

        for used, column, part_ms in self._uses:
            put(used, column, part_ms)
        for owner, column in self._owners:
            put(BUCKETS_COUNT + owner, column, 1.0)
        # t - part <= slack of the window
        base = BUCKETS_COUNT + len(self._counts)
        for number in range(WINDOWS_COUNT):
            put(base + number, level, 1.0)
            put(base + number, slack + number, -1.0)
        for column, number in enumerate(self._windows):
            put(base + number, column, -gains[column] / asked[number])
        height = base + WINDOWS_COUNT
        limits = np.concatenate(
            [self._capacity, np.array(self._counts, float), np.zeros(WINDOWS_COUNT)]
        )
        matrix = coo_matrix((values, (rows, cols)), shape=(height, width)).tocsr()
        bounds = [(0, None)] * columns + [(0, 1)] + [(0, None)] * WINDOWS_COUNT
        result = linprog(-objective, A_ub=matrix, b_ub=limits, bounds=bounds)
        if not result.success:
            raise RuntimeError(f"the bound has no solution: {result.message}")
        earned = np.zeros(WINDOWS_COUNT)
        np.add.at(earned, self._windows, gains * result.x[:columns])
        return Credit(asked=list(self._asked), earned=list(earned))
