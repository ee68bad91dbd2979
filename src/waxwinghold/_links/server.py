"""The listening side of the links: one socket, one task for each connection."""

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
HANDSHAKE_LIMIT_MS = 5000


class Connection:
    """One peer's connection, as the listening side sees it.

    Args:
        server: The listening side.
        routing_id: The socket's name of the connection.
        key: The known key that authenticated it.
    """

    def __init__(self, *, server, routing_id, key):
        self._server = server
        self.routing_id = routing_id
        self.key = key
        self.hello = None
        self.inbox = asyncio.Queue(INBOX_LIMIT_COUNT)
        self.last_seen_ms = server.clock.now_ms()
        self.sequence = 0
        self._unsent = []

    @property
    def name(self):
        """The peer's name, or an empty text before its greeting."""
        return self.hello.name if self.hello else ""

    def send(self, message):
        """Send ``message``; a peer that is gone gets nothing.

        What is sent within one turn of the event loop goes out together.
        """
        if not self._unsent:
            asyncio.get_running_loop().call_soon(self._flush)
        self._unsent.append(encode(message))

    def _flush(self):
        frames, self._unsent = self._unsent, []
        self._server.send(self.routing_id, frames)

    async def run(self):
        """Handle the peer's messages in order until it falls silent."""
        limit_s = self._server.silence_limit_ms / 1000
        while True:
            try:
                async with asyncio.timeout(limit_s):
                    frame = await self.inbox.get()
            except TimeoutError:
                return
            self.last_seen_ms = self._server.clock.now_ms()
            try:
                message = decode(frame)
            except MalformedFrameError as error:
                self._server.malformed_count += 1
                log.warn('link: frame of "{}" dropped: {}', self.name, error)
                continue
            await self._handle(message)

    async def _handle(self, message):
        if isinstance(message, Hello):
            self._greet(message)
        elif self.hello is None:
            # Only a restart of this side explains it: the peer must greet anew.
            self.send(self._server.presence.hello())
        elif isinstance(message, Heartbeat):
            self._answer_heartbeat(message)
        elif isinstance(message, Leaving):
            self._server.handler.on_leaving(self, message)
        else:
            await self._server.handler.on_message(self, message)

    def _greet(self, hello):
        if hello.role != self.key.role:
            self._server.refused_count += 1
            log.warn('link: "{}" claims role "{}"', hello.name, hello.role)
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
    """Accepts connections of known peers.

    Args:
        context: A ``zmq.asyncio.Context`` with a running authenticator.
        settings: This process's settings.
        presence: Makes this process's greetings and heartbeats.
        handler: Gets ``on_connected``, ``on_heartbeat``, ``on_leaving``,
            ``on_message`` and ``on_disconnected``.
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
        """Send ``frames`` to one connection; drop them if the peer is gone."""
        if self._socket.closed:
            return
        future = self._socket.send_multipart((routing_id, *frames))
        future.add_done_callback(_consume_error)

    def broadcast(self, message):
        """Send ``message`` to every greeted connection."""
        for connection in list(self.connections.values()):
            if connection.hello is not None:
                connection.send(message)

    async def run(self):
        """Receive frames and hand each to its connection's task."""
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
        try:
            connection.inbox.put_nowait(body.bytes)
        except asyncio.QueueFull:
            # The peer floods; its own requests fail, and it is told by silence.
            self.malformed_count += 1

    def _open(self, routing_id, body):
        # A name that the peer chose itself could be another connection's.
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
            log.exception('link: connection of "{}" failed', connection.name)
        finally:
            self.connections.pop(connection.routing_id, None)
            if connection.hello is not None:
                self.handler.on_disconnected(connection)


def _consume_error(future):
    if not future.cancelled():
        future.exception()
