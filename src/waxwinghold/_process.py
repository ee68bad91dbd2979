"""Base class of entry and agent processes: links, sheet, audit trail, draining."""

import abc
import asyncio

import logbook
import msgspec
import zmq.asyncio
from aiohttp import web

from ._audit import AuditTrail
from ._gateway.answer_sizes import answer_sizes
from ._keys import TokenSigner, random_id
from ._links import KeyRing, Link, LinkServer, Presence, start_authenticator
from ._messages import (
    AuditQuery,
    AuditReply,
    DrainOrder,
    Leaving,
    OrderReply,
    SheetPull,
    StatusQuery,
    StatusReply,
)
from ._metrics import Metrics, add_metrics_route
from ._settings import split_ip_port
from ._sheet.replication import SheetReplicator
from ._sheet.store import SheetStore

log = logbook.Logger("process")

DRAIN_CHECK_INTERVAL_MS = 50
LAST_FRAMES_MS = 100
PULL_INTERVAL_MS = 250


class Process(abc.ABC):
    """Base of the entry and agent processes.

    Args:
        clock: The process's ``Clock``.
        settings: The settings of the role, a ``ProcessSettings``.

    Attributes:
        role: The role's name, set by each subclass.
        leaving: Whether the process is draining.
    """

    role = ""

    def __init__(self, *, clock, settings):
        self.clock = clock
        self.settings = settings
        self.incarnation = random_id()
        self.token_signer = TokenSigner(secrets=settings.token_secrets)
        self.audit = AuditTrail(
            clock=clock, limit_count=settings.audit_limit_count, process=settings.name
        )
        self.store = SheetStore(clock=clock, audit=self.audit)
        self.replicator = SheetReplicator(store=self.store, clock=clock)
        self.presence = Presence(
            clock=clock,
            name=settings.name,
            role=self.role,
            data_centre=settings.data_centre,
            incarnation=self.incarnation,
            sheet_state=lambda: (self.store.version, self.store.digest),
            is_leaving=lambda: self.leaving,
            report=self.report,
        )
        self.leaving = False
        self.metrics = Metrics(process=settings.name)
        self.server = None
        self.context = None
        self.key_ring = KeyRing(known_keys=settings.known_keys)
        self._sheet_peers = {}
        self._stop = asyncio.Event()
        self._tasks = set()
        self._started_ms = clock.wall_ms()

    def report(self):
        """Return the load ``Report`` for heartbeats; ``None`` for an entry."""
        return None

    @abc.abstractmethod
    def unfinished_count(self):
        """Return the number of requests in flight."""

    @abc.abstractmethod
    def make_handler(self):
        """Return the handler for the ``LinkServer`` of this process."""

    async def start_role(self):
        """Start the parts that are specific to the role."""

    async def stop_role(self):
        """Stop what ``start_role`` started."""

    async def await_drain_notice(self):
        """Wait for the time that senders of requests need to notice the draining.

        The process still takes new requests while it waits.
        """

    def status(self):
        """Return the process's status as a dictionary of plain types."""
        return {
            "name": self.settings.name,
            "role": self.role,
            "data_centre": self.settings.data_centre,
            "incarnation": self.incarnation,
            "up_ms": self.clock.wall_ms() - self._started_ms,
            "leaving": self.leaving,
            "in_flight_count": self.unfinished_count(),
            "sheet_version": self.store.version,
            "sheet_digest": self.store.digest,
            "sheet_error": str(self.store.last_error or ""),
            "links_refused_count": self.key_ring.refused_count
            + self.server.refused_count,
            "frames_malformed_count": self.server.malformed_count,
            "metrics": self.metrics.summary(),
        }

    async def run(self):
        """Run the process until it has drained."""
        self.context = zmq.asyncio.Context()
        authenticator = start_authenticator(self.context, self.key_ring)
        self.server = LinkServer(
            clock=self.clock,
            context=self.context,
            settings=self.settings,
            key_ring=self.key_ring,
            presence=self.presence,
            handler=self.make_handler(),
        )
        self.spawn(self.server.run())
        self.spawn(self._pull_periodically())
        await self.start_role()
        metrics_runner = await self._serve_metrics()
        log.info('{} "{}" is up', self.role, self.settings.name)
        try:
            await self._stop.wait()
            await self.await_drain_notice()
            await self._finish_in_flight()
            # Leave time to send the last answers from the sockets' queues.
            await self.clock.sleep_ms(LAST_FRAMES_MS)
        finally:
            await self.stop_role()
            if metrics_runner is not None:
                await metrics_runner.cleanup()
            for task in list(self._tasks):
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)
            authenticator.stop()
            self.context.destroy(linger=0)
        log.info('{} "{}" has ended', self.role, self.settings.name)

    def spawn(self, coroutine):
        """Run ``coroutine`` as a task that is cancelled when the process ends.

        If the task fails, the process drains and ends.
        """
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._task_done)
        return task

    def open_link(self, *, handler, name, address, public_key):
        """Return a new ``Link`` to another process; the caller has to run it.

        Args:
            handler: The handler of the link's messages.
            name: The other process's name.
            address: The other process's link address, ``tcp://IP:PORT``.
            public_key: The other process's CURVE public key in Z85.
        """
        return Link(
            clock=self.clock,
            context=self.context,
            settings=self.settings,
            presence=self.presence,
            handler=handler,
            name=name,
            address=address,
            public_key=public_key,
        )

    def drain(self, *, reason, by):
        """Take no new requests, finish those in flight, and end.

        Args:
            reason: Why the process drains.
            by: Who ordered it: an operator's name, or ``host`` for a signal.
        """
        if self.leaving:
            return
        self.leaving = True
        self.audit.record(
            what="process.draining",
            subject=self.settings.name,
            before="serving",
            after="leaving",
            reason=reason,
            by=by,
        )
        self.announce_leaving(Leaving(name=self.settings.name, reason=reason))
        self._stop.set()

    def announce_leaving(self, message):
        """Send a ``Leaving`` message to every connected peer."""
        self.server.broadcast(message)

    def update_peer_sheet(self, peer, version, digest):
        """Record which sheet a peer has, and pull it if it is newer.

        Args:
            peer: The connection or link to the peer.
            version: The version of the peer's sheet.
            digest: The digest of the peer's sheet.
        """
        self._sheet_peers[peer.name] = peer
        self._send_pull(self.replicator.update_peer(peer.name, version, digest))

    def remove_peer(self, peer):
        """Remove a peer whose connection is closed."""
        if self._sheet_peers.get(peer.name) is peer:
            del self._sheet_peers[peer.name]
            self.replicator.remove_peer(peer.name)

    def on_sheet_message(self, peer, message):
        """Answer a pull, or apply a sheet.

        A sheet is ignored if its sender has not reported its sheet version before.
        """
        if isinstance(message, SheetPull):
            answer = self.replicator.answer(message)
            if answer is not None:
                peer.send(answer)
        elif peer.name in self._sheet_peers:
            self._send_pull(self.replicator.apply(message, peer.name))

    def on_operator_message(self, connection, message):
        """Handle a query or an order; reject it if the sender is not an operator."""
        if connection.key.role != "operator":
            self.server.refused_count += 1
            log.warn('rejected an operator message from "{}"', connection.name)
            return
        if isinstance(message, StatusQuery):
            document = msgspec.json.encode(self.status())
            connection.send(StatusReply(query_id=message.query_id, document=document))
        elif isinstance(message, AuditQuery):
            document = self.audit.document_since(message.since_ms)
            connection.send(AuditReply(query_id=message.query_id, document=document))
        elif isinstance(message, DrainOrder):
            reply = OrderReply(
                query_id=message.query_id, accepted=True, reason="draining"
            )
            connection.send(reply)
            self.drain(reason=message.reason, by=message.operator)

    def _send_pull(self, pull):
        if pull is None:
            return
        peer = self._sheet_peers.get(pull.peer)
        if peer is not None:
            peer.send(pull.message)

    async def _pull_periodically(self):
        while True:
            await self.clock.sleep_ms(PULL_INTERVAL_MS)
            self._send_pull(self.replicator.due_pull())

    async def _finish_in_flight(self):
        end_ms = self.clock.now_ms() + self.settings.drain_limit_ms
        while self.unfinished_count() and self.clock.now_ms() < end_ms:
            await self.clock.sleep_ms(DRAIN_CHECK_INTERVAL_MS)

    async def _serve_metrics(self):
        """Serve metrics over HTTP and return the runner, or ``None`` if it is off."""
        self.metrics.gauge("in_flight_count", self.unfinished_count)
        self.metrics.gauge("sheet_version", lambda: self.store.version)
        self.metrics.gauge("overlong_answers", lambda: answer_sizes.overlong_count)
        if not self.settings.metrics_address:
            return None
        app = web.Application()
        add_metrics_route(app, self.metrics)
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        await web.TCPSite(runner, *split_ip_port(self.settings.metrics_address)).start()
        return runner

    def _task_done(self, task):
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("a task of the process failed: {!r}", task.exception())
            self._stop.set()
