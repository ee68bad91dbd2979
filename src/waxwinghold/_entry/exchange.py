"""The messages that a target sends for one request, in order of arrival."""

import asyncio
import enum


class LinkEvent(enum.Enum):
    """A change of the link to the request's target."""

    DOWN = "down"
    UP = "up"


class Exchange:
    """Queues the messages of a request's current attempt.

    Args:
        request_id: Identifies the request.
    """

    def __init__(self, *, request_id):
        self.request_id = request_id
        self.attempt = 0
        self._inbox = asyncio.Queue()

    def next_attempt(self):
        """Start a new attempt and return its number.

        Messages of earlier attempts are dropped from now on.
        """
        self.attempt += 1
        self._inbox = asyncio.Queue()
        return self.attempt

    def deliver(self, message):
        """Queue a message; drop it if it belongs to another attempt."""
        if message.attempt == self.attempt:
            self._inbox.put_nowait(message)

    def queue_link_down(self):
        """Queue the event that the link to the target went down."""
        self._inbox.put_nowait(LinkEvent.DOWN)

    def queue_link_up(self):
        """Queue the event that the link to the target is up again."""
        self._inbox.put_nowait(LinkEvent.UP)

    async def next(self, *, limit_ms):
        """Return the next message or ``LinkEvent``.

        Raises:
            TimeoutError: Nothing arrived within ``limit_ms``.
        """
        async with asyncio.timeout(max(0.0, limit_ms) / 1000):
            return await self._inbox.get()

    async def wait_for_link(self, link, *, limit_ms):
        """Wait for ``link`` to come up and return whether it did within ``limit_ms``.

        Messages that arrive in the meantime are dropped.
        """
        try:
            async with asyncio.timeout(max(0.0, limit_ms) / 1000):
                while not link.up:
                    await self._inbox.get()
        except TimeoutError:
            return link.up
        return True
