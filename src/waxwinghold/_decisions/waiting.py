"""Decides which requests of a service wait for a slot and which are rejected.

It handles loads of 1.3 to 4 times the capacity, groups that make no step for seconds,
and the backlog afterwards. ``tests.test_decisions_replay`` and
``tests.test_gateway_line`` replay them.
"""

import random
from collections import deque
from dataclasses import dataclass, replace

from .._registry import Registry
from .customer_shares import CustomerShares
from .urgency import PRIORITY_MAX, Urgency

RATE_WINDOW_MS = 2000.0  # Long enough for several completed requests of one gateway.
RETRY_AFTER_BASE_MS = 300.0  # About the time in which some slots become free.
# Callers come back within this share of the time they have left, whatever they are
# told.
RETRY_AFTER_SHARE = 1 / 3
# A service that lost a rank is back after some seconds. Callers are told to come back
# late within what they honour: each earlier one would be rejected again.
CLOSED_RETRY_AFTER_MIN_SHARE = 0.75
DEADLINE_WINDOW_MS = 10_000.0  # A time-out that was shortened is forgotten after two.
# Late requests leave at least this share of the slots to those that come on time, and
# at most the other one.
LATE_FREE_MIN_RATIO = 0.08
LATE_FREE_MAX_RATIO = 0.8
DEMAND_WINDOW_MS = 3000.0  # Long enough for several arrivals at one gateway.
HELD_GROWTH_LIMIT_RATIO = 2.0
HELD_SMOOTHING_RATIO = 0.05  # Averages over about the last twenty requests.
FIRST_ANSWER_SMOOTHING_RATIO = 0.1  # Averages over about the last ten answers.
# In any case, requests count as on time for this share of their goal.
FIRST_ANSWER_GOAL_SHARE = 0.25
RETRY_AFTER_SPREAD_RATIO = 0.15  # Spreads the retries of callers rejected together.
UNUSABLE_REASON = "no target of the service is usable"

queue_policy = Registry(kind="queue")


@dataclass(frozen=True, kw_only=True)
class QueuedRequest:
    """A request that needs a slot at a target.

    All times are in milliseconds of the gateway's clock.

    Args:
        arrived_ms: When the request was read.
        start_until_ms: When a send is too late for an answer on time.
        queue_deadline_ms: When the request is rejected if it is still queued.
        end_ms: When its caller or its route ends it.
        priority: 0 is the most urgent.
        last_chance: Whether the caller has too little time left to retry later.
        customer: Name of its customer; empty if it has none.
    """

    arrived_ms: float
    start_until_ms: float
    queue_deadline_ms: float
    end_ms: float = float("inf")
    priority: int = 0
    last_chance: bool = False
    customer: str = ""


@dataclass(frozen=True, kw_only=True)
class ServiceState:
    """Whether the targets of a service make progress.

    Args:
        slots_count: Slots of all usable targets.
        free_ratio: Share of them that is free.
        stalled: No target is usable now.
        closed: No target is expected to be usable within a second: each is leaving, or
            its group lost a rank.
    """

    slots_count: int = 0
    free_ratio: float = 1.0
    stalled: bool = False
    closed: bool = False

    def with_one_slot_taken(self):
        """Return the state after another request got a slot."""
        if not self.slots_count:
            return self
        return replace(self, free_ratio=self.free_ratio - 1 / self.slots_count)


@dataclass(frozen=True, kw_only=True)
class Decision:
    """What happens to a request that asks for a slot.

    Args:
        target: The target whose slot it gets, or ``None``.
        waits: Whether it waits for a slot; neither that nor a target is a rejection.
        reason: Why it is rejected, for logs and the caller.
    """

    target: object = None
    waits: bool = False
    reason: str = ""


class FreshDemand:
    """Estimates the slots that requests still on time are about to need.

    After an outage all slots are free, and requests that waited for it could take them
    all. Those that arrive next would then become late as well, and so on.

    Args:
        gateways_count: Returns how many gateways send to the same targets; each is
            taken to get an equal share of the requests.
    """

    def __init__(self, *, gateways_count):
        self._gateways_count = gateways_count
        self._arrivals_ms = deque()
        self._running_count = 0
        self._held_ms = 0.0

    @property
    def held_ms(self):
        """Return the mean time in a slot; 0 before the first one."""
        return self._held_ms

    def record_arrival(self, *, now_ms):
        """Record a request whose caller asks for the first time."""
        self._arrivals_ms.append(now_ms)
        self._forget(now_ms)

    def record_start(self):
        """Record that a request got a slot while it was on time."""
        self._running_count += 1

    def record_departure(self, *, held_ms):
        """Record that such a request released its slot after ``held_ms``."""
        self._running_count -= 1
        if not self._held_ms:
            self._held_ms = held_ms
        # A request that a stalled group held for seconds says little about the others.
        held_ms = min(held_ms, HELD_GROWTH_LIMIT_RATIO * self._held_ms)
        self._held_ms += HELD_SMOOTHING_RATIO * (held_ms - self._held_ms)

    def needed_ratio(self, *, slots_count, now_ms):
        """Return the share of the slots that will be needed beyond those in use."""
        if not slots_count:
            return 1.0
        self._forget(now_ms)
        rate = len(self._arrivals_ms) / DEMAND_WINDOW_MS
        own_count = rate * self._held_ms - self._running_count
        return own_count * self._gateways_count() / slots_count

    def _forget(self, now_ms):
        while self._arrivals_ms and self._arrivals_ms[0] < now_ms - DEMAND_WINDOW_MS:
            self._arrivals_ms.popleft()


class FirstAnswerTime:
    """Measures how long targets take from a send to the first part of an answer.

    A request is on time only if it is sent that long before its goal ends. Near the
    capacity, most requests that wait are sent shortly before that moment.
    """

    def __init__(self):
        self._mean_ms = 0.0

    def record(self, time_ms):
        """Record one first part that arrived ``time_ms`` after its send."""
        self._mean_ms += FIRST_ANSWER_SMOOTHING_RATIO * (time_ms - self._mean_ms)

    def start_until_ms(self, *, asked_ms, goal_ms):
        """Return when a request has to be sent at the latest to be on time.

        Args:
            asked_ms: When its caller first asked.
            goal_ms: The route's latency goal.
        """
        return asked_ms + max(
            goal_ms - self._mean_ms, FIRST_ANSWER_GOAL_SHARE * goal_ms
        )


class UsualDeadline:
    """Tells how long ago a caller first asked, from the time that it has left.

    Callers that retry send the rest of their deadline. The longest deadline seen
    lately is that of callers that ask for the first time.
    """

    def __init__(self):
        self._longest_ms = 0.0
        self._previous_longest_ms = 0.0
        self._began_ms = 0.0

    def elapsed_ms(self, left_ms, *, now_ms):
        """Record the time that a new request has left; return the time since it began.

        Args:
            left_ms: Time until its deadline or the route's time-out.
        """
        if now_ms - self._began_ms > DEADLINE_WINDOW_MS:
            self._previous_longest_ms = self._longest_ms
            self._longest_ms, self._began_ms = 0.0, now_ms
        self._longest_ms = max(self._longest_ms, left_ms)
        return max(self._longest_ms, self._previous_longest_ms) - left_ms


class DepartureRate:
    """Measures how often this gateway's requests release a slot of a service."""

    def __init__(self):
        self._times_ms = deque()

    def record(self, *, now_ms):
        """Record one released slot."""
        self._times_ms.append(now_ms)
        self._forget(now_ms)

    def per_ms(self, *, now_ms):
        """Return the released slots per millisecond over the last window."""
        self._forget(now_ms)
        return len(self._times_ms) / RATE_WINDOW_MS

    def _forget(self, now_ms):
        while self._times_ms and self._times_ms[0] < now_ms - RATE_WINDOW_MS:
            self._times_ms.popleft()


@queue_policy("first_come")
class FirstCome:
    """Serves in order of arrival and rejects no request early; the naive policy.

    Attributes:
        knows_priorities: Whether a request may start while less urgent ones wait.
    """

    knows_priorities = False

    def __init__(
        self, *, gateways_count=None, peer_steps=None, rng=None, fair_customers=None
    ):
        self.rate = DepartureRate()
        self.demand = FreshDemand(gateways_count=gateways_count or (lambda: 1))
        self.urgency = Urgency(
            gateways_count=gateways_count, peer_steps=peer_steps, rng=rng
        )

    def record_ask(self, request, *, now_ms):
        """Record that a request asks for a slot; this policy ignores it."""

    def record_start(self, request, *, now_ms):
        """Record that a request got a slot; this policy ignores it."""

    def sort_key(self, request, *, now_ms):
        """Return the sort key of a queued request; the lowest is served first."""
        return request.arrived_ms

    def may_start(self, request, *, state, now_ms):
        """Return whether the request may use a free slot now."""
        return True

    def is_due(self, request, *, state, now_ms):
        """Return whether the request is served before all that are not due."""
        return False

    def uses_reserve(self, request, *, state, now_ms):
        """Return whether other requests leave slots free for this one."""
        return False

    def admits(self, request, *, ahead_count, state, now_ms):
        """Return whether the request may be queued."""
        return True

    def retry_after_ms(self, *, waiting_count, state, left_ms, now_ms, priority=0):
        """Return after how many milliseconds a rejected caller should retry."""
        return RETRY_AFTER_BASE_MS


@queue_policy("on_time_first")
class OnTimeFirst:
    """Serves on-time requests first, and rejects those unlikely to get a slot in time.

    Under overload, serving in order of arrival makes every answer late. This policy
    keeps the targets busy with requests that are answered on time, and tells the other
    callers at once when to retry.

    A group that makes no step although it is open goes on soon, so that requests wait
    for it. While a service is closed, only callers that cannot retry later wait.

    Args:
        gateways_count: Returns how many gateways send to the same targets.
        peer_steps: See ``Urgency``.
        rng: Spreads the times at which rejected callers retry.
        fair_customers: Returns whether customers above their share of the recent
            starts wait behind the others of the same priority.

    Attributes:
        knows_priorities: Whether a request may start while less urgent ones wait.
    """

    knows_priorities = True

    def __init__(
        self,
        *,
        gateways_count=None,
        peer_steps=None,
        rng=None,
        fair_customers=None,
    ):
        self.rate = DepartureRate()
        self.demand = FreshDemand(gateways_count=gateways_count or (lambda: 1))
        self.urgency = Urgency(
            gateways_count=gateways_count, peer_steps=peer_steps, rng=rng
        )
        self.shares = CustomerShares()
        self._fair_customers = fair_customers or (lambda: False)
        self._gateways_count = gateways_count or (lambda: 1)
        self._rng = rng or random.Random()

    def record_ask(self, request, *, now_ms):
        """Record that a request asks for a slot."""
        if self._fair_customers():
            self.shares.record_ask(request.customer, now_ms=now_ms)

    def record_start(self, request, *, now_ms):
        """Record that a request got a slot."""
        self.urgency.record_start(request.priority, now_ms=now_ms)
        if self._fair_customers():
            self.shares.record_start(request.customer, now_ms=now_ms)

    def sort_key(self, request, *, now_ms):
        """Return the sort key of a queued request; the lowest is served first.

        Among on-time requests, the newest is served first: under overload, the oldest
        would get its slot just too late. Among late ones, those whose callers cannot
        come back are served first. Customers above their share of the recent starts
        come after the others of their priority if ``fair_customers`` says so.
        """
        late = now_ms > request.start_until_ms
        is_above = self._fair_customers() and self.shares.is_above(
            request.customer, now_ms=now_ms
        )
        return (
            late,
            request.priority,
            is_above,
            late and not request.last_chance,
            request.arrived_ms if late else -request.arrived_ms,
        )

    def may_start(self, request, *, state, now_ms):
        """Return whether the request may use a free slot now.

        A late answer earns less than one on time. While few slots are free, each slot
        for a late request would make the next requests late as well. The same holds for
        a request that is less urgent than others that are about to arrive.
        """
        leaves_enough = self.urgency.leaves_enough(
            request.priority, state=state, now_ms=now_ms
        )
        if now_ms <= request.start_until_ms:
            return leaves_enough or self.is_due(request, state=state, now_ms=now_ms)
        needed_ratio = self.demand.needed_ratio(
            slots_count=state.slots_count, now_ms=now_ms
        )
        reserved_ratio = min(
            LATE_FREE_MAX_RATIO, max(LATE_FREE_MIN_RATIO, needed_ratio)
        )
        return leaves_enough and state.free_ratio >= reserved_ratio

    def is_due(self, request, *, state, now_ms):
        """Return whether the request is served before all that are not due.

        It is if it is on time and its priority got less than the share of the slots
        that each priority gets under any load.
        """
        if now_ms > request.start_until_ms:
            return False
        return self._earned_starts(request.priority, state, now_ms) >= 1.0

    def uses_reserve(self, request, *, state, now_ms):
        """Return whether other requests leave slots free for this one."""
        if now_ms > request.start_until_ms:
            return False
        return self.urgency.uses_reserve(request.priority, state=state, now_ms=now_ms)

    def _is_next(self, request, state, now_ms):
        """Return whether a request of several priorities waits for its turn only."""
        if not self.urgency.has_several(now_ms=now_ms):
            return False
        reserved_ratio = self.urgency.reserved_ratio(
            request.priority, state=state, now_ms=now_ms
        )
        return state.free_ratio >= reserved_ratio or self.is_due(
            request, state=state, now_ms=now_ms
        )

    def _earned_starts(self, priority, state, now_ms):
        return self.urgency.earned_starts(
            priority,
            state=state,
            departures_per_ms=self.rate.per_ms(now_ms=now_ms),
            held_ms=self.demand.held_ms,
            now_ms=now_ms,
        )

    def _rate_per_ms(self, priority, state, now_ms):
        """Return how many slots requests of ``priority`` can get per millisecond."""
        share = self.urgency.start_share(priority, now_ms=now_ms)
        rate = self.rate.per_ms(now_ms=now_ms)
        if self.demand.held_ms and self.urgency.has_several(now_ms=now_ms):
            # One gateway of many sees too few departures for a rate by priority.
            busy_count = state.slots_count * (1 - max(0.0, state.free_ratio))
            all_rate = busy_count / self.demand.held_ms
            rate = max(rate, all_rate / self._gateways_count())
        return rate * share

    def admits(self, request, *, ahead_count, state, now_ms):
        """Return whether the request is likely to get a slot in time.

        Args:
            ahead_count: Queued requests of its own or a less urgent priority that are
                served before it.
            state: The ``ServiceState``.
        """
        if state.closed:
            return request.last_chance
        if state.stalled:
            return True
        rate = self._rate_per_ms(request.priority, state, now_ms)
        if not rate:
            return ahead_count == 0
        if not ahead_count and self._is_next(request, state, now_ms):
            return True
        expected_ms = (ahead_count + 1) / rate
        return now_ms + expected_ms <= request.queue_deadline_ms

    def retry_after_ms(self, *, waiting_count, state, left_ms, now_ms, priority=0):
        """Return after how many milliseconds a rejected caller is likely to get a slot.

        Args:
            waiting_count: Requests of the caller's priority in the queue.
            state: The ``ServiceState``.
            left_ms: Time that the caller still has.
            priority: The caller's priority.
        """
        limit_ms = RETRY_AFTER_SHARE * left_ms
        if state.closed or state.stalled:
            return limit_ms * self._rng.uniform(CLOSED_RETRY_AFTER_MIN_SHARE, 1.0)
        rate = self._rate_per_ms(priority, state, now_ms)
        ahead_ms = (waiting_count + 1) / rate if rate else 0.0
        spread = self._rng.uniform(
            1 - RETRY_AFTER_SPREAD_RATIO, 1 + RETRY_AFTER_SPREAD_RATIO
        )
        return min(limit_ms, max(RETRY_AFTER_BASE_MS, ahead_ms) * spread)


@dataclass(kw_only=True, eq=False)
class LineEntry:
    """A request in a ``WaitingLine`` or with a slot that it got from one.

    Args:
        request: The ``QueuedRequest``.
        tried: Names of targets that must not get it.

    Attributes:
        started_ms: When it got its slot.
        is_late: Whether it got it too late for an answer on time.
    """

    request: QueuedRequest
    tried: frozenset = frozenset()
    started_ms: float = 0.0
    is_late: bool = False


class WaitingLine:
    """The requests of one service that wait for a slot, at one gateway.

    Args:
        policy: A ``queue_policy``.
        choose: ``choose(tried, now_ms)`` returns a target with a free slot outside
            ``tried``, or ``None``. The caller of the line takes the slot before it
            asks again. For a request for which others leave slots free, it is called
            with ``needs_turn=False``.
        state: ``state(now_ms)`` returns the ``ServiceState``.
    """

    def __init__(self, *, policy, choose, state):
        self._policy = policy
        self._choose = choose
        self._state = state
        self._entries = []

    def __len__(self):
        return len(self._entries)

    def entries(self):
        """Return the entries that wait."""
        return list(self._entries)

    def arrive(self, entry, *, now_ms):
        """Decide about a request that asks for a slot.

        Args:
            entry: A ``LineEntry``. If it waits, it stays in the line until ``serve``
                returns it or ``withdraw`` removes it.

        Returns:
            The ``Decision``.
        """
        state = self._state(now_ms)
        request = entry.request
        if not request.last_chance and not entry.tried:
            self._policy.demand.record_arrival(now_ms=now_ms)
        if not entry.tried:
            self._policy.record_ask(request, now_ms=now_ms)
        if now_ms <= request.start_until_ms and not entry.tried:
            self._policy.urgency.record_arrival(request.priority, now_ms=now_ms)
        if self.is_first(request.priority) and self._may_start(entry, state, now_ms):
            target = self._target_for(entry, state, now_ms)
            if target is not None:
                self._start(entry, now_ms)
                return Decision(target=target)
        key = self._policy.sort_key(request, now_ms=now_ms)
        ahead_count = sum(
            self._policy.sort_key(queued.request, now_ms=now_ms) <= key
            for queued in self._entries
            if queued.request.priority >= request.priority
        )
        admitted = self._policy.admits(
            request, ahead_count=ahead_count, state=state, now_ms=now_ms
        )
        if admitted:
            self._entries.append(entry)
            return Decision(waits=True)
        if state.closed or state.stalled:
            return Decision(reason=UNUSABLE_REASON)
        return Decision(reason=f"{ahead_count} queued requests are served before it")

    def serve(self, *, now_ms):
        """Yield ``(entry, target)`` for each entry that gets a slot now, in order."""
        if not self._entries:
            return
        self._entries.sort(
            key=lambda entry: self._policy.sort_key(entry.request, now_ms=now_ms)
        )
        state = self._state(now_ms)
        refused = set()  # What is refused once stays so while slots become fewer.
        for entry in self._in_order(state, now_ms):
            request = entry.request
            kind = (request.priority, now_ms > request.start_until_ms)
            if kind in refused:
                continue
            if not self._may_start(entry, state, now_ms):
                refused.add(kind)
                continue
            target = self._target_for(entry, state, now_ms)
            if target is None:
                if not entry.tried:
                    return  # No target at all has a free slot.
                continue
            self._entries.remove(entry)
            self._start(entry, now_ms)
            state = state.with_one_slot_taken()
            yield entry, target

    def is_first(self, priority):
        """Return whether no request waits, or only less urgent ones."""
        if not self._policy.knows_priorities:
            return not self._entries
        return all(entry.request.priority > priority for entry in self._entries)

    def _in_order(self, state, now_ms):
        """Return the sorted entries, after one of each priority that is due."""
        first = {}
        for entry in self._entries:
            first.setdefault(entry.request.priority, entry)
        if len(first) < 2:
            return list(self._entries)
        due = [
            entry
            for entry in first.values()
            if self._policy.is_due(entry.request, state=state, now_ms=now_ms)
        ]
        return due + [entry for entry in self._entries if entry not in due]

    def _start(self, entry, now_ms):
        entry.started_ms = now_ms
        self._policy.record_start(entry.request, now_ms=now_ms)
        entry.is_late = now_ms > entry.request.start_until_ms
        if not entry.is_late:
            self._policy.demand.record_start()

    def _target_for(self, entry, state, now_ms):
        # Slots that are kept free are not the last ones, at which gateways take turns:
        # with turns at 46 gateways, urgent requests waited beside 0.1 of free slots.
        if self._policy.uses_reserve(entry.request, state=state, now_ms=now_ms):
            return self._choose(entry.tried, now_ms, needs_turn=False)
        return self._choose(entry.tried, now_ms)

    def _may_start(self, entry, state, now_ms):
        return self._policy.may_start(entry.request, state=state, now_ms=now_ms)

    def withdraw(self, entry):
        """Remove ``entry``; return whether it was still waiting."""
        if entry not in self._entries:
            return False
        self._entries.remove(entry)
        return True

    def timeout_reason(self, *, now_ms):
        """Return why a request that waited until its queue deadline got no slot."""
        if self._state(now_ms).stalled:
            return UNUSABLE_REASON
        return "no slot became free in time"

    def record_departure(self, entry, *, now_ms):
        """Record that a request of this gateway released its slot."""
        self._policy.rate.record(now_ms=now_ms)
        self._policy.urgency.record_departure(entry.request.priority)
        if not entry.is_late:
            held_ms = now_ms - entry.started_ms
            self._policy.demand.record_departure(held_ms=held_ms)

    def retry_after_ms(self, *, left_ms, now_ms, priority=0):
        """Return after how many milliseconds a caller rejected now should retry.

        Args:
            left_ms: Time that the caller still has.
            priority: The caller's priority.
        """
        waiting_count = sum(
            entry.request.priority >= priority for entry in self._entries
        )
        return self._policy.retry_after_ms(
            waiting_count=waiting_count,
            state=self._state(now_ms),
            left_ms=left_ms,
            now_ms=now_ms,
            priority=priority,
        )

    def published_steps(self, *, now_ms):
        """Return the steps of the arrivals here, for the other gateways."""
        return self._policy.urgency.published_steps(
            state=self._state(now_ms), now_ms=now_ms
        )

    def reserved_ratio(self, *, now_ms):
        """Return the share of the slots that the least urgent requests leave free."""
        return self._policy.urgency.reserved_ratio(
            PRIORITY_MAX, state=self._state(now_ms), now_ms=now_ms
        )
