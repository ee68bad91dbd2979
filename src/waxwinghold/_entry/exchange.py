"""One request in flight: what its target says, in order of arrival."""

import asyncio
import enum


class LinkEvent(enum.Enum):
    """A change of the link that a request depends on."""

    DOWN = "down"
    UP = "up"


class Exchange:
    """Receives the messages of the attempt that a request is on.

    Args:
        request_id: The request's name.
    """

    def __init__(self, *, request_id):
        self.request_id = request_id
        self.attempt = 0
        self._inbox = asyncio.Queue()

    def next_attempt(self):
        """Begin a new attempt: what earlier ones still send is dropped."""
        self.attempt += 1
        self._inbox = asyncio.Queue()
        return self.attempt

    def deliver(self, message):
        """Take in a message; one of another attempt is dropped."""
        if message.attempt == self.attempt:
            self._inbox.put_nowait(message)

    def link_is_down(self):
        """Take in that the link to the target went down."""
        self._inbox.put_nowait(LinkEvent.DOWN)

    def link_is_up(self):
        """Take in that the link to the target is up again."""
        self._inbox.put_nowait(LinkEvent.UP)

    async def next(self, *, limit_ms):
        """Return the next message or ``LinkEvent``.

        Raises:
            TimeoutError: None came within ``limit_ms``.
        """
        async with asyncio.timeout(max(0.0, limit_ms) / 1000):
            return await self._inbox.get()

    async def wait_for_link(self, link, *, limit_ms):
        """Return whether ``link`` is up within ``limit_ms``; drop other messages."""
        try:
            async with asyncio.timeout(max(0.0, limit_ms) / 1000):
                while not link.up:
                    await self._inbox.get()
        except TimeoutError:
            return link.up
        return True
