"""Handles one request from its admission to its answer, with retries."""

import asyncio
import contextlib
from dataclasses import dataclass

import logbook

from .._decisions.sends import may_send_again, queue_limit
from .._decisions.waiting import QueuedRequest
from .._errors import RequestError
from .._verdict import Ran
from .errors import (
    AnswerLostError,
    BrokenStreamError,
    ConnectionLostError,
    CrashingRequestError,
    DoubtfulAnswerError,
    EvacuatedTargetsError,
    FailedAnswerError,
    LimitedTargetsError,
    NoFreeSlotError,
    NoTargetError,
    NotExecutedError,
    PausedTargetsError,
    SendError,
    SilentTargetError,
    SlowTargetError,
    StoppingError,
    TimedOutError,
    WithdrawnTargetError,
)
from .hedging import Hedge
from .model import RequestKind
from .sending import AnswerProgress, SendAttempt, stream_gap_ms

log = logbook.Logger("attempts")

# The errors of a request that gets no slot at any target.
REJECTIONS = (
    NoFreeSlotError,
    NoTargetError,
    EvacuatedTargetsError,
    PausedTargetsError,
    LimitedTargetsError,
    StoppingError,
)

STALLED_TARGET_AVOID_MS = 1000.0  # A group that lost a rank stalls for seconds.
# After a request's end, time to pass on what arrived while the process was frozen.
END_GRACE_MS = 200.0
MS_PER_SECOND = 1000


@dataclass(kw_only=True, eq=False)
class RunningSend:
    """A send whose outcome is not known yet.

    Attributes:
        task: The task that acquires a slot and sends the request.
        target: The ``TrackedTarget``, once it has a slot there.
        stuck_error: Why another target should be tried beside it, or ``None``.
        is_slow: Whether that is so although it makes progress.
        is_joinable: Whether another may be sent beside it.
        is_counted: Whether it was counted as a run.
        uses_budget: Whether it took a token of the retry budget.
        may_have_arrived: Whether any byte may have reached the target.
        slot: The ``Slot`` that it begins with, until its task has taken it over;
            ``None`` if the task acquires one itself.
    """

    task: asyncio.Task | None = None
    target: object = None
    stuck_error: Exception | None = None
    is_slow: bool = False
    is_joinable: bool = True
    is_counted: bool = False
    uses_budget: bool = False
    may_have_arrived: bool = False
    slot: object = None


class Attempts:
    """Sends one request to targets until one of them has answered it.

    A send that makes no progress goes on beside the next one. Whichever passes
    something on first is the only one from then on, so that a target that was
    only silent can finish its answer if the other target does not. A second copy of
    a slow request is such a send, too.

    Args:
        gateway: The ``Gateway`` that serves the request.
        admitted: The ``AdmittedRequest``.
        answer: The ``CallerAnswer`` that passes the answer on to the caller.
    """

    def __init__(self, *, gateway, admitted, answer):
        self._gateway = gateway
        self._clock = gateway.clock
        self._admitted = admitted
        self._call = admitted.call
        self._route = admitted.route
        self._answer = answer
        self._admission_queue = gateway.admission_queue(admitted.service)
        self._budget = gateway.budget(admitted.service)
        self._tried = set()
        self._ran = Ran.NOT_RUN
        self._ran_count = 0
        self._sends_count = 0
        self._may_have_arrived = False
        self._needs_new_connection = False
        self._has_token = False
        self._failed_answer = None
        # The error of the send that ended last, or of the last one that was not sent.
        self._failure = None
        self._progress = AnswerProgress(last_event_id=admitted.call.last_event_id)
        self._running = []
        self._is_ended = False
        self._changed = asyncio.Event()
        self._hedge = Hedge(gateway=gateway, admitted=admitted, on_due=self._send_copy)

    @property
    def content(self):
        """The ``RequestContent`` of the request."""
        return self._admitted.content

    async def run(self):
        """Send the request and pass an answer on to the caller.

        Raises:
            RequestError: No target answered the request.
            FailedAnswerError: No target answered with success, and the last error
                answer is passed on to the caller.
            SendError: The answer was begun and cannot be finished.
        """
        self._budget.record_first_send(
            now_ms=self._clock.now_ms(),
            gateways_count=self._gateway.peers.gateways_count,
        )
        self._begin_send()
        try:
            while True:
                if not await self._wait_for_change():
                    await self._end_overdue()
                elif self._is_ended and not self._progress.is_complete:
                    await self._cancel_sends()
                    self._failure = SilentTargetError("no answer until the stop's end")
                if self._check_ended():
                    return
                self._join_stuck_sends()
        finally:
            await self._cancel_sends()
            self._hedge.end()
            # An error refers to this object through its traceback.
            self._failure = self._failed_answer = None

    def reject_unsent(self):
        """Reject the request if it has not run and waits for a slot.

        The gateway stops: it may have no time to wait for an answer to a later send.
        """
        if self._ran is not Ran.NOT_RUN:
            return
        if any(send.target is not None for send in self._running):
            return
        try:
            self._gateway.check_passing(self._admitted)
        except StoppingError as error:
            self._failure = error
            for send in self._running:
                send.task.cancel()

    def end(self):
        """End the request with an answer of the gateway's own, or break its stream off.

        An answer that is complete is still passed on.
        """
        self._is_ended = True
        self._changed.set()

    async def _wait_for_change(self):
        """Wait until a send has ended or is stuck, and return whether one has or is.

        An answer that is complete is passed on also after the request's end; the
        caller's connection limits how long that takes.
        """
        if await self._changes_within(max(0.0, self._left_ms())):
            return True
        while not await self._changes_within(END_GRACE_MS):
            if not self._progress.is_complete:
                return False
        return True

    async def _changes_within(self, limit_ms):
        try:
            async with asyncio.timeout(limit_ms / MS_PER_SECOND):
                await self._changed.wait()
        except TimeoutError:
            return False
        self._changed.clear()
        return True

    async def _end_overdue(self):
        """End the sends that have not ended with the request."""
        self._gateway.metrics.count("overdue_requests", label=self._route.kind.value)
        log.warn(
            "request held past its end",
            extra={
                "request": self._call.request_id,
                "targets": [
                    send.target and send.target.listing.name for send in self._running
                ],
                "left_ms": round(self._left_ms()),
            },
        )
        await self._cancel_sends()
        self._failure = SilentTargetError("no answer until the request's end")

    async def _cancel_sends(self):
        for send in self._running:
            send.task.cancel()
        if self._running:
            await asyncio.wait([send.task for send in self._running])

    def _begin_send(self, *, slot=None):
        send = RunningSend(uses_budget=self._has_token, slot=slot)
        self._has_token = False
        send.task = asyncio.create_task(self._send(send))
        send.task.add_done_callback(lambda _: self._record_end(send))
        self._running.append(send)
        return send

    def _record_end(self, send):
        if send.slot is not None:  # Cancelled before its task began.
            self._admission_queue.release(send.slot)
        if send.uses_budget and not send.may_have_arrived:
            self._budget.give_back()
        if send is self._hedge.copy and not send.may_have_arrived:
            self._hedge.give_back()
        self._changed.set()

    def _send_copy(self, first):
        """Send the request to another target beside ``first``, if that is allowed."""
        is_progressing = first.stuck_error is None and first.is_joinable
        if self._running != [first] or first.task.done() or not is_progressing:
            return
        hedge = self._hedge
        excluded = slot = None
        reason = hedge.obstacle() or self._copy_obstacle()
        if not reason:
            excluded = hedge.excluded_names(first.target, tried=self._tried)
            reason = "" if excluded is not None else "no_target"
        if not reason and not hedge.try_take():
            reason = "limit"
        elif not reason and not self._spend():
            hedge.give_back()
            reason = "budget"
        elif not reason:
            slot = hedge.try_acquire(excluded=excluded)
        if reason:
            hedge.record_withheld(reason)
            return
        if slot is None:
            hedge.give_back()
            self._budget.give_back()
            hedge.record_withheld("no_target")
            return
        self._has_token = True
        copy = self._begin_send(slot=slot)
        copy.target = slot.target
        hedge.record_copy(first, copy)

    def _copy_obstacle(self):
        """Return which rule forbids to send the request once more, or nothing."""
        if not self._may_run_again(runs_count=self._ran_count + 1, may_have_run=True):
            return "attempts"
        if not self._gateway.suspects.may_send_again(
            self._admitted.content, now_ms=self._clock.now_ms()
        ):
            return "suspected"
        try:
            self._gateway.check_sendable(self._admitted)
        except RequestError as error:
            return error.code
        return ""

    def _check_ended(self):
        """Handle the sends that have ended, and return whether one has answered.

        If none is left, send once more if that is allowed.

        Raises:
            RequestError, SendError: The last send failed and there is no other.
        """
        # Several may have ended in one turn of the event loop.
        ended = [send for send in self._running if send.task.done()]
        self._running = [send for send in self._running if not send.task.done()]
        answers = [send for send in ended if self._is_answered_by(send)]
        if not answers and not self._running:
            self._replace_last_send()
        return bool(answers)

    def _is_answered_by(self, send):
        """Return whether an ended send has answered; otherwise record why not."""
        if send.task.cancelled():
            return False
        try:
            failure = send.task.result()
        except RequestError as error:
            self._failure = error
            if self._running:
                log.info(
                    "no further send", extra=self._failure_details(send.target, error)
                )
                self._keep_single()
            return False
        if failure is None:
            return True
        self._failure = failure
        if isinstance(failure, FailedAnswerError):
            self._failed_answer = failure
        return False

    def _replace_last_send(self):
        """Send once more after all sends have ended without an answer.

        Raises:
            RequestError, SendError: That is not allowed.
        """
        failure = self._failure
        if isinstance(failure, RequestError):
            raise self._error_without_send(failure) from failure
        if not self._may_send_again(failure):
            raise self._final_error(failure)
        self._begin_send()

    def _join_stuck_sends(self):
        """Send once more beside the running sends if none of them makes progress."""
        if not self._running or any(send.stuck_error is None for send in self._running):
            return
        self._may_have_arrived = True
        for send in self._running:
            self._count_run(send, Ran.MAY_HAVE_RUN)
        send = self._running[-1]
        if not self._may_send_again(send.stuck_error):
            self._keep_single()
            return
        details = self._failure_details(send.target, send.stuck_error)
        log.info("send joined by another", extra=details)
        self._begin_send()

    def _keep_single(self):
        """Send no other beside the running ones until they make progress."""
        for send in self._running:
            send.stuck_error = None
            send.is_joinable = False

    def _record_stuck(self, send, error):
        is_slow = isinstance(error, SlowTargetError)
        # A slow send beside which no other is sent may still fall silent.
        is_refused = not send.is_joinable and send.is_slow == is_slow
        if send.stuck_error is not None or is_refused:
            return
        send.stuck_error = error
        send.is_slow = is_slow
        if not send.is_counted:
            send.target.record_failure(now_ms=self._clock.now_ms())
        self._changed.set()

    def _take_over(self, send, *, ends):
        """Cancel the other sends: the caller gets the rest from ``send``."""
        self._hedge.record_answer(send)
        if send.is_slow and not ends:
            return  # The other target is wanted although this one goes on.
        send.stuck_error = None
        send.is_joinable = True
        for other in self._running:
            if other is not send and other.task.cancel():
                log.info(
                    "send taken over by another",
                    extra={
                        "request": self._call.request_id,
                        "target": send.target.listing.name,
                        "from": other.target and other.target.listing.name,
                    },
                )

    def _count_run(self, send, ran):
        if not send.is_counted:
            send.is_counted = True
            self._ran = ran
            self._ran_count += 1

    def _left_ms(self):
        return self._admitted.end_ms - self._clock.now_ms()

    async def _acquire_slot(self):
        if self._ran is Ran.NOT_RUN:
            self._gateway.check_passing(self._admitted)
        self._gateway.check_sendable(self._admitted)
        call, route = self._call, self._route
        now_ms = self._clock.now_ms()
        is_stream = route.kind is RequestKind.STREAM
        limit = queue_limit(
            left_ms=self._left_ms(),
            whole_ms=self._admitted.whole_ms,
            waited_ms=now_ms - call.arrived_ms,
            gap_ms=stream_gap_ms(route) if is_stream else None,
            resumes=self._progress.started,
        )
        request = QueuedRequest(
            arrived_ms=call.arrived_ms,
            start_until_ms=self._admission_queue.first_answer_time.start_until_ms(
                asked_ms=call.arrived_ms - self._admitted.elapsed_ms,
                goal_ms=route.latency_goal_ms,
            ),
            queue_deadline_ms=now_ms + limit.limit_ms,
            end_ms=self._admitted.end_ms,
            priority=self._admitted.priority,
            last_chance=limit.last_chance,
            customer=self._admitted.customer_name,
        )
        return await self._admission_queue.acquire(
            request, tried=frozenset(self._tried)
        )

    async def _send(self, running):
        """Send once, and return the ``SendError`` if that failed, else ``None``.

        Raises:
            RequestError: Nothing was sent.
        """
        slot, running.slot = running.slot, None
        if slot is None:
            slot = await self._acquire_slot()
        occupied = contextlib.ExitStack()
        occupied.callback(self._admission_queue.release, slot)
        target = running.target = slot.target
        self._sends_count += 1
        self._tried.add(target.listing.name)
        uncounted_count = sum(not send.is_counted for send in self._running)
        attempt = SendAttempt(
            gateway=self._gateway,
            admitted=self._admitted,
            answer=self._answer,
            progress=self._progress,
            has_another=(
                self._ran_count + uncounted_count < self._route.attempts_limit_count
            ),
            needs_new_connection=self._needs_new_connection,
            has_slot_elsewhere=lambda: self._admission_queue.has_free_slot(
                tried=self._tried, priority=self._admitted.priority
            ),
            is_alone=lambda: len(self._running) == 1,
            on_stuck=lambda error: self._record_stuck(running, error),
            on_progress=lambda *, ends=False: self._take_over(running, ends=ends),
            on_sent=lambda: self._hedge.record_sent(
                running, is_alone=len(self._running) == 1
            ),
            on_answered=occupied.close,
        )
        try:
            await attempt.run(target)
        except WithdrawnTargetError as error:
            self._sends_count -= 1  # Nothing was sent, and no target rejected it.
            log.info("send failed", extra=self._failure_details(target, error))
            self._hedge.record_failure(running, error)
            return error
        except SendError as error:
            self._record_failure(running, attempt, error)
            self._hedge.record_failure(running, error)
            if isinstance(error, ConnectionLostError):
                await self._gateway.lost_connections.record(
                    target, self._admitted, is_begun=attempt.has_head
                )
            return error
        except asyncio.CancelledError:
            if attempt.may_have_arrived:
                self._count_run(running, Ran.MAY_HAVE_RUN)
            raise
        finally:
            running.may_have_arrived = attempt.may_have_arrived
            self._may_have_arrived = self._may_have_arrived or attempt.may_have_arrived
            occupied.close()
        target.record_success()
        return None

    def _record_failure(self, running, attempt, error):
        target = running.target
        now_ms = self._clock.now_ms()
        if error.ran is not Ran.NOT_RUN:
            self._ran = error.ran
            self._count_run(running, error.ran)
        if isinstance(error, NotExecutedError):
            self._record_rejection(target, error, now_ms)
        elif error.blames_target:
            target.record_failure(now_ms=now_ms)
        if isinstance(error, DoubtfulAnswerError):
            # The target may be sound, and the only one of its service.
            self._needs_new_connection = True
            self._tried.discard(target.listing.name)
        details = self._failure_details(target, error)
        details["answer_begun"] = attempt.has_head
        details["answer_data"] = attempt.has_data
        details["group_stalled"] = target.is_stalled(now_ms)
        details["shared_parts"] = self._call.shared_parts
        log.info("send failed", extra=details)

    def _failure_details(self, target, error):
        return {
            "request": self._call.request_id,
            "target": target and target.listing.name,
            "code": error.code,
            "reason": str(error),
            "ran": error.ran.value,
            "left_ms": round(self._left_ms()),
        }

    def _record_rejection(self, target, error, now_ms):
        if not error.culprit:
            target.record_rejection(now_ms=now_ms)
            return
        target.avoid(now_ms=now_ms, pause_ms=STALLED_TARGET_AVOID_MS)
        culprit = self._gateway.target_pool.get(error.culprit)
        if culprit is not None:
            culprit.avoid(now_ms=now_ms, pause_ms=STALLED_TARGET_AVOID_MS)

    def _may_run_again(self, *, runs_count, may_have_run):
        return may_send_again(
            sends_count=self._sends_count,
            left_ms=self._left_ms(),
            may_have_run=may_have_run,
            runs_count=runs_count,
            runs_limit_count=self._route.attempts_limit_count,
            is_repeatable=self._route.repeatable,
        )

    def _may_send_again(self, failure):
        if self._is_ended or not self._may_run_again(
            runs_count=self._ran_count, may_have_run=self._ran is not Ran.NOT_RUN
        ):
            return False
        if not self._may_have_arrived:
            return True  # Only retries of sends that reached a target use the budget.
        if not self._gateway.suspects.may_send_again(
            self._admitted.content, now_ms=self._clock.now_ms()
        ):
            return False
        self._has_token = self._spend()
        return self._has_token

    def _spend(self):
        return self._budget.try_spend(
            now_ms=self._clock.now_ms(),
            gateways_count=self._gateway.peers.gateways_count,
        )

    def _final_error(self, failure):
        """Return the error that ends the request after the failed send ``failure``."""
        if self._progress.started:
            if isinstance(failure, FailedAnswerError):
                return BrokenStreamError(f"the stream cannot go on: {failure}")
            return failure
        if self._failed_answer is not None:
            return self._failed_answer
        if self._ran is Ran.NOT_RUN:
            queue = self._admission_queue
            return NoFreeSlotError(
                f"no target accepted the request: {failure}",
                retry_after_ms=queue.retry_after_ms(
                    end_ms=self._admitted.end_ms, priority=self._admitted.priority
                ),
            )
        if self._gateway.suspects.is_blocked(
            self._admitted.content, now_ms=self._clock.now_ms()
        ):
            return CrashingRequestError("such requests crashed several targets")
        if isinstance(failure, SilentTargetError):
            return TimedOutError("the target did not answer in time")
        return AnswerLostError(f"the answer was lost: {failure}")

    def _error_without_send(self, error):
        """Return the error that ends the request when it cannot be sent.

        If an earlier send may have run, the error has to say so.
        """
        if not isinstance(error, REJECTIONS):
            return error
        if self._ran is Ran.NOT_RUN and not self._progress.started:
            return error
        return self._final_error(
            SilentTargetError(f"already sent, and no free slot to send again: {error}")
        )
