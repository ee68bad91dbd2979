"""Receives the events of a streamed answer from one target."""

from .._errors import DeadlineError
from .._links import LinkDownError
from .._messages import Chunk, End, Refused, Resume
from .._verdict import Ran
from .exchange import LinkEvent
from .outcomes import AttemptError, rejection, unreachable

RECONNECT_LIMIT_MS = 600
STALL_LIMIT_MS = 5000


class StreamFollower:
    """Yields a stream's events in order and each once, across lost connections.

    Args:
        exchange: Receives the target's messages.
        target: The ``TrackedTarget`` that runs the request.
        customer: Name of the customer that sent the request.
        next_offset: Offset of the first event to return.
        deadline_ms: Monotonic time at which to stop, in milliseconds.
    """

    def __init__(self, *, clock, exchange, target, customer, next_offset, deadline_ms):
        self._clock = clock
        self._exchange = exchange
        self._target = target
        self._customer = customer
        self._deadline_ms = deadline_ms
        self._incarnation = target.link.incarnation
        self._last_message_ms = clock.now_ms()
        self.next_offset = next_offset

    def resume(self):
        """Ask the target for the events from ``next_offset`` on.

        Raises:
            AttemptError: The link is down.
        """
        message = Resume(
            request_id=self._exchange.request_id,
            attempt=self._exchange.next_attempt(),
            customer=self._customer,
            offset=self.next_offset,
        )
        try:
            self._target.link.send(message)
        except LinkDownError as error:
            raise self._link_lost_error() from error

    async def batches(self):
        """Yield tuples of events until the answer ends.

        Raises:
            AttemptError: The target rejected the request, stalled or was lost.
            DeadlineError: The answer did not end in time.
        """
        while True:
            message = await self._next_message()
            if message is None:
                continue
            if isinstance(message, Chunk):
                events = self._new_events(message)
                if events:
                    yield events
            elif isinstance(message, End):
                if message.length == self.next_offset:
                    return
                self.resume()
            elif isinstance(message, Refused):
                raise rejection(message.verdict)
            elif message == LinkEvent.DOWN:
                await self._resume_over_new_link()

    def _new_events(self, chunk):
        """Return the new events of ``chunk``; after a gap, ask for the missing ones."""
        if chunk.offset > self.next_offset:
            self.resume()
            return ()
        events = chunk.events[self.next_offset - chunk.offset :]
        self.next_offset += len(events)
        return events

    async def _next_message(self):
        """Return the next message, or ``None`` if none arrived for a while."""
        limit_ms = min(STALL_LIMIT_MS, self._left_ms())
        try:
            message = await self._exchange.next(limit_ms=limit_ms)
        except TimeoutError:
            self._check_progress()
            return None
        self._last_message_ms = self._clock.now_ms()
        return message

    def _check_progress(self):
        if self._left_ms() <= 0:
            self._cancel()
            raise DeadlineError(
                "the deadline passed before the answer ended", ran=Ran.MAY_HAVE_RUN
            )
        if self._clock.now_ms() - self._last_message_ms < STALL_LIMIT_MS:
            return
        if not self._target.candidate.healthy:
            self._cancel()
            raise AttemptError(
                code="target_failed",
                reason=f'target "{self._target.name}" has stalled',
                ran=Ran.MAY_HAVE_RUN,
            )
        # The request itself may have been lost. A target that never received it
        # answers that it is unknown; one that is running it continues.
        self.resume()

    async def _resume_over_new_link(self):
        limit_ms = min(RECONNECT_LIMIT_MS, self._left_ms())
        if not await self._exchange.wait_for_link(self._target.link, limit_ms=limit_ms):
            raise self._link_lost_error()
        if self._target.link.incarnation != self._incarnation:
            raise self._link_lost_error()
        self.resume()

    def _cancel(self):
        self._target.cancel(
            request_id=self._exchange.request_id, customer=self._customer
        )

    def _link_lost_error(self):
        return unreachable(f'the link to target "{self._target.name}" went down')

    def _left_ms(self):
        return self._deadline_ms - self._clock.now_ms()
