"""The agent beside one rank: tells its load on, gives it orders, may lead its group."""

import asyncio
import signal

import logbook
import msgspec

from .._gateway.errors import SendError
from .._gateway.notices import (
    FORMAT,
    LIMIT_BYTES,
    CountsNotice,
    GatewayNotice,
    OrderNotice,
    RankNotice,
    decoder,
    encoder,
)
from .balancing import Balancing
from .leader import Leader
from .model import Order, OrderKind
from .view import GroupView

log = logbook.Logger("agent")

REPORT_INTERVAL_MS = 150.0  # Below the time that a request holds its place.
CHANGE_INTERVAL_MS = 25.0  # A change waits for each rank's report several times.
COUNTS_INTERVAL_MS = 400.0
GREETING_INTERVAL_MS = 1000.0
TARGETS_INTERVAL_MS = 5000.0  # Ranks that moved are found within seconds.
GATEWAY_SILENCE_MS = 6000.0
# An agent that is silent for two reports while a pass is held back is frozen or
# cut off; its rank is then read and ordered from here.
AGENT_SILENCE_MS = 350.0
REACH_INTERVAL_MS = 100.0
DEPUTY_SILENCE_MS = 700.0  # Four reports; the others take over one by one.
DEPUTY_STEP_MS = 300.0
CALL_RETRY_MS = 300.0


class RankAgent(asyncio.DatagramProtocol):
    """One agent process.

    Args:
        settings: The ``RankSettings``.
        port: The ``RankPort`` of the rank on this machine.
        make_port: Returns a ``RankPort`` of the rank at an ``IP:PORT``.
        directory: Has ``read``: returns the addresses of all ranks of the
            service and the ``GroupShape``, or ``None`` for either.
    """

    def __init__(self, *, clock, settings, port, make_port, directory):
        self._clock = clock
        self._settings = settings
        self._port = port
        self._make_port = make_port
        self._far_ports = {}
        self._directory = directory
        self._transport = None
        self._started_ms = clock.wall_ms()
        self._sequence = 0
        self._gateways_heard_ms = {}
        self._seeds = {seed.rpartition(":")[0] for seed in settings.seeds}
        self._rank_ips = set()
        self._greeted_ms = float("-inf")
        self._report = None
        self._last_state = None
        self._last_sent_ms = float("-inf")
        self._orders = asyncio.Queue()
        self._queued_orders = set()
        self._stop = asyncio.Event()
        self._tasks = set()
        self.view = GroupView(clock=clock)
        self.leader = Leader(
            clock=clock, group=self.view, send=self._send_order, token=self._started_ms
        )
        self._balancing = Balancing(
            clock=clock, view=self.view, leader=self.leader, policy=settings.map_policy
        )

    async def run(self):
        """Run until a signal says stop."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stop.set)
        loop.add_signal_handler(signal.SIGINT, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, _reload)
        address = (self._settings.peers_ip, self._settings.peers_port)
        await loop.create_datagram_endpoint(lambda: self, local_addr=address)
        for coroutine in (
            self._keep_directory(),
            self._keep_reporting(),
            self._keep_counting(),
            self._give_orders(),
            self._keep_reaching(),
            self._balancing.run(is_leader=self._is_leader, is_deputy=self._is_deputy),
        ):
            self._spawn(coroutine)
        log.info("agent is up", extra={"target": self._settings.target_address})
        await self._stop.wait()
        self.close()
        log.info("agent has ended")

    def close(self):
        """Send and take in nothing more."""
        for task in list(self._tasks):
            task.cancel()
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport):
        self._transport = transport

    def error_received(self, exc):
        log.debug("a notice came back", extra={"reason": repr(exc)})

    def datagram_received(self, data, address):
        try:
            notice = decoder.decode(data)
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            log.warn("malformed notice", extra={"reason": str(error)})
            return
        if notice.format != FORMAT:
            return
        if isinstance(notice, GatewayNotice):
            self._gateways_heard_ms[address[0]] = self._clock.now_ms()
        elif isinstance(notice, RankNotice):
            self.view.take(notice)
        elif isinstance(notice, CountsNotice):
            self._balancing.take_counts(notice)
        elif isinstance(notice, OrderNotice):
            self._take_order(notice)

    def _take_order(self, notice):
        """Queue an order unless the same one waits already."""
        if notice.kind not in {kind.value for kind in OrderKind}:
            log.warn("unknown order", extra={"kind": notice.kind[:40]})
            return
        key = (notice.kind, notice.epoch, notice.orders_count, notice.step)
        if key not in self._queued_orders:
            self._queued_orders.add(key)
            self._orders.put_nowait((key, notice))

    def _is_leader(self):
        report = self._report
        return report is not None and report.rank == 0 and bool(report.group)

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
        return self.view.agent_silent(0, limit_ms=limit_ms)

    async def _keep_reaching(self):
        """Read ranks that tell nothing while a change may be under way.

        The leader reads those whose agents are silent. A deputy hears only of
        rank 0 and reads every rank, so that it decides on nothing old.
        """
        while True:
            await self._clock.sleep_ms(REACH_INTERVAL_MS)
            deputy = self._is_deputy()
            if not (self.leader.is_unfinished() if self._is_leader() else deputy):
                continue
            for rank, known in list(self.view.notices().items()):
                own = rank == self._report.rank
                if not own and (deputy or self._is_far(rank)):
                    await self._read_far(rank, known)

    def _is_far(self, rank):
        """Return whether a rank has to be reached from here."""
        if self._report is None or rank == self._report.rank:
            return False
        if not self._is_leader():
            return True
        return self.view.agent_silent(rank, limit_ms=AGENT_SILENCE_MS)

    def _far_port(self, address):
        if address not in self._far_ports:
            self._far_ports[address] = self._make_port(address)
        return self._far_ports[address]

    async def _read_far(self, rank, known):
        try:
            report = await self._far_port(known.address).report()
        except SendError as error:
            log.info("rank not read", extra={"rank": rank, "reason": str(error)})
            return
        if report is not None and report.group:
            notice = _rank_notice(report, known.address, known.started_ms)
            read = msgspec.structs.replace(notice, sequence=known.sequence)
            self.view.take_read(rank, read)

    async def _give_far(self, address, order):
        """Give an order to the rank at ``address``, whose own agent is silent."""
        details = {"target": address, "kind": order.kind.value}
        log.info("order from afar", extra=details)
        try:
            await self._far_port(address).give(order)
        except SendError as error:
            log.info("order unanswered", extra=details | {"reason": str(error)})

    async def _keep_directory(self):
        """Learn where the other ranks are, and the shape of their groups."""
        while True:
            addresses, shape = await self._directory.read()
            if addresses is not None:
                self._rank_ips = {ip for ip, _ in addresses}
                self._rank_ips.discard(self._settings.peers_ip)
            if shape is not None:
                self._balancing.shape = shape
            found = self._balancing.shape is not None and self._rank_ips
            await self._clock.sleep_ms(
                TARGETS_INTERVAL_MS if found else GREETING_INTERVAL_MS
            )

    async def _keep_reporting(self):
        while True:
            try:
                report = await self._port.report()
            except SendError as error:
                log.debug("rank does not report", extra={"reason": str(error)})
                await self._clock.sleep_ms(CALL_RETRY_MS)
                continue
            self._report = report
            if report is not None and report.group:
                self._tell(report)
            await self._clock.sleep_ms(self._interval_ms(report))

    def _interval_ms(self, report):
        changing = report is not None and (
            report.armed is not None
            or report.held is not None
            or report.prepared not in (None, report.map_version)
        )
        return CHANGE_INTERVAL_MS if changing else REPORT_INTERVAL_MS

    def _tell(self, report):
        """Send the report to those whom it concerns."""
        self._sequence += 1
        notice = msgspec.structs.replace(
            _rank_notice(report, self._settings.target_address, self._started_ms),
            sequence=self._sequence,
        )
        self.view.own(notice)
        data = encoder.encode(notice)
        now_ms = self._clock.now_ms()
        state = (report.map_version, report.prepared, report.armed, report.held)
        news = state != self._last_state
        self._last_state = state
        if now_ms - self._greeted_ms >= GREETING_INTERVAL_MS:
            self._greeted_ms = now_ms
            receivers = self._rank_ips | self._gateways(now_ms)
        elif now_ms - self._last_sent_ms >= REPORT_INTERVAL_MS / 2:
            receivers = self._leader_ips() | self._gateways(now_ms)
            if self._is_leader():
                # The other agents watch that their leader is alive.
                receivers |= self._group_ips()
        elif news or report.step:
            receivers = self._leader_ips()
        else:
            return
        if receivers - self._leader_ips():
            self._last_sent_ms = now_ms
        for ip in receivers:
            self._transport.sendto(data, (ip, self._settings.peers_port))

    def _gateways(self, now_ms):
        heard = {
            ip
            for ip, heard_ms in self._gateways_heard_ms.items()
            if now_ms - heard_ms < GATEWAY_SILENCE_MS
        }
        return heard or self._seeds

    def _leader_ips(self):
        first = self.view.notices().get(0)
        if first is None or self._is_leader():
            return set()
        return {first.address.rpartition(":")[0]}

    def _group_ips(self):
        ips = {one.address.rpartition(":")[0] for one in self.view.notices().values()}
        ips.discard(self._settings.peers_ip)
        return ips

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
            if self._is_leader():
                self._balancing.take_counts(notice)
                continue
            data = encoder.encode(notice)
            if len(data) > LIMIT_BYTES:
                log.warn("counts too large", extra={"bytes": len(data)})
                continue
            for ip in self._leader_ips():
                self._transport.sendto(data, (ip, self._settings.peers_port))

    async def _counts_notice(self, report):
        version, held = await self._port.held_experts()
        counts = await self._port.counts(sets_count=len(held))
        return CountsNotice(
            format=FORMAT,
            address=self._settings.target_address,
            born_ms=report.born_ms,
            group=report.group,
            epoch=report.epoch,
            rank=report.rank,
            counts=counts,
            map_version=version,
            held=held,
        )

    def _send_order(self, rank, order):
        """Send an order of this leader to the agent of ``rank``."""
        if self._is_far(rank):
            self._spawn(self._give_far(self.view.address(rank), order))
            return
        notice = OrderNotice(
            format=FORMAT,
            group=self.view.name,
            epoch=order.epoch,
            kind=order.kind.value,
            orders_count=order.orders_count,
            token=order.token,
            step=order.step,
            version=order.version,
            ranks_by_set=order.ranks_by_set,
        )
        if rank == self._report.rank:
            self._take_order(notice)
            return
        ip = self.view.address(rank).rpartition(":")[0]
        data = encoder.encode(notice)
        self._transport.sendto(data, (ip, self._settings.peers_port))

    async def _give_orders(self):
        """Pass orders on to the rank on this machine, one after another."""
        while True:
            key, notice = await self._orders.get()
            self._queued_orders.discard(key)
            if (notice.group, notice.epoch) != (self.view.name, self.view.epoch):
                continue
            order = Order(
                kind=OrderKind(notice.kind),
                epoch=notice.epoch,
                orders_count=notice.orders_count,
                token=notice.token,
                step=notice.step,
                version=notice.version,
                ranks_by_set=notice.ranks_by_set,
            )
            try:
                accepted = await self._port.give(order)
            except SendError as error:
                log.info(
                    "order unanswered",
                    extra={"kind": notice.kind, "reason": str(error)},
                )
                continue
            if accepted:
                await self._report_now()

    async def _report_now(self):
        try:
            report = await self._port.report()
        except SendError as error:
            log.debug("rank does not report", extra={"reason": str(error)})
            return
        self._report = report
        if report is not None and report.group:
            self._tell(report)

    def _spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._task_ended)

    def _task_ended(self, task):
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("a task failed", extra={"reason": repr(task.exception())})
            self._stop.set()


def _rank_notice(report, address, started_ms):
    """Return a report as a notice, still without a number of its own."""
    return RankNotice(
        format=FORMAT,
        address=address,
        started_ms=started_ms,
        sequence=0,
        born_ms=report.born_ms,
        group=report.group,
        epoch=report.epoch,
        rank=report.rank,
        size=report.size,
        is_open=report.is_open,
        step=report.step,
        map_version=report.map_version,
        prepared=report.prepared,
        armed=report.armed,
        held=report.held,
        orders_count=report.orders_count,
        running_count=report.running_count,
        waiting_count=report.waiting_count,
        pace=report.pace,
    )


def _reload():
    log.info("settings reloaded: nothing in them may change at run time")
