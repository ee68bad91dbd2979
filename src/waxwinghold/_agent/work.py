"""One request at its agent: its state, its events, who follows them."""

import enum

from .._messages import Answer, Chunk, End, Refused, Started


class Phase(enum.Enum):
    """How far a request has come at this agent."""

    WAITING = "waiting"
    STARTED = "started"
    ENDED = "ended"


class Follower:
    """A connection that gets the answer, under its own attempt number."""

    def __init__(self, *, connection, attempt):
        self.connection = connection
        self.attempt = attempt


class Work:
    """A request that this agent queues, runs and remembers.

    Args:
        submit: The first message of the request.
        key: The once-only key that it carries, or ``None``.
        streamed: Whether followers get events rather than one answer.
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
        self._result = None
        self._followers = {}

    @property
    def request_id(self):
        """The request's name."""
        return self.submit.request_id

    @property
    def followers_count(self):
        """How many connections follow the request."""
        return len(self._followers)

    def follow(self, connection, *, attempt, offset=0):
        """Let ``connection`` follow the answer from ``offset`` on."""
        self.detached_ms = None
        follower = Follower(connection=connection, attempt=attempt)
        self._followers[connection.routing_id] = follower
        if self.submit.streamed and len(self.events) > offset:
            self._send_events(follower, offset, self.events[offset:])
        if self._result is not None:
            connection.send(self._result(follower.attempt))

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
        """Append events and pass them on."""
        offset = len(self.events)
        self.events.extend(events)
        if not self.submit.streamed:
            return
        for follower in self._followers.values():
            self._send_events(follower, offset, events)

    def end_stream(self, *, now_ms):
        """End a streamed answer at the events that it has."""
        length = len(self.events)
        self._end(
            lambda attempt: End(
                request_id=self.request_id, attempt=attempt, length=length
            ),
            now_ms=now_ms,
        )

    def end_with_answer(self, answer, *, now_ms):
        """End with a whole answer."""
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
        """End without an answer."""
        self._end(
            lambda attempt: Refused(
                request_id=self.request_id, attempt=attempt, verdict=verdict
            ),
            now_ms=now_ms,
        )

    def forget_answer(self):
        """Free the answer; a late copy of the request still finds its record."""
        self.events = []
        self._result = None
        self._followers = {}

    def _end(self, result, *, now_ms):
        if self.phase == Phase.ENDED:
            return
        self.phase = Phase.ENDED
        self.ended_ms = now_ms
        self._result = result
        for follower in self._followers.values():
            follower.connection.send(result(follower.attempt))

    def _send_events(self, follower, offset, events):
        message = Chunk(
            request_id=self.request_id,
            attempt=follower.attempt,
            offset=offset,
            events=tuple(events),
        )
        follower.connection.send(message)
