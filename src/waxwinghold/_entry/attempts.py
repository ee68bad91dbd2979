"""Makes the attempts at one request and combines their verdicts into one."""

import logbook

from .._decisions.crash_suspects import shows_run
from .._errors import (
    DeadlineError,
    DrainingError,
    KeyOwnerLostError,
    RequestError,
    TargetLimitedError,
    TargetPausedError,
)
from .._keys import RequestToken
from .._links import LinkDownError
from .._messages import Answer, Detach, Refused
from .._verdict import Ran
from .exchange import Exchange, LinkEvent
from .outcomes import (
    RETRYABLE_CODES,
    AgentRejection,
    AttemptError,
    NothingSentError,
    rejection,
    unreachable,
)
from .sending import DEADLINE_MARGIN_MS, Sender
from .stream_follower import StreamFollower

log = logbook.Logger("entry")

RECONNECT_LIMIT_MS = 1000
ATTEMPT_LIMIT_RATIO = 0.4
ATTEMPTS_LIMIT_COUNT = 4


class Attempts:
    """Sends a request to targets until it is answered or finally rejected.

    Args:
        process: The ``EntryProcess``.
        request: The admitted ``CallRequest``.
    """

    def __init__(self, *, process, request):
        self._process = process
        self._clock = process.clock
        self._request = request
        self._exchange = Exchange(request_id=request.request_id)
        self._sender = Sender(process=process, request=request, exchange=self._exchange)
        self._earlier_ran = Ran.NOT_RUN
        self._has_retry = False

    @property
    def target(self):
        """The ``TrackedTarget`` of the last attempt, or ``None`` before the first."""
        return self._sender.target

    def token(self):
        """Return the signed token by which the caller can resume or cancel."""
        return self._process.token_signer.sign(
            RequestToken(
                service=self._request.service.name,
                target=self.target.name,
                incarnation=self.target.link.incarnation,
                customer=self._request.customer.name,
                request_id=self._request.request_id,
            )
        )

    async def answer(self):
        """Return the ``Answer`` of a call that is not streamed.

        Raises:
            RequestError: The request was not answered; its verdict takes
                earlier attempts into account.
        """
        while True:
            try:
                await self._sender.send(given=())
                answer = await self._await_answer()
            except RequestError as error:
                self._raise_unless_retryable(error)
                continue
            finally:
                self._sender.release()
            self._process.record_answer(self._request, has_run=shows_run(answer.status))
            return answer

    async def stream(self):
        """Yield tuples of events of a streamed answer, in order and each once.

        If an attempt fails midway, another target of the same version continues
        after the events that the caller already has.

        Raises:
            RequestError: The answer was not completed; its verdict takes
                earlier attempts into account.
        """
        events = []
        while True:
            try:
                await self._sender.send(given=tuple(events))
                async for batch in self._follower(len(events)).batches():
                    events.extend(batch)
                    yield batch
            except RequestError as error:
                self._raise_unless_retryable(error)
                continue
            finally:
                self._sender.release()
            self._process.record_answer(self._request, has_run=True)
            return

    def abandon(self):
        """Stop handling the request because its caller has disconnected.

        A streamed answer is kept at the agent, so that the caller can resume.
        """
        if self.target is None:
            return
        self._sender.release()
        if self._request.call.streamed:
            self._detach()
        elif self._request.idempotent:
            self._cancel()

    def _raise_unless_retryable(self, error):
        """Return if another attempt may be made after ``error``; otherwise raise it.

        The raised error's verdict takes earlier attempts into account.
        """
        if error.code == "target_crashed":
            self._process.record_crash(
                self._request,
                target=self._sender.sent_to,
                alone=self._sender.sent_alone,
            )
        if isinstance(error, AgentRejection):
            self._record_rejection(error)
        if self._may_retry(error):
            self._earlier_ran = error.verdict().combined_with(self._earlier_ran).ran
            return
        if self._request.key is not None and not isinstance(error, AgentRejection):
            # Another entry may have sent the call to the key's owner, so that only
            # a rejection by the owner shows that it has not run.
            self._earlier_ran = Ran.MAY_HAVE_RUN
        error.ran = error.verdict().combined_with(self._earlier_ran).ran
        if error.retry_after_ms is not None:
            error.retry_after_ms = self._process.retry_after_ms(error.retry_after_ms)
        raise error

    def _record_rejection(self, error):
        if error.code in (TargetPausedError.code, TargetLimitedError.code):
            self.target.record_pause(error.retry_after_ms or 0.0)
        elif error.code == DrainingError.code:
            self.target.link.send_heartbeat()  # Its answer says what leaves.

    def _may_retry(self, error):
        if not isinstance(error, AttemptError) or error.code not in RETRYABLE_CODES:
            return False
        if self._sender.left_ms() <= DEADLINE_MARGIN_MS:
            return False
        # Nothing was sent, so that another attempt does not count as a retry.
        if isinstance(error, NothingSentError) and self._request.key is None:
            return True
        if not self._request.idempotent:
            return False
        if self._sender.sent_count >= ATTEMPTS_LIMIT_COUNT:
            return False
        if self._has_retry:
            self._has_retry = False
            return True
        return self._process.budget.take_retry(now_ms=self._clock.now_ms())

    def _may_move(self):
        """Return whether another target may get the call, and take a retry for it."""
        if self._request.key is not None:
            return False  # Only the key's owner may run it.
        if not self._has_retry and self._sender.has_another():
            now_ms = self._clock.now_ms()
            self._has_retry = self._process.budget.take_retry(now_ms=now_ms)
        return self._has_retry

    async def _move(self):
        """Send the call to another target, and only then cancel it at this one.

        It stays at this one if no other target gets it now.
        """
        previous = self.target
        try:
            await self._sender.send(given=())
        except RequestError as error:
            log.info("call stays at its silent target: {}", error)
            return
        self._has_retry = False
        left = unreachable(f'target "{previous.name}" did not answer in time')
        self._earlier_ran = left.verdict().combined_with(self._earlier_ran).ran
        previous.remove(self._exchange)
        self._cancel_at(previous)

    async def _await_answer(self):
        """Return the ``Answer`` to the current attempt."""
        end_ms = self._attempt_end_ms()
        while True:
            message = await self._next_message(end_ms - self._clock.now_ms())
            if message is None:
                end_ms = self._attempt_end_ms()
            elif isinstance(message, Answer):
                return message
            elif isinstance(message, Refused):
                raise rejection(message.verdict)
            elif message == LinkEvent.DOWN:
                await self._resend_to_key_owner()

    def _attempt_end_ms(self):
        """Return the monotonic time at which to give up the attempt.

        An attempt at an idempotent call, except the last, is given up before the
        deadline, to leave time for another target.
        """
        left_ms = self._sender.left_ms()
        is_last = self._sender.sent_count >= ATTEMPTS_LIMIT_COUNT
        if self._request.idempotent and not is_last:
            left_ms = max(left_ms * ATTEMPT_LIMIT_RATIO, DEADLINE_MARGIN_MS)
        return self._clock.now_ms() + left_ms

    async def _next_message(self, limit_ms):
        """Return the next message, or ``None`` if none came but there is time for one.

        Meanwhile the call may have moved to another target.

        Raises:
            DeadlineError: The deadline has passed.
            AttemptError: No answer came in time, and no other target may give one.
        """
        try:
            return await self._exchange.next(limit_ms=limit_ms)
        except TimeoutError:
            pass
        has_time = self._sender.left_ms() > DEADLINE_MARGIN_MS
        if has_time and self._request.idempotent:
            if self._may_move():
                await self._move()
            return None
        if self._request.idempotent:
            self._cancel()
        if self._sender.left_ms() <= DEADLINE_MARGIN_MS:
            raise DeadlineError(
                "the deadline passed before the answer came", ran=Ran.MAY_HAVE_RUN
            )
        raise unreachable(f'target "{self.target.name}" did not answer in time')

    async def _resend_to_key_owner(self):
        """Send a call with a key again to the same agent over a new connection.

        The agent's ledger ensures that it runs once. A call without a key is
        not sent again here, because ``_raise_unless_retryable`` decides on
        further attempts for all failures.

        Raises:
            AttemptError: The call has no key, or the link did not come up again.
            KeyOwnerLostError: The agent was replaced.
        """
        target = self.target
        link_lost_error = unreachable(f'the link to target "{target.name}" went down')
        if self._request.key is None:
            raise link_lost_error
        limit_ms = min(RECONNECT_LIMIT_MS, self._sender.left_ms() - DEADLINE_MARGIN_MS)
        if not await self._exchange.wait_for_link(target.link, limit_ms=limit_ms):
            raise link_lost_error
        if target.link.incarnation != self._request.key.incarnation:
            raise KeyOwnerLostError(target=target.name)
        self._sender.release()
        await self._sender.send(given=())

    def _follower(self, next_offset):
        return StreamFollower(
            clock=self._clock,
            exchange=self._exchange,
            target=self.target,
            customer=self._request.customer.name,
            next_offset=next_offset,
            deadline_ms=self._request.deadline_ms,
        )

    def _cancel(self):
        self._cancel_at(self.target)

    def _cancel_at(self, target):
        target.cancel(
            request_id=self._request.request_id, customer=self._request.customer.name
        )

    def _detach(self):
        try:
            self.target.link.send(Detach(request_id=self._request.request_id))
        except LinkDownError:
            log.debug("detach not sent: link down")
