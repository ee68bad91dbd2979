"""One send of a request to one target, and the passing on of its answer."""

import asyncio
from dataclasses import dataclass

import logbook

from .errors import (
    FailedAnswerError,
    MalformedAnswerError,
    NotExecutedError,
    SilentTargetError,
)
from .events import EventSplitter, EventTooLongError
from .model import RequestKind
from .targets import ReportedLoad

log = logbook.Logger("sending")

MS_PER_SECOND = 1000
FIRST_ERROR_STATUS = 500
# Callers leave a stream, also before its first event, after the longest of these.
STREAM_GAP_MS = 2000.0
STREAM_GAP_AIMS_COUNT = 4
STREAM_GAP_PAUSES_COUNT = 8
# Part of that gap after which another target still has time to answer.
SILENCE_SHARE = 0.55
LAST_SILENCE_SHARE = 0.95  # Without another target, a silent one may still answer.
SHARE_OF_TIME_FOR_FIRST = 0.45  # Leaves a second target as much time as the first.
SHORTEST_SEND_MS = 30.0  # A send with less time left cannot be answered.


@dataclass(frozen=True, kw_only=True)
class AdmittedRequest:
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


@dataclass(kw_only=True)
class Progress:
    """How far the answer to one caller has come, over all sends.

    Attributes:
        started: Whether the caller got the head of a stream.
        last_event_id: The last event that the caller has, or ``None``.
    """

    started: bool = False
    last_event_id: int | None = None


class SendAttempt:
    """One send.

    Args:
        gateway: The ``Gateway`` with clock, codec and the check before a send.
        admitted: The ``AdmittedRequest`` request.
        answer: Takes the answer: ``start``, ``write``, ``finish``, ``whole``.
        progress: The ``Progress`` of that answer.
        has_another: Whether the route allows another send after this one.
        has_room_elsewhere: Tells whether another target could take the request.

    Attributes:
        arrived: Whether anything may have reached the target.
    """

    def __init__(
        self, *, gateway, admitted, answer, progress, has_another, has_room_elsewhere
    ):
        self._gateway = gateway
        self._clock = gateway.clock
        self._admitted = admitted
        self._call = admitted.call
        self._route = admitted.route
        self._answer = answer
        self._progress = progress
        self._has_another = has_another
        self._has_room_elsewhere = has_room_elsewhere
        self.arrived = False

    async def run(self, target):
        """Send to ``seat`` and pass the answer on.

        Raises:
            SendError: The answer is not whole, or may be asked for elsewhere.
        """
        route = self._route
        connection = await target.pool.take(
            fresh=not route.repeatable, limit_ms=self._left_ms()
        )
        try:
            # A process that was frozen wakes here: what it believes has aged.
            self._gateway.check_sendable(self._admitted)
            self.arrived = True
            connection.send(self._request_bytes(target))
            head, notes = await self._head(connection)
            self._record_load(target, notes)
            if not notes.executed:
                await self._within(connection.whole_body(), SHORTEST_SEND_MS)
                raise NotExecutedError(status=head.status, culprit=notes.culprit)
            if route.kind is RequestKind.STREAM and head.status < 300:
                await self._pass_stream(connection, head)
            else:
                await self._pass_whole(target, connection, head)
        except BaseException:
            connection.abort()
            raise
        target.pool.put_back(connection)

    def _request_bytes(self, target):
        return self._gateway.codec.request_bytes(
            self._call,
            target_name=target.listing.name,
            customer_name=self._admitted.customer_name,
            deadline_in_ms=self._left_ms(),
            last_event_id=self._progress.last_event_id,
        )

    def _left_ms(self):
        return self._admitted.end_ms - self._clock.now_ms()

    async def _head(self, connection):
        """Return the head of the answer to this request, and its notes."""
        async with _Limit(self._send_limit_ms()):
            while True:
                head = await connection.head()
                notes = self._gateway.codec.read_answer(head)
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
        if not self._route.repeatable or not self._has_another:
            return left_ms
        if self._route.kind is RequestKind.STREAM:
            return min(left_ms, SILENCE_SHARE * stream_gap_ms(self._route))
        return left_ms * SHARE_OF_TIME_FOR_FIRST

    async def _pass_whole(self, target, connection, head):
        body = await self._within(connection.whole_body(), self._send_limit_ms())
        if head.status >= FIRST_ERROR_STATUS:
            target.record_error_answer()
            if self._may_repeat():
                raise FailedAnswerError(head=head, body=body)
        headers = self._gateway.codec.answer_headers(head)
        await self._answer.whole(status=head.status, headers=headers, body=body)

    async def _pass_stream(self, connection, head):
        splitter = EventSplitter()
        if not self._progress.started:
            headers = self._gateway.codec.answer_headers(head)
            self._progress.started = True
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
        waited_ms = min(self._left_ms(), SILENCE_SHARE * stream_gap_ms(self._route))
        try:
            return await self._within(connection.body(), waited_ms)
        except SilentTargetError:
            elsewhere = self._route.repeatable and self._has_another
            if elsewhere and self._has_room_elsewhere():
                raise
        rest_ms = min(
            self._left_ms(), LAST_SILENCE_SHARE * stream_gap_ms(self._route) - waited_ms
        )
        return await self._within(connection.body(), rest_ms)

    async def _pass_events(self, events):
        passed = []
        for event, number in events:
            if number is not None:
                last = self._progress.last_event_id
                if last is not None and number <= last:
                    continue
                if last is not None and number > last + 1:
                    raise MalformedAnswerError(f"event {number} came after {last}")
                self._progress.last_event_id = number
            passed.append(event)
        if passed:
            await self._answer.write(b"".join(passed))

    async def _within(self, coroutine, limit_ms):
        async with _Limit(limit_ms):
            return await coroutine

    def _may_repeat(self):
        """Return whether a request that ran may run once more."""
        can = self._route.repeatable and self._has_another
        return can and self._left_ms() > SHORTEST_SEND_MS

    def _record_load(self, target, notes):
        if notes.load is not None:
            running, waiting = notes.load
            target.load = ReportedLoad(
                running_count=running,
                waiting_count=waiting,
                at_ms=self._clock.now_ms(),
            )


def stream_gap_ms(route):
    """Return the pause after which the caller leaves a stream."""
    return max(
        STREAM_GAP_MS,
        STREAM_GAP_AIMS_COUNT * route.latency_goal_ms,
        STREAM_GAP_PAUSES_COUNT * route.gap_goal_ms,
    )


class _Limit:
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
