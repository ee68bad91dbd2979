"""A client that queries running processes over links."""

import asyncio

import zmq.asyncio

from .._clock import MS_PER_SECOND, Clock
from .._errors import WaxwingError
from .._keys import random_id
from .._links import Link, Presence


class UnreachableError(WaxwingError):
    """A process that did not answer in time."""

    code = "unreachable"
    exit_status = 6

    def __init__(self, *, name, limit_ms):
        super().__init__(f'process "{name}" did not answer within {limit_ms} ms')


class ProcessClient:
    """Sends queries and orders to processes and waits for their replies.

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
        """Send ``query`` to ``process`` and return the reply.

        Args:
            process: The ``KnownProcess`` to query.
            query: A message with a ``query_id``.

        Raises:
            UnreachableError: There was no reply within ``answer_limit_ms``.
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
        """Send a query to every process in the settings.

        Args:
            query_type: The class of the query.
            fields: The fields of the query, without ``query_id``.

        Returns:
            A dictionary from the name of each process to its reply or to its
            ``UnreachableError``.
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
    """A link handler that sends one query and stores the reply."""

    def __init__(self, *, query):
        self._query = query
        self.reply = asyncio.get_running_loop().create_future()

    def on_up(self, link):
        link.send(self._query)

    def on_message(self, link, message):
        is_reply = getattr(message, "query_id", None) == self._query.query_id
        if is_reply and not self.reply.done():
            self.reply.set_result(message)

    def on_down(self, link):
        """Do nothing: the link reconnects, and ``on_up`` sends the query again."""

    def on_heartbeat(self, link, heartbeat):
        """Do nothing: the tool only needs the reply."""

    def on_leaving(self, link, message):
        """Do nothing: a draining process still answers."""
