"""A streamed answer that a caller comes back for, through any entry."""

from .._errors import TargetUnreachableError, UnknownRequestError
from .._keys import RequestToken
from .._links import LinkDownError
from .._messages import Chunk, End, Refused, Resume
from .exchange import Exchange, LinkEvent

QUIET_LIMIT_MS = 30_000


class Resumption:
    """Follows a request that an agent already holds.

    Args:
        process: The ``EntryProcess``.
        token: The caller's ``RequestToken``.
        offset: The first event that the caller wants.
    """

    def __init__(self, *, process, token, offset):
        self._process = process
        self._token = token
        self._place = offset
        self._exchange = Exchange(request_id=token.request_id)
        self.seat = process.fleet.seats.get(token.target)

    def token(self):
        """Return the token under which the caller can come back again."""
        token: RequestToken = self._token
        return self._process.mint.sign(token)

    async def stream(self):
        """Yield lists of events from the offset on.

        Raises:
            RequestError: The target is away, was replaced, or has forgotten.
        """
        self._check_home()
        self.seat.add(self._exchange)
        try:
            self._ask()
            while True:
                message = await self._next()
                if isinstance(message, Chunk):
                    if message.offset > self._place:
                        self._ask()
                        continue
                    fresh = message.events[self._place - message.offset :]
                    self._place += len(fresh)
                    if fresh:
                        yield fresh
                elif isinstance(message, End):
                    if message.length <= self._place:
                        return
                    self._ask()
                elif isinstance(message, Refused):
                    raise UnknownRequestError(message.verdict.reason)
                elif message == LinkEvent.DOWN:
                    raise self._away()
        finally:
            self.seat.remove(self._exchange)

    def abandon(self):
        """Let go; the agent keeps the answer for a while."""

    def _check_home(self):
        if self.seat is None or not self.seat.link.up:
            raise self._away()
        if self.seat.link.incarnation != self._token.incarnation:
            raise UnknownRequestError("the target was replaced; the request is lost")

    def _ask(self):
        message = Resume(
            request_id=self._token.request_id,
            attempt=self._exchange.next_attempt(),
            customer=self._token.customer,
            offset=self._place,
        )
        try:
            self.seat.link.send(message)
        except LinkDownError as error:
            raise self._away() from error

    async def _next(self):
        try:
            return await self._exchange.next(limit_ms=QUIET_LIMIT_MS)
        except TimeoutError:
            raise self._away() from None

    def _away(self):
        return TargetUnreachableError(
            f'target "{self._token.target}", which holds the answer, is out of reach'
        )
