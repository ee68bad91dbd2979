"""The connecting side of a link: heartbeats, silence, replacement."""

import asyncio
import contextlib

import logbook
import zmq
import zmq.asyncio
from zmq.utils.monitor import recv_monitor_message

from .._messages import (
    FRAME_LIMIT_BYTES,
    Heartbeat,
    Hello,
    Leaving,
    MalformedFrameError,
    decode,
    encode,
)
from .curve import secure_client
from .errors import LinkDownError

log = logbook.Logger("links")

RECONNECT_INTERVAL_MS = 250
NO_RECONNECT = -1
OFFSETS_KEPT_COUNT = 8
CONNECTION_ENDED_EVENTS = (
    zmq.EVENT_DISCONNECTED
    | zmq.EVENT_CLOSED
    | zmq.EVENT_CONNECT_RETRIED
    | zmq.EVENT_HANDSHAKE_FAILED_AUTH
    | zmq.EVENT_HANDSHAKE_FAILED_PROTOCOL
)


class Link:
    """A link to one process, kept up by a task.

    A connection that is silent past its bound is replaced while it is still
    open: silence condemns the connection, not the host.

    Args:
        name: The peer's name.
        address: ``tcp://IP:PORT``.
        public_key: The peer's CURVE public key in Z85.
        handler: Gets ``on_up``, ``on_down``, ``on_heartbeat``, ``on_leaving``
            and ``on_message``, each with this link first.
    """

    def __init__(
        self, *, clock, context, settings, presence, handler, name, address, public_key
    ):
        self._clock = clock
        self._context = context
        self._settings = settings
        self._presence = presence
        self._handler = handler
        self.name = name
        self.address = address
        self.public_key = public_key
        self.hello = None
        self.heartbeat = None
        self.heartbeat_ms = 0.0
        self.last_seen_ms = 0.0
        self.leaving = False
        self._socket = None
        self._sequence = 0
        self._echoed = 0
        self._offsets_ms = []
        self._beat_now = asyncio.Event()
        self._came_up = asyncio.Event()

    @property
    def up(self):
        """Whether a greeted connection is open."""
        return self._socket is not None

    @property
    def incarnation(self):
        """The peer's incarnation, or an empty text before its first greeting."""
        return self.hello.incarnation if self.hello else ""

    def peer_wall_ms(self):
        """Return the peer's wall clock, never ahead of the truth.

        A heartbeat that took long makes the estimate late, which shortens
        deadlines and never lengthens them.
        """
        return self._clock.wall_ms() + max(self._offsets_ms, default=0)

    def send(self, message):
        """Send ``message`` without waiting.

        Raises:
            LinkDownError: Nothing was sent.
        """
        if self._socket is None:
            raise LinkDownError(name=self.name)
        future = self._socket.send(encode(message))
        future.add_done_callback(_consume_error)

    async def wait_until_up(self, *, limit_ms):
        """Return once the link is up, or after ``limit_ms``."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit_ms / 1000):
                await self._came_up.wait()

    def send_heartbeat(self):
        """Send a heartbeat at once: there is news in it."""
        self._beat_now.set()

    async def run(self):
        """Keep the link up until cancelled."""
        try:
            while True:
                await self._run_connection()
                await self._clock.sleep_ms(RECONNECT_INTERVAL_MS)
        finally:
            self._drop()

    async def _run_connection(self):
        """Open a connection, use it until it fails, and replace it if silent."""
        socket, monitor = self._open()
        watcher = asyncio.create_task(recv_monitor_message(monitor))
        reader = asyncio.create_task(self._read(socket))
        beater = asyncio.create_task(self._beat(socket))
        try:
            done, _ = await asyncio.wait(
                {watcher, reader, beater}, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                if task.exception() is not None:
                    log.warn('link to "{}" failed: {!r}', self.name, task.exception())
        finally:
            for task in (watcher, reader, beater):
                task.cancel()
            # A reader that still waits must not find its socket closed.
            await asyncio.gather(watcher, reader, beater, return_exceptions=True)
            if self._socket is socket:
                self._drop()
            socket.disable_monitor()
            socket.close(0)

    def _open(self):
        socket = self._context.socket(zmq.DEALER)
        socket.linger = 0
        socket.maxmsgsize = FRAME_LIMIT_BYTES
        socket.reconnect_ivl = NO_RECONNECT
        socket.sndhwm = 0
        secure_client(socket, self._settings, self.public_key)
        # Before connecting: a refused connection is reported at once.
        monitor = socket.get_monitor_socket(CONNECTION_ENDED_EVENTS)
        socket.connect(self.address)
        socket.send(encode(self._presence.hello()))
        return socket, monitor

    def _drop(self):
        if self._socket is None:
            return
        self._socket = None
        self._came_up.clear()
        self._handler.on_down(self)

    async def _read(self, socket):
        """Handle messages until the connection has been silent too long."""
        limit_s = self._settings.silence_limit_ms / 1000
        while True:
            try:
                async with asyncio.timeout(limit_s):
                    frames = await socket.recv_multipart()
            except TimeoutError:
                return
            self.last_seen_ms = self._clock.now_ms()
            for frame in frames:
                if not self._take_frame(socket, frame):
                    return

    def _take_frame(self, socket, frame):
        """Handle one frame; return whether the connection can go on."""
        try:
            message = decode(frame)
        except MalformedFrameError as error:
            log.warn('link: frame of "{}" dropped: {}', self.name, error)
            return True
        if isinstance(message, Hello):
            if self._socket is socket:
                # The peer has lost this connection's state: open a new one.
                return False
            self._greeted(socket, message)
        elif self._socket is socket:
            self._handle(message)
        return True

    def _greeted(self, socket, hello):
        if hello.name != self.name:
            log.warn('link: "{}" answers at the address of "{}"', hello.name, self.name)
            return
        if hello.incarnation != self.incarnation:
            self._offsets_ms = []
            self.leaving = False
        self.hello = hello
        self._socket = socket
        self._came_up.set()
        self._record_clock(hello.now_ms)
        self._handler.on_up(self)

    def _handle(self, message):
        if isinstance(message, Heartbeat):
            self.heartbeat = message
            self.heartbeat_ms = self._clock.now_ms()
            self._echoed = message.echo_sequence
            self.leaving = self.leaving or message.leaving
            self._record_clock(message.now_ms)
            self._handler.on_heartbeat(self, message)
        elif isinstance(message, Leaving):
            self.leaving = True
            self._handler.on_leaving(self, message)
        else:
            self._handler.on_message(self, message)

    def _record_clock(self, peer_now_ms):
        self._offsets_ms.append(peer_now_ms - self._clock.wall_ms())
        del self._offsets_ms[:-OFFSETS_KEPT_COUNT]

    async def _beat(self, socket):
        interval_s = self._settings.heartbeat_interval_ms / 1000
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(interval_s):
                    await self._beat_now.wait()
            self._beat_now.clear()
            self._sequence += 1
            heartbeat = self._presence.heartbeat(
                sequence=self._sequence, echo_sequence=self._echoed
            )
            await socket.send(encode(heartbeat))


def _consume_error(future):
    if not future.cancelled():
        future.exception()
