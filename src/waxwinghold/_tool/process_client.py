"""Asks running processes over links."""

import asyncio

import zmq.asyncio

from .._clock import MS_PER_SECOND, Clock
from .._errors import WaxwingError
from .._keys import random_id
from .._links import Link, Presence


class UnreachableError(WaxwingError):
    """A process that gave no answer in time."""

    code = "unreachable"
    exit_status = 6

    def __init__(self, *, name, limit_ms):
        super().__init__(f'process "{name}" gave no answer within {limit_ms} ms')


class ProcessClient:
    """Sends one query to a process and waits for its reply.

    Args:
        settings: The ``OperatorSettings``.
    """

    def __init__(self, *, settings):
        self._settings = settings
        self._clock = Clock()
        self._presence = Presence(
            clock=self._clock,
            name=settings.name,
            role="operator",
            data_centre="",
            incarnation=random_id(),
            sheet_state=lambda: (0, ""),
            is_leaving=lambda: False,
        )

    async def query(self, process, query):
        """Return the reply of ``process`` to ``query``.

        Args:
            process: The ``KnownProcess`` to ask.
            query: A message with a ``query_id``.

        Raises:
            UnreachableError: No reply came in time.
        """
        context = zmq.asyncio.Context()
        exchange = _Exchange(query=query)
        link = Link(
            clock=self._clock,
            context=context,
            settings=self._settings,
            presence=self._presence,
            handler=exchange,
            name=process.name,
            address=process.address,
            public_key=process.public_key,
        )
        limit_ms = self._settings.answer_limit_ms
        task = asyncio.create_task(link.run())
        try:
            async with asyncio.timeout(limit_ms / MS_PER_SECOND):
                return await exchange.reply
        except TimeoutError as error:
            raise UnreachableError(name=process.name, limit_ms=limit_ms) from error
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            context.destroy(linger=0)

    async def query_all(self, query_type, **fields):
        """Ask every known process.

        Args:
            query_type: The class of the query.
            fields: The query's fields but for ``query_id``.

        Returns:
            The reply of each process by name, or its ``UnreachableError``.
        """
        processes = self._settings.processes
        replies = await asyncio.gather(
            *(
                self.query(process, query_type(query_id=random_id(), **fields))
                for process in processes
            ),
            return_exceptions=True,
        )
        for reply in replies:
            if isinstance(reply, BaseException) and not isinstance(
                reply, UnreachableError
            ):
                raise reply
        return {process.name: reply for process, reply in zip(processes, replies)}


class _Exchange:
    """A link's handler that sends the query and keeps the reply."""

    def __init__(self, *, query):
        self._query = query
        self.reply = asyncio.get_running_loop().create_future()

    def on_up(self, link):
        link.send(self._query)

    def on_message(self, link, message):
        answers = getattr(message, "query_id", None) == self._query.query_id
        if answers and not self.reply.done():
            self.reply.set_result(message)

    def on_down(self, link):
        """Wait: the link opens another connection, and the query is sent again."""

    def on_heartbeat(self, link, heartbeat):
        """Ignore the heartbeat: the tool asks once and ends."""

    def on_leaving(self, link, message):
        """Ignore the departure: a leaving process still answers."""
