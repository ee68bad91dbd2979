"""Closes one process's sockets while other processes share its event loop."""

import asyncio
import weakref

from zmq.auth.asyncio import AsyncioAuthenticator

# The clean-up takes a few iterations of the event loop.
CLEAN_UP_ITERATIONS_COUNT = 20


class DeferredContext:
    """A context that closes its sockets after cancelled polls have cleaned up.

    The clean-up of a cancelled poll removes its file descriptor from the event
    loop. If the socket is closed before that, another process's socket may
    already have the same descriptor and would never be read again. In
    production each process has its own event loop, so this can't happen there.

    Args:
        context: The ``zmq.asyncio.Context`` of one process.
    """

    def __init__(self, *, context):
        self._context = context
        self._destroyed = None

    def socket(self, kind):
        """Return a new socket of the given ZeroMQ type."""
        return self._context.socket(kind)

    def destroy(self, *, linger):
        """Start to close every socket; ``until_destroyed`` waits for the end."""
        self._destroyed = asyncio.create_task(self._destroy(linger))

    async def until_destroyed(self):
        """Wait until every socket is closed; start to close them if needed."""
        if self._destroyed is None:
            self.destroy(linger=0)
        await self._destroyed

    async def _destroy(self, linger):
        # A process that was killed while it was stopping may not have stopped its
        # authenticator.
        _stop_polling(_authenticators[self._context])
        for _ in range(CLEAN_UP_ITERATIONS_COUNT):
            await asyncio.sleep(0)
        self._context.destroy(linger=linger)


_authenticators = weakref.WeakKeyDictionary()
_start = AsyncioAuthenticator.start


def _start_registered(authenticator):
    """Start an authenticator and register it under its context."""
    _start(authenticator)
    _authenticators[authenticator.context] = authenticator


def _stop_polling(authenticator):
    """Stop an authenticator without closing its socket; its context does that."""
    authenticator._AsyncioAuthenticator__task.cancel()


AsyncioAuthenticator.start = _start_registered
AsyncioAuthenticator.stop = _stop_polling
