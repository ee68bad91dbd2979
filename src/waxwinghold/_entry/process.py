"""The entry process: HTTP to callers, links to agents and to other entries."""

import contextlib
import random

import aiohttp
import logbook
from aiohttp import web

from .._caller_connections import CallerConnections, ConnectionLimits
from .._decisions.crash_suspects import CrashSuspects, RequestContent
from .._decisions.target_signals import TargetSignals
from .._errors import NoTargetError
from .._messages import (
    LostRequestsNotice,
    SheetDelta,
    SheetFull,
    SheetPull,
    SuspectNotice,
)
from .._policy import (
    DeadlineAdmission,
    RetryAfterSchedule,
    RetryBudget,
    choice_policy,
)
from .._process import Process
from .._settings import split_ip_port
from .._sheet.hosts import HostsWatch
from .._sheet.readers import is_reader
from .._sheet.watching import PlatformWatch
from .attempts import Attempts
from .callers import Admission
from .http import make_app
from .issuing import KeyIssuer
from .peers import Peers
from .resumption import Resumption
from .suspects import SuspectRequests
from .target_pool import TargetPool

log = logbook.Logger("entry")

CHOICE_POLICY = "weighed"
SHUTDOWN_LIMIT_S = 1.0
CRASH_INTERVAL_MS = 1000  # An engine takes longer to start again.


class EntryProcess(Process):
    """Serves callers and sends their requests to targets."""

    role = "entry"

    def __init__(self, *, clock, settings):
        super().__init__(clock=clock, settings=settings)
        self.target_pool = TargetPool(process=self)
        self.admission = Admission(clock=clock, token_signer=self.token_signer)
        self.issuer = KeyIssuer(process=self)
        self.target_signals = TargetSignals()
        self.suspects = SuspectRequests(clock=clock)
        self.crash_suspects = CrashSuspects()
        self.policy = choice_policy.make(CHOICE_POLICY, rng=random.Random())
        self.budget = RetryBudget(ratio=settings.retry_budget_ratio)
        self._retry_after_schedule = RetryAfterSchedule()
        self._deadline_admission = DeadlineAdmission()
        self._in_flight_count = 0
        self.rejecting = False
        self.peers = Peers(process=self)
        self._session = None
        self._platform_watch = None
        self._hosts_watch = None
        self._runner = None
        self.metrics.gauge("targets_leaving", lambda: self._targets_count("is_leaving"))
        self.metrics.gauge(
            "targets_paused", lambda: self._targets_count("pause_left_ms")
        )
        self.connections = CallerConnections(
            clock=clock,
            limits=self._caller_limits,
            count_limit=settings.callers_connections_limit_count,
            limit_bytes=lambda: settings.callers_memory_limit_bytes,
            body_limit_bytes=lambda: settings.body_limit_bytes,
        )
        self.connections.memory.add_gauges(self.metrics)
        self.store.listen(self._sheet_changed)
        self.replicator.set_expected_peers([peer.name for peer in settings.peers])

    def require_index(self):
        """Return the index of the current sheet.

        Raises:
            NoTargetError: The entry has no sheet yet.
        """
        if self.target_pool.index is None:
            raise NoTargetError(service="any", version="any")
        return self.target_pool.index

    def attempts(self, request):
        """Return the ``Attempts`` of an admitted request."""
        self.budget.record_first(now_ms=self.clock.now_ms())
        return Attempts(process=self, request=request)

    def resumption(self, token, offset):
        """Return the ``Resumption`` of a request that an agent already has."""
        return Resumption(process=self, token=token, offset=offset)

    async def cancel(self, token):
        """Ask the token's target to stop the request."""
        target = await self.target_pool.reach(token.target)
        if target is not None:
            target.cancel(request_id=token.request_id, customer=token.customer)

    @contextlib.contextmanager
    def count_in_flight(self):
        """Return a context manager that counts a caller's request as in flight."""
        self._in_flight_count += 1
        try:
            yield
        finally:
            self._in_flight_count -= 1

    def unfinished_count(self):
        return self._in_flight_count

    def admits(self, *, wait_ms, deadline_in_ms, priority):
        """Return whether to send a request to a target; see ``DeadlineAdmission``."""
        return self._deadline_admission.admits(
            wait_ms=wait_ms, deadline_in_ms=deadline_in_ms, priority=priority
        )

    def retry_after_ms(self, at_least_ms):
        """Return the delay after which a rejected caller may retry, in milliseconds.

        Args:
            at_least_ms: The shortest delay to return.
        """
        scheduled_ms = self._retry_after_schedule.retry_after_ms(
            now_ms=self.clock.now_ms()
        )
        return max(at_least_ms, scheduled_ms)

    def blocks_prompt(self, request):
        """Return whether prompts that begin like this one crashed several targets."""
        return self.crash_suspects.is_blocked(
            _prompt_content(request), now_ms=self.clock.now_ms()
        )

    def record_answer(self, request, *, has_run):
        """Record that a request was answered completely.

        Args:
            request: The ``CallRequest``.
            has_run: Whether the answer shows that the target ran the request.
        """
        version = self.crash_suspects.version
        if has_run:
            self.crash_suspects.record_run(
                _prompt_content(request), now_ms=self.clock.now_ms()
            )
        if self.crash_suspects.version != version:
            self.peers.broadcast(self.lost_requests_notice())
        self._retry_after_schedule.record_completed(now_ms=self.clock.now_ms())
        notice = self.suspects.record_run(request.digest) if has_run else None
        if notice is not None:
            self.peers.broadcast(notice)

    def record_crash(self, request, *, target, alone):
        """Record that a target crashed while it ran a request; notify the peers.

        Args:
            request: The ``CallRequest``.
            target: The target's name and its agent's incarnation.
            alone: Whether the target ran no other request.
        """
        notice = self.suspects.record_crash(request.digest, target=target, alone=alone)
        self.audit.record(
            what="request.suspected",
            subject=request.digest,
            after="condemned" if notice.condemned else "suspect",
            reason=f"target {target} crashed while it ran the request",
            by=self.settings.name,
        )
        self.peers.broadcast(notice)
        # The agent outlives its engine, so that its incarnation names several crashes.
        crash = self.clock.wall_ms() // CRASH_INTERVAL_MS
        self.crash_suspects.record_loss(
            _prompt_content(request),
            target=f"{target}/{crash}",
            is_begun=True,
            now_ms=self.clock.now_ms(),
        )
        self.peers.broadcast(self.lost_requests_notice())

    def lost_requests_notice(self):
        """Return what other entries should know about crashed targets."""
        lost, cleared = self.crash_suspects.records(now_ms=self.clock.now_ms())
        return LostRequestsNotice(lost=tuple(lost), cleared=tuple(cleared))

    def announce_leaving(self, message):
        super().announce_leaving(message)
        self.peers.broadcast(message)

    def make_handler(self):
        return EntryHandler(process=self)

    async def start_role(self):
        self.peers.start()
        self._session = aiohttp.ClientSession()
        self._platform_watch = PlatformWatch(
            clock=self.clock,
            store=self.store,
            url=self.settings.platform_url,
            wait_ms=self.settings.watch_wait_ms,
            session=self._session,
            may_read=self._may_read,
        )
        self.spawn(self._platform_watch.run())
        self._hosts_watch = HostsWatch(
            clock=self.clock, url=self.settings.platform_url, session=self._session
        )
        self._hosts_watch.listen(self._hosts_changed)
        self.spawn(self._hosts_watch.run())
        await self._serve_http()

    def _caller_limits(self):
        return ConnectionLimits(
            header_timeout_ms=self.settings.header_timeout_ms,
            idle_timeout_ms=self.settings.idle_timeout_ms,
        )

    async def await_drain_notice(self):
        # The health check fails during this time, so that the platform's balancer
        # stops sending callers here before the entry rejects them.
        await self.clock.sleep_ms(self.settings.drain_notice_ms)
        self.rejecting = True

    async def stop_role(self):
        await self._runner.cleanup()
        await self._session.close()

    def status(self):
        status = super().status()
        status.update(
            platform_reads_count=self._platform_watch.reads_count,
            platform_failures_count=self._platform_watch.failures_count,
            suspects_count=len(self.suspects),
            peers_up=self.peers.names_up(),
            targets={
                name: {
                    "up": target.link.up,
                    "takes_work": target.takes_work,
                    "leaving": target.is_leaving,
                    "pause_left_ms": round(target.pause_left_ms),
                    "healthy": target.candidate.healthy,
                    "in_flight_count": len(target.in_flight),
                }
                for name, target in self.target_pool.targets.items()
            },
        )
        return status

    def _targets_count(self, attribute):
        targets = self.target_pool.targets.values()
        return sum(bool(getattr(target, attribute)) for target in targets)

    def _may_read(self):
        if self.replicator.is_starting:
            return False
        live = self.peers.names_up(data_centre=self.settings.data_centre)
        return is_reader(
            self.settings.name,
            live,
            self.settings.readers_count,
            sheet_version=self.store.version,
        )

    def _hosts_changed(self, host_list):
        self.peers.apply(host_list)
        self.replicator.set_expected_peers(self.peers.names)
        self.target_pool.record_hosts(
            {host.name: host.state for host in host_list.hosts}
        )

    def _sheet_changed(self, old, new):
        self.target_pool.apply(new)
        # Heartbeats carry the sheet version: peers and agents with an older sheet
        # get the new one now and not at the end of the interval.
        self.peers.send_heartbeats()
        self.target_pool.send_heartbeats()

    async def _serve_http(self):
        self._runner = web.AppRunner(
            make_app(self),
            handler_cancellation=True,
            access_log=None,
            shutdown_timeout=SHUTDOWN_LIMIT_S,
        )
        await self._runner.setup()
        address = split_ip_port(self.settings.http_address)
        await CallersSite(
            runner=self._runner, address=address, connections=self.connections
        ).start()
        self.spawn(self.connections.sweep())


class CallersSite(web.BaseSite):
    """Listens for callers, with the limits of ``CallerConnections``.

    Args:
        runner: The ``web.AppRunner`` of the entry's HTTP interface.
        address: ``(ip, port)``.
        connections: The ``CallerConnections``.
    """

    def __init__(self, *, runner, address, connections):
        super().__init__(runner)
        self._address = address
        self._connections = connections

    @property
    def name(self):
        return "http://{}:{}".format(*self._address)

    async def start(self):
        await super().start()
        self._server = await self._connections.listen(
            self._address, self._runner.server
        )


class EntryHandler:
    """Handles messages on connections that other processes opened.

    Args:
        process: The ``EntryProcess``.
    """

    def __init__(self, *, process):
        self._process = process

    def on_connected(self, connection):
        """Record the sheet version of a peer that has connected."""
        hello = connection.hello
        self._update_entry_sheet(connection, hello.sheet_version, hello.sheet_digest)

    def on_heartbeat(self, connection, heartbeat):
        """Record the sheet version of a peer."""
        self._update_entry_sheet(
            connection, heartbeat.sheet_version, heartbeat.sheet_digest
        )

    def on_leaving(self, connection, message):
        """Log that a peer is leaving."""
        log.info('"{}" is leaving: {}', message.name, message.reason)

    def on_disconnected(self, connection):
        """Remove the sheet version of a disconnected peer."""
        self._process.remove_peer(connection)

    async def on_message(self, connection, message):
        """Handle suspect notices, sheet messages and the requests of operators."""
        if isinstance(message, SuspectNotice | LostRequestsNotice):
            if connection.key.role == EntryProcess.role:
                self._process.peers.apply_suspect(message, source=connection.name)
        elif isinstance(message, SheetFull | SheetDelta):
            self._apply_entry_sheet(connection, message)
        elif isinstance(message, SheetPull):
            self._process.on_sheet_message(connection, message)
        else:
            self._process.on_operator_message(connection, message)

    def _update_entry_sheet(self, connection, version, digest):
        if connection.key.role == EntryProcess.role:
            self._process.update_peer_sheet(connection, version, digest)

    def _apply_entry_sheet(self, connection, message):
        # The name in a Hello is the peer's own claim; its role comes from its key.
        if connection.key.role == EntryProcess.role:
            self._process.on_sheet_message(connection, message)
        else:
            self._process.server.refused_count += 1
            log.warn('sheet from "{}" dropped: it is no entry', connection.name)


def _prompt_content(request):
    """Return the ``RequestContent`` of a request: the beginning of its prompt.

    Whole requests are the matter of ``SuspectRequests``, which runs them alone.
    """
    return RequestContent(
        call=(request.digest.encode(),),
        part_names=(request.prefix,) if request.prefix else (),
        scope=request.service.name,
    )
