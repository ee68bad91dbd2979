"""A streamed answer that a caller comes back for, through any entry."""

from .._errors import RequestError, TargetUnreachableError, UnknownRequestError
from .exchange import Exchange
from .following import StreamFollower

FOLLOW_LIMIT_MS = 10 * 60 * 1000


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
        self._offset = offset
        self._exchange = Exchange(request_id=token.request_id)
        self.seat = None

    def token(self):
        """Return the token under which the caller can come back again."""
        return self._process.token_signer.sign(self._token)

    async def stream(self):
        """Yield tuples of events from the offset on.

        Raises:
            RequestError: The target is away, was replaced, or has forgotten.
        """
        self.seat = await self._process.fleet.reach(self._token.target)
        self._check_home()
        follower = StreamFollower(
            clock=self._process.clock,
            exchange=self._exchange,
            seat=self.seat,
            customer=self._token.customer,
            place=self._offset,
            deadline_ms=self._process.clock.now_ms() + FOLLOW_LIMIT_MS,
        )
        self.seat.add(self._exchange)
        try:
            follower.resume()
            async for batch in follower.batches():
                yield batch
        except RequestError as error:
            if error.code == UnknownRequestError.code:
                raise UnknownRequestError(str(error)) from error
            raise
        finally:
            self.seat.remove(self._exchange)

    def abandon(self):
        """Let go; the agent keeps the answer for a while."""

    def _check_home(self):
        if self.seat is None or not self.seat.link.up:
            raise TargetUnreachableError(
                f'target "{self._token.target}", which holds the answer, '
                "is out of reach"
            )
        if self.seat.link.incarnation != self._token.incarnation:
            raise UnknownRequestError("the target was replaced; the request is lost")
