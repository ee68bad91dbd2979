"""The connecting side of a link: heartbeats, silence detection and reconnection."""

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
CLOCK_OFFSETS_KEPT_COUNT = 8
CONNECTION_ENDED_EVENTS = (
    zmq.EVENT_DISCONNECTED
    | zmq.EVENT_CLOSED
    | zmq.EVENT_CONNECT_RETRIED
    | zmq.EVENT_HANDSHAKE_FAILED_AUTH
    | zmq.EVENT_HANDSHAKE_FAILED_PROTOCOL
)


class Link:
    """A link to one process, kept up by a task that runs ``run``.

    A connection on which nothing arrives for ``silence_limit_ms`` is replaced
    even if the socket is still open. Silence is taken as a failure of the
    connection, not of the host.

    Args:
        name: The peer's name.
        address: ``tcp://IP:PORT``.
        public_key: The peer's CURVE public key in Z85.
        handler: Its methods ``on_up``, ``on_down``, ``on_heartbeat``,
            ``on_leaving`` and ``on_message`` are called with this link as the
            first argument.
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
        self.leaving = False
        self._socket = None
        self._sequence = 0
        self._peer_sequence = 0
        self._clock_offsets_ms = []
        self._heartbeat_requested = asyncio.Event()
        self._up_event = asyncio.Event()

    @property
    def up(self):
        """Whether a connection is open and the peer has answered with ``Hello``."""
        return self._socket is not None

    @property
    def incarnation(self):
        """The peer's incarnation, or an empty string before its first ``Hello``."""
        return self.hello.incarnation if self.hello else ""

    def peer_wall_ms(self):
        """Return an estimate of the peer's wall clock that is never ahead of it.

        A delayed heartbeat makes the estimate late. That shortens deadlines
        and never extends them.
        """
        return self._clock.wall_ms() + max(self._clock_offsets_ms, default=0)

    def send(self, message):
        """Queue ``message`` for sending and return at once.

        Raises:
            LinkDownError: No connection is up; nothing was sent.
        """
        if self._socket is None:
            raise LinkDownError(name=self.name)
        future = self._socket.send(encode(message))
        future.add_done_callback(_consume_error)

    async def wait_until_up(self, *, limit_ms):
        """Wait until the link is up, for at most ``limit_ms``."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit_ms / 1000):
                await self._up_event.wait()

    def send_heartbeat(self):
        """Send a heartbeat now instead of at the end of the interval."""
        self._heartbeat_requested.set()

    async def run(self):
        """Connect and reconnect until cancelled."""
        try:
            while True:
                await self._run_connection()
                await self._clock.sleep_ms(RECONNECT_INTERVAL_MS)
        finally:
            self._mark_down()

    async def _run_connection(self):
        """Open a connection and use it until it fails or goes silent."""
        socket, monitor = self._open()
        monitor_task = asyncio.create_task(recv_monitor_message(monitor))
        read_task = asyncio.create_task(self._read(socket))
        heartbeat_task = asyncio.create_task(self._run_heartbeats(socket))
        try:
            done, _ = await asyncio.wait(
                {monitor_task, read_task, heartbeat_task},
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in done:
                if task.exception() is not None:
                    log.warn('link to "{}" failed: {!r}', self.name, task.exception())
        finally:
            for task in (monitor_task, read_task, heartbeat_task):
                task.cancel()
            # The socket is closed only after the read task has ended, so that the
            # task never reads from a closed socket.
            await asyncio.gather(
                monitor_task, read_task, heartbeat_task, return_exceptions=True
            )
            if self._socket is socket:
                self._mark_down()
            socket.disable_monitor()
            socket.close(0)

    def _open(self):
        socket = self._context.socket(zmq.DEALER)
        socket.linger = 0
        socket.maxmsgsize = FRAME_LIMIT_BYTES
        socket.reconnect_ivl = NO_RECONNECT
        socket.sndhwm = 0
        secure_client(socket, self._settings, self.public_key)
        # Created before connecting, so that the event of a refused connection is
        # not missed.
        monitor = socket.get_monitor_socket(CONNECTION_ENDED_EVENTS)
        socket.connect(self.address)
        socket.send(encode(self._presence.hello()))
        return socket, monitor

    def _mark_down(self):
        if self._socket is None:
            return
        self._socket = None
        self._up_event.clear()
        self._handler.on_down(self)

    async def _read(self, socket):
        """Handle messages; return once none has arrived for the silence limit."""
        limit_s = self._settings.silence_limit_ms / 1000
        while True:
            try:
                async with asyncio.timeout(limit_s):
                    frames = await socket.recv_multipart()
            except TimeoutError:
                return
            for frame in frames:
                if not self._handle_frame(socket, frame):
                    return

    def _handle_frame(self, socket, frame):
        """Handle one frame; return whether the connection can be kept."""
        try:
            message = decode(frame)
        except MalformedFrameError as error:
            log.warn('link: malformed frame from "{}" dropped: {}', self.name, error)
            return True
        if isinstance(message, Hello):
            if self._socket is socket:
                # A second Hello: the peer has lost the state of this connection.
                return False
            self._handle_hello(socket, message)
        elif self._socket is socket:
            self._handle_message(message)
        return True

    def _handle_hello(self, socket, hello):
        if hello.name != self.name:
            log.warn('link: "{}" answers at the address of "{}"', hello.name, self.name)
            return
        if hello.incarnation != self.incarnation:
            self._clock_offsets_ms = []
            self.leaving = False
        self.hello = hello
        self._socket = socket
        self._peer_sequence = 0
        self._up_event.set()
        self._record_clock_offset(hello.now_ms)
        self._handler.on_up(self)

    def _handle_message(self, message):
        if isinstance(message, Heartbeat):
            self._peer_sequence = message.sequence
            self.leaving = self.leaving or message.leaving
            self._record_clock_offset(message.now_ms)
            self._handler.on_heartbeat(self, message)
        elif isinstance(message, Leaving):
            self.leaving = True
            self._handler.on_leaving(self, message)
        else:
            self._handler.on_message(self, message)

    def _record_clock_offset(self, peer_now_ms):
        self._clock_offsets_ms.append(peer_now_ms - self._clock.wall_ms())
        del self._clock_offsets_ms[:-CLOCK_OFFSETS_KEPT_COUNT]

    async def _run_heartbeats(self, socket):
        interval_s = self._settings.heartbeat_interval_ms / 1000
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(interval_s):
                    await self._heartbeat_requested.wait()
            self._heartbeat_requested.clear()
            self._sequence += 1
            heartbeat = self._presence.heartbeat(
                sequence=self._sequence, echo_sequence=self._peer_sequence
            )
            await socket.send(encode(heartbeat))


def _consume_error(future):
    """Retrieve the error of a failed send, so that asyncio does not log it."""
    if not future.cancelled():
        future.exception()
