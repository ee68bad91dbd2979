"""The process of the agent role, which serves one target."""

import msgspec

from .._errors import RequestError
from .._process import Process
from .._sheet.index import index_sheet
from .announcements import Announcements
from .fencing import FencingNumbers
from .group import GroupMembership
from .handler import AgentHandler
from .ledger import Ledger
from .monitor import TargetMonitor
from .orders import OrderClient
from .queueing import FairQueue
from .rebalancing import Rebalancer
from .reconciler import Reconciler
from .runner import Runner
from .target import TargetClient

# Slots of a target that no sheet lists, as before the first sheet.
UNLISTED_SLOTS_COUNT = 1


class AgentProcess(Process):
    """Queues and runs the requests that entries send for one target."""

    role = "agent"

    def __init__(self, *, clock, settings):
        super().__init__(clock=clock, settings=settings)
        self._index = None
        self._last_kind = None
        self.queue = FairQueue(limit_count=settings.queue_limit_count)
        self.ledger = Ledger(clock=clock, limit_bytes=settings.ledger_limit_bytes)
        self.store.listen(self._sheet_changed)
        self.announcements = Announcements(
            clock=clock, metrics=self.metrics, on_change=self._reject_queued
        )
        self.metrics.gauge("target_leaving", lambda: self.announcements.is_leaving)
        self.metrics.gauge("pause_left_ms", lambda: self.announcements.pause_left_ms)
        self.metrics.gauge(
            "target_limit_per_second",
            lambda: self.announcements.limit_per_second or 0.0,
        )
        self.client = None
        self.monitor = None
        self.runner = None
        self.reconciler = None
        self.group = None
        self._order_client = None
        self._entry_contact_ms = None
        self._handler = None

    @property
    def target(self):
        """The sheet's row of this agent's target, or ``None``."""
        return self._index and self._index.targets.get(self.settings.name)

    def kind(self):
        """Return the ``Kind`` of the target's service, or ``None``."""
        target = self.target
        return target and self._index.services[target.service].kind

    def last_kind(self):
        """Return the ``Kind`` from the last sheet that lists the target.

        Requests in flight when a new sheet removes the target still need it.
        """
        return self._last_kind

    def slots_count(self):
        """Return how many requests the target may run at once."""
        target = self.target
        return target.slots_count if target else UNLISTED_SLOTS_COUNT

    def share_of(self, customer):
        """Return the customer's share of a busy target."""
        row = self._index.customers.get(customer) if self._index else None
        return row.share if row else 1.0

    def record_entry_contact(self):
        """Record that an entry has just sent its sheet version."""
        self._entry_contact_ms = self.clock.now_ms()

    def may_send_orders(self):
        """Return whether the sheet is recent enough to send orders to the target."""
        if self._entry_contact_ms is None or self.store.current is None:
            return False
        age_ms = self.clock.now_ms() - self._entry_contact_ms
        return age_ms < self.settings.silence_limit_ms and not self.replicator.is_behind

    def make_handler(self):
        trace_configs = [self.announcements.trace_config()]
        self.client = TargetClient(
            url=self.settings.target_url,
            silence_ms=self.settings.target_silence_ms,
            trace_configs=trace_configs,
        )
        self.monitor = TargetMonitor(
            clock=self.clock,
            client=self.client,
            interval_ms=self.settings.health_interval_ms,
            kind=self.kind,
        )
        self.runner = Runner(
            clock=self.clock,
            queue=self.queue,
            ledger=self.ledger,
            client=self.client,
            monitor=self.monitor,
            metrics=self.metrics,
            slots_count=self.slots_count,
            kind=self.last_kind,
            check_target=self.announcements.check,
        )
        self._order_client = OrderClient(
            url=self.settings.target_url,
            fencing=FencingNumbers(clock=self.clock),
            trace_configs=trace_configs,
        )
        self.reconciler = Reconciler(process=self, order_client=self._order_client)
        self.group = GroupMembership(
            process=self,
            order_client=self._order_client,
            make_rebalancer=self._make_rebalancer,
        )
        self._handler = AgentHandler(process=self)
        return self._handler

    async def start_role(self):
        self.spawn(self.monitor.run())
        self.spawn(self.runner.run())
        self.spawn(self.reconciler.run())
        self.spawn(self._handler.housekeep())

    async def stop_role(self):
        await self.client.close()
        await self._order_client.close()

    def unfinished_count(self):
        return self._handler.unfinished_count

    def report(self):
        report = self.monitor.report(
            waiting_count=len(self.queue),
            running_count=self.runner.running_count,
            slots_count=self.slots_count(),
            ready=self.reconciler.ready,
            queue_wait_ms=self.runner.queue_wait_ms,
        )
        return msgspec.structs.replace(
            report,
            target_incarnation=self.announcements.incarnation,
            target_leaving=self.announcements.is_leaving,
            pause_left_ms=round(self.announcements.pause_left_ms, 1),
        )

    def status(self):
        status = super().status()
        status.update(
            target_healthy=self.monitor.healthy,
            target_ready=self.reconciler.ready,
            target_leaving=self.announcements.is_leaving,
            pause_left_ms=round(self.announcements.pause_left_ms),
            waiting_count=len(self.queue),
            running_count=self.runner.running_count,
            slots_count=self.slots_count(),
            keys_count=len(self.ledger),
            ledger_bytes=self.ledger.used_bytes,
            **self.group.status(),
        )
        return status

    def _make_rebalancer(self, group):
        return Rebalancer(
            name=self.settings.name,
            group=group,
            index=lambda: self._index,
            read=self._order_client.read,
            clock=self.clock,
            audit=self.audit,
        )

    def _reject_queued(self):
        """Reject the waiting requests if the target may not get any now."""
        try:
            self.announcements.check()
        except RequestError as error:
            self.runner.reject_queued(error)

    def _sheet_changed(self, old, new):
        self._index = index_sheet(new)
        self._last_kind = self.kind() or self._last_kind
        if self.runner is not None:
            self.runner.wake()
            self.reconciler.wake()
            self.group.apply(self._index)
