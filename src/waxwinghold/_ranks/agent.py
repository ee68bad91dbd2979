"""The agent beside one rank: tells its load on, gives it orders, may lead its group."""

import asyncio
import signal

import logbook

from .._gateway.endpoint import NoticeEndpoint
from .._gateway.errors import SendError
from .._gateway.notices import (
    FORMAT,
    LIMIT_BYTES,
    CountsNotice,
    GatewayNotice,
    OrderNotice,
    RankNotice,
    encoder,
)
from .._tasks import ProcessTasks
from .count_codec import CountDeltas, pack
from .leader import Leader
from .map_balancer import COUNTS_INTERVAL_MS, MapBalancer
from .metrics import AgentMetrics
from .notice_sender import ANNOUNCEMENT_INTERVAL_MS, REPORT_INTERVAL_MS, NoticeSender
from .order_dispatcher import OrderDispatcher
from .remote_ranks import RemoteRanks
from .view import GroupView

log = logbook.Logger("agent")

CHANGE_INTERVAL_MS = 25.0  # A change waits for each rank's report several times.
TARGETS_INTERVAL_MS = 5000.0  # Ranks that moved are found within seconds.
DEPUTY_SILENCE_MS = 700.0  # Four reports; the others take over one by one.
DEPUTY_STEP_MS = 300.0
CALL_RETRY_MS = 300.0


class RankAgent(NoticeEndpoint):
    """One agent process.

    Args:
        settings: The ``RankSettings``.
        port: The ``RankPort`` of the rank on this machine.
        make_port: Returns a ``RankPort`` of the rank at an ``IP:PORT``.
        directory: Has ``read``: returns the addresses of all ranks of the
            service and the ``GroupShape``, or ``None`` for either.
    """

    def __init__(self, *, clock, settings, port, make_port, directory):
        super().__init__(ip=settings.peers_ip, port=settings.peers_port)
        self._clock = clock
        self._settings = settings
        self._port = port
        self._directory = directory
        self._report = None
        self._growth = CountDeltas()
        self._stop = asyncio.Event()
        self.tasks = ProcessTasks(on_failure=self._stop.set)
        self.metrics = AgentMetrics(gauges=self._gauges)
        started_ms = clock.wall_ms()
        self.view = GroupView(clock=clock)
        self._teller = NoticeSender(
            clock=clock,
            settings=settings,
            view=self.view,
            send=self.send_data,
            started_ms=started_ms,
        )
        self.leader = Leader(
            clock=clock,
            group=self.view,
            send=lambda rank, order: self._desk.send(rank, order),
            token=started_ms,
        )
        self.remote_ranks = RemoteRanks(
            clock=clock,
            view=self.view,
            leader=self.leader,
            make_port=make_port,
            is_deputy=self._is_deputy,
        )
        self._desk = OrderDispatcher(
            port=port,
            view=self.view,
            remote_ranks=self.remote_ranks,
            send=self.send_data,
            spawn=self.tasks.spawn,
            on_accepted=self._report_now,
            count=self.metrics.count,
        )
        self._balancing = MapBalancer(
            clock=clock,
            view=self.view,
            leader=self.leader,
            policy=settings.map_policy,
            count=self.metrics.count,
        )
        self._handlers = {
            RankNotice: self.view.update,
            CountsNotice: self._balancing.add_counts,
            OrderNotice: self._desk.enqueue,
        }

    async def run(self):
        """Run until a signal says stop."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stop.set)
        loop.add_signal_handler(signal.SIGINT, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, _reload)
        await self.open_endpoint()
        if self._settings.metrics_port:
            await self.metrics.serve(
                self._settings.peers_ip, self._settings.metrics_port
            )
        for coroutine in (
            self._keep_directory(),
            self._keep_reporting(),
            self._keep_telling_group(),
            self._keep_counting(),
            self._desk.run(),
            self.remote_ranks.run(),
            self._balancing.run(is_leader=self._is_leader, is_deputy=self._is_deputy),
        ):
            self.tasks.spawn(coroutine)
        log.info("agent is up", extra={"target": self._settings.target_address})
        await self._stop.wait()
        self.close()
        log.info("agent has ended")

    def close(self):
        """Send and take in nothing more."""
        self.tasks.cancel()
        self.close_endpoint()
        self.metrics.close()

    def count_malformed(self):
        self.metrics.count("malformed_notices")

    def handle_notice(self, ip, notice):
        if isinstance(notice, GatewayNotice):
            self._teller.record_gateway(ip)
        elif type(notice) in self._handlers:
            self._handlers[type(notice)](notice)

    def _gauges(self):
        report = self._report
        if report is None:
            return {}
        return {
            "rank": report.rank,
            "epoch": report.epoch,
            "open": int(report.is_open),
            "step": report.step,
            "map_version": report.map_version,
            "running": report.running_count,
            "waiting": report.waiting_count,
        }

    def _is_leader(self):
        return self.view.own_rank == 0

    def _is_deputy(self):
        """Return whether this agent is to finish what a silent leader began.

        Finishing only goes forward and lets the held pass go when all ranks
        are armed, so that a second deputy, or the leader itself, does no harm.
        """
        report = self._report
        if report is None or not report.group or report.rank == 0:
            return False
        # Its own rank took part in a change that is not in use yet.
        if report.armed is None and report.prepared in (None, report.map_version):
            return False
        limit_ms = DEPUTY_SILENCE_MS + DEPUTY_STEP_MS * (report.rank - 1)
        return self.view.is_agent_silent(0, limit_ms=limit_ms)

    async def _keep_directory(self):
        """Learn where the other ranks are, and the shape of their groups."""
        while True:
            if self._needs_directory():
                addresses, shape = await self._directory.read()
                if addresses is not None:
                    ips = {ip for ip, _ in addresses}
                    self._teller.rank_ips = ips - {self._settings.peers_ip}
                if shape is not None:
                    self._balancing.shape = shape
            found = self._balancing.shape is not None and self._teller.rank_ips
            await self._clock.sleep_ms(
                TARGETS_INTERVAL_MS if found else ANNOUNCEMENT_INTERVAL_MS
            )

    def _needs_directory(self):
        """Return whether anything is unknown: the shape, or where a rank is."""
        if self._balancing.shape is None or self.view.size == 0:
            return True
        return len(self.view.notices()) < self.view.size

    async def _keep_reporting(self):
        while True:
            try:
                report = await self._port.report()
            except SendError as error:
                self.metrics.count("failed_reports")
                log.debug("rank does not report", extra={"reason": str(error)})
                await self._clock.sleep_ms(CALL_RETRY_MS)
                continue
            self._take_report(report)
            await self._clock.sleep_ms(self._interval_ms(report))

    def _interval_ms(self, report):
        changing = report is not None and (
            report.armed is not None
            or report.held is not None
            or report.prepared not in (None, report.map_version)
        )
        return CHANGE_INTERVAL_MS if changing else REPORT_INTERVAL_MS

    async def _keep_telling_group(self):
        while True:
            await self._clock.sleep_ms(self._teller.group_interval_ms())
            self._teller.send_group_notice()

    async def _keep_counting(self):
        """Send the counts of chosen experts to the agent that leads."""
        while True:
            await self._clock.sleep_ms(COUNTS_INTERVAL_MS)
            report = self._report
            if report is None or not report.group or not report.is_open:
                continue
            try:
                notice = await self._counts_notice(report)
            except SendError as error:
                log.debug("rank tells no counts", extra={"reason": str(error)})
                continue
            if notice is None:
                continue
            if self._is_leader():
                self._balancing.add_counts(notice)
                continue
            data = encoder.encode(notice)
            if len(data) > LIMIT_BYTES:
                log.warn("counts too large", extra={"bytes": len(data)})
                continue
            for ip in self._teller.leader_ips():
                self.send_data(ip, data)

    async def _counts_notice(self, report):
        version, held = await self._port.resident_experts()
        counts = await self._port.expert_counts(sets_count=len(held))
        key = (report.born_ms, report.group, report.epoch)
        grown = self._growth.since_last(counts, key=key)
        if grown is None:
            return None
        scales, packed = pack(grown)
        return CountsNotice(
            format=FORMAT,
            address=self._settings.target_address,
            born_ms=report.born_ms,
            group=report.group,
            epoch=report.epoch,
            rank=report.rank,
            scales=scales,
            grown=packed,
            map_version=version,
            held=held,
        )

    async def _report_now(self):
        try:
            report = await self._port.report()
        except SendError as error:
            log.debug("rank does not report", extra={"reason": str(error)})
            return
        self._take_report(report)

    def _take_report(self, report):
        self._report = report
        if report is not None and report.group:
            self._teller.send_rank_notice(report)


def _reload():
    log.info("settings reloaded: nothing in them may change at run time")
