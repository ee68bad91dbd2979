"""The queue of requests that wait for a free slot at the targets of a service."""

import asyncio

import logbook

from .errors import NoFreeSlotError, NoTargetError

log = logbook.Logger("admission_queue")

NO_TARGET_RETRY_AFTER_MS = 500.0  # About the time it takes to replace a lost target.
MS_PER_SECOND = 1000


class AdmissionQueue:
    """Assigns requests to slots of a service's targets; queues them while none is free.

    Args:
        service: Name of the service.
        target_pool: The ``TargetPool`` with the targets of all services.
        selection_policy: A ``target_policy`` that selects the target of a request.
        admission_policy: A ``queue_policy`` that admits requests to the queue and
            orders them.
    """

    def __init__(
        self, *, clock, service, target_pool, selection_policy, admission_policy
    ):
        self.service = service
        self._clock = clock
        self._target_pool = target_pool
        self._selection_policy = selection_policy
        self._admission_policy = admission_policy
        self._queued = []

    @property
    def waiting_count(self):
        """Return how many requests are queued."""
        return len(self._queued)

    async def acquire(self, request, *, tried):
        """Wait for a free slot and return its ``TrackedTarget``.

        The caller must free the slot with ``release``.

        Args:
            request: The ``QueuedRequest``.
            tried: Names of targets that must not get the request.

        Raises:
            NoFreeSlotError: The request is rejected.
            NoTargetError: The service has no target outside ``tried``.
        """
        if not self._queued:
            target = self._choose_target(tried)
            if target is not None:
                return self._acquire_slot(target)
        self._admit(request, tried)
        future = asyncio.get_running_loop().create_future()
        entry = (request, tried, future)
        self._queued.append(entry)
        wait_ms = request.queue_deadline_ms - self._clock.now_ms()
        try:
            async with asyncio.timeout(max(0.0, wait_ms) / MS_PER_SECOND):
                return await asyncio.shield(future)
        except BaseException as error:
            self._withdraw(entry)
            if isinstance(error, TimeoutError):
                raise self._no_free_slot("no slot became free in time") from None
            raise

    def has_free_slot(self, *, tried):
        """Return whether a new request would get a slot outside ``tried`` at once."""
        return not self._queued and self._choose_target(tried) is not None

    def release(self, target):
        """Free the slot that ``acquire`` assigned at ``target``."""
        target.release_slot()
        self._admission_policy.rate.record(now_ms=self._clock.now_ms())
        self._target_pool.notify_listeners()

    def retry_after_ms(self):
        """Return after how many milliseconds a caller rejected now should retry."""
        return self._admission_policy.retry_after_ms(
            waiting_count=len(self._queued),
            stalled=self._stalled(),
            now_ms=self._clock.now_ms(),
        )

    def _stalled(self):
        """Return whether no target of the service is usable now."""
        now_ms = self._clock.now_ms()
        targets = self._target_pool.of_service(self.service)
        return not any(target.is_usable(now_ms=now_ms) for target in targets)

    def serve_queued(self):
        """Give free slots to the queued requests, in the order of the policy."""
        if not self._queued:
            return
        now_ms = self._clock.now_ms()
        self._queued.sort(
            key=lambda entry: self._admission_policy.sort_key(entry[0], now_ms=now_ms)
        )
        for entry in list(self._queued):
            _, tried, future = entry
            target = self._choose_target(tried)
            if target is None:
                if not tried:
                    return  # No target at all has a free slot.
                continue
            self._queued.remove(entry)
            if not future.done():
                future.set_result(self._acquire_slot(target))

    def _withdraw(self, entry):
        """Remove ``entry`` from the queue, or release the slot that it just got."""
        _, _, future = entry
        if entry in self._queued:
            self._queued.remove(entry)
        elif future.done():
            self.release(future.result())

    def _admit(self, request, tried):
        now_ms = self._clock.now_ms()
        targets = self._target_pool.of_service(self.service)
        if not any(target.listing.name not in tried for target in targets):
            raise NoTargetError(
                f'service "{self.service}" has no further target',
                retry_after_ms=NO_TARGET_RETRY_AFTER_MS,
            )
        key = self._admission_policy.sort_key(request, now_ms=now_ms)
        ahead = sum(
            self._admission_policy.sort_key(queued, now_ms=now_ms) <= key
            for queued, _, _ in self._queued
        )
        admitted = self._admission_policy.admits(
            request, ahead_count=ahead, stalled=self._stalled(), now_ms=now_ms
        )
        if not admitted:
            raise self._no_free_slot(
                f"{ahead} queued requests are served before this one"
            )

    def _no_free_slot(self, reason):
        return NoFreeSlotError(reason, retry_after_ms=self.retry_after_ms())

    def _choose_target(self, tried):
        return self._selection_policy.choose(
            self._target_pool.of_service(self.service),
            tried=tried,
            now_ms=self._clock.now_ms(),
        )

    def _acquire_slot(self, target):
        target.acquire_slot()
        return target
