"""Ranks whose own agents are silent: read and ordered from another machine."""

import logbook
import msgspec

from .._gateway.errors import SendError
from .notice_sender import rank_notice

log = logbook.Logger("far")

# An agent that is silent for two reports while a pass is held back is frozen or
# cut off; its rank is then read and ordered from here.
AGENT_SILENCE_MS = 350.0
REACH_INTERVAL_MS = 100.0


class RemoteRanks:
    """Reaches the ranks of other machines while a change may be under way.

    The leader reads those whose agents are silent. A deputy hears only of
    rank 0 and reads every rank, so that it decides on nothing old.

    Args:
        view: The ``GroupView``.
        leader: The ``Leader`` of this agent.
        make_port: Returns a ``RankPort`` of the rank at an ``IP:PORT``.
        is_deputy: Tells whether this agent finishes what a silent leader began.
    """

    def __init__(self, *, clock, view, leader, make_port, is_deputy):
        self._clock = clock
        self._view = view
        self._leader = leader
        self._make_port = make_port
        self._is_deputy = is_deputy
        self._ports = {}

    async def run(self):
        """Read such ranks until cancelled."""
        while True:
            await self._clock.sleep_ms(REACH_INTERVAL_MS)
            deputy = self._is_deputy()
            leads = self._view.own_rank == 0
            if not (self._leader.is_unfinished() if leads else deputy):
                continue
            for rank, known in list(self._view.notices().items()):
                own = rank == self._view.own_rank
                if not own and (deputy or self.is_remote(rank)):
                    await self.read(rank, known)

    def is_remote(self, rank):
        """Return whether a rank has to be reached from here."""
        if self._view.own_rank in (None, rank):
            return False
        if self._view.own_rank != 0:
            return True
        return self._view.is_agent_silent(rank, limit_ms=AGENT_SILENCE_MS)

    async def read(self, rank, known):
        """Read a rank's report into the view.

        Args:
            known: The latest notice of that rank.
        """
        try:
            report = await self._port(known.address).report()
        except SendError as error:
            log.info("rank not read", extra={"rank": rank, "reason": str(error)})
            return
        if report is not None and report.group:
            notice = rank_notice(report, known.address, known.started_ms)
            read = msgspec.structs.replace(notice, sequence=known.sequence)
            self._view.update_from_report(rank, read)

    async def send_order(self, address, order):
        """Give an order to the rank at ``address``."""
        details = {"target": address, "kind": order.kind.value}
        log.info("order from afar", extra=details)
        try:
            await self._port(address).send_order(order)
        except SendError as error:
            log.info("order unanswered", extra=details | {"reason": str(error)})

    def _port(self, address):
        if address not in self._ports:
            self._ports[address] = self._make_port(address)
        return self._ports[address]
