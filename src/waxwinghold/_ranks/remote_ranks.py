"""Calls to ranks on other hosts whose own agents are silent."""

import logbook
import msgspec

from .._gateway.errors import SendError
from .notice_sender import rank_notice

log = logbook.Logger("remote_ranks")

# An agent that sends nothing for two reports is taken to be frozen or unreachable. The
# leader then sends orders directly to the rank of that agent and, while a step is held,
# reads the rank's reports.
AGENT_SILENCE_MS = 350.0
READ_INTERVAL_MS = 100.0


class RemoteRanks:
    """Reads ranks on other hosts and sends them orders during a map change.

    The leader does so for the ranks whose agents are silent. A deputy does so for
    every other rank: apart from announcements, it gets only the notices of rank 0, and
    it must decide on current reports.

    Args:
        view: The ``GroupView``.
        leader: The ``Leader`` of this agent.
        make_port: ``make_port(address)`` returns the ``RankPort`` of the rank at
            ``IP:PORT``.
        is_deputy: Returns whether this agent finishes the change of a silent leader.
    """

    def __init__(self, *, clock, view, leader, make_port, is_deputy):
        self._clock = clock
        self._view = view
        self._leader = leader
        self._make_port = make_port
        self._is_deputy = is_deputy
        self._ports = {}

    async def run(self):
        """Read remote ranks periodically until cancelled."""
        while True:
            await self._clock.sleep_ms(READ_INTERVAL_MS)
            is_deputy = self._is_deputy()
            is_leader = self._view.own_rank == 0
            if not (self._leader.is_unfinished() if is_leader else is_deputy):
                continue
            for rank, notice in list(self._view.notices().items()):
                is_own = rank == self._view.own_rank
                if not is_own and (is_deputy or self.is_remote(rank)):
                    await self.read(rank, notice)

    def is_remote(self, rank):
        """Return whether to call the rank directly, not through its agent."""
        if self._view.own_rank in (None, rank):
            return False
        if self._view.own_rank != 0:
            return True
        return self._view.is_agent_silent(rank, limit_ms=AGENT_SILENCE_MS)

    async def read(self, rank, previous):
        """Read a rank's report and apply it to the view.

        Args:
            rank: Number of the rank.
            previous: The latest notice of that rank.
        """
        try:
            report = await self._port(previous.address).report()
        except SendError as error:
            log.info(
                "reading the report of a remote rank failed",
                extra={"rank": rank, "reason": str(error)},
            )
            return
        if report is not None and report.group:
            notice = rank_notice(report, previous.address, previous.started_ms)
            updated = msgspec.structs.replace(notice, sequence=previous.sequence)
            self._view.update_from_report(rank, updated)

    async def send_order(self, address, order):
        """Send an ``Order`` to the rank at ``address``, ``IP:PORT``."""
        details = {"target": address, "kind": order.kind.value}
        log.info("order sent to a remote rank", extra=details)
        try:
            await self._port(address).send_order(order)
        except SendError as error:
            log.info("order unanswered", extra=details | {"reason": str(error)})

    def _port(self, address):
        if address not in self._ports:
            self._ports[address] = self._make_port(address)
        return self._ports[address]
