"""The agent of one rank.

It sends the rank's load to the gateways, passes orders on to the rank, and leads
the map changes of the group if the rank is rank 0.
"""

import asyncio
import signal

import logbook
import msgspec

from .._clock import processor_ms
from .._gateway.answer_doubts import answer_doubts
from .._gateway.answer_sizes import answer_sizes
from .._gateway.endpoint import NoticeEndpoint
from .._gateway.errors import SendError
from .._gateway.notices import (
    AskCountsNotice,
    AskMapNotice,
    CountsNotice,
    GatewayNotice,
    MapNotice,
    OrderNotice,
    RankNotice,
)
from .._tasks import ProcessTasks
from .count_collector import CountCollector
from .leader import Leader
from .map_balancer import MapBalancer
from .metrics import AgentMetrics
from .notice_sender import ANNOUNCEMENT_INTERVAL_MS, REPORT_INTERVAL_MS, NoticeSender
from .order_dispatcher import OrderDispatcher
from .remote_ranks import RemoteRanks
from .view import FOLLOWER_INTERVAL_MS, GroupView

log = logbook.Logger("agent")

# Reports are polled faster during a map change, which waits for them several times.
CHANGE_INTERVAL_MS = 25.0
# A rank without requests is read less often: most of what an agent does is reading.
IDLE_REPORT_INTERVAL_MS = 150.0
IDLE_AFTER_MS = 1000.0
# Ranks that moved to another host are found within seconds.
DIRECTORY_INTERVAL_MS = 5000.0
# The agent of rank 1 takes over from a leader that is silent for DEPUTY_SILENCE_MS,
# at least four reports. The agent of each further rank waits DEPUTY_DELAY_MS longer.
DEPUTY_SILENCE_MS = 400.0
DEPUTY_DELAY_MS = 300.0
CALL_RETRY_MS = 300.0


class RankAgent(NoticeEndpoint):
    """Runs the tasks of one agent process and connects its parts.

    Args:
        settings: The ``RankSettings``.
        port: The ``RankPort`` of the rank on this host.
        make_port: ``make_port(address)`` returns the ``RankPort`` of the rank at
            ``IP:PORT``.
        directory: An object whose coroutine ``read`` returns the addresses of all
            ranks of the service as ``(ip, port)``, and the ``GroupShape``; either
            is ``None`` while unknown.
    """

    def __init__(self, *, clock, settings, port, make_port, directory):
        super().__init__(ip=settings.peers_ip, port=settings.peers_port)
        self._clock = clock
        self._settings = settings
        self._port = port
        self._directory = directory
        self._report = None
        self._busy_ms = float("-inf")  # When the rank last had requests.
        self._stop = asyncio.Event()
        self.tasks = ProcessTasks(on_failure=self._stop.set)
        self.metrics = AgentMetrics(gauges=self._gauges)
        started_ms = clock.wall_ms()
        self.view = GroupView(clock=clock)
        self._notice_sender = NoticeSender(
            clock=clock,
            settings=settings,
            view=self.view,
            send=self.send_data,
            started_ms=started_ms,
        )
        self.leader = Leader(
            clock=clock,
            view=self.view,
            send=lambda rank, order, via=None: self._order_dispatcher.send(
                rank, order, via=via
            ),
            token=started_ms,
        )
        self.remote_ranks = RemoteRanks(
            clock=clock,
            view=self.view,
            leader=self.leader,
            make_port=make_port,
            is_deputy=self._is_deputy,
        )
        self._order_dispatcher = OrderDispatcher(
            clock=clock,
            port=port,
            view=self.view,
            remote_ranks=self.remote_ranks,
            send=self.send_data,
            spawn=self.tasks.spawn,
            on_accepted=self._fetch_report,
            count=self.metrics.count,
        )
        self.map_balancer = MapBalancer(
            clock=clock,
            view=self.view,
            leader=self.leader,
            policy=settings.map_policy,
            count=self.metrics.count,
        )
        self._count_collector = CountCollector(
            clock=clock,
            port=port,
            view=self.view,
            report=lambda: self._report,
            is_leader=self._is_leader,
            map_balancer=self.map_balancer,
            send=self.send_data,
            spawn=self.tasks.spawn,
        )
        self._handlers = {
            RankNotice: self.view.update,
            CountsNotice: self._count_collector.handle_counts,
            OrderNotice: self._order_dispatcher.enqueue,
            MapNotice: self._order_dispatcher.map_spreader.handle_notice,
            AskMapNotice: self._order_dispatcher.map_spreader.handle_ask,
        }

    async def run(self):
        """Run until a signal stops the process or one of its tasks fails."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stop.set)
        loop.add_signal_handler(signal.SIGINT, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, _ignore_reload)
        await self.open_endpoint()
        if self._settings.metrics_port:
            await self.metrics.serve(
                self._settings.peers_ip, self._settings.metrics_port
            )
        for coroutine in (
            self._refresh_directory(),
            self._poll_reports(),
            self._send_group_notices(),
            self._count_collector.run(),
            self._order_dispatcher.run(),
            self.remote_ranks.run(),
            self.map_balancer.run(is_leader=self._is_leader, is_deputy=self._is_deputy),
        ):
            self.tasks.spawn(coroutine)
        log.info("agent started", extra={"target": self._settings.target_address})
        await self._stop.wait()
        self.close()
        log.info("agent stopped")

    def close(self):
        """Stop all tasks and close the sockets."""
        self.tasks.cancel()
        self.close_endpoint()
        self.metrics.close()

    def count_malformed(self):
        self.metrics.count("malformed_notices")

    def handle_notice(self, ip, notice):
        if isinstance(notice, GatewayNotice):
            self._notice_sender.record_gateway(ip, data_centre=notice.data_centre)
        elif isinstance(notice, AskCountsNotice):
            self._count_collector.handle_ask(ip, notice)
        elif type(notice) in self._handlers:
            if isinstance(notice, RankNotice) and notice.is_leaving:
                notice = _checked_leaving(ip, notice)
            self._handlers[type(notice)](notice)

    def _gauges(self):
        report = self._report
        gauges = {
            "overlong_answers": answer_sizes.overlong_count,
            "doubtful_answers": answer_doubts.count,
            "processor_ms": round(processor_ms()),
            "ranks_heard": len(self.view.notices()),
            "loop_late_max_ms": round(self.map_balancer.late_max_ms),
        }
        gauges |= self.notice_gauges()
        if report is None:
            return gauges
        return gauges | {
            "rank": report.rank,
            "epoch": report.epoch,
            "open": int(report.is_open),
            "leaving": int(report.is_leaving),
            "step": report.step,
            "map_version": report.map_version,
            "running": report.running_count,
            "waiting": report.waiting_count,
        }

    def _is_leader(self):
        return self.view.own_rank == 0

    def _is_deputy(self):
        """Return whether this agent finishes the map change of a silent leader.

        A second deputy, or the leader itself, may finish or give up the same change at
        the same time without harm: rank 0 accepts only the first of their orders.
        """
        report = self._report
        if report is None or not report.group or report.rank == 0:
            return False
        # A rank that takes part in no unfinished change has nothing to finish.
        if report.armed is None and report.prepared in (None, report.map_version):
            return False
        limit_ms = DEPUTY_SILENCE_MS + DEPUTY_DELAY_MS * (report.rank - 1)
        return self.view.is_agent_silent(0, limit_ms=limit_ms)

    async def _refresh_directory(self):
        """Read the addresses of the ranks and the ``GroupShape`` until cancelled."""
        while True:
            if self._needs_directory():
                addresses, shape = await self._directory.read()
                if addresses is not None:
                    ips = {ip for ip, _ in addresses}
                    self._notice_sender.rank_ips = ips - {self._settings.peers_ip}
                if shape is not None:
                    self.map_balancer.shape = shape
            is_known = (
                self.map_balancer.shape is not None and self._notice_sender.rank_ips
            )
            await self._clock.sleep_ms(
                DIRECTORY_INTERVAL_MS if is_known else ANNOUNCEMENT_INTERVAL_MS
            )

    def _needs_directory(self):
        """Return whether the shape or the address of a rank is unknown."""
        if self.map_balancer.shape is None or self.view.size == 0:
            return True
        return len(self.view.notices()) < self.view.size

    async def _poll_reports(self):
        while True:
            try:
                report = await self._port.report()
            except SendError as error:
                self.metrics.count("failed_reports")
                log.debug("reading the report failed", extra={"reason": str(error)})
                await self._clock.sleep_ms(CALL_RETRY_MS)
                continue
            self._handle_report(report)
            await self._clock.sleep_ms(self._report_interval_ms(report))

    def _report_interval_ms(self, report):
        changing = report is not None and (
            report.armed is not None
            or report.held is not None
            or report.prepared not in (None, report.map_version)
        )
        if changing:
            return CHANGE_INTERVAL_MS
        now_ms = self._clock.now_ms()
        if report is not None and (report.running_count or report.waiting_count):
            self._busy_ms = now_ms
        if now_ms - self._busy_ms > IDLE_AFTER_MS:
            return IDLE_REPORT_INTERVAL_MS
        return REPORT_INTERVAL_MS

    async def _send_group_notices(self):
        while True:
            if not self.view.may_lead:
                await self._clock.sleep_ms(FOLLOWER_INTERVAL_MS)
                continue
            await self._clock.sleep_ms(self._notice_sender.group_interval_ms())
            self._notice_sender.send_group_notice()

    async def _fetch_report(self):
        try:
            report = await self._port.report()
        except SendError as error:
            log.debug("reading the report failed", extra={"reason": str(error)})
            return
        self._handle_report(report)

    def _handle_report(self, report):
        was_leaving = self._report is not None and self._report.is_leaving
        if report is not None and report.is_leaving and not was_leaving:
            self.metrics.count("leaving")
            log.info("own rank announced that it leaves", extra={"rank": report.rank})
        self._report = report
        if report is not None and report.group:
            self._notice_sender.send_rank_notice(report)
            if self._is_leader():
                self.map_balancer.record_pass()


def _checked_leaving(ip, notice):
    """Return a ``RankNotice`` that says so only of a rank on the sender's host."""
    if ip == notice.address.rpartition(":")[0]:
        return notice
    log.warn(
        "leaving rank announced by another host",
        extra={"sender": ip, "target": notice.address},
    )
    return msgspec.structs.replace(notice, is_leaving=False)


def _ignore_reload():
    log.info("SIGHUP ignored: settings cannot change at run time")
