"""Stand-in peers of a process under measurement, all in one bench process."""

import asyncio
import contextlib
from dataclasses import dataclass, field

import zmq.asyncio
from zmq.auth.asyncio import AsyncioAuthenticator

from waxwinghold._clock import Clock
from waxwinghold._convert import convert
from waxwinghold._links import (
    KeyRing,
    Link,
    LinkServer,
    Presence,
    start_authenticator,
)
from waxwinghold._links.presence import no_report
from waxwinghold._messages import Report, SheetPull
from waxwinghold._settings import AgentSettings, EntrySettings
from waxwinghold._sheet import SheetReplicator, SheetStore

from .endpoints import process_settings

REPORTED_PREFIXES = tuple(f"{number:016x}" for number in range(8))
UP_LIMIT_S = 20
UP_POLL_S = 0.05


class NoOpHandler:
    """Ignores all link events; base of the handlers that answer sheet pulls.

    Args:
        replicator: The ``SheetReplicator`` that answers sheet pulls, or ``None``
            to leave them unanswered.
    """

    def __init__(self, *, replicator=None):
        self._replicator = replicator

    def on_up(self, link):
        """Ignore that the link is up."""

    def on_down(self, link):
        """Ignore that the link is down; it reconnects by itself."""

    def on_connected(self, connection):
        """Ignore the new connection; the server has already sent its ``Hello``."""

    def on_disconnected(self, connection):
        """Ignore the lost connection; the peer may reconnect."""

    def on_heartbeat(self, peer, heartbeat):
        """Ignore the heartbeat; the server has already answered it."""

    def on_leaving(self, peer, message):
        """Ignore that the peer is leaving."""


class ListeningHandler(NoOpHandler):
    """Answers sheet pulls on the listening side of a link."""

    async def on_message(self, connection, message):
        """Answer ``message`` if it is a sheet pull."""
        if self._replicator is not None and isinstance(message, SheetPull):
            answer = self._replicator.answer(message)
            if answer is not None:
                connection.send(answer)


class ConnectingHandler(NoOpHandler):
    """Answers sheet pulls on the connecting side of a link."""

    def on_message(self, link, message):
        """Answer ``message`` if it is a sheet pull."""
        if self._replicator is not None and isinstance(message, SheetPull):
            answer = self._replicator.answer(message)
            if answer is not None:
                link.send(answer)


def make_report():
    """Return a load report of typical size."""
    return Report(
        waiting_count=3,
        running_count=16,
        slots_count=16,
        step_ms=31.5,
        queue_wait_ms=12.5,
        age_ms=212.0,
        prefixes=REPORTED_PREFIXES,
    )


@dataclass(frozen=True, kw_only=True)
class StandInPeers:
    """Stand-in agents and entries that share one ``zmq`` context.

    Args:
        clock: Clock of all peers.
        store: Contains the sheet that all peers announce.
        timing: Settings of heartbeats and silence that override the defaults.
        context: The shared ``zmq`` context.
        tasks: Running tasks of servers and links.
        authenticators: Running authenticators of the servers.
    """

    clock: Clock
    store: SheetStore
    timing: dict[str, int] = field(default_factory=dict)
    context: zmq.asyncio.Context = field(default_factory=zmq.asyncio.Context)
    tasks: list[asyncio.Task] = field(default_factory=list)
    authenticators: list[AsyncioAuthenticator] = field(default_factory=list)

    @contextlib.asynccontextmanager
    async def running(self):
        """Stop all peers at the end of an ``async with`` block."""
        try:
            yield self
        finally:
            for task in self.tasks:
                task.cancel()
            await asyncio.gather(*self.tasks, return_exceptions=True)
            for authenticator in self.authenticators:
                authenticator.stop()
            self.context.destroy(linger=0)

    def listen(self, endpoints, *, known_endpoints):
        """Start a link server for the agent or entry of each endpoint.

        Args:
            endpoints: The endpoints to listen on.
            known_endpoints: Endpoints that are allowed to connect.

        Returns:
            The servers, in the same sequence.
        """
        settings = [
            self._settings(endpoint, known_endpoints=known_endpoints)
            for endpoint in endpoints
        ]
        ring = KeyRing(known_keys=settings[0].known_keys)
        self.authenticators.append(start_authenticator(self.context, ring))
        servers = []
        for endpoint, own_settings in zip(endpoints, settings):
            report = make_report if endpoint.role == "agent" else no_report
            server = LinkServer(
                clock=self.clock,
                context=self.context,
                settings=own_settings,
                key_ring=ring,
                presence=self._presence(
                    own_settings, role=endpoint.role, report=report
                ),
                handler=ListeningHandler(replicator=self._replicator()),
            )
            servers.append(server)
            self.tasks.append(asyncio.create_task(server.run()))
        return servers

    async def connect(self, endpoints, *, peer):
        """Open a link to ``peer`` from the entry of each endpoint.

        Args:
            endpoints: Endpoints of entries.
            peer: The endpoint to connect to.

        Raises:
            TimeoutError: Not all links are up in time.
        """
        links = []
        for endpoint in endpoints:
            settings = self._settings(endpoint, known_endpoints=[peer])
            link = Link(
                clock=self.clock,
                context=self.context,
                settings=settings,
                presence=self._presence(settings, role="entry"),
                handler=ConnectingHandler(replicator=self._replicator()),
                name=peer.name,
                address=peer.link_address,
                public_key=peer.public_key,
            )
            links.append(link)
            self.tasks.append(asyncio.create_task(link.run()))
        async with asyncio.timeout(UP_LIMIT_S):
            while not all(link.up for link in links):
                await asyncio.sleep(UP_POLL_S)

    def _replicator(self):
        return SheetReplicator(store=self.store, clock=self.clock)

    def _presence(self, settings, *, role, report=no_report):
        return Presence(
            clock=self.clock,
            name=settings.name,
            role=role,
            data_centre=settings.data_centre,
            incarnation=f"{settings.name}-1",
            sheet_state=lambda: (self.store.version, self.store.digest),
            is_leaving=lambda: False,
            report=report,
        )

    def _settings(self, endpoint, *, known_endpoints):
        document = process_settings(
            endpoint, platform_url="http://127.0.0.1:1", known_endpoints=known_endpoints
        )
        document |= self.timing
        if endpoint.role == "agent":
            document["target_url"] = endpoint.http_url
            return convert(document, AgentSettings)
        document["http_address"] = endpoint.http_address
        return convert(document, EntrySettings)
