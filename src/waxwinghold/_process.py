"""What an entry and an agent have in common: links, sheet, audit, stopping."""

import abc
import asyncio

import logbook
import msgspec
import zmq.asyncio
from aiohttp import web

from ._audit import AuditTrail
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
SPREAD_INTERVAL_MS = 250


class Process(abc.ABC):
    """Base of the two roles.

    Args:
        clock: The process's clock.
        settings: The role's settings.
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
        """Return the load report that heartbeats carry; an entry has none."""
        return None

    @abc.abstractmethod
    def unfinished_count(self):
        """Return how many requests are in flight."""

    @abc.abstractmethod
    def make_handler(self):
        """Return the handler of messages that reach this process."""

    async def start_role(self):
        """Start what the role needs beyond the links."""

    async def stop_role(self):
        """Stop what ``start_role`` started."""

    async def await_drain_notice(self):
        """Go on as before until those who send work know of the stop."""

    def status(self):
        """Return the process's status, in plain types."""
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
        """Run until drained."""
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
        self.spawn(self._spread())
        await self.start_role()
        site = await self._serve_metrics()
        log.info('{} "{}" is up', self.role, self.settings.name)
        try:
            await self._stop.wait()
            await self.await_drain_notice()
            await self._finish_in_flight()
            # The last answers are on their way in the sockets' queues.
            await self.clock.sleep_ms(LAST_FRAMES_MS)
        finally:
            await self.stop_role()
            if site is not None:
                await site.cleanup()
            for task in list(self._tasks):
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)
            authenticator.stop()
            self.context.destroy(linger=0)
        log.info('{} "{}" has ended', self.role, self.settings.name)

    def spawn(self, coroutine):
        """Run ``coroutine`` for as long as the process runs."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._task_done)
        return task

    def open_link(self, *, handler, name, address, public_key):
        """Return a new ``Link`` of this process; its owner runs it."""
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
        """Take no new work, finish what is in flight, and end."""
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
        """Tell every connected peer that this process leaves."""
        self.server.broadcast(message)

    def update_peer_sheet(self, peer, version, digest):
        """Take in which sheet a peer holds; pull it if it is newer."""
        self._sheet_peers[peer.name] = peer
        self._send_pull(self.replicator.update_peer(peer.name, version, digest))

    def remove_peer(self, peer):
        """Forget a peer whose connection is gone."""
        if self._sheet_peers.get(peer.name) is peer:
            del self._sheet_peers[peer.name]
            self.replicator.remove_peer(peer.name)

    def on_sheet_message(self, peer, message):
        """Answer a pull, or take in a sheet of a peer that was heard before."""
        if isinstance(message, SheetPull):
            answer = self.replicator.answer(message)
            if answer is not None:
                peer.send(answer)
        elif peer.name in self._sheet_peers:
            self._send_pull(self.replicator.apply(message, peer.name))

    def on_operator_message(self, connection, message):
        """Answer an operator's query or order; others' are refused."""
        if connection.key.role != "operator":
            self.server.refused_count += 1
            log.warn('"{}" sent an operator message', connection.name)
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

    async def _spread(self):
        while True:
            await self.clock.sleep_ms(SPREAD_INTERVAL_MS)
            self._send_pull(self.replicator.due_pull())

    async def _finish_in_flight(self):
        limit_ms = self.clock.now_ms() + self.settings.drain_limit_ms
        while self.unfinished_count() and self.clock.now_ms() < limit_ms:
            await self.clock.sleep_ms(DRAIN_CHECK_INTERVAL_MS)

    async def _serve_metrics(self):
        """Serve metrics if the settings name an address; return the runner."""
        self.metrics.gauge("in_flight_count", self.unfinished_count)
        self.metrics.gauge("sheet_version", lambda: self.store.version)
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
