"""The attempts at one request, and the verdict over all of them."""

import logbook

from .._errors import DeadlineError, KeyOwnerLostError, RequestError
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
    """Sends one request to targets until it has an answer or a final verdict.

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
        self._earlier = Ran.NOT_RUN

    @property
    def target(self):
        """The target of the last attempt, or ``None`` before the first."""
        return self._sender.target

    def token(self):
        """Return the token by which the caller can resume or cancel."""
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
        """Return the whole ``Answer`` of a call that is not streamed.

        Raises:
            RequestError: The final verdict, earlier attempts included.
        """
        while True:
            try:
                await self._sender.send(given=())
                answer = await self._await_answer()
            except RequestError as error:
                self._settle(error)
                continue
            finally:
                self._sender.release()
            self._process.record_success(self._request)
            return answer

    async def stream(self):
        """Yield lists of events of a streamed answer, each event once, in order.

        An attempt that breaks off is continued by another target of the same
        version from the events that the caller has.

        Raises:
            RequestError: The final verdict, earlier attempts included.
        """
        events = []
        while True:
            try:
                await self._sender.send(given=tuple(events))
                async for batch in self._follower(len(events)).batches():
                    events.extend(batch)
                    yield batch
            except RequestError as error:
                self._settle(error)
                continue
            finally:
                self._sender.release()
            self._process.record_success(self._request)
            return

    def abandon(self):
        """Let go of the request after its caller has gone."""
        if self.target is None:
            return
        self._sender.release()
        if self._request.call.streamed:
            self._detach()
        elif self._request.idempotent:
            self._cancel()

    def _settle(self, error):
        """Return if another attempt may be made; raise the verdict if not."""
        if error.code == "target_crashed":
            self._process.record_crash(
                self._request,
                target=self._sender.sent_to,
                alone=self._sender.sent_alone,
            )
        if self._may_retry(error):
            self._earlier = error.verdict().combined_with(self._earlier).ran
            return
        if self._request.key is not None and not isinstance(error, AgentRejection):
            # Another entry may have sent the key on: only its home knows.
            self._earlier = Ran.MAY_HAVE_RUN
        error.ran = error.verdict().combined_with(self._earlier).ran
        if error.retry_after_ms is not None:
            error.retry_after_ms = self._process.retry_after_ms(error.retry_after_ms)
        raise error

    def _may_retry(self, error):
        if not isinstance(error, AttemptError) or error.code not in RETRYABLE_CODES:
            return False
        if self._sender.left_ms() <= DEADLINE_MARGIN_MS:
            return False
        if isinstance(error, NothingSentError) and self._request.key is None:
            return True
        if not self._request.idempotent:
            return False
        if self._sender.sent_count >= ATTEMPTS_LIMIT_COUNT:
            return False
        return self._process.budget.take_retry(now_ms=self._clock.now_ms())

    async def _await_answer(self):
        """Return the answer to the attempt that was sent."""
        end_ms = self._attempt_end_ms()
        while True:
            message = await self._next(end_ms - self._clock.now_ms())
            if isinstance(message, Answer):
                return message
            if isinstance(message, Refused):
                raise rejection(message.verdict)
            if message == LinkEvent.DOWN:
                await self._send_again_to_home()

    def _attempt_end_ms(self):
        """Return when to try another target; a call that is not idempotent waits."""
        left_ms = self._sender.left_ms()
        last = self._sender.sent_count >= ATTEMPTS_LIMIT_COUNT
        if self._request.idempotent and not last:
            left_ms = max(left_ms * ATTEMPT_LIMIT_RATIO, DEADLINE_MARGIN_MS)
        return self._clock.now_ms() + left_ms

    async def _next(self, limit_ms):
        try:
            return await self._exchange.next(limit_ms=limit_ms)
        except TimeoutError:
            pass
        if self._request.idempotent:
            self._cancel()
        if self._sender.left_ms() <= DEADLINE_MARGIN_MS:
            raise DeadlineError(
                "the deadline passed before the answer came", ran=Ran.MAY_HAVE_RUN
            )
        raise unreachable(f'target "{self.target.name}" did not answer in time')

    async def _send_again_to_home(self):
        """Send a key's call again, over a new connection, to the same incarnation.

        The ledger there runs it once. A call without a key is not sent again
        here: whether another attempt may be made is decided for all failures
        in one place.
        """
        target = self.target
        lost = unreachable(f'the link to target "{target.name}" went down')
        if self._request.key is None:
            raise lost
        limit_ms = min(RECONNECT_LIMIT_MS, self._sender.left_ms() - DEADLINE_MARGIN_MS)
        if not await self._exchange.wait_for_link(target.link, limit_ms=limit_ms):
            raise lost
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
        self.target.cancel(
            request_id=self._request.request_id, customer=self._request.customer.name
        )

    def _detach(self):
        try:
            self.target.link.send(Detach(request_id=self._request.request_id))
        except LinkDownError:
            log.debug("detach not sent: link down")
