"""The state of a request at its agent: progress, events and followers."""

import enum

from .._messages import Answer, Chunk, End, Refused, Started


class Phase(enum.Enum):
    """The progress of a request at its agent."""

    WAITING = "waiting"
    STARTED = "started"
    ENDED = "ended"


class Follower:
    """A connection that receives the answer under its own attempt number."""

    def __init__(self, *, connection, attempt):
        self.connection = connection
        self.attempt = attempt


class Work:
    """A request that this agent queues, runs and keeps for callers that resume.

    Args:
        submit: The ``Submit`` message of the request.
        key: The once-only key that the request carries, or ``None``.
        arrived_ms: Time at which the request arrived.

    Attributes:
        events: The events of the answer so far.
        detached_ms: Time since which no connection follows the request, or
            ``None``.
    """

    def __init__(self, *, submit, key, arrived_ms):
        self.submit = submit
        self.key = key
        self.arrived_ms = arrived_ms
        self.phase = Phase.WAITING
        self.events = list(submit.given)
        self.task = None
        self.ended_ms = None
        self.detached_ms = None
        self.cancel_error = None
        self._make_result = None
        self._followers = {}

    @property
    def request_id(self):
        """The request's id."""
        return self.submit.request_id

    def follow(self, connection, *, attempt, offset=0):
        """Send the answer to ``connection``, from event ``offset`` on."""
        self.detached_ms = None
        follower = Follower(connection=connection, attempt=attempt)
        self._followers[connection.routing_id] = follower
        if self.submit.streamed and len(self.events) > offset:
            self._send_events(follower, offset, self.events[offset:])
        if self._make_result is not None:
            connection.send(self._make_result(follower.attempt))

    def unfollow(self, connection, *, now_ms):
        """Stop sending to ``connection``."""
        if self._followers.pop(connection.routing_id, None) is None:
            return
        if not self._followers and self.phase != Phase.ENDED:
            self.detached_ms = now_ms

    def start(self):
        """Mark that the target is about to get the request."""
        self.phase = Phase.STARTED
        for follower in self._followers.values():
            message = Started(request_id=self.request_id, attempt=follower.attempt)
            follower.connection.send(message)

    def add_events(self, events):
        """Append events and send them to the followers of a streamed answer."""
        offset = len(self.events)
        self.events.extend(events)
        if not self.submit.streamed:
            return
        for follower in self._followers.values():
            self._send_events(follower, offset, events)

    def end_stream(self, *, now_ms):
        """End a streamed answer after the events that it has so far."""
        length = len(self.events)
        self._end(
            lambda attempt: End(
                request_id=self.request_id, attempt=attempt, length=length
            ),
            now_ms=now_ms,
        )

    def end_with_answer(self, answer, *, now_ms):
        """End the request with a whole answer."""
        self._end(
            lambda attempt: Answer(
                request_id=self.request_id,
                attempt=attempt,
                status=answer.status,
                content_type=answer.content_type,
                body=answer.body,
            ),
            now_ms=now_ms,
        )

    def end_with_verdict(self, verdict, *, now_ms):
        """End the request without an answer."""
        self._end(
            lambda attempt: Refused(
                request_id=self.request_id, attempt=attempt, verdict=verdict
            ),
            now_ms=now_ms,
        )

    def drop_answer(self):
        """Free the answer but keep the record, for late copies of the request."""
        self.events = []
        self._make_result = None
        self._followers = {}

    def _end(self, make_result, *, now_ms):
        """End the request.

        Args:
            make_result: Returns the last message for an attempt number.
        """
        if self.phase == Phase.ENDED:
            return
        self.phase = Phase.ENDED
        self.ended_ms = now_ms
        self._make_result = make_result
        for follower in self._followers.values():
            follower.connection.send(make_result(follower.attempt))

    def _send_events(self, follower, offset, events):
        message = Chunk(
            request_id=self.request_id,
            attempt=follower.attempt,
            offset=offset,
            events=tuple(events),
        )
        follower.connection.send(message)
