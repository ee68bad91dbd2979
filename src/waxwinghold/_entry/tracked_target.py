"""One target as an entry sees it: its link, its reports, its requests."""

import asyncio
from dataclasses import replace

import logbook

from .._keys import random_id
from .._links import LinkDownError
from .._messages import (
    Answer,
    Cancel,
    Chunk,
    End,
    Probe,
    ProbeReply,
    Refused,
    SheetPull,
    Started,
)
from .._policy import Candidate
from .._sheet.model import TargetState

log = logbook.Logger("entry")

PROBE_LIMIT_MS = 400
RETIRE_CHECK_INTERVAL_MS = 200


class TrackedTarget:
    """A target, the link to its agent, and this entry's requests there.

    Args:
        process: The ``EntryProcess``.
        row: The target's row of the sheet.
    """

    def __init__(self, *, process, row):
        self._process = process
        self._clock = process.clock
        self._probes = {}
        self.row = row
        self.listed_leaving = False
        self.in_flight = {}
        self.candidate = Candidate(
            name=row.name,
            data_centre=row.data_centre,
            slots_count=row.slots_count,
            healthy=False,
        )
        self.link = process.open_link(
            handler=self,
            name=row.name,
            address=row.agent_address,
            public_key=row.agent_public_key,
        )
        self._task = process.spawn(self.link.run())

    @property
    def name(self):
        """The target's name."""
        return self.row.name

    @property
    def takes_work(self):
        """Whether the target may get a new request."""
        serving = self.row.state == TargetState.SERVING and not self.listed_leaving
        return serving and self.link.up and not self.link.leaving

    def has_adapter(self, adapter):
        """Return whether the sheet puts ``adapter`` on the target, or it is empty."""
        return not adapter or adapter in self.row.adapters

    def update_row(self, row):
        """Take over a changed row of the same place."""
        self.row = row
        self._update(slots_count=row.slots_count)

    def add(self, exchange):
        """Count a request that is sent to the target."""
        self.in_flight[exchange.request_id] = exchange
        self._update(local_in_flight_count=len(self.in_flight))

    def remove(self, exchange):
        """Count a request that has ended here."""
        if self.in_flight.pop(exchange.request_id, None) is not None:
            self._update(local_in_flight_count=len(self.in_flight))

    async def retire(self, *, limit_ms):
        """Close the link once the requests in flight have ended."""
        end_ms = self._clock.now_ms() + limit_ms
        while self.in_flight and self._clock.now_ms() < end_ms:
            await self._clock.sleep_ms(RETIRE_CHECK_INTERVAL_MS)
        self._task.cancel()

    async def probe(self):
        """Return whether the agent finds its target healthy at this moment."""
        probe = Probe(probe_id=random_id())
        reply = asyncio.get_running_loop().create_future()
        self._probes[probe.probe_id] = reply
        try:
            self.link.send(probe)
            async with asyncio.timeout(PROBE_LIMIT_MS / 1000):
                answer = await reply
        except (LinkDownError, TimeoutError):
            return False
        finally:
            del self._probes[probe.probe_id]
        self._update(healthy=answer.healthy)
        return answer.healthy and not answer.leaving

    def cancel(self, *, request_id, customer):
        """Ask the target to stop a request, if there is a link to ask over."""
        try:
            self.link.send(Cancel(request_id=request_id, customer=customer))
        except LinkDownError:
            log.debug('cancel of "{}" not sent: link down', request_id)

    def on_up(self, link):
        """Take in a new connection."""
        self._update(healthy=True, report=None)
        for exchange in list(self.in_flight.values()):
            exchange.link_is_up()

    def on_down(self, link):
        """Tell every request in flight that the link is gone."""
        self._update(healthy=False)
        for exchange in list(self.in_flight.values()):
            exchange.link_is_down()

    def on_heartbeat(self, link, heartbeat):
        """Take in the target's report."""
        if heartbeat.report is None:
            return
        self._update(
            report=heartbeat.report,
            report_at_ms=self._clock.now_ms(),
            in_flight_at_report_count=len(self.in_flight),
            healthy=heartbeat.report.healthy,
        )

    def on_leaving(self, link, message):
        """Record that the target leaves; the link's own mark keeps work away."""
        self._process.audit.record(
            what="target.leaving",
            subject=self.name,
            before="serving",
            after="leaving",
            reason=message.reason,
            by=self.name,
        )

    def on_message(self, link, message):
        """Hand a message to the request or the module that it belongs to."""
        if isinstance(message, Chunk | End | Answer | Refused | Started):
            exchange = self.in_flight.get(message.request_id)
            if exchange is not None:
                exchange.deliver(message)
        elif isinstance(message, ProbeReply):
            reply = self._probes.get(message.probe_id)
            if reply is not None and not reply.done():
                reply.set_result(message)
        elif isinstance(message, SheetPull):
            # Agents take the sheet from entries, and never the other way round.
            self._process.on_sheet_message(link, message)

    def _update(self, **changes):
        self.candidate = replace(self.candidate, **changes)
