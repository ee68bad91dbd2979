"""The queue of requests that wait for a free slot at the targets of a service."""

import asyncio
import random
from dataclasses import dataclass

from .._decisions.pass_limit import LATE_ROOM_RATIO
from .._decisions.request_limits import may_wait
from .._decisions.target_choice import total_slots
from .._decisions.target_signals import retry_after_pause_ms
from .._decisions.waiting import (
    FirstAnswerTime,
    LineEntry,
    ServiceState,
    WaitingLine,
)
from .errors import (
    EvacuatedTargetsError,
    LimitedTargetsError,
    NoFreeSlotError,
    NoTargetError,
    PausedTargetsError,
)
from .wanted_permits import wanted_permits

NO_TARGET_RETRY_AFTER_MS = 500.0  # About the time it takes to replace a lost target.
MS_PER_SECOND = 1000


@dataclass(kw_only=True, eq=False)
class Slot(LineEntry):
    """A request's slot at a target, or its wait for one.

    Args:
        future: Done when it has the slot.

    Attributes:
        target: The ``TrackedTarget``, once it has the slot.
    """

    future: asyncio.Future
    target: object = None


class AdmissionQueue:
    """Assigns requests to slots of a service's targets; queues them while none is free.

    Its ``WaitingLine`` decides; the queue holds the waiting tasks.

    Args:
        service: Name of the service.
        target_pool: The ``TargetPool`` with the targets of all services.
        selection_policy: A ``target_policy`` that selects the target of a request.
        admission_policy: A ``queue_policy`` that admits requests to the queue and
            orders them.

    Attributes:
        first_answer_time: The ``FirstAnswerTime`` of the service.
    """

    def __init__(
        self, *, clock, service, target_pool, selection_policy, admission_policy
    ):
        self.service = service
        self._rng = random.Random()
        self.first_answer_time = FirstAnswerTime()
        self._clock = clock
        self._target_pool = target_pool
        self._selection_policy = selection_policy
        self._line = WaitingLine(
            policy=admission_policy, choose=self._choose_target, state=self._state
        )

    @property
    def waiting_count(self):
        """Return how many requests are queued."""
        return len(self._line)

    async def acquire(self, request, *, tried):
        """Wait for a free slot and return the ``Slot``.

        The caller must free the slot with ``release``.

        Args:
            request: The ``QueuedRequest``.
            tried: Names of targets that must not get the request.

        Raises:
            NoFreeSlotError: The request is rejected.
            NoTargetError: The service has no target outside ``tried``.
            EvacuatedTargetsError: All targets outside ``tried`` are evacuated.
            PausedTargetsError: All targets outside ``tried`` asked for a pause.
            LimitedTargetsError: The same, or they have reached their limits.
        """
        now_ms = self._clock.now_ms()
        self._require_target(tried)
        self._require_open(request, tried, now_ms)
        future = asyncio.get_running_loop().create_future()
        slot = Slot(request=request, tried=tried, future=future)
        decision = self._line.arrive(slot, now_ms=now_ms)
        if decision.target is not None:
            _take(slot, decision.target)
            return slot
        if not decision.waits:
            self._require_open(request, tried, now_ms)
            raise self._no_free_slot(decision.reason, request)
        wait_ms = request.queue_deadline_ms - now_ms
        try:
            async with asyncio.timeout(max(0.0, wait_ms) / MS_PER_SECOND):
                await asyncio.shield(future)
                return slot
        except BaseException as error:
            if not self._line.withdraw(slot) and slot.target is not None:
                self.release(slot)
            if isinstance(error, TimeoutError):
                reason = self._line.timeout_reason(now_ms=self._clock.now_ms())
                raise self._no_free_slot(reason, request) from None
            raise

    def has_free_slot(self, *, tried, priority=0):
        """Return whether a new request would get a slot outside ``tried`` at once."""
        now_ms = self._clock.now_ms()
        if not self._line.is_first(priority):
            return False
        return self._choose_target(tried, now_ms) is not None

    @property
    def free_ratio(self):
        """Return the share of the service's slots that is free."""
        return self._state(self._clock.now_ms()).free_ratio

    def try_acquire(self, request, *, tried):
        """Return a free ``Slot`` for a second copy, or ``None``; it never waits.

        Args:
            request: The ``QueuedRequest``.
            tried: Names of targets that must not get the request.
        """
        now_ms = self._clock.now_ms()
        if not self.has_free_slot(tried=tried):
            return None
        target = self._choose_target(tried, now_ms)
        if target is None:
            return None
        future = asyncio.get_running_loop().create_future()
        slot = Slot(request=request, tried=tried, future=future, started_ms=now_ms)
        # The demand for slots is that of the requests, without their copies.
        slot.is_late = True
        _take(slot, target)
        return slot

    def release(self, slot):
        """Free the ``Slot`` that ``acquire`` returned."""
        slot.target.release_slot()
        now_ms = self._clock.now_ms()
        self._line.record_departure(slot, now_ms=now_ms)
        self._target_pool.cold_tracking.cold.record_held(
            self.service, held_ms=now_ms - slot.started_ms
        )
        self._target_pool.notify_listeners()

    def retry_after_ms(self, *, end_ms, priority=0):
        """Return after how many milliseconds a caller rejected now should retry.

        Args:
            end_ms: When the caller or the route ends the request.
            priority: The priority of the request.
        """
        now_ms = self._clock.now_ms()
        return self._line.retry_after_ms(
            left_ms=end_ms - now_ms, now_ms=now_ms, priority=priority
        )

    def arrival_steps(self):
        """Return the steps of the arrival rates for the other gateways."""
        return self._line.published_steps(now_ms=self._clock.now_ms())

    def reserved_ratio(self):
        """Return the share of the slots that the least urgent requests leave free."""
        return self._line.reserved_ratio(now_ms=self._clock.now_ms())

    def serve_queued(self):
        """Give free slots to the queued requests, in the order of the policy."""
        self._reject_held_up(self._clock.now_ms())
        for slot, target in self._line.serve(now_ms=self._clock.now_ms()):
            _take(slot, target)

    def _state(self, now_ms):
        targets = self._target_pool.of_service(self.service)
        return service_state(targets, now_ms=now_ms)

    def _require_target(self, tried):
        targets = self._target_pool.of_service(self.service)
        if not any(target.listing.name not in tried for target in targets):
            raise NoTargetError(
                f'service "{self.service}" has no further target',
                retry_after_ms=NO_TARGET_RETRY_AFTER_MS,
            )

    def _require_open(self, request, tried, now_ms):
        """Reject a request that no target takes now, at its own word."""
        error = self._held_up_error(request, tried, now_ms, ahead_count=len(self._line))
        if error is not None:
            raise error

    def _reject_held_up(self, now_ms):
        """Reject the queued requests that no target takes now, at its own word."""
        pool = self._target_pool
        has_reasons = (
            len(pool.signals) or pool.permits.has_limits or len(pool.evacuations)
        )
        if not self._line or not has_reasons:
            return
        targets = pool.of_service(self.service)
        held_up = {
            target.listing.name
            for target in targets
            if target.is_evacuated or self._wait_ms(target, now_ms=now_ms)
        }
        if not held_up:
            return
        others = [
            target.listing.name
            for target in targets
            if target.listing.name not in held_up
            and not target.is_leaving(now_ms=now_ms)
        ]
        for slot in self._line.entries():
            if any(name not in slot.tried for name in others):
                continue
            error = self._held_up_error(slot.request, slot.tried, now_ms, ahead_count=0)
            if error is not None and not slot.future.done():
                self._line.withdraw(slot)
                slot.future.set_exception(error)

    def _wait_ms(self, target, *, now_ms):
        """Return for how long a target takes no request, at its own word."""
        pool = self._target_pool
        return max(
            pool.signals.pause_left_ms(target.incarnation, now_ms=now_ms),
            pool.permits.wait_ms(target.incarnation),
        )

    def _held_up_error(self, request, tried, now_ms, *, ahead_count):
        """Return the error of a request that no target takes now, or ``None``.

        Its targets are evacuated, or they all pause or are limited.

        Args:
            ahead_count: Requests that wait for a slot already.
        """
        pool = self._target_pool
        untried = [
            target
            for target in pool.of_service(self.service)
            if target.listing.name not in tried
        ]
        remaining = [target for target in untried if not target.is_evacuated]
        if len(remaining) < len(untried) and all(
            target.is_leaving(now_ms=now_ms) for target in remaining
        ):
            return EvacuatedTargetsError(
                f'the data centres of service "{self.service}" are evacuated',
                retry_after_ms=self.retry_after_ms(end_ms=request.end_ms),
            )
        targets = [
            target
            for target in remaining
            if not pool.signals.is_leaving(target.incarnation, now_ms=now_ms)
        ]
        wait_ms = min(
            (self._wait_ms(target, now_ms=now_ms) for target in targets), default=0.0
        )
        if not wait_ms:
            return None
        limited = [
            target.incarnation
            for target in targets
            if pool.permits.wait_ms(target.incarnation)
        ]
        if limited and may_wait(
            wait_ms=wait_ms,
            ahead_count=ahead_count,
            per_second=pool.permits.expected_per_second(limited),
            start_until_ms=request.start_until_ms,
            now_ms=now_ms,
        ):
            return None
        if limited:
            return LimitedTargetsError(
                f'the targets of service "{self.service}" have reached their limits',
                retry_after_ms=pool.permits.retry_after_ms(limited, wait_ms=wait_ms),
            )
        return PausedTargetsError(
            f'all targets of service "{self.service}" asked for a pause',
            retry_after_ms=retry_after_pause_ms(wait_ms, rng=self._rng),
        )

    def _no_free_slot(self, reason, request):
        retry_after_ms = self.retry_after_ms(
            end_ms=request.end_ms, priority=request.priority
        )
        return NoFreeSlotError(reason, retry_after_ms=retry_after_ms)

    def _choose_target(self, tried, now_ms, needs_turn=True):
        targets = self._target_pool.of_service(self.service)
        permits = self._target_pool.permits
        if permits.has_limits:
            untried = [target for target in targets if target.listing.name not in tried]
            permits.want(wanted_permits(untried, permits=permits, now_ms=now_ms))
        return self._selection_policy.choose(
            targets, tried=tried, now_ms=now_ms, needs_turn=needs_turn
        )


def _take(slot, target):
    target.acquire_slot()
    slot.target = target
    if not slot.future.done():
        slot.future.set_result(None)


def service_state(targets, *, now_ms):
    """Return the ``ServiceState`` of a service with these ``TrackedTarget`` objects."""
    usable = [target for target in targets if target.is_usable(now_ms=now_ms)]
    if not usable:
        # Cold targets get permits soon.
        usable = [target for target in targets if target.is_working(now_ms=now_ms)]
    free_counts = {
        target: max(0, target.free_slots_count(now_ms=now_ms)) for target in usable
    }
    slots_count, free_count = total_slots(
        free_counts, now_ms=now_ms, kept_ratio=LATE_ROOM_RATIO
    )
    return ServiceState(
        slots_count=slots_count,
        free_ratio=free_count / slots_count if slots_count else 0.0,
        stalled=not usable,
        closed=all(target.is_closed(now_ms=now_ms) for target in targets),
    )
