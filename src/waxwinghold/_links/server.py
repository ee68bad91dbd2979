"""The listening side of links: one socket, and one task for each connection."""

import asyncio

import logbook
import zmq
import zmq.asyncio

from .._messages import (
    FRAME_LIMIT_BYTES,
    Heartbeat,
    Hello,
    Leaving,
    MalformedFrameError,
    decode,
    encode,
)
from .curve import secure_server

log = logbook.Logger("links")

SEND_LIMIT_COUNT = 100_000
INBOX_LIMIT_COUNT = 10_000
INBOX_LIMIT_BYTES = 16 * 1024 * 1024  # Of one connection; four of the longest frames.
HANDSHAKE_LIMIT_MS = 5000


class Connection:
    """The listening side's state of one peer's connection.

    Args:
        server: The ``LinkServer`` that accepted it.
        routing_id: Identifies the connection on the server's socket.
        key: The ``KnownKey`` that authenticated the peer.
    """

    def __init__(self, *, server, routing_id, key):
        self._server = server
        self.routing_id = routing_id
        self.key = key
        self.hello = None
        self._inbox = asyncio.Queue(INBOX_LIMIT_COUNT)
        self._inbox_bytes = 0
        self.sequence = 0
        self._unsent = []

    @property
    def name(self):
        """The peer's name, or an empty string before its ``Hello``."""
        return self.hello.name if self.hello else ""

    def send(self, message):
        """Send ``message``; drop it if the peer has disconnected.

        Messages sent within one iteration of the event loop go out as one
        multipart message.
        """
        if not self._unsent:
            asyncio.get_running_loop().call_soon(self._flush)
        self._unsent.append(encode(message))

    def deliver(self, frame):
        """Queue a frame for ``run``; return whether there was room for it."""
        size = self._inbox_bytes + len(frame)
        if self._inbox.full() or size > INBOX_LIMIT_BYTES:
            return False
        self._inbox_bytes = size
        self._inbox.put_nowait(frame)
        return True

    def _flush(self):
        frames, self._unsent = self._unsent, []
        self._server.send(self.routing_id, frames)

    async def run(self):
        """Handle the peer's messages in order; return once it is silent too long."""
        limit_s = self._server.silence_limit_ms / 1000
        while True:
            try:
                async with asyncio.timeout(limit_s):
                    frame = await self._inbox.get()
            except TimeoutError:
                return
            self._inbox_bytes -= len(frame)
            try:
                message = decode(frame)
            except MalformedFrameError as error:
                self._server.malformed_count += 1
                log.warn(
                    'link: malformed frame from "{}" dropped: {}', self.name, error
                )
                continue
            await self._handle_message(message)

    async def _handle_message(self, message):
        if isinstance(message, Hello):
            self._handle_hello(message)
        elif self.hello is None:
            # This side has restarted since the peer sent its Hello. Sending ours
            # makes the peer reconnect and send another.
            self.send(self._server.presence.hello())
        elif isinstance(message, Heartbeat):
            self._answer_heartbeat(message)
        elif isinstance(message, Leaving):
            self._server.handler.on_leaving(self, message)
        else:
            await self._server.handler.on_message(self, message)

    def _handle_hello(self, hello):
        if hello.role != self.key.role:
            self._server.refused_count += 1
            log.warn(
                'link: Hello of "{}" dropped: its key is not for role "{}"',
                hello.name,
                hello.role,
            )
            return
        self.hello = hello
        self.send(self._server.presence.hello())
        self._server.handler.on_connected(self)

    def _answer_heartbeat(self, heartbeat):
        self.sequence += 1
        answer = self._server.presence.heartbeat(
            sequence=self.sequence, echo_sequence=heartbeat.sequence
        )
        self.send(answer)
        self._server.handler.on_heartbeat(self, heartbeat)


class LinkServer:
    """Accepts connections from peers with known keys.

    Args:
        context: A ``zmq.asyncio.Context`` with a running authenticator.
        settings: This process's settings.
        presence: Creates this process's ``Hello`` and ``Heartbeat`` messages.
        handler: Its methods ``on_connected``, ``on_heartbeat``,
            ``on_leaving``, ``on_message`` and ``on_disconnected`` are called
            with the ``Connection`` as the first argument.
    """

    def __init__(self, *, clock, context, settings, key_ring, presence, handler):
        self.clock = clock
        self.presence = presence
        self.handler = handler
        self.silence_limit_ms = settings.silence_limit_ms
        self.malformed_count = 0
        self.refused_count = 0
        self.connections = {}
        self._key_ring = key_ring
        self._tasks = set()
        self._socket = context.socket(zmq.ROUTER)
        self._socket.linger = 0
        self._socket.sndhwm = SEND_LIMIT_COUNT
        self._socket.router_mandatory = True
        self._socket.maxmsgsize = FRAME_LIMIT_BYTES
        self._socket.handshake_ivl = HANDSHAKE_LIMIT_MS
        secure_server(self._socket, settings)
        self._socket.bind(settings.link_address)

    def send(self, routing_id, frames):
        """Send ``frames`` to one connection; drop them if the peer has disconnected."""
        if self._socket.closed:
            return
        future = self._socket.send_multipart((routing_id, *frames))
        future.add_done_callback(_consume_error)

    def broadcast(self, message):
        """Send ``message`` to every connection whose peer has sent its ``Hello``."""
        for connection in list(self.connections.values()):
            if connection.hello is not None:
                connection.send(message)

    async def run(self):
        """Receive frames and queue each for the task of its connection."""
        try:
            while True:
                frames = await self._socket.recv_multipart(copy=False)
                if len(frames) != 2:
                    self.malformed_count += 1
                    continue
                self._deliver(*frames)
        finally:
            for task in list(self._tasks):
                task.cancel()
            self._socket.close()

    def _deliver(self, routing_frame, body):
        routing_id = routing_frame.bytes
        connection = self.connections.get(routing_id)
        if connection is None:
            connection = self._open(routing_id, body)
        if connection is None:
            return
        if not connection.deliver(body.bytes):
            # The peer sends faster than its messages are handled. The frame is
            # dropped: the sender's request fails by timeout.
            self.malformed_count += 1

    def _open(self, routing_id, body):
        # Generated routing ids begin with a zero byte. One that the peer chose
        # could be the id of another connection.
        if not routing_id.startswith(b"\0"):
            self.refused_count += 1
            return None
        key = self._key_ring.find_key(body.get("User-Id") or "")
        if key is None:
            self.refused_count += 1
            return None
        connection = Connection(server=self, routing_id=routing_id, key=key)
        self.connections[routing_id] = connection
        task = asyncio.create_task(self._serve(connection))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return connection

    async def _serve(self, connection):
        try:
            await connection.run()
        except Exception:
            log.exception('link: connection from "{}" failed', connection.name)
        finally:
            self.connections.pop(connection.routing_id, None)
            if connection.hello is not None:
                self.handler.on_disconnected(connection)


def _consume_error(future):
    """Retrieve the error of a failed send, so that asyncio does not log it."""
    if not future.cancelled():
        future.exception()
