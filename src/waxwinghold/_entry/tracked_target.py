"""An entry's record of one target: link, load report and requests in flight."""

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
    """A target with the link to its agent and this entry's requests in flight there.

    Args:
        process: The ``EntryProcess``.
        row: The target's row in the sheet.
    """

    def __init__(self, *, process, row):
        self._process = process
        self._clock = process.clock
        self._probes = {}
        self.row = row
        self.listed_leaving = False
        self._target_incarnation = ""
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
        return self.is_serving and not self.is_leaving and not self.pause_left_ms

    @property
    def incarnation(self):
        """The incarnations of the agent and, if it names one, of its target."""
        return f"{self.name}/{self.link.incarnation}/{self._target_incarnation}"

    @property
    def is_leaving(self):
        """Whether the target itself has announced that it leaves."""
        return self._process.target_signals.is_leaving(
            self.incarnation, now_ms=self._clock.now_ms()
        )

    @property
    def pause_left_ms(self):
        """The rest of the pause that the target asked for in ms; 0 for none."""
        return self._process.target_signals.pause_left_ms(
            self.incarnation, now_ms=self._clock.now_ms()
        )

    @property
    def is_serving(self):
        """Whether neither the sheet, the platform nor the agent forbids requests."""
        serving = self.row.state == TargetState.SERVING and not self.listed_leaving
        return serving and self.link.up and not self.link.leaving

    def has_adapter(self, adapter):
        """Return whether the sheet lists ``adapter`` for the target.

        Args:
            adapter: Name of the adapter; empty for none, which every target has.
        """
        return not adapter or adapter in self.row.adapters

    def update_row(self, row):
        """Use a changed row of the same target."""
        self.row = row
        self._update_candidate(slots_count=row.slots_count)

    def add(self, exchange):
        """Add a request to those in flight at the target."""
        self.in_flight[exchange.request_id] = exchange
        self._update_candidate(local_in_flight_count=len(self.in_flight))

    def remove(self, exchange):
        """Remove a request from those in flight at the target."""
        if self.in_flight.pop(exchange.request_id, None) is not None:
            self._update_candidate(local_in_flight_count=len(self.in_flight))

    async def retire(self, *, limit_ms):
        """Close the link once no request is in flight.

        Args:
            limit_ms: The longest wait for requests in flight.
        """
        end_ms = self._clock.now_ms() + limit_ms
        while self.in_flight and self._clock.now_ms() < end_ms:
            await self._clock.sleep_ms(RETIRE_CHECK_INTERVAL_MS)
        self._task.cancel()

    async def probe(self):
        """Probe the agent; return whether its target is healthy and not leaving."""
        probe = Probe(probe_id=random_id())
        reply_future = asyncio.get_running_loop().create_future()
        self._probes[probe.probe_id] = reply_future
        try:
            self.link.send(probe)
            async with asyncio.timeout(PROBE_LIMIT_MS / 1000):
                probe_reply = await reply_future
        except (LinkDownError, TimeoutError):
            return False
        finally:
            del self._probes[probe.probe_id]
        self._update_candidate(healthy=probe_reply.healthy)
        return probe_reply.healthy and not probe_reply.leaving

    def cancel(self, *, request_id, customer):
        """Ask the target to stop a request; do nothing if the link is down."""
        try:
            self.link.send(Cancel(request_id=request_id, customer=customer))
        except LinkDownError:
            log.debug('cancel of request "{}" not sent: link down', request_id)

    def on_up(self, link):
        """Mark the target as healthy and notify the requests in flight."""
        self._update_candidate(healthy=True, report=None)
        for exchange in list(self.in_flight.values()):
            exchange.queue_link_up()

    def on_down(self, link):
        """Mark the target as unhealthy and notify the requests in flight."""
        self._update_candidate(healthy=False)
        for exchange in list(self.in_flight.values()):
            exchange.queue_link_down()

    def record_pause(self, pause_ms):
        """Record that the target wants no requests for ``pause_ms``."""
        is_new = not self.pause_left_ms
        self._process.target_signals.record_pause(
            self.incarnation, pause_ms=pause_ms, now_ms=self._clock.now_ms()
        )
        if is_new and self.pause_left_ms:
            self._process.metrics.count("paused_targets")
            details = {"target": self.name, "pause_ms": round(pause_ms)}
            log.info("target asked for a pause", extra=details)

    def _record_signals(self, report):
        self._target_incarnation = report.target_incarnation
        if report.pause_left_ms > 0:
            self.record_pause(report.pause_left_ms)
        if report.target_leaving and self._process.target_signals.record_leaving(
            self.incarnation, now_ms=self._clock.now_ms()
        ):
            self._process.metrics.count("leaving_targets")
            log.info("target announced that it leaves", extra={"target": self.name})

    def on_heartbeat(self, link, heartbeat):
        """Record the target's load report."""
        if heartbeat.report is None:
            return
        self._record_signals(heartbeat.report)
        self._update_candidate(
            report=heartbeat.report,
            report_at_ms=self._clock.now_ms(),
            in_flight_at_report_count=len(self.in_flight),
            healthy=heartbeat.report.healthy,
        )

    def on_leaving(self, link, message):
        """Record in the audit trail that the target is leaving.

        The link's ``leaving`` attribute is what stops new requests.
        """
        self._process.audit.record(
            what="target.leaving",
            subject=self.name,
            before="serving",
            after="leaving",
            reason=message.reason,
            by=self.name,
        )

    def on_message(self, link, message):
        """Pass a message to the request or probe that it answers, or to the process."""
        if isinstance(message, Chunk | End | Answer | Refused | Started):
            exchange = self.in_flight.get(message.request_id)
            if exchange is not None:
                exchange.deliver(message)
        elif isinstance(message, ProbeReply):
            reply_future = self._probes.get(message.probe_id)
            if reply_future is not None and not reply_future.done():
                reply_future.set_result(message)
        elif isinstance(message, SheetPull):
            # Agents get the sheet from entries; entries never get it from agents.
            self._process.on_sheet_message(link, message)

    def _update_candidate(self, **changes):
        self.candidate = replace(self.candidate, **changes)
