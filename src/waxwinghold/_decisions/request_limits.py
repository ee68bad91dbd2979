"""Decides how many requests a target gets that names a limit in its answers.

It handles targets that take only so many requests a second from all processes
together, down to one a second at 98 gateways of which only some have callers. Equal
shares would leave most of such a limit unused, and counts that lag would exceed it.
So one process at a time, the issuer, gives out permits, one for each request. Another
one asks it when it has requests to send. ``tests.test_decisions_request_limits``
replays it.

A limit holds for one incarnation of a target, as long as its answers name it.
"""

import math
import zlib
from collections import OrderedDict, deque
from dataclasses import dataclass

from .._clock import MS_PER_SECOND
from .._rendezvous import rendezvous_weight

TARGETS_LIMIT_COUNT = 512
# Without an answer for so long, the target may have ended its limit unnoticed.
LIFETIME_MS = 20_000.0
REFRESH_AGE_MS = 10_000.0  # From then on a later answer of another process is wanted.
SWEEP_INTERVAL_MS = 500.0
PER_SECOND_LIMIT = 1e6  # A higher limit is none.
# Processes whose knowledge differs by less than this factor do not tell each other.
TOLD_STEP_FACTOR = 1.1
# Permits that a target's limit allows for a moment in which none was asked for.
BURST_MS = 500.0
BURST_MIN_COUNT = 2.0
# An unused permit ends, so that permits of many processes are not used all at once.
PERMIT_LIFETIME_MS = 1500.0
HELD_LIMIT_COUNT = 8  # Permits that one process holds, over all targets.
ASK_INTERVAL_MS = 100.0  # A question or its answer may have been lost.
DENIED_ASK_INTERVAL_MS = 1000.0  # The limit may have been raised meanwhile.
ASKED_COUNT = 2  # Targets that are asked for on behalf of one request.
LOWEST_PER_SECOND = 1e-3
# Callers that are told to come back later are spread over this part of the time.
RETURN_SPREAD_RATIO = 0.25


def read_limit(text):
    """Return the requests per second in the text of a header.

    Raises:
        ValueError: It is no number from 0 on.
    """
    per_second = float(text)
    if not 0 <= per_second < float("inf"):
        raise ValueError(f'not a number of requests per second: "{text[:40]}"')
    return per_second


@dataclass(frozen=True, kw_only=True)
class NamedLimit:
    """What an answer of a target said about its limit.

    Args:
        per_second: Requests per second from all processes; ``None`` for no limit.
        at_ms: When the answer arrived, by the clock of this process.
    """

    per_second: float | None
    at_ms: float


class RequestLimits:
    """Remembers the limits that targets have named.

    Of two answers of a target, also of those that other processes got, the later one
    counts. Targets are named by their incarnation.
    """

    def __init__(self):
        self._named = OrderedDict()
        self._version = 0
        self._is_version_current = True
        self._swept_ms = float("-inf")

    def __len__(self):
        return len(self._named)

    def record(self, target, *, per_second, now_ms):
        """Record what an answer of a target said.

        Args:
            per_second: The limit that it named; ``None`` if it named none.

        Returns:
            Whether that is another limit than before.
        """
        before = self.per_second(target, now_ms=now_ms)
        if per_second is not None and per_second > PER_SECOND_LIMIT:
            per_second = None
        if per_second is None and target not in self._named:
            return False
        self._keep(target, NamedLimit(per_second=per_second, at_ms=now_ms))
        return before != per_second

    def per_second(self, target, *, now_ms):
        """Return the limit of a target in requests per second; ``None`` for none."""
        named = self._named.get(target)
        if named is None or now_ms - named.at_ms >= LIFETIME_MS:
            return None
        return named.per_second

    def limited_count(self, *, now_ms):
        """Return the number of targets with a limit."""
        return sum(
            self.per_second(target, now_ms=now_ms) is not None for target in self._named
        )

    def wants_refresh(self, *, now_ms):
        """Return whether a limit is about to be forgotten here."""
        return any(
            named.per_second is not None and now_ms - named.at_ms >= REFRESH_AGE_MS
            for named in self._named.values()
        )

    def version(self, *, now_ms):
        """Return a number that is equal in processes that know about the same.

        Returns:
            0 if no target has named a limit lately.
        """
        if now_ms - self._swept_ms >= SWEEP_INTERVAL_MS:
            self._drop_expired(now_ms)
        if not self._is_version_current:
            self._is_version_current = True
            known = [
                b"%s %d" % (target.encode(), _step(named.per_second))
                for target, named in self._named.items()
            ]
            self._version = zlib.crc32(b"\n".join(sorted(known))) or 1
        return self._version if self._named else 0

    def records(self, *, now_ms):
        """Return what is known as ``(target, per_second, age_ms)`` tuples."""
        self._drop_expired(now_ms)
        return [
            (target, named.per_second, round(now_ms - named.at_ms))
            for target, named in self._named.items()
        ]

    def merge_records(self, records, *, now_ms):
        """Add the records of another process; unusable ones are left out."""
        for target, per_second, age_ms in records[:TARGETS_LIMIT_COUNT]:
            is_usable = per_second is None or 0 <= per_second <= PER_SECOND_LIMIT
            if not is_usable or not 0 <= age_ms < LIFETIME_MS:
                continue
            named = NamedLimit(per_second=per_second, at_ms=now_ms - age_ms)
            known = self._named.get(target)
            if known is None or named.at_ms > known.at_ms:
                self._keep(target, named)

    def _keep(self, target, named):
        known = self._named.get(target)
        if known is None or _step(known.per_second) != _step(named.per_second):
            self._is_version_current = False
        self._named[target] = named
        self._named.move_to_end(target)
        if len(self._named) > TARGETS_LIMIT_COUNT:
            self._named.popitem(last=False)

    def _drop_expired(self, now_ms):
        self._swept_ms = now_ms
        expired = [
            target
            for target, named in self._named.items()
            if now_ms - named.at_ms >= LIFETIME_MS
        ]
        for target in expired:
            del self._named[target]
            self._is_version_current = False


class PermitIssuer:
    """Gives out the permits for requests to targets with limits.

    A new one has no permits saved up, so that a process that takes the place of
    another one does not give out again what that one has given out.
    """

    def __init__(self):
        self._buckets = OrderedDict()

    def issue(self, target, *, per_second, now_ms, burst_ms=BURST_MS):
        """Issue a permit for one request to a target.

        Args:
            per_second: The limit of the target.
            burst_ms: Permits of this time may be given out at once.

        Returns:
            0 if the permit is issued; otherwise after how many milliseconds the next
            one can be.
        """
        count, filled_ms = self._buckets.get(target, (0.0, now_ms))
        burst_count = max(BURST_MIN_COUNT, per_second * burst_ms / MS_PER_SECOND)
        gained_count = max(0.0, now_ms - filled_ms) * per_second / MS_PER_SECOND
        count = min(burst_count, count + gained_count)
        is_issued = count >= 1
        self._buckets[target] = (count - is_issued, now_ms)
        self._buckets.move_to_end(target)
        if len(self._buckets) > TARGETS_LIMIT_COUNT:
            self._buckets.popitem(last=False)
        if is_issued:
            return 0.0
        if not per_second:
            return LIFETIME_MS
        return min(LIFETIME_MS, (1 - count) * MS_PER_SECOND / per_second)


class HeldPermits:
    """The permits that a process holds, and where it may ask for further ones."""

    def __init__(self):
        self._ends_ms = {}
        self._denied_until_ms = {}
        self._ask_from_ms = {}
        self._unanswered = set()

    def add(self, target, *, now_ms, lifetime_ms=PERMIT_LIFETIME_MS):
        """Add a permit for one request to a target, usable for ``lifetime_ms``."""
        self._ask_from_ms.pop(target, None)
        self._unanswered.discard(target)
        self._denied_until_ms.pop(target, None)
        self._ends_ms.setdefault(target, deque()).append(now_ms + lifetime_ms)

    def deny(self, target, *, wait_ms, now_ms):
        """Record that there is no permit for a target for ``wait_ms``."""
        self._unanswered.discard(target)
        self._denied_until_ms[target] = now_ms + wait_ms
        self._ask_from_ms[target] = now_ms + min(wait_ms, DENIED_ASK_INTERVAL_MS)

    def has(self, target, *, now_ms):
        """Return whether there is a permit for a target."""
        self._drop_ended(target, now_ms)
        return target in self._ends_ms

    def use(self, target, *, now_ms):
        """Use up a permit for a target, if there is one."""
        if self.has(target, now_ms=now_ms):
            self._ends_ms[target].popleft()

    def wait_ms(self, target, *, now_ms):
        """Return for how long there is surely no permit for a target."""
        if self.has(target, now_ms=now_ms):
            return 0.0
        return max(0.0, self._denied_until_ms.get(target, 0.0) - now_ms)

    def wanted(self, targets, *, now_ms, rng):
        """Return the targets to ask for a permit now, and remember that they are.

        Args:
            targets: Targets with limits that a request could go to.
            rng: Chooses among them, so that processes do not all ask for the same.
        """
        askable = [target for target in targets if self._may_ask(target, now_ms)]
        held_count = sum(map(len, self._ends_ms.values()))
        count = min(ASKED_COUNT, HELD_LIMIT_COUNT - held_count)
        wanted = rng.sample(askable, max(0, min(count, len(askable))))
        for target in wanted:
            self._ask_from_ms[target] = now_ms + ASK_INTERVAL_MS
            if target in self._unanswered:
                # Its issuer may be gone; requests should not wait for that to show.
                self._denied_until_ms[target] = now_ms + ASK_INTERVAL_MS
            self._unanswered.add(target)
        return wanted

    def forget_ended(self, *, now_ms):
        """Forget what is over, also of targets that are gone."""
        for target in list(self._ends_ms):
            self._drop_ended(target, now_ms)
        self._unanswered.intersection_update(self._ask_from_ms)
        self._denied_until_ms = {
            target: until_ms
            for target, until_ms in self._denied_until_ms.items()
            if until_ms > now_ms
        }
        self._ask_from_ms = {
            target: from_ms
            for target, from_ms in self._ask_from_ms.items()
            if from_ms > now_ms
        }

    def _may_ask(self, target, now_ms):
        if self.has(target, now_ms=now_ms):
            return False
        return now_ms >= self._ask_from_ms.get(target, 0.0)

    def _drop_ended(self, target, now_ms):
        ends_ms = self._ends_ms.get(target)
        if ends_ms is None:
            return
        while ends_ms and ends_ms[0] <= now_ms:
            ends_ms.popleft()
        if not ends_ms:
            del self._ends_ms[target]


def may_wait(*, wait_ms, ahead_count, per_second, start_until_ms, now_ms):
    """Return whether a request is likely to get a permit while it is on time.

    Args:
        wait_ms: For how long there is surely no permit.
        ahead_count: Requests that wait for one already.
        per_second: Permits that this process can expect.
        start_until_ms: When a send is too late for an answer on time.
    """
    gap_ms = MS_PER_SECOND / max(per_second, LOWEST_PER_SECOND)
    return now_ms + max(wait_ms, (ahead_count + 1) * gap_ms) <= start_until_ms


class ReturnTimes:
    """Decides when callers come back that no target may take now.

    Each one gets a later time than the one before, at the rate at which permits for
    all the targets become free for this process.
    """

    def __init__(self):
        self._next_ms = 0.0

    def retry_after_ms(self, *, wait_ms, per_second, now_ms, rng):
        """Return after how many milliseconds a caller may come back.

        Args:
            wait_ms: For how long there is surely no permit.
            per_second: Permits of all targets that this process can expect.
        """
        gap_ms = min(LIFETIME_MS, MS_PER_SECOND / max(per_second, LOWEST_PER_SECOND))
        self._next_ms = max(self._next_ms + gap_ms, now_ms + wait_ms)
        self._next_ms = min(self._next_ms, now_ms + LIFETIME_MS)
        return self._next_ms - now_ms + gap_ms * rng.uniform(0.0, RETURN_SPREAD_RATIO)


def issuer_of(target, processes):
    """Return which of several processes issues the permits of a target.

    Args:
        processes: The names of all active processes.
    """
    return max(processes, key=lambda name: rendezvous_weight(target, name))


def _step(per_second):
    """Return a number that is equal for limits that differ little; -1 for none."""
    if per_second is None:
        return -1
    if not per_second:
        return 0
    return round(math.log(per_second * MS_PER_SECOND, TOLD_STEP_FACTOR))
