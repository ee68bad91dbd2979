"""Decides how many slots less urgent requests leave to more urgent ones.

It handles a burst of the least urgent kind of requests at 2.5 times its rate, at up to
98 gateways that each decide alone. ``tests.test_decisions_urgency`` replays it.
"""

import math
import random

PRIORITY_MAX = 15  # Less urgent ones count as this one, which bounds the state.
WINDOW_MS = 4000.0  # Long enough for several arrivals of each kind at one gateway.
BUCKETS_COUNT = 8
BUCKET_MS = WINDOW_MS / BUCKETS_COUNT
MS_PER_SECOND = 1000.0
# Counts of other gateways lag by 0.1 to 0.2 s, and a slot has to become free meanwhile.
# In replays, 400 ms cost the least urgent kind at least 0.06 of its credit and gave the
# most urgent one 0.02 at most.
HORIZON_MS = 300.0
# While more is free, nothing is reserved.
SCARCE_FREE_RATIO = 0.25
RESERVED_MAX_RATIO = 0.5
# The figure of one gateway reserves at most this many times its equal share of
# ``RESERVED_MAX_RATIO``, so that a forged one does little.
PEER_SHARES_COUNT = 4
STEP_FACTOR = 1.5
STEP_MAX_COUNT = 32
# A published step changes once the rate has left it by this part of a step.
STEP_MARGIN = 1.0
MIN_START_SHARE = 0.1
CREDIT_MAX_COUNT = 1.5
CREDIT_ELAPSED_MAX_MS = 1000.0
# Less than the age of the counts of other gateways, as not all of them have requests
# that wait.
ALLOWANCE_INTERVAL_MS = 60.0
ALLOWANCE_MAX_COUNT = 2.0
PEERS_AGE_LIMIT_MS = 50.0  # Less than the interval of notices.


class RecentCounts:
    """Counts events of each priority over the last ``WINDOW_MS``."""

    def __init__(self):
        self._buckets = {}
        self._bucket = 0

    def record(self, priority, *, now_ms):
        """Count one event."""
        self._advance(now_ms)
        buckets = self._buckets.setdefault(priority, [0] * BUCKETS_COUNT)
        buckets[self._bucket % BUCKETS_COUNT] += 1

    def counts(self, *, now_ms):
        """Return the count of each priority that has one."""
        self._advance(now_ms)
        return {priority: sum(counts) for priority, counts in self._buckets.items()}

    def per_second(self, *, now_ms):
        """Return the events per second of each priority that has one."""
        seconds = WINDOW_MS / MS_PER_SECOND
        return {
            priority: count / seconds
            for priority, count in self.counts(now_ms=now_ms).items()
        }

    def _advance(self, now_ms):
        bucket = int(now_ms / BUCKET_MS)
        if bucket <= self._bucket:
            return
        first = max(self._bucket + 1, bucket - BUCKETS_COUNT + 1)
        for counts in self._buckets.values():
            for passed in range(first, bucket + 1):
                counts[passed % BUCKETS_COUNT] = 0
        self._buckets = {
            priority: counts
            for priority, counts in self._buckets.items()
            if any(counts)
        }
        self._bucket = bucket


def clamped(priority):
    """Return ``priority`` within the range that is counted."""
    return min(PRIORITY_MAX, max(0, priority))


def step_of(per_second):
    """Return the step of a rate: steps are powers of ``STEP_FACTOR`` from 1/s."""
    if per_second <= 0:
        return 0
    # A rate of one arrival in the window is step 0.
    lowest = MS_PER_SECOND / WINDOW_MS
    step = math.log(per_second / lowest, STEP_FACTOR)
    return min(STEP_MAX_COUNT, max(0, round(step)))


def rate_of(step):
    """Return the requests per second that a step stands for."""
    return MS_PER_SECOND / WINDOW_MS * STEP_FACTOR ** min(step, STEP_MAX_COUNT)


class Urgency:
    """What one gateway knows about the priorities of a service's requests.

    Each gateway counts its own arrivals, and gets those of the others as coarse steps.
    While slots are scarce, a request may start only if as many slots are free as more
    urgent requests need within ``HORIZON_MS``. Each priority gets at least
    ``MIN_START_SHARE`` of the slots that become free: it earns that share of a start
    with each of them, and a start that is earned needs no free slots beyond its own.

    Args:
        gateways_count: Returns how many gateways send to the same targets.
        peer_steps: Returns, for each other gateway, its published steps by priority.
        rng: Draws when a gateway first uses what is free beyond the reserve.
    """

    def __init__(self, *, gateways_count=None, peer_steps=None, rng=None):
        self._rng = rng or random.Random()
        self._gateways_count = gateways_count or (lambda: 1)
        self._peer_steps = peer_steps or (lambda: ())
        self._arrivals = RecentCounts()
        self._starts = RecentCounts()
        self._published = {}
        self._credits = {}
        self._earned_ms = {}
        self._allowances = {}
        self._peers = ()
        self._peers_until_ms = float("-inf")

    def record_arrival(self, priority, *, now_ms):
        """Record a request that asks for a slot while it can be on time."""
        self._arrivals.record(clamped(priority), now_ms=now_ms)

    def record_start(self, priority, *, now_ms):
        """Record that a request got a slot."""
        priority = clamped(priority)
        self._starts.record(priority, now_ms=now_ms)
        if priority in self._allowances:
            count, at_ms = self._allowances[priority]
            self._allowances[priority] = (count - 1.0, at_ms)
        credit = self._credits.get(priority)
        if credit is not None:
            # A random rest keeps gateways from all using earned starts at once when a
            # priority that got enough so far begins to wait.
            rest = credit - 1.0 if credit >= 1.0 else self._rng.random()
            self._credits[priority] = rest

    def record_departure(self, priority):
        """Record that a request released its slot, which another one may take."""
        for other, (count, at_ms) in self._allowances.items():
            if other <= clamped(priority):
                count = min(ALLOWANCE_MAX_COUNT, count + 1.0)
                self._allowances[other] = (count, at_ms)

    def has_several(self, *, now_ms):
        """Return whether requests of several priorities arrived lately anywhere."""
        return len(self._priorities(now_ms)) > 1

    def reserved_ratio(self, priority, *, state, now_ms):
        """Return the share of the slots that a request has to leave free.

        Args:
            priority: That of the request.
            state: The ``ServiceState``.
        """
        if state.free_ratio >= SCARCE_FREE_RATIO or not state.slots_count:
            return 0.0
        if not self.has_several(now_ms=now_ms):
            return 0.0
        priority = clamped(priority)
        own = self._arrivals.per_second(now_ms=now_ms)
        ratio = _needed_ratio(own, priority, state)
        limit_ratio = RESERVED_MAX_RATIO * PEER_SHARES_COUNT / self._gateways_count()
        for rates in self._peer_rates(now_ms):
            ratio += min(limit_ratio, _needed_ratio(rates, priority, state))
        return min(RESERVED_MAX_RATIO, ratio)

    def uses_reserve(self, priority, *, state, now_ms):
        """Return whether less urgent requests leave slots free for such a request."""
        if state.free_ratio >= SCARCE_FREE_RATIO:
            return False
        return clamped(priority) < max(self._priorities(now_ms), default=0)

    def leaves_enough(self, priority, *, state, now_ms):
        """Return whether a request may start beside what more urgent ones need.

        What is free beyond the reserve is free at all gateways. Each one replaces its
        own requests that ended, and gets an equal part of what is free in the time in
        which it cannot know of the starts at the others; otherwise all would use it at
        once.
        """
        reserved_ratio = self.reserved_ratio(priority, state=state, now_ms=now_ms)
        priority = clamped(priority)
        if not reserved_ratio:
            self._allowances.pop(priority, None)
            return True
        spare_count = (state.free_ratio - reserved_ratio) * state.slots_count
        gateways_count = self._gateways_count()
        per_interval = max(0.0, spare_count) / gateways_count
        count, at_ms = self._allowances.get(priority, (self._rng.random(), now_ms))
        elapsed = min(1.0, (now_ms - at_ms) / ALLOWANCE_INTERVAL_MS)
        limit = max(ALLOWANCE_MAX_COUNT, per_interval)
        count = min(limit, count + elapsed * per_interval)
        self._allowances[priority] = (count, now_ms)
        return spare_count >= 0 and count >= 1.0

    def start_share(self, priority, *, now_ms):
        """Return the share of recent starts of such or less urgent requests.

        Returns:
            1.0 if only one priority is known.
        """
        if not self.has_several(now_ms=now_ms):
            return 1.0
        counts = self._starts.counts(now_ms=now_ms)
        total = sum(counts.values())
        if not total:
            return 1.0
        priority = clamped(priority)
        count = sum(count for other, count in counts.items() if other >= priority)
        return max(MIN_START_SHARE, count / total)

    def earned_starts(self, priority, *, state, departures_per_ms, held_ms, now_ms):
        """Return how many starts a priority has earned and not had yet.

        What a priority earns follows from this gateway's departures, and from those of
        all gateways by its part of that priority's arrivals, whichever is more: with
        the former alone, a priority that asks at a few gateways would get less.

        Args:
            state: The ``ServiceState``.
            departures_per_ms: Slots that this gateway's requests release.
            held_ms: Mean time in a slot; 0 if it is not known.
        """
        priority = clamped(priority)
        own = self._arrivals.per_second(now_ms=now_ms)
        if priority not in own or not self.has_several(now_ms=now_ms):
            self._credits.pop(priority, None)
            self._earned_ms.pop(priority, None)
            return 0.0
        per_ms = departures_per_ms
        if held_ms:
            busy_count = state.slots_count * (1 - max(0.0, state.free_ratio))
            total = own[priority] + sum(
                rates.get(priority, 0.0) for rates in self._peer_rates(now_ms)
            )
            per_ms = max(per_ms, busy_count / held_ms * own[priority] / total)
        elapsed_ms = now_ms - self._earned_ms.get(priority, now_ms)
        self._earned_ms[priority] = now_ms
        earned = MIN_START_SHARE * per_ms * min(CREDIT_ELAPSED_MAX_MS, elapsed_ms)
        credit = min(CREDIT_MAX_COUNT, self._credits.get(priority, 0.0) + earned)
        self._credits[priority] = credit
        return credit

    def published_steps(self, *, state, now_ms):
        """Return the steps for the other gateways, by priority.

        Returns:
            An empty dictionary while nothing is scarce and one priority is known.
        """
        rates = self._arrivals.per_second(now_ms=now_ms)
        is_scarce = state.free_ratio < SCARCE_FREE_RATIO
        if not is_scarce and not self.has_several(now_ms=now_ms):
            self._published = {}
            return {}
        published = {}
        for priority, per_second in sorted(rates.items()):
            previous = self._published.get(priority)
            step = step_of(per_second)
            if previous is not None and abs(step - previous) <= STEP_MARGIN:
                step = previous
            published[priority] = step
        self._published = published
        return dict(published)

    def _priorities(self, now_ms):
        found = set(self._arrivals.counts(now_ms=now_ms))
        for rates in self._peer_rates(now_ms):
            found.update(rates)
        return found

    def _peer_rates(self, now_ms):
        if now_ms >= self._peers_until_ms:
            self._peers_until_ms = now_ms + PEERS_AGE_LIMIT_MS
            self._peers = [
                {clamped(priority): rate_of(step) for priority, step in steps.items()}
                for steps in self._peer_steps()
                if steps
            ]
        return self._peers


def _needed_ratio(rates, priority, state):
    """Return the share of the slots that more urgent requests at one gateway need."""
    per_second = sum(rate for other, rate in rates.items() if other < priority)
    return per_second * HORIZON_MS / MS_PER_SECOND / state.slots_count
