"""Follows the events of a streamed answer at one target."""

from .._errors import DeadlineError
from .._links import LinkDownError
from .._messages import Chunk, End, Refused, Resume
from .._verdict import Ran
from .exchange import LinkEvent
from .outcomes import AttemptError, rejection, unreachable

RECONNECT_LIMIT_MS = 600
STALL_LIMIT_MS = 5000


class StreamFollower:
    """Brings a stream's events in order, each once, whatever the links do.

    Args:
        exchange: Receives the target's messages.
        target: The target.
        customer: Whose request it is.
        next_offset: The first event that is wanted.
        deadline_ms: Monotonic time at which following ends.
    """

    def __init__(self, *, clock, exchange, target, customer, next_offset, deadline_ms):
        self._clock = clock
        self._exchange = exchange
        self._target = target
        self._customer = customer
        self._deadline_ms = deadline_ms
        self._incarnation = target.link.incarnation
        self._heard_ms = clock.now_ms()
        self.next_offset = next_offset

    def resume(self):
        """Ask the target for the events from the current place on.

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
            raise self._lost() from error

    async def batches(self):
        """Yield tuples of events up to the end of the answer.

        Raises:
            AttemptError: The target refused, stalled or was lost.
            DeadlineError: The answer did not end in time.
        """
        while True:
            message = await self._next()
            if message is None:
                continue
            if isinstance(message, Chunk):
                events = self._fresh(message)
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

    def _fresh(self, chunk):
        """Return the events of ``chunk`` that are new; ask again for a gap."""
        if chunk.offset > self.next_offset:
            self.resume()
            return ()
        events = chunk.events[self.next_offset - chunk.offset :]
        self.next_offset += len(events)
        return events

    async def _next(self):
        """Return the next message, or ``None`` after a while without one."""
        limit_ms = min(STALL_LIMIT_MS, self._left_ms())
        try:
            message = await self._exchange.next(limit_ms=limit_ms)
        except TimeoutError:
            self._check_progress()
            return None
        self._heard_ms = self._clock.now_ms()
        return message

    def _check_progress(self):
        if self._left_ms() <= 0:
            self._cancel()
            raise DeadlineError(
                "the deadline passed before the answer ended", ran=Ran.MAY_HAVE_RUN
            )
        if self._clock.now_ms() - self._heard_ms < STALL_LIMIT_MS:
            return
        if not self._target.candidate.healthy:
            self._cancel()
            raise AttemptError(
                code="target_failed",
                reason=f'target "{self._target.name}" has stalled',
                ran=Ran.MAY_HAVE_RUN,
            )
        # The request itself may have been lost: a target that never got it
        # says so, and one that works on it goes on.
        self.resume()

    async def _resume_over_new_link(self):
        limit_ms = min(RECONNECT_LIMIT_MS, self._left_ms())
        if not await self._exchange.wait_for_link(self._target.link, limit_ms=limit_ms):
            raise self._lost()
        if self._target.link.incarnation != self._incarnation:
            raise self._lost()
        self.resume()

    def _cancel(self):
        self._target.cancel(
            request_id=self._exchange.request_id, customer=self._customer
        )

    def _lost(self):
        return unreachable(f'the link to target "{self._target.name}" went down')

    def _left_ms(self):
        return self._deadline_ms - self._clock.now_ms()
