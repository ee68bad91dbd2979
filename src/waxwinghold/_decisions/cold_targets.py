"""Decides which targets are cold, and how many requests a cold target gets.

It handles targets that start or turn cold under traffic, at up to 98 gateways of which
some are cut off or have just started. A cold target takes only so many requests a
second from all of them together. That is a rate limit, kept by the permits of
``request_limits``, with less time for permits to pile up.
``tests.test_decisions_cold_targets`` replays it.
"""

import math
from collections import OrderedDict
from dataclasses import dataclass

from .._clock import MS_PER_SECOND

TARGETS_LIMIT_COUNT = 1024
NEVER_MS = float("-inf")
COLD_LIMIT_MS = 86_400_000.0  # No target is cold for longer than a day on purpose.
# Entries of targets that have run for long still arrive for this time after the first
# list, for example if the store is just recovering.
FIRST_LIST_MS = 5000.0
# The highest rate at a target is doubled for processes that choose at the same time on
# stale counts.
STALE_COUNTS_FACTOR = 2.0
HELD_SMOOTHING_RATIO = 0.05  # Averages over about the last twenty requests.
# In a second, a target gets what was issued in that second and in the lifetime of a
# permit before it: 1.4 times the rate and the burst of 0.1 s. The bound is 1.5 times
# the rate and 5 requests.
COLD_PERMIT_LIFETIME_MS = 400.0
COLD_BURST_MS = 100.0
# A process that was not heard for so long has ended; a cut between data centres is over
# by then.
KNOWN_MS = 180_000.0
KNOWN_LIMIT_COUNT = 512
# After a cut, processes hear of each other at different times, within two intervals of
# their notices.
SHARE_RISE_MS = 2000.0


@dataclass(frozen=True, kw_only=True)
class ColdRule:
    """What a service says about its cold targets.

    Args:
        cold_ms: How long a target is cold after a start, in milliseconds.
        per_second: Requests a second that a cold target takes; above 0.
    """

    cold_ms: float
    per_second: float


@dataclass(kw_only=True)
class _Record:
    service: str
    slots_count: int
    began_ms: float = NEVER_MS
    left_until_ms: float = NEVER_MS
    written: int = 0


class ColdTargets:
    """Remembers since when and how long targets are cold.

    Targets are named by their incarnation. Nothing is cold without a ``ColdRule``, but
    the times are remembered, as a rule may come later.
    """

    def __init__(self):
        self._rules = {}
        self._records = OrderedDict()
        self._first_list_ms = None
        self._active_until_ms = NEVER_MS
        self._held_ms = {}

    @property
    def is_configured(self):
        """Return whether any service has a rule."""
        return bool(self._rules)

    def configure(self, rules):
        """Replace the rules, given by service."""
        self._rules = dict(rules)
        self._update_active()

    def record_listing(
        self,
        target,
        *,
        service,
        slots_count,
        born_ms,
        left_ms,
        written,
        now_ms,
        wall_ms,
    ):
        """Record the entry of a target in a list.

        Args:
            born_ms: Wall time of its start; 0 if unknown.
            left_ms: How much longer it says that it is cold.
            written: Number of the write of the entry; another one shows a new entry.
        """
        if self._first_list_ms is None:
            self._first_list_ms = now_ms
        record = self._records.get(target)
        is_new = record is None
        if is_new:
            record = self._records[target] = _Record(
                service=service, slots_count=slots_count
            )
            if now_ms - self._first_list_ms >= FIRST_LIST_MS:
                record.began_ms = now_ms
            elif born_ms:
                record.began_ms = now_ms - max(0.0, wall_ms - born_ms)
        if left_ms > 0 and (is_new or written != record.written):
            until_ms = now_ms + min(left_ms, COLD_LIMIT_MS)
            record.left_until_ms = max(record.left_until_ms, until_ms)
        record.service, record.slots_count = service, slots_count
        record.written = written
        self._records.move_to_end(target)
        if len(self._records) > TARGETS_LIMIT_COUNT:
            self._records.popitem(last=False)
        self._include(record)

    def record_start(self, target, *, now_ms):
        """Record that a listed target starts to get traffic, or has started again."""
        record = self._records.get(target)
        if record is not None:
            record.began_ms = now_ms
            self._include(record)

    def record_held(self, service, *, held_ms):
        """Record for how long a request had a slot of a service."""
        mean_ms = self._held_ms.get(service, held_ms)
        self._held_ms[service] = mean_ms + HELD_SMOOTHING_RATIO * (held_ms - mean_ms)

    def may_apply(self, *, now_ms):
        """Return whether any target may be cold; quick, and never wrongly false."""
        return now_ms < self._active_until_ms

    def left_ms(self, target, *, now_ms):
        """Return how much longer a target is cold in milliseconds; 0 if it is not."""
        if not self.may_apply(now_ms=now_ms):
            return 0.0
        record = self._records.get(target)
        return max(0.0, self._until_ms(record) - now_ms) if record else 0.0

    def per_second(self, target, *, now_ms):
        """Return the rate limit of a cold target, or ``None`` if it needs none.

        It needs none where its slots keep it below the rate anyway.
        """
        if not self.left_ms(target, now_ms=now_ms):
            return None
        record = self._records[target]
        per_second = self._rules[record.service].per_second
        highest = highest_per_second(
            record.slots_count, mean_held_ms=self._held_ms.get(record.service)
        )
        return None if per_second >= highest else per_second

    def _until_ms(self, record):
        rule = self._rules.get(record.service)
        if rule is None:
            return NEVER_MS
        began_until_ms = record.began_ms + min(rule.cold_ms, COLD_LIMIT_MS)
        return max(began_until_ms, record.left_until_ms)

    def _include(self, record):
        self._active_until_ms = max(self._active_until_ms, self._until_ms(record))

    def _update_active(self):
        self._active_until_ms = max(
            map(self._until_ms, self._records.values()), default=NEVER_MS
        )


def highest_per_second(slots_count, *, mean_held_ms):
    """Return the highest rate at which a target can get requests.

    Args:
        slots_count: Its slots.
        mean_held_ms: Mean time that a request has a slot; ``None`` if unknown.
    """
    if not mean_held_ms or mean_held_ms <= 0.0:
        return math.inf
    per_slot = 1 + MS_PER_SECOND / mean_held_ms
    return STALE_COUNTS_FACTOR * slots_count * per_slot


class HeardShare:
    """Tells an issuer which share of a rate it may issue.

    On each side of a cut there is an issuer. Each one issues the part of the rate that
    its side has of all processes heard lately, so that the sides stay within the rate
    together.

    Args:
        expected: Processes that should exist, whether they were heard or not.
        now_ms: The time of the start.
    """

    def __init__(self, *, expected=(), now_ms=0.0):
        self._heard_ms = OrderedDict.fromkeys(expected, now_ms)
        self._lower_shares = []

    def update(self, active, *, now_ms):
        """Return the share, from 0 to 1.

        A share falls at once and rises after ``SHARE_RISE_MS``.

        Args:
            active: The other processes that are heard now.
        """
        for name in active:
            self._heard_ms[name] = now_ms
            self._heard_ms.move_to_end(name)
        while self._heard_ms:
            name = next(iter(self._heard_ms))
            is_recent = now_ms - self._heard_ms[name] < KNOWN_MS
            if is_recent and len(self._heard_ms) <= KNOWN_LIMIT_COUNT:
                break
            del self._heard_ms[name]
        share = (1 + len(active)) / (1 + len(self._heard_ms))
        self._lower_shares = [
            (at_ms, lower)
            for at_ms, lower in self._lower_shares
            if now_ms - at_ms < SHARE_RISE_MS and lower < share
        ]
        lowest = min((lower for _, lower in self._lower_shares), default=share)
        if share < 1.0:
            self._record_lower(share, now_ms)
        return min(share, lowest)

    def _record_lower(self, share, now_ms):
        """Remember when a share was seen last, in bounded space."""
        self._lower_shares = [
            (at_ms, lower) for at_ms, lower in self._lower_shares if lower != share
        ]
        self._lower_shares.append((now_ms, share))
