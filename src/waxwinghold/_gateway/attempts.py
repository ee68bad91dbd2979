"""Brings one request to an answer: places, sends, second sends, joined streams."""

import asyncio
from dataclasses import dataclass

import logbook

from .._verdict import Ran
from .errors import (
    CondemnedError,
    LostError,
    MalformedAnswerError,
    NoRoomError,
    NotExecutedError,
    SendError,
    SilentTargetError,
    TimedOutError,
)
from .events import EventSplitter, EventTooLongError
from .line import Waiting
from .model import RequestKind
from .seats import ReportedLoad

log = logbook.Logger("attempts")

MS_PER_SECOND = 1000
FIRST_ERROR_STATUS = 500
# Callers leave a stream, also before its first event, after the longest of these.
STREAM_GAP_MS = 2000.0
STREAM_GAP_AIMS_COUNT = 4
STREAM_GAP_PAUSES_COUNT = 8
# Parts of that gap: after the first another target has time to answer; a place
# found after the second comes too late for the first event.
SILENCE_SHARE = 0.55
PLACE_SHARE = 0.8
LAST_SILENCE_SHARE = 0.95  # Without another target, a silent one may still answer.
SHARE_OF_TIME_FOR_FIRST = 0.45  # Leaves a second target as much time as the first.
SHORTEST_SEND_MS = 30.0  # A send with less time left cannot be answered.
PATIENCE_SHARE = 0.25  # Of the time left; leaves time to come back and be served.
LAST_PATIENCE_SHARE = 0.5  # For those who cannot come back; leaves time to be served.
# Callers that come back have spent more than this of the route's time-out.
LAST_CHANCE_SHARE = 0.9
RESUME_PATIENCE_MS = 600.0  # What is left of the gap when a stream breaks off.
STALLED_TARGET_AVOID_MS = 1000.0  # A group that lost a rank stalls for seconds.
SENDS_LIMIT_COUNT = 4  # Bounds rejected sends too, which did not run.


@dataclass(frozen=True, kw_only=True)
class Admitted:
    """A request with all that its configuration says of it.

    Args:
        end_ms: When deadline or time-out ends it, on the gateway's clock.
    """

    call: object
    route: object
    service: str
    customer_name: str
    priority: int
    end_ms: float


class Attempts:
    """All sends of one request.

    Args:
        gateway: The ``Gateway`` with places, budget, speech and suspects.
        admitted: The ``Admitted`` request.
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
        self._last_event_id = admitted.call.last_event_id
        self._started = False

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
                seat = await self._take_place()
            except NoRoomError as error:
                raise self._widened(error) from error
            failure = await self._send(seat)
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
        if self._started:
            patience_ms = min(patience_ms, RESUME_PATIENCE_MS)
        elif route.kind is RequestKind.STREAM:
            held_ms = now_ms - call.arrived_ms
            patience_ms = min(patience_ms, PLACE_SHARE * self._gap_ms() - held_ms)
        waiting = Waiting(
            arrived_ms=call.arrived_ms,
            aim_until_ms=call.arrived_ms + route.aim_ms,
            patience_until_ms=now_ms + patience_ms,
            priority=self._admitted.priority,
            last_chance=last_chance or self._started,
        )
        return await self._places.take(waiting, tried=frozenset(self._tried))

    async def _send(self, seat):
        """Send once; return the ``SendError`` that ended it, or ``None``."""
        self._sends_count += 1
        self._tried.add(seat.target.name)
        try:
            await self._exchange(seat)
        except SendError as error:
            self._note_failure(seat, error)
            return error
        finally:
            self._places.give_back(seat)
        seat.note_success()
        return None

    async def _exchange(self, seat):
        route = self._route
        connection = await seat.pool.take(
            fresh=not route.repeatable, limit_ms=self._left_ms()
        )
        try:
            # A process that was frozen wakes here: what it believes has aged.
            self._gateway.check_sendable(self._admitted)
            self._arrived = True
            connection.send(self._request_bytes(seat))
            head, notes = await self._head(connection)
            self._note_load(seat, notes)
            if not notes.executed:
                await self._within(connection.whole_body(), SHORTEST_SEND_MS)
                raise NotExecutedError(status=head.status, culprit=notes.culprit)
            if route.kind is RequestKind.STREAM and head.status < 300:
                await self._pass_stream(connection, head)
            else:
                await self._pass_whole(seat, connection, head)
        except BaseException:
            connection.abort()
            raise
        seat.pool.put_back(connection)

    def _request_bytes(self, seat):
        return self._gateway.speech.request_bytes(
            self._call,
            target_name=seat.target.name,
            customer_name=self._admitted.customer_name,
            deadline_in_ms=self._left_ms(),
            last_event_id=self._last_event_id,
        )

    async def _head(self, connection):
        """Return the head of the answer to this request, and its notes."""
        async with _limit(self._send_limit_ms()):
            while True:
                head = await connection.head()
                notes = self._gateway.speech.read_answer(head)
                if notes.request_id in (None, self._call.request_id):
                    return head, notes
                # A late second answer to an earlier request of the connection.
                log.warn(
                    "answer to another request skipped",
                    extra={"request": self._call.request_id, "got": notes.request_id},
                )
                await connection.whole_body()

    def _send_limit_ms(self):
        left_ms = self._left_ms()
        if not self._route.repeatable or not self._has_attempts_left():
            return left_ms
        if self._route.kind is RequestKind.STREAM:
            return min(left_ms, SILENCE_SHARE * self._gap_ms())
        return left_ms * SHARE_OF_TIME_FOR_FIRST

    def _gap_ms(self):
        """Return the pause after which the caller leaves a stream."""
        route = self._route
        return max(
            STREAM_GAP_MS,
            STREAM_GAP_AIMS_COUNT * route.aim_ms,
            STREAM_GAP_PAUSES_COUNT * route.gap_aim_ms,
        )

    async def _pass_whole(self, seat, connection, head):
        body = await self._within(connection.whole_body(), self._send_limit_ms())
        if head.status >= FIRST_ERROR_STATUS:
            seat.note_error_answer()
            if self._may_repeat_run():
                raise FailedAnswerError(head=head, body=body)
        headers = self._gateway.speech.answer_headers(head)
        await self._answer.whole(status=head.status, headers=headers, body=body)

    async def _pass_stream(self, connection, head):
        splitter = EventSplitter()
        if not self._started:
            headers = self._gateway.speech.answer_headers(head)
            self._started = True
            await self._answer.start(status=head.status, headers=headers)
        while True:
            data = await self._stream_data(connection)
            if not data:
                break
            try:
                events = splitter.feed(data)
            except EventTooLongError as error:
                raise MalformedAnswerError(str(error)) from error
            await self._pass_events(events)
        if splitter.pending_bytes:
            raise MalformedAnswerError("the stream ended inside an event")
        await self._answer.finish()

    async def _stream_data(self, connection):
        """Return the next bytes of a stream; a silent target is left for another."""
        waited_ms = min(self._left_ms(), SILENCE_SHARE * self._gap_ms())
        try:
            return await self._within(connection.body(), waited_ms)
        except SilentTargetError:
            elsewhere = self._route.repeatable and self._has_attempts_left()
            if elsewhere and self._places.has_room(tried=self._tried):
                raise
        rest_ms = min(self._left_ms(), LAST_SILENCE_SHARE * self._gap_ms() - waited_ms)
        return await self._within(connection.body(), rest_ms)

    async def _pass_events(self, events):
        passed = []
        for event, number in events:
            if number is not None:
                last = self._last_event_id
                if last is not None and number <= last:
                    continue
                if last is not None and number > last + 1:
                    raise MalformedAnswerError(f"event {number} came after {last}")
                self._last_event_id = number
            passed.append(event)
        if passed:
            await self._answer.write(b"".join(passed))

    async def _within(self, coroutine, limit_ms):
        async with _limit(limit_ms):
            return await coroutine

    def _note_load(self, seat, notes):
        if notes.load is not None:
            running, waiting = notes.load
            seat.load = ReportedLoad(
                running_count=running,
                waiting_count=waiting,
                at_ms=self._clock.now_ms(),
            )

    def _note_failure(self, seat, error):
        now_ms = self._clock.now_ms()
        if error.ran is not Ran.NOT_RUN:
            self._ran = error.ran
            self._ran_count += 1
        if isinstance(error, NotExecutedError):
            self._note_rejection(seat, error, now_ms)
        elif error.blames_target:
            seat.note_failure(now_ms=now_ms)
        if error.code == "connection_lost":
            self._gateway.suspects.note_loss(
                self._admitted, target=seat.target.name, now_ms=now_ms
            )
        log.info(
            "send failed",
            extra={
                "request": self._call.request_id,
                "target": seat.target.name,
                "code": error.code,
                "reason": str(error),
                "ran": error.ran.value,
                "left_ms": round(self._left_ms()),
            },
        )

    def _note_rejection(self, seat, error, now_ms):
        if not error.culprit:
            seat.note_full(now_ms=now_ms)
            return
        seat.avoid(now_ms=now_ms, pause_ms=STALLED_TARGET_AVOID_MS)
        culprit = self._gateway.seats.get(error.culprit)
        if culprit is not None:
            culprit.avoid(now_ms=now_ms, pause_ms=STALLED_TARGET_AVOID_MS)

    def _has_attempts_left(self):
        return self._ran_count + 1 < self._route.attempts_limit_count

    def _may_repeat_run(self):
        """Return whether a request that ran may run once more, and count it."""
        return (
            self._route.repeatable
            and self._has_attempts_left()
            and self._left_ms() > SHORTEST_SEND_MS
        )

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
        if self._started:
            return failure
        if isinstance(failure, FailedAnswerError):
            return failure
        if self._ran is Ran.NOT_RUN:
            places = self._places
            return NoRoomError(
                f"no target could take it: {failure}",
                retry_after_ms=places.return_after_ms(),
            )
        if self._gateway.suspects.condemned(
            self._admitted, now_ms=self._clock.now_ms()
        ):
            return CondemnedError("this request ended several targets")
        if isinstance(failure, SilentTargetError):
            return TimedOutError("the target did not answer in time")
        return LostError(f"the answer was lost: {failure}")

    def _widened(self, error):
        if self._ran is Ran.NOT_RUN and not self._started:
            return error
        return self._final(
            SilentTargetError(f"sent before, and then no place: {error}")
        )


class FailedAnswerError(SendError):
    """The target answered that it failed; the caller gets that answer.

    Args:
        head: The answer's ``AnswerHead``.
        body: Its whole body.
    """

    code = "failed_answer"
    ran = Ran.RAN
    blames_target = False

    def __init__(self, *, head, body):
        super().__init__(f"the target answered {head.status}")
        self.head = head
        self.body = body


class _limit:
    """Turns the end of a time limit into ``SilentTargetError``."""

    def __init__(self, limit_ms):
        self._timeout = asyncio.timeout(max(0.0, limit_ms) / MS_PER_SECOND)

    async def __aenter__(self):
        await self._timeout.__aenter__()

    async def __aexit__(self, kind, error, trace):
        try:
            await self._timeout.__aexit__(kind, error, trace)
        except TimeoutError as timeout:
            raise SilentTargetError("nothing came from the target in time") from timeout
