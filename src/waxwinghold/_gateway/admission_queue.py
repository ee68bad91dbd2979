"""Hands out places at targets: the waiting that the line's policy decides on."""

import asyncio

import logbook

from .errors import NoFreeSlotError, NoTargetError

log = logbook.Logger("places")

RETRY_TARGETS_MS = 500.0  # About the time in which a lost target is replaced.
MS_PER_SECOND = 1000


class AdmissionQueue:
    """The places of one service's targets, seen from this gateway.

    Args:
        target_pool: The ``TargetPool`` of all services.
        choice: Policy that chooses among seats.
        line: Policy that decides who waits and in which order.
    """

    def __init__(self, *, clock, service, target_pool, choice, line):
        self.service = service
        self._clock = clock
        self._target_pool = target_pool
        self._choice = choice
        self._line = line
        self._waiting = []

    @property
    def waiting_count(self):
        """Return how many requests wait."""
        return len(self._waiting)

    async def take(self, waiting, *, tried):
        """Return a ``TrackedTarget`` with a place taken; ``give_back`` frees it.

        Args:
            waiting: What the line decides on.
            tried: Names of targets that must not get the request.

        Raises:
            NoRoomError: It is turned away.
            NoTargetError: No target can take it at all.
        """
        if not self._waiting:
            target = self._free_seat(tried)
            if target is not None:
                return self._occupy(target)
        self._admit(waiting, tried)
        future = asyncio.get_running_loop().create_future()
        entry = (waiting, tried, future)
        self._waiting.append(entry)
        wait_ms = waiting.patience_until_ms - self._clock.now_ms()
        try:
            async with asyncio.timeout(max(0.0, wait_ms) / MS_PER_SECOND):
                return await asyncio.shield(future)
        except BaseException as error:
            self._withdraw(entry)
            if isinstance(error, TimeoutError):
                raise self._no_room("no place came free in time") from None
            raise

    def has_room(self, *, tried):
        """Return whether a target outside ``tried`` could take a request now."""
        return not self._waiting and self._free_seat(tried) is not None

    def give_back(self, target):
        """Free a place."""
        target.give_back()
        self._line.rate.note(now_ms=self._clock.now_ms())
        self._target_pool.changed()

    def return_after_ms(self):
        """Return when a caller that is turned away now should come back."""
        return self._line.return_after_ms(
            waiting_count=len(self._waiting),
            stalled=self._stalled(),
            now_ms=self._clock.now_ms(),
        )

    def _stalled(self):
        """Return whether no target of the service can take anything now."""
        now_ms = self._clock.now_ms()
        targets = self._target_pool.of_service(self.service)
        return not any(target.usable(now_ms=now_ms) for target in targets)

    def serve_waiting(self):
        """Give free places to those who wait, in the line's order."""
        if not self._waiting:
            return
        now_ms = self._clock.now_ms()
        self._waiting.sort(key=lambda one: self._line.order_key(one[0], now_ms=now_ms))
        for entry in list(self._waiting):
            _, tried, future = entry
            target = self._free_seat(tried)
            if target is None:
                if not tried:
                    return
                continue
            self._waiting.remove(entry)
            if not future.done():
                future.set_result(self._occupy(target))

    def _withdraw(self, entry):
        """Undo what ``entry`` waited for or got at the very end."""
        _, _, future = entry
        if entry in self._waiting:
            self._waiting.remove(entry)
        elif future.done():
            self.give_back(future.result())

    def _admit(self, waiting, tried):
        now_ms = self._clock.now_ms()
        targets = self._target_pool.of_service(self.service)
        if not any(target.listing.name not in tried for target in targets):
            raise NoTargetError(
                f'service "{self.service}" has no further target',
                retry_after_ms=RETRY_TARGETS_MS,
            )
        key = self._line.order_key(waiting, now_ms=now_ms)
        ahead = sum(
            self._line.order_key(other, now_ms=now_ms) <= key
            for other, _, _ in self._waiting
        )
        admitted = self._line.admits(
            waiting, ahead_count=ahead, stalled=self._stalled(), now_ms=now_ms
        )
        if not admitted:
            raise self._no_room(f"{ahead} requests wait for a place before it")

    def _no_room(self, reason):
        return NoFreeSlotError(reason, retry_after_ms=self.return_after_ms())

    def _free_seat(self, tried):
        return self._choice.choose(
            self._target_pool.of_service(self.service),
            tried=tried,
            now_ms=self._clock.now_ms(),
        )

    def _occupy(self, target):
        target.occupy()
        return target
