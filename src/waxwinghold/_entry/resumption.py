"""Resuming a streamed answer, through any entry."""

from .._errors import RequestError, TargetUnreachableError, UnknownRequestError
from .exchange import Exchange
from .stream_follower import StreamFollower

FOLLOW_LIMIT_MS = 10 * 60 * 1000


class Resumption:
    """Streams the answer to a request that an agent already has.

    Args:
        process: The ``EntryProcess``.
        token: The caller's ``RequestToken``.
        offset: Offset of the first event to send.
    """

    def __init__(self, *, process, token, offset):
        self._process = process
        self._token = token
        self._offset = offset
        self._exchange = Exchange(request_id=token.request_id)
        self.target = None

    def token(self):
        """Return the signed token by which the caller can resume or cancel."""
        return self._process.token_signer.sign(self._token)

    async def stream(self):
        """Yield tuples of events from the offset on.

        Raises:
            RequestError: The target cannot be reached, was replaced, or no longer
                has the answer.
        """
        self.target = await self._process.target_pool.reach(self._token.target)
        self._check_target()
        follower = StreamFollower(
            clock=self._process.clock,
            exchange=self._exchange,
            target=self.target,
            customer=self._token.customer,
            next_offset=self._offset,
            deadline_ms=self._process.clock.now_ms() + FOLLOW_LIMIT_MS,
        )
        self.target.add(self._exchange)
        try:
            follower.resume()
            async for batch in follower.batches():
                yield batch
        except RequestError as error:
            if error.code == UnknownRequestError.code:
                raise UnknownRequestError(str(error)) from error
            raise
        finally:
            self.target.remove(self._exchange)

    def abandon(self):
        """Do nothing: the agent keeps the answer for a while."""

    def _check_target(self):
        if self.target is None or not self.target.link.up:
            raise TargetUnreachableError(
                f'target "{self._token.target}", which has the answer, '
                "cannot be reached"
            )
        if self.target.link.incarnation != self._token.incarnation:
            raise UnknownRequestError("the target was replaced; the request is lost")
