"""Sends a request to one target and passes the answer on to the caller."""

import asyncio
from dataclasses import dataclass

import logbook

from .._decisions.answer_origin import (
    AnswerOrigin,
    answer_origin,
    has_joined_event,
    has_own_head,
    may_have_joined_body,
)
from .._decisions.crash_suspects import RequestContent, shows_run
from .._decisions.sends import SHORTEST_SEND_MS
from .answer_doubts import Doubt, answer_doubts
from .errors import (
    ConnectionLostError,
    DoubtfulAnswerError,
    FailedAnswerError,
    MalformedAnswerError,
    NotExecutedError,
    SilentTargetError,
    SlowTargetError,
    WithdrawnTargetError,
)
from .events import EventSplitter, EventTooLongError
from .model import RequestKind
from .tracked_target import ReportedLoad

log = logbook.Logger("sending")

MS_PER_SECOND = 1000
FIRST_ERROR_STATUS = 500
# Callers give up on a stream after the longest of these three pauses, also before the
# first event: a constant, and multiples of the route's latency and gap goals.
STREAM_GAP_MS = 2000.0
LATENCY_GOALS_IN_STREAM_GAP_COUNT = 4
GAP_GOALS_IN_STREAM_GAP_COUNT = 8
# Share of that pause after which another target is tried beside a silent one; it then
# still has time to answer.
SILENCE_SHARE = 0.55
# The same if no other target has a free slot. A stream without an event ends then.
LAST_SILENCE_SHARE = 0.95
# The same as a share of the remaining time, for an answer that is not streamed.
FIRST_SEND_TIME_SHARE = 0.45
# Time for the body of a rejection if the request may run only once: it is sent again
# only after a whole rejection, and a sound target may be silent for a second or so.
REJECTION_LIMIT_MS = 1500.0
# A stream goes on at another rank if its own is this many times slower than the fastest
# of the group: the requests at a slow rank slow down those at all others.
SLOW_RANK_PACE = 3.0


@dataclass(frozen=True, kw_only=True)
class AdmittedRequest:
    """A request with the route, customer and limits that apply to it.

    Args:
        call: The ``CallerRequest``.
        route: Its ``Route``.
        service: Name of the service that handles it.
        customer_name: Name of the customer; empty if there is none.
        priority: 0 is the most urgent.
        end_ms: When its deadline or the route's time-out ends it, in milliseconds
            of the gateway's clock.
        elapsed_ms: Time since the caller first asked, as far as its deadline tells.
        content: The ``RequestContent`` by which crashes of targets are counted.
    """

    call: object
    route: object
    service: str
    customer_name: str
    priority: int
    end_ms: float
    elapsed_ms: float = 0.0
    content: RequestContent

    @property
    def whole_ms(self):
        """Return the time from when the caller first asked to the request's end."""
        return self.end_ms - self.call.arrived_ms + self.elapsed_ms


@dataclass(kw_only=True)
class AnswerProgress:
    """How much of a stream the caller has received, over all sends of the request.

    Attributes:
        started: Whether the head of the stream was passed on.
        last_event_id: Id of the last event that the caller has, or ``None``.
        head: The ``AnswerHead`` that was passed on, if it began a stream.
        is_complete: Whether the end of the answer has arrived from a target.
    """

    started: bool = False
    head: object = None
    is_complete: bool = False
    last_event_id: int | None = None


class SendAttempt:
    """Sends a request once, to one target.

    A target that is silent or slow may still finish its answer. The send therefore
    goes on until it ends or is cancelled, and only reports that it makes no progress.

    Args:
        gateway: The ``Gateway`` that serves the request.
        admitted: The ``AdmittedRequest``.
        answer: The ``CallerAnswer`` that passes the answer on to the caller.
        progress: The ``AnswerProgress`` of that answer.
        has_another: Whether the route allows another send after this one.
        needs_new_connection: Whether an earlier answer to the request was in doubt.
        has_slot_elsewhere: Returns whether another target has a free slot.
        is_alone: Returns whether no other send of the request is running.
        on_stuck: Called with a ``SendError`` when another target should be tried
            beside this one.
        on_progress: Called before anything is passed on to the caller; with ``ends``
            if that is the end of a stream.
        on_sent: Called when the request is sent.
        on_answered: Called when the whole answer has arrived and is to be passed on.

    Attributes:
        may_have_arrived: Whether any byte may have reached the target.
        has_head: Whether the target began an answer to the request.
        has_data: Whether a part of the answer's body arrived.
    """

    def __init__(
        self,
        *,
        gateway,
        admitted,
        answer,
        progress,
        has_another,
        needs_new_connection,
        has_slot_elsewhere,
        is_alone,
        on_stuck,
        on_progress,
        on_sent,
        on_answered,
    ):
        self._gateway = gateway
        self._clock = gateway.clock
        self._admitted = admitted
        self._call = admitted.call
        self._route = admitted.route
        self._answer = answer
        self._admission_queue = gateway.admission_queue(admitted.service)
        self._sent_ms = 0.0
        # When the target last completed an event, or the head before the first one.
        self._progressed_ms = 0.0
        self._progress = progress
        self._has_another = has_another
        self._needs_new_connection = needs_new_connection
        self._has_slot_elsewhere = has_slot_elsewhere
        self._is_alone = is_alone
        self._on_stuck = on_stuck
        self._on_progress = on_progress
        self._on_sent = on_sent
        self._on_answered = on_answered
        self.may_have_arrived = False
        self.has_head = False
        self.has_data = False

    async def run(self, target):
        """Send the request to ``target`` and pass the answer on.

        Raises:
            SendError: The answer is incomplete, or another target may be tried.
        """
        route = self._route
        connection = await target.connections.acquire(
            fresh=not self._may_use_kept_connection(target),
            limit_ms=self._left_ms(),
            request_id=self._call.request_id,
        )
        if not target.accepts_requests(now_ms=self._clock.now_ms()):
            target.connections.release(connection)
            raise WithdrawnTargetError("the target wants no more requests")
        try:
            # If the process was frozen until now, its configuration may be outdated.
            self._gateway.check_sendable(self._admitted)
            self.may_have_arrived = True
            self._sent_ms = self._progressed_ms = self._clock.now_ms()
            connection.send(
                self._request_bytes(target), request_id=self._call.request_id
            )
            self._on_sent()
            head, metadata = await self._head(target, connection)
            self.has_head = True
            self._progressed_ms = self._clock.now_ms()
            if not metadata.executed:
                await self._within(connection.skip_body(), self._rejection_limit_ms())
                raise NotExecutedError(status=head.status, culprit=metadata.culprit)
            is_stream = route.kind is RequestKind.STREAM and head.status < 300
            if is_stream:
                await self._pass_stream(target, connection, head)
            else:
                body = await self._whole_answer(target, connection, head)
        except BaseException:
            connection.abort()
            raise
        target.connections.release(connection)
        if not is_stream:
            await self._pass_whole(head, body)

    def _may_use_kept_connection(self, target):
        """Return whether the request may be sent on a connection that carried others.

        A body that arrives there may be in doubt, and is then replaced by that of
        another send. An event of a stream never is.
        """
        route = self._route
        # The answer to a request without an id cannot be told from earlier ones.
        if not route.repeatable or not self._call.request_id:
            return False
        if route.kind is RequestKind.STREAM:
            return True
        if self._needs_new_connection or not self._has_another:
            return False
        return not target.quotes_answers(now_ms=self._clock.now_ms())

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

    async def _head(self, target, connection):
        """Return the head and the metadata of the answer to this request."""
        while True:
            head = await self._piece(connection, connection.head)
            metadata = self._gateway.codec.read_answer(head)
            self._record_signals(target, metadata)
            self._record_limit(target, head, metadata)
            origin = answer_origin(
                answer_id=metadata.request_id,
                request_id=self._call.request_id,
                requests_count=connection.requests_count,
            )
            if origin is AnswerOrigin.UNKNOWN:
                self._check_unnamed(connection, head, metadata)
            if origin is not AnswerOrigin.EARLIER:
                if not metadata.request_id:
                    # A late copy of this answer could not be told from the next one.
                    connection.close_after_answer()
                self._record_load(target, metadata)
                return head, metadata
            # A second, late answer to an earlier request on this connection.
            log.warn(
                "answer to another request skipped",
                extra={
                    "request": self._call.request_id,
                    "got": metadata.request_id,
                },
            )
            await self._within(connection.skip_body(), self._left_ms())

    def _check_unnamed(self, connection, head, metadata):
        """Check an answer that may be the one to an earlier request.

        Raises:
            MalformedAnswerError: It is not a rejection. Only repeatable requests are
                sent on kept connections, and those may run after a false rejection.
        """
        answer_doubts.record(
            Doubt.UNNAMED,
            connection,
            request=self._call.request_id,
            status=head.status,
        )
        if metadata.executed:
            raise MalformedAnswerError("the answer names no request")

    def _check_body(self, target, connection, body):
        """Check that a whole body holds no part of another answer.

        Raises:
            MalformedAnswerError: It does.
            DoubtfulAnswerError: It may, or it quotes one.
        """
        if has_own_head(
            body,
            id_field=self._gateway.codec.request_id_field,
            request_id=self._call.request_id,
        ):
            raise self._joined_error(connection)
        if not may_have_joined_body(body):
            return
        # The next requests use new connections, so that it would only stay idle.
        connection.close_after_answer()
        if target.record_quote(now_ms=self._clock.now_ms()):
            log.info(
                "target quotes answers; its requests use new connections",
                extra={
                    "request": self._call.request_id,
                    "target": target.listing.name,
                },
            )
        if not connection.is_first_answer:
            answer_doubts.record(
                Doubt.HEAD_IN_BODY, connection, request=self._call.request_id
            )
            raise DoubtfulAnswerError("a head stands in the body")

    def _check_event(self, connection, event):
        """Check that an event holds no part of another answer.

        Raises:
            MalformedAnswerError: It does.
        """
        if has_joined_event(event):
            raise self._joined_error(connection)

    def _joined_error(self, connection):
        answer_doubts.record(Doubt.JOINED, connection, request=self._call.request_id)
        return MalformedAnswerError("another answer begins inside the body")

    async def _whole_body(self, connection):
        parts = []
        try:
            while data := await self._piece(connection, connection.body):
                parts.append(data)
            return b"".join(parts)
        finally:
            parts.clear()  # An error would keep them until the next collection.

    async def _whole_answer(self, target, connection, head):
        """Return the body of the answer, which the caller is to get.

        Raises:
            FailedAnswerError: It is an error, and another send may do better.
        """
        body = await self._whole_body(connection)
        self._check_body(target, connection, body)
        self._record_first_answer(target)
        if shows_run(head.status):
            self._record_run()
        if head.status >= FIRST_ERROR_STATUS:
            target.record_error_answer()
            if self._may_repeat() or not self._is_alone():
                raise FailedAnswerError(head=head, body=body)
        if self._progress.started:
            # A second head in the middle of the answer would be no valid answer.
            raise FailedAnswerError(head=head, body=body)
        self._on_progress()
        self._progress.is_complete = True
        return body

    async def _pass_whole(self, head, body):
        # The target has done its part, and the caller may read slowly.
        self._on_answered()
        headers = self._gateway.codec.answer_headers(head)
        await self._answer.send_whole(status=head.status, headers=headers, body=body)

    async def _pass_stream(self, target, connection, head):
        splitter = EventSplitter()
        connection.lift_body_limit()
        while True:
            self._check_continues(head)
            data = await self._piece(connection, connection.body)
            # Another send may have begun the stream meanwhile.
            self._check_continues(head)
            if not data:
                break
            if not self.has_data:
                self._record_first_answer(target)
            try:
                events = splitter.feed(data)
            except EventTooLongError as error:
                raise MalformedAnswerError(str(error)) from error
            for event, _ in events:
                self._check_event(connection, event)
            await self._pass_events(connection, head, events)
            if events:
                # Time spent on a caller that reads slowly is no silence of the target.
                self._progressed_ms = self._clock.now_ms()
            self._check_pace(target)
        if splitter.pending_bytes:
            raise MalformedAnswerError("the stream ended inside an event")
        if connection.ends_answer and not self.has_data:
            # A target that crashes before its first event ends its connection too.
            raise ConnectionLostError("the connection ended before the first event")
        self._record_run()
        self._on_progress(ends=True)
        self._progress.is_complete = True
        self._on_answered()
        await self._begin_stream(head)
        await self._answer.finish()

    async def _piece(self, connection, read):
        """Return what ``read`` returns: the next part of the answer.

        While a group is stalled, a request keeps its slot there: the group's other
        ranks are stalled too, and another send would only start from the beginning.

        Raises:
            SilentTargetError: Nothing arrived until the request's end, or until the
                caller of a stream leaves of which the target sent no head.
        """
        if self._route.kind is RequestKind.STREAM:
            # Bytes that complete no event are no progress: a stalled target may send
            # one now and then.
            gap_ms = stream_gap_ms(self._route)
            elapsed_ms = self._clock.now_ms() - self._progressed_ms
            limits_ms = [
                share * gap_ms - elapsed_ms
                for share in (SILENCE_SHARE, LAST_SILENCE_SHARE)
            ]
        else:
            end_ms = self._admitted.end_ms
            until_ms = self._sent_ms + FIRST_SEND_TIME_SHARE * (end_ms - self._sent_ms)
            limits_ms = [until_ms - self._clock.now_ms()]
        waited_ms = 0.0
        for limit_ms in limits_ms:
            if not (self._route.repeatable and self._has_another):
                break
            try:
                return await self._read(
                    connection, read, min(self._left_ms(), limit_ms - waited_ms)
                )
            except SilentTargetError as error:
                waited_ms = limit_ms
                if limit_ms == limits_ms[-1] or self._has_slot_elsewhere():
                    self._on_stuck(error)
        rest_ms = self._left_ms()
        is_begun = self.has_head or self._progress.started
        if self._route.kind is RequestKind.STREAM and not is_begun:
            rest_ms = min(rest_ms, limits_ms[-1] - waited_ms)
        return await self._read(connection, read, rest_ms)

    async def _read(self, connection, read, limit_ms):
        """Return what ``read`` returns, also if it arrived but was not read in time.

        After a pause of this process the time limit ends before what has arrived
        meanwhile is read.

        Raises:
            SilentTargetError: Nothing arrived within ``limit_ms``.
        """
        try:
            return await self._within(read(), limit_ms)
        except SilentTargetError:
            if limit_ms <= 0 or not connection.has_arrived:
                raise
            return await read()

    def _check_pace(self, target):
        """Report that the stream should go on at another rank, if it should."""
        pace = self._gateway.target_pool.relative_pace(target)
        if pace < SLOW_RANK_PACE or not (self._route.repeatable and self._has_another):
            return
        if self._has_slot_elsewhere():
            self._on_stuck(
                SlowTargetError(f"the rank is {pace:.1f} times slower than its group")
            )

    async def _begin_stream(self, head):
        """Pass on the head, unless that of an earlier send was passed on.

        A stream that fails before its first event can still be refused.
        """
        if self._progress.started:
            return
        self._progress.started = True
        self._progress.head = head
        headers = self._gateway.codec.answer_headers(head)
        await self._answer.start(status=head.status, headers=headers)

    def _check_continues(self, head):
        """Check that an answer can go on with the stream that the caller has in part.

        Raises:
            MalformedAnswerError: It has another status or type.
        """
        begun = self._progress.head
        if begun is None or _answer_kind(head) == _answer_kind(begun):
            return
        raise MalformedAnswerError(
            "an answer of status {} and type {!r} does not go on with a stream".format(
                *_answer_kind(head)
            )
        )

    async def _pass_events(self, connection, head, events):
        passed = []
        last_id = self._progress.last_event_id
        for event, event_id in events:
            if event_id is not None:
                if last_id is not None and event_id <= last_id:
                    continue
                if last_id is not None and event_id > last_id + 1:
                    raise MalformedAnswerError(
                        f"missing events: got {event_id} after {last_id}"
                    )
                last_id = event_id
            passed.append(event)
        if passed:
            self._on_progress()
            self._progress.last_event_id = last_id
            await self._begin_stream(head)
            self._answer.source = connection
            await self._answer.write(b"".join(passed))

    async def _within(self, coroutine, limit_ms):
        async with _TimeLimit(limit_ms):
            return await coroutine

    def _rejection_limit_ms(self):
        """Return how long to wait for the body of a rejection, in milliseconds."""
        if self._route.repeatable:
            return SHORTEST_SEND_MS
        return max(SHORTEST_SEND_MS, min(REJECTION_LIMIT_MS, self._left_ms()))

    def _may_repeat(self):
        """Return whether the request may run once more although it has run."""
        can_repeat = self._route.repeatable and self._has_another
        return can_repeat and self._left_ms() > SHORTEST_SEND_MS

    def _record_first_answer(self, target):
        self.has_data = True
        now_ms = self._clock.now_ms()
        self._admission_queue.first_answer_time.record(now_ms - self._sent_ms)
        target.answered_send_ms = max(target.answered_send_ms, self._sent_ms)
        self._gateway.suspects.record_answer(
            target=target.incarnation, sent_ms=self._sent_ms
        )

    def _record_run(self):
        self._gateway.suspects.record_run(
            self._admitted.content, now_ms=self._clock.now_ms()
        )

    def _record_signals(self, target, metadata):
        signals, now_ms = self._gateway.target_pool.signals, self._clock.now_ms()
        details = {"request": self._call.request_id, "target": target.listing.name}
        if metadata.leaving and signals.record_leaving(
            target.incarnation, now_ms=now_ms
        ):
            self._gateway.metrics.count("leaving_targets")
            log.info("target announced that it leaves", extra=details)
        if metadata.pause_ms is not None and signals.record_pause(
            target.incarnation, pause_ms=metadata.pause_ms, now_ms=now_ms
        ):
            self._gateway.metrics.count("paused_targets")
            details["pause_ms"] = round(metadata.pause_ms)
            log.info("target asked for a pause", extra=details)

    def _record_limit(self, target, head, metadata):
        """Record the limit that an answer names, or that a run ended without one."""
        if metadata.has_unreadable_limit:
            return
        has_ended = metadata.executed and shows_run(head.status)
        if metadata.limit_per_second is None and not has_ended:
            return
        is_changed = self._gateway.target_pool.permits.limits.record(
            target.incarnation,
            per_second=metadata.limit_per_second,
            now_ms=self._clock.now_ms(),
        )
        if is_changed:
            log.info(
                "target changed its limit",
                extra={
                    "request": self._call.request_id,
                    "target": target.listing.name,
                    "per_second": metadata.limit_per_second,
                },
            )

    def _record_load(self, target, metadata):
        if metadata.load is not None:
            running, waiting = metadata.load
            target.reported_load = ReportedLoad(
                running_count=running,
                waiting_count=waiting,
                at_ms=self._clock.now_ms(),
            )


def _answer_kind(head):
    """Return the status and the media type of an answer."""
    media_type, _, _ = (head.get(b"content-type") or "").partition(";")
    return head.status, media_type.strip().lower()


def stream_gap_ms(route):
    """Return the pause in milliseconds after which callers give up on a stream."""
    return max(
        STREAM_GAP_MS,
        LATENCY_GOALS_IN_STREAM_GAP_COUNT * route.latency_goal_ms,
        GAP_GOALS_IN_STREAM_GAP_COUNT * route.gap_goal_ms,
    )


class _TimeLimit:
    """Context manager that raises ``SilentTargetError`` after a time limit."""

    def __init__(self, limit_ms):
        self._timeout = asyncio.timeout(max(0.0, limit_ms) / MS_PER_SECOND)

    async def __aenter__(self):
        await self._timeout.__aenter__()

    async def __aexit__(self, kind, error, trace):
        try:
            await self._timeout.__aexit__(kind, error, trace)
        except TimeoutError as timeout:
            raise SilentTargetError(
                "nothing received from the target in time"
            ) from timeout
