"""The second copy of one slow request: when it is due, and what becomes of it."""

import asyncio

import logbook

from .._decisions.second_copies import candidates, may_be_copied, obstacle
from .._decisions.waiting import QueuedRequest
from .model import RequestKind
from .sending import stream_gap_ms

log = logbook.Logger("hedging")

MS_PER_SECOND = 1000


class Hedge:
    """Times a request's only running send, and follows the copy of it.

    Nothing is timed while the settings allow no copies.

    Args:
        gateway: The ``Gateway`` that serves the request.
        admitted: The ``AdmittedRequest``.
        on_due: Called with a ``RunningSend`` when it has become slow.

    Attributes:
        copy: The ``RunningSend`` that is the copy, or ``None``.
    """

    def __init__(self, *, gateway, admitted, on_due):
        self._gateway = gateway
        self._clock = gateway.clock
        self._admitted = admitted
        self._on_due = on_due
        self._queue = gateway.admission_queue(admitted.service)
        self._copies = gateway.second_copies(admitted.service)
        route = admitted.route
        self._is_eligible = self._copies is not None and may_be_copied(route)
        self._kind = (route.kind, route.latency_goal_ms)
        self._is_sent = False
        self._sent_ms = None
        self._timing = None
        self._timer = None
        self._first = None
        self._copied_ms = None
        self._has_outcome = False
        self.copy = None

    def record_sent(self, send, *, is_alone):
        """Record that ``send`` was sent, and time it unless others are running."""
        if self._copies is not None and not self._is_sent:
            self._is_sent = True
            self._copies.limit.record_first_send(**self._times())
        if not self._is_eligible or not is_alone or self.copy is not None:
            return
        self._cancel_timer()
        self._sent_ms = self._clock.now_ms()
        self._timing = self._copies.delays.timing(
            self._kind,
            percentile=self._gateway.settings.second_copies_percentile,
            now_ms=self._sent_ms,
        )
        if self._timing is not None:
            self._timer = asyncio.get_running_loop().call_later(
                self._timing.delay_ms / MS_PER_SECOND, self._on_due, send
            )

    def obstacle(self):
        """Return why the request gets no copy now, or an empty string."""
        now_ms = self._clock.now_ms()
        until_ms = self._admitted.end_ms
        route = self._admitted.route
        if route.kind is RequestKind.STREAM:
            leaves_ms = self._admitted.call.arrived_ms + stream_gap_ms(route)
            until_ms = min(until_ms, leaves_ms)
        return obstacle(
            ratio=self._gateway.settings.second_copies_ratio,
            is_stopping=self._gateway.is_stopping(),
            left_ms=until_ms - now_ms,
            typical_ms=self._timing.typical_ms,
            free_ratio=self._queue.free_ratio,
        )

    def excluded_names(self, first, *, tried):
        """Return the names of the targets that a copy must not be sent to.

        The others are likely to answer sooner than ``first``, and one of them has a
        free slot. If there are none such, return ``None``.

        Args:
            first: The ``TrackedTarget`` of the slow send.
            tried: Names of the targets that had the request.
        """
        now_ms = self._clock.now_ms()
        pool = self._gateway.target_pool
        limits = pool.permits.limits
        targets = pool.of_service(self._admitted.service)
        names = {target.listing.name for target in targets}
        for alike in candidates(
            first,
            targets,
            pace=pool.group_pace,
            is_limited=lambda target: (
                target.is_cold(now_ms=now_ms)
                or limits.per_second(target.incarnation, now_ms=now_ms) is not None
            ),
            now_ms=now_ms,
        ):
            wanted = {target.listing.name for target in alike}
            excluded = frozenset(tried | (names - wanted))
            if self._queue.has_free_slot(tried=excluded):
                return excluded
        return None

    def try_take(self):
        """Return whether the limit of copies allows one now, and count it if so."""
        ratio = self._gateway.settings.second_copies_ratio
        return self._copies.limit.try_take(ratio=ratio, **self._times())

    def try_acquire(self, *, excluded):
        """Return a ``Slot`` for the copy, or ``None`` if it would have to wait."""
        request = QueuedRequest(
            arrived_ms=self._admitted.call.arrived_ms,
            start_until_ms=self._clock.now_ms(),
            queue_deadline_ms=self._clock.now_ms(),
            end_ms=self._admitted.end_ms,
            priority=self._admitted.priority,
        )
        return self._queue.try_acquire(request, tried=excluded)

    def give_back(self):
        """Count the copy no longer: it reached no target."""
        self._copies.limit.give_back(**self._times())

    def record_withheld(self, reason):
        """Record that the request was slow and got no copy."""
        self._gateway.metrics.count("second_copies_withheld", label=reason)

    def record_copy(self, first, copy):
        """Record that ``copy`` was begun beside ``first``."""
        self._first, self.copy = first, copy
        self._copied_ms = self._clock.now_ms()
        self._gateway.metrics.count(
            "second_copies_sent", label=self._admitted.route.kind.value
        )

    def record_answer(self, send):
        """Record that the caller gets the answer, or its beginning, from ``send``."""
        self._cancel_timer()
        if self._sent_ms is not None:
            now_ms = self._clock.now_ms()
            self._copies.delays.record(
                self._kind, now_ms - self._sent_ms, now_ms=now_ms
            )
            self._sent_ms = None
        if self.copy is not None:
            self._record_outcome("won" if send is self.copy else "lost")

    def record_failure(self, send, error):
        """Record that ``send`` ended with ``error``."""
        if send is self.copy:
            self._record_outcome("failed", code=error.code)

    def end(self):
        """Record that the request has ended."""
        self._cancel_timer()
        if self.copy is not None:
            self._record_outcome("cancelled")

    def _record_outcome(self, outcome, **details):
        if self._has_outcome:
            return
        self._has_outcome = True
        self._gateway.metrics.count(f"second_copies_{outcome}")
        now_ms = self._clock.now_ms()
        log.info(
            "second copy sent",
            extra={
                "request": self._admitted.call.request_id,
                "from": self._first.target.listing.name,
                "target": self.copy.target.listing.name,
                "reason": "slow_answer",
                "delay_ms": round(self._timing.delay_ms),
                "outcome": outcome,
                "outcome_ms": round(now_ms - self._copied_ms),
                **details,
            },
        )

    def _cancel_timer(self):
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _times(self):
        return {"now_ms": self._clock.now_ms(), "wall_ms": self._clock.wall_ms()}
