"""Finds out which lost connections show that their targets crashed."""

import asyncio
import random
from dataclasses import dataclass, field

import logbook

from .._decisions.crash_suspects import Reachability, may_show_crash, shows_crash

log = logbook.Logger("lost_connections")

MS_PER_SECOND = 1000
# Several round trips: a target that crashed refuses connections at once. Callers wait
# meanwhile, so that a silent target is not waited for.
CHECK_WAIT_MS = 20.0
CHECKS_LIMIT_COUNT = 2
# Other targets of a data centre that show whether it is cut off.
WITNESSES_COUNT = 2
REFUSED_MEMORY_MS = 5000.0  # A target that crashed is back after some seconds.


@dataclass(frozen=True, kw_only=True)
class _LostRequest:
    admitted: object
    is_begun: bool
    at_ms: float


@dataclass(kw_only=True)
class _Check:
    lost_requests: list = field(default_factory=list)
    is_done: asyncio.Event = field(default_factory=asyncio.Event)


class LostConnections:
    """Records the requests that were lost as their targets crashed.

    What a target does with a new connection shows whether it crashed. It is asked once
    for all requests that it lost at the same time.

    Args:
        suspects: The ``CrashSuspects``.
        target_pool: The ``TargetPool``.
        metrics: The ``Metrics`` of the process.
        spawn: Runs a coroutine as a task.
    """

    def __init__(self, *, clock, suspects, target_pool, metrics, spawn):
        self._clock = clock
        self._suspects = suspects
        self._target_pool = target_pool
        self._metrics = metrics
        self._spawn = spawn
        self._checks = {}  # The running ``_Check`` by ``TrackedTarget``.
        # When targets that lost requests last refused connections.
        self._refused_ms = {}

    async def record(self, target, admitted, *, is_begun):
        """Record that the connection that carried a request has ended.

        Returns at once if the request was not lost before: it may then be sent again in
        any case. Otherwise it returns when it is known whether the target crashed, or
        soon after.

        Args:
            target: The ``TrackedTarget``.
            admitted: The ``AdmittedRequest``.
            is_begun: Whether the target had begun to answer it.
        """
        if not self._may_have_crashed(target):
            return
        check = self._checks.get(target)
        if check is None:
            check = self._checks[target] = _Check()
            self._spawn(self._run(check, target))
        check.lost_requests.append(
            _LostRequest(
                admitted=admitted, is_begun=is_begun, at_ms=self._clock.now_ms()
            )
        )
        if not self._suspects.was_lost(admitted.content):
            return
        try:
            async with asyncio.timeout(CHECK_WAIT_MS / MS_PER_SECOND):
                await check.is_done.wait()
        except TimeoutError:
            log.debug("check goes on", extra={"target": target.listing.name})

    def _may_have_crashed(self, target):
        now_ms = self._clock.now_ms()
        return may_show_crash(
            is_listed=self._target_pool.get(target.listing.name) is target,
            is_leaving=target.is_leaving(now_ms=now_ms),
            is_stalled=target.is_stalled(now_ms),
        )

    async def _run(self, check, target):
        incarnation = target.incarnation
        try:
            reachability = await self._reachability(target)
            if target.incarnation != incarnation:
                reachability = Reachability.REFUSING  # Its successor answered.
            elif reachability is Reachability.REFUSING:
                self._refused_ms[target] = self._clock.now_ms()
                if await self._is_cut_off(target.listing.data_centre):
                    reachability = Reachability.SILENT
            crash_losses = [
                lost
                for lost in check.lost_requests
                if shows_crash(reachability, is_begun=lost.is_begun)
            ]
            log.info(
                "connections lost",
                extra={
                    "target": incarnation,
                    "requests": len(check.lost_requests),
                    "counted": len(crash_losses),
                    "reachability": reachability.value,
                },
            )
            for lost in crash_losses:
                self._record_loss(incarnation, lost)
        finally:
            del self._checks[target]
            check.is_done.set()

    async def _reachability(self, target):
        # The first packet of a connection may be lost.
        for _ in range(CHECKS_LIMIT_COUNT):
            reachability = await target.connections.reachability()
            if reachability is not Reachability.SILENT:
                break
        return reachability

    async def _is_cut_off(self, data_centre):
        """Return whether targets of a data centre refuse connections that lost nothing.

        Something between may reset all connections to a data centre.
        """
        now_ms = self._clock.now_ms()
        self._refused_ms = {
            target: refused_ms
            for target, refused_ms in self._refused_ms.items()
            if now_ms - refused_ms <= REFUSED_MEMORY_MS
        }
        others = [
            other
            for other in self._target_pool
            if other.listing.data_centre == data_centre
            and other not in self._checks
            and other not in self._refused_ms
        ]
        others = random.sample(others, min(WITNESSES_COUNT, len(others)))
        answers = await asyncio.gather(
            *(other.connections.reachability() for other in others)
        )
        return bool(answers) and Reachability.ACCEPTING not in answers

    def _record_loss(self, incarnation, lost):
        blocked_count = self._suspects.blocked_count
        self._suspects.record_loss(
            lost.admitted.content,
            target=incarnation,
            is_begun=lost.is_begun,
            now_ms=lost.at_ms,
        )
        self._metrics.count("crashes")
        if self._suspects.blocked_count > blocked_count:
            call = lost.admitted.call
            log.warn(
                "crashing content blocked",
                extra={
                    "request": call.request_id,
                    "target": incarnation,
                    "shared_parts": call.shared_parts,
                },
            )
