"""Brings one request to an answer: places, sends, second sends, joined streams."""

import logbook

from .._verdict import Ran
from .errors import (
    AnswerLostError,
    CrashingRequestError,
    FailedAnswerError,
    NoFreeSlotError,
    NotExecutedError,
    SendError,
    SilentTargetError,
    TimedOutError,
)
from .model import RequestKind
from .queue_policy import QueuedRequest
from .sending import SHORTEST_SEND_MS, Progress, SendAttempt, stream_gap_ms

log = logbook.Logger("attempts")

PLACE_SHARE = 0.8  # Of a stream's gap: a later place is too late for its first event.
PATIENCE_SHARE = 0.25  # Of the time left; leaves time to come back and be served.
LAST_PATIENCE_SHARE = 0.5  # For those who cannot come back; leaves time to be served.
# Callers that come back have spent more than this of the route's time-out.
LAST_CHANCE_SHARE = 0.9
RESUME_PATIENCE_MS = 600.0  # What is left of the gap when a stream breaks off.
STALLED_TARGET_AVOID_MS = 1000.0  # A group that lost a rank stalls for seconds.
SENDS_LIMIT_COUNT = 4  # Bounds rejected sends too, which did not run.


class Attempts:
    """All sends of one request.

    Args:
        gateway: The ``Gateway`` with places, budget, codec and suspects.
        admitted: The ``AdmittedRequest`` request.
        answer: Takes the answer: ``start``, ``write``, ``whole``.
    """

    def __init__(self, *, gateway, admitted, answer):
        self._gateway = gateway
        self._clock = gateway.clock
        self._admitted = admitted
        self._call = admitted.call
        self._route = admitted.route
        self._answer = answer
        self._places = gateway.places(admitted.service)
        self._budget = gateway.budget(admitted.service)
        self._tried = set()
        self._ran = Ran.NOT_RUN
        self._ran_count = 0
        self._sends_count = 0
        self._arrived = False
        self._progress = Progress(last_event_id=admitted.call.last_event_id)

    async def run(self):
        """Answer the request.

        Raises:
            RequestError: It gets no answer of a target.
            SendError: The answer had begun and cannot be finished.
        """
        self._budget.record_first(
            now_ms=self._clock.now_ms(),
            gateways_count=self._gateway.peers.gateways_count,
        )
        while True:
            try:
                target = await self._take_place()
            except NoFreeSlotError as error:
                raise self._widened(error) from error
            failure = await self._send(target)
            if failure is None:
                return
            if not self._may_send_again(failure):
                raise self._final(failure)

    def _left_ms(self):
        return self._admitted.end_ms - self._clock.now_ms()

    async def _take_place(self):
        self._gateway.check_sendable(self._admitted)
        call, route = self._call, self._route
        now_ms = self._clock.now_ms()
        last_chance = self._left_ms() < LAST_CHANCE_SHARE * route.timeout_ms
        share = LAST_PATIENCE_SHARE if last_chance else PATIENCE_SHARE
        patience_ms = self._left_ms() * share
        if self._progress.started:
            patience_ms = min(patience_ms, RESUME_PATIENCE_MS)
        elif route.kind is RequestKind.STREAM:
            held_ms = now_ms - call.arrived_ms
            patience_ms = min(patience_ms, PLACE_SHARE * stream_gap_ms(route) - held_ms)
        waiting = QueuedRequest(
            arrived_ms=call.arrived_ms,
            aim_until_ms=call.arrived_ms + route.latency_goal_ms,
            patience_until_ms=now_ms + patience_ms,
            priority=self._admitted.priority,
            last_chance=last_chance or self._progress.started,
        )
        return await self._places.take(waiting, tried=frozenset(self._tried))

    async def _send(self, target):
        """Send once; return the ``SendError`` that ended it, or ``None``."""
        self._sends_count += 1
        self._tried.add(target.listing.name)
        send = SendAttempt(
            gateway=self._gateway,
            admitted=self._admitted,
            answer=self._answer,
            progress=self._progress,
            has_another=self._ran_count + 1 < self._route.attempts_limit_count,
            has_room_elsewhere=lambda: self._places.has_room(tried=self._tried),
        )
        try:
            await send.run(target)
        except SendError as error:
            self._record_failure(target, error)
            return error
        finally:
            self._arrived = self._arrived or send.arrived
            self._places.give_back(target)
        target.record_success()
        return None

    def _record_failure(self, target, error):
        now_ms = self._clock.now_ms()
        if error.ran is not Ran.NOT_RUN:
            self._ran = error.ran
            self._ran_count += 1
        if isinstance(error, NotExecutedError):
            self._record_rejection(target, error, now_ms)
        elif error.blames_target:
            target.record_failure(now_ms=now_ms)
        if error.code == "connection_lost":
            self._gateway.suspects.record_loss(
                self._admitted, target_name=target.listing.name, now_ms=now_ms
            )
        log.info(
            "send failed",
            extra={
                "request": self._call.request_id,
                "target": target.listing.name,
                "code": error.code,
                "reason": str(error),
                "ran": error.ran.value,
                "left_ms": round(self._left_ms()),
            },
        )

    def _record_rejection(self, target, error, now_ms):
        if not error.culprit:
            target.record_rejection(now_ms=now_ms)
            return
        target.avoid(now_ms=now_ms, pause_ms=STALLED_TARGET_AVOID_MS)
        culprit = self._gateway.targets.get(error.culprit)
        if culprit is not None:
            culprit.avoid(now_ms=now_ms, pause_ms=STALLED_TARGET_AVOID_MS)

    def _may_send_again(self, failure):
        if self._sends_count >= SENDS_LIMIT_COUNT:
            return False
        if self._left_ms() <= SHORTEST_SEND_MS:
            return False
        if not self._arrived:
            return True  # Only arrivals at targets draw on the budget.
        if self._ran is not Ran.NOT_RUN:
            if not self._route.repeatable:
                return False
            if self._ran_count >= self._route.attempts_limit_count:
                return False
        if self._gateway.suspects.condemned(
            self._admitted, now_ms=self._clock.now_ms()
        ):
            return False
        return self._budget.take(
            now_ms=self._clock.now_ms(),
            gateways_count=self._gateway.peers.gateways_count,
        )

    def _final(self, failure):
        """Return the error that ends the request after ``failure``."""
        if self._progress.started:
            return failure
        if isinstance(failure, FailedAnswerError):
            return failure
        if self._ran is Ran.NOT_RUN:
            places = self._places
            return NoFreeSlotError(
                f"no target could take it: {failure}",
                retry_after_ms=places.return_after_ms(),
            )
        if self._gateway.suspects.condemned(
            self._admitted, now_ms=self._clock.now_ms()
        ):
            return CrashingRequestError("this request ended several targets")
        if isinstance(failure, SilentTargetError):
            return TimedOutError("the target did not answer in time")
        return AnswerLostError(f"the answer was lost: {failure}")

    def _widened(self, error):
        if self._ran is Ran.NOT_RUN and not self._progress.started:
            return error
        return self._final(
            SilentTargetError(f"sent before, and then no place: {error}")
        )
