"""Ends a process's sockets while other processes live on in the event loop."""

import asyncio
import weakref

from zmq.auth.asyncio import AsyncioAuthenticator

# The clean-up takes a few turns of the event loop, each as long as it may be.
CLEAN_UP_TURNS_COUNT = 20


class DeferredContext:
    """A context whose sockets are closed once cancelled polls have cleaned up.

    The clean-up of a cancelled poll removes its file descriptor from the event
    loop. If the socket was closed before that, the number may by then belong
    to another process's socket, which would never be read again. A process
    that ends by itself takes its event loop with it and is not concerned.

    Args:
        context: The ``zmq.asyncio.Context`` of one process.
    """

    def __init__(self, *, context):
        self._context = context
        self._destroyed = None

    def socket(self, kind):
        """Return a new socket of the process."""
        return self._context.socket(kind)

    def destroy(self, *, linger):
        """Close every socket, a moment from now."""
        self._destroyed = asyncio.create_task(self._destroy(linger))

    async def until_destroyed(self):
        """Close every socket, if that was not begun, and return once it is done."""
        if self._destroyed is None:
            self.destroy(linger=0)
        await self._destroyed

    async def _destroy(self, linger):
        # A process that was killed while it was stopping has not done this.
        _stop_polling(_authenticators[self._context])
        for _ in range(CLEAN_UP_TURNS_COUNT):
            await asyncio.sleep(0)
        self._context.destroy(linger=linger)


_authenticators = weakref.WeakKeyDictionary()
_start = AsyncioAuthenticator.start


def _start_noted(authenticator):
    """Start an authenticator, and remember it by its context."""
    _start(authenticator)
    _authenticators[authenticator.context] = authenticator


def _stop_polling(authenticator):
    """Stop an authenticator; its socket is closed with its context."""
    authenticator._AsyncioAuthenticator__task.cancel()


AsyncioAuthenticator.start = _start_noted
AsyncioAuthenticator.stop = _stop_polling
