"""The attempts at one request, and the verdict over all of them."""

import logbook

from .._errors import (
    DeadlineError,
    KeyHomeLostError,
    NoTargetError,
    OverloadedError,
    RequestError,
    SuspectRequestError,
    TargetUnreachableError,
)
from .._keys import RequestToken
from .._links import LinkDownError
from .._messages import Answer, Chunk, Detach, End, Refused, Resume, Started, Submit
from .._policy import ChoiceRequest
from .._verdict import Ran
from .exchange import Exchange, LinkEvent

log = logbook.Logger("entry")

# The agent ends a request a little earlier than the entry, so that its word
# on whether the request ran is here in time.
DEADLINE_MARGIN_MS = 120
RECONNECT_LIMIT_MS = 1000
STREAM_RECONNECT_LIMIT_MS = 600
STALL_LIMIT_MS = 5000
ATTEMPT_LIMIT_RATIO = 0.4
ATTEMPTS_LIMIT_COUNT = 4
RETRYABLE_CODES = frozenset(
    {
        "draining",
        "no_target",
        "overloaded",
        "target_crashed",
        "target_failed",
        "target_refused",
        "target_unreachable",
        "unknown_request",
    }
)


class AttemptError(RequestError):
    """What ended one attempt, with what that says of the attempt alone."""

    status = 503

    def __init__(self, *, code, reason, ran, retry_after_ms=None):
        super().__init__(reason, ran=ran, retry_after_ms=retry_after_ms)
        self.code = code


class AgentRefusal(AttemptError):
    """The agent's own word on the request."""


class NothingSentError(AttemptError):
    """The link went down before anything was sent."""


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
        self._earlier = Ran.NOT_RUN
        self._tried = set()
        self._sent_count = 0
        self._sent_alone = False
        self._sent_to = ""
        self.seat = None

    def token(self):
        """Return the token by which the caller can resume or cancel."""
        return self._process.mint.sign(
            RequestToken(
                service=self._request.service.name,
                target=self.seat.name,
                incarnation=self.seat.link.incarnation,
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
                answer = await self._attempt(given=())
            except RequestError as error:
                self._settle(error)
                continue
            self._process.note_success(self._request)
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
                await self._submit(given=tuple(events))
                async for batch in self._follow(events):
                    events.extend(batch)
                    yield batch
            except RequestError as error:
                self._settle(error)
                continue
            finally:
                self._release()
            self._process.note_success(self._request)
            return

    def abandon(self):
        """Let go of the request after its caller has gone."""
        if self.seat is None:
            return
        seat, request = self.seat, self._request
        self._release()
        if request.call.streamed:
            try:
                seat.link.send(Detach(request_id=request.request_id))
            except LinkDownError:
                log.debug("detach not sent: link down")
        elif request.idempotent:
            seat.cancel(request_id=request.request_id, customer=request.customer.name)

    def _settle(self, error):
        """Return if another attempt may be made; raise the verdict if not."""
        self._note_crash(error)
        if self._may_retry(error):
            self._earlier = error.verdict().after(self._earlier).ran
            return
        if self._request.key is not None and not isinstance(error, AgentRefusal):
            # Another entry may have sent the key on: only its home knows.
            self._earlier = Ran.MAY_HAVE_RUN
        error.ran = error.verdict().after(self._earlier).ran
        if error.retry_after_ms is not None:
            error.retry_after_ms = self._process.retry_after_ms(error.retry_after_ms)
        raise error

    def _may_retry(self, error):
        if error.code not in RETRYABLE_CODES or not isinstance(error, AttemptError):
            return False
        if self._left_ms() <= DEADLINE_MARGIN_MS:
            return False
        if isinstance(error, NothingSentError) and self._request.key is None:
            return True
        if not self._request.idempotent:
            return False
        if self._sent_count >= ATTEMPTS_LIMIT_COUNT:
            return False
        return self._process.budget.take_retry(now_ms=self._clock.now_ms())

    def _note_crash(self, error):
        if error.code == "target_crashed":
            self._process.note_crash(
                self._request, target=self._sent_to, alone=self._sent_alone
            )

    async def _attempt(self, *, given):
        await self._submit(given=given)
        try:
            return await self._await_answer()
        finally:
            self._release()

    async def _submit(self, *, given):
        """Choose a target and send the request to it."""
        request = self._request
        if self._process.suspects.is_condemned(request.digest):
            count = self._process.suspects.crashes_count(request.digest)
            raise SuspectRequestError(crashes_count=count)
        seat = await self._choose()
        suspect = self._process.suspects.is_suspect(request.digest)
        attempt = self._exchange.next_attempt()
        message = Submit(
            request_id=request.request_id,
            attempt=attempt,
            service=request.service.name,
            version=request.version,
            call=request.call.name,
            customer=request.customer.name,
            priority=request.priority,
            deadline_at_ms=self._deadline_at_ms(seat),
            body=request.body,
            content_type=request.content_type,
            digest=request.digest,
            streamed=request.call.streamed,
            key=request.key_text,
            given=given,
            suspect=suspect,
            adapter=request.adapter,
        )
        try:
            seat.link.send(message)
        except LinkDownError as error:
            raise NothingSentError(
                code="target_unreachable",
                reason=str(error),
                ran=Ran.NOT_RUN,
                retry_after_ms=TargetUnreachableError.retry_after_ms,
            ) from error
        self.seat = seat
        self._sent_count += 1
        self._sent_alone = suspect
        self._sent_to = f"{seat.name}/{seat.link.incarnation}"
        self._tried.add(seat.name)
        seat.add(self._exchange)

    async def _choose(self):
        if self._left_ms() <= DEADLINE_MARGIN_MS:
            raise DeadlineError("the deadline passed before a target was found")
        if self._request.key is not None:
            return self._home()
        request = self._request
        seats = self._process.fleet.seats_of(
            service=request.service.name, version=request.version
        )
        candidates = [
            seat.candidate
            for seat in seats.values()
            if seat.takes_work and seat.has_adapter(request.adapter)
        ]
        chosen = self._process.policy.choose(
            candidates,
            request=ChoiceRequest(
                data_centre=self._process.settings.data_centre,
                priority=request.priority,
                prefix=request.prefix,
                steps_count=request.steps_count,
                tried=frozenset(self._tried),
            ),
            now_ms=self._clock.now_ms(),
        )
        if chosen is None:
            raise NoTargetError(service=request.service.name, version=request.version)
        self._check_wait(chosen)
        return seats[chosen.name]

    def _check_wait(self, candidate):
        wait_ms = self._process.policy.wait_ms(candidate, now_ms=self._clock.now_ms())
        if self._process.admits(
            wait_ms=wait_ms,
            deadline_in_ms=self._left_ms(),
            priority=self._request.priority,
        ):
            return
        raise OverloadedError(
            f"{wait_ms:.0f} ms of work wait for the least busy target"
        )

    def _home(self):
        """Return the seat of the only target that may run the key."""
        key = self._request.key
        seat = self._process.fleet.seats.get(key.target)
        if seat is None or not seat.link.up:
            raise TargetUnreachableError(
                f'target "{key.target}", which holds the key, cannot be reached'
            )
        if seat.link.incarnation != key.incarnation:
            raise KeyHomeLostError(target=key.target)
        return seat

    def _deadline_at_ms(self, seat):
        return seat.link.peer_wall_ms() + self._left_ms() - DEADLINE_MARGIN_MS

    def _left_ms(self):
        return self._request.deadline_ms - self._clock.now_ms()

    async def _await_answer(self):
        """Return the answer of the attempt that was sent."""
        limit_ms = self._attempt_end_ms()
        while True:
            message = await self._next(limit_ms - self._clock.now_ms())
            if isinstance(message, Answer):
                return message
            if isinstance(message, Refused):
                raise _refusal(message.verdict)
            if isinstance(message, Started):
                self._exchange.started = True
            elif message == LinkEvent.DOWN:
                await self._come_back()

    def _attempt_end_ms(self):
        """Return when to try another target; a call that is not idempotent waits."""
        now_ms = self._clock.now_ms()
        left_ms = self._left_ms()
        last = self._sent_count >= ATTEMPTS_LIMIT_COUNT
        if not self._request.idempotent or last:
            return now_ms + left_ms
        return now_ms + max(left_ms * ATTEMPT_LIMIT_RATIO, DEADLINE_MARGIN_MS)

    async def _next(self, limit_ms):
        try:
            return await self._exchange.next(limit_ms=limit_ms)
        except TimeoutError:
            pass
        if self._request.idempotent:
            self.seat.cancel(
                request_id=self._request.request_id,
                customer=self._request.customer.name,
            )
        if self._left_ms() <= DEADLINE_MARGIN_MS:
            raise DeadlineError(
                "the deadline passed before the answer came", ran=Ran.MAY_HAVE_RUN
            )
        raise AttemptError(
            code="target_unreachable",
            reason=f'target "{self.seat.name}" did not answer in time',
            ran=Ran.MAY_HAVE_RUN,
            retry_after_ms=TargetUnreachableError.retry_after_ms,
        )

    async def _come_back(self):
        """Ask again over a new connection to the same incarnation.

        A call with a key may be sent again to its home: the ledger there runs
        it once. A call without one may only be asked after if it is idempotent.
        """
        seat = self.seat
        incarnation = seat.link.incarnation
        if self._request.key is None:
            raise self._lost(seat)
        limit_ms = min(RECONNECT_LIMIT_MS, self._left_ms())
        end_ms = self._clock.now_ms() + limit_ms
        while not seat.link.up:
            try:
                await self._exchange.next(limit_ms=end_ms - self._clock.now_ms())
            except TimeoutError:
                raise self._lost(seat) from None
        if seat.link.incarnation != incarnation:
            raise KeyHomeLostError(target=seat.name)
        self._release()
        await self._submit(given=())

    def _lost(self, seat):
        return AttemptError(
            code="target_unreachable",
            reason=f'the link to target "{seat.name}" went down',
            ran=Ran.MAY_HAVE_RUN,
            retry_after_ms=TargetUnreachableError.retry_after_ms,
        )

    async def _follow(self, events):
        """Yield the batches of the attempt that was sent, from ``events`` on."""
        place = len(events)
        quiet_since_ms = self._clock.now_ms()
        while True:
            message = await self._next_of_stream(quiet_since_ms)
            if message is None:
                continue
            quiet_since_ms = self._clock.now_ms()
            if isinstance(message, Chunk):
                if message.offset > place:
                    self._resume(place)
                    continue
                fresh = message.events[place - message.offset :]
                place += len(fresh)
                if fresh:
                    yield fresh
            elif isinstance(message, End):
                if message.length == place:
                    return
                self._resume(place)
            elif isinstance(message, Refused):
                raise _refusal(message.verdict)
            elif message == LinkEvent.DOWN:
                await self._resume_over_new_link(place)

    async def _next_of_stream(self, quiet_since_ms):
        """Return the next message, or ``None`` after a while without one."""
        limit_ms = min(STALL_LIMIT_MS, self._left_ms())
        try:
            return await self._exchange.next(limit_ms=limit_ms)
        except TimeoutError:
            pass
        request = self._request
        if self._left_ms() <= 0:
            self.seat.cancel(
                request_id=request.request_id, customer=request.customer.name
            )
            raise DeadlineError(
                "the deadline passed before the answer ended", ran=Ran.MAY_HAVE_RUN
            )
        quiet_ms = self._clock.now_ms() - quiet_since_ms
        if quiet_ms >= STALL_LIMIT_MS and not self.seat.candidate.healthy:
            self.seat.cancel(
                request_id=request.request_id, customer=request.customer.name
            )
            raise AttemptError(
                code="target_failed",
                reason=f'target "{self.seat.name}" has stalled',
                ran=Ran.MAY_HAVE_RUN,
                retry_after_ms=TargetUnreachableError.retry_after_ms,
            )
        return None

    def _resume(self, place):
        """Ask the same target for the events from ``place`` on."""
        message = Resume(
            request_id=self._request.request_id,
            attempt=self._exchange.next_attempt(),
            customer=self._request.customer.name,
            offset=place,
        )
        try:
            self.seat.link.send(message)
        except LinkDownError as error:
            raise self._lost(self.seat) from error

    async def _resume_over_new_link(self, place):
        seat = self.seat
        incarnation = seat.link.incarnation
        limit_ms = min(STREAM_RECONNECT_LIMIT_MS, self._left_ms())
        end_ms = self._clock.now_ms() + limit_ms
        while not seat.link.up:
            try:
                await self._exchange.next(limit_ms=end_ms - self._clock.now_ms())
            except TimeoutError:
                raise self._lost(seat) from None
        if seat.link.incarnation != incarnation:
            raise self._lost(seat)
        self._resume(place)

    def _release(self):
        if self.seat is not None:
            self.seat.remove(self._exchange)


def _refusal(verdict):
    """Return an agent's refusal as the error that ended the attempt."""
    return AgentRefusal(
        code=verdict.code,
        reason=verdict.reason,
        ran=verdict.ran,
        retry_after_ms=verdict.retry_after_ms,
    )
