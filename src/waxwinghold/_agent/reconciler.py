"""Brings a model engine to the version and adapters that the sheet lists."""

import asyncio
from dataclasses import dataclass

import logbook

from .._errors import DrainingError
from .._sheet.model import Kind
from .fencing import SupersededError
from .orders import EngineUnreachableError, OrderRefusedError

log = logbook.Logger("agent")

INTERVAL_MS = 2000
DRAIN_CHECK_INTERVAL_MS = 50


@dataclass(frozen=True, kw_only=True)
class EngineModel:
    """The model version and the adapters that an engine reports."""

    version: str
    adapters: frozenset[str]


class Reconciler:
    """Compares the engine with the sheet and sends orders until both agree.

    Orders are sent only if an entry was in contact recently, so that an agent
    that was paused first receives the changes that it has missed.

    Args:
        process: The ``AgentProcess``.
        order_client: The ``OrderClient`` that sends orders to the engine.

    Attributes:
        engine_model: The ``EngineModel`` last read; ``None`` if unknown.
    """

    def __init__(self, *, process, order_client):
        self._process = process
        self._clock = process.clock
        self._order_client = order_client
        self._wake = asyncio.Event()
        self._superseded = False
        self.engine_model = None

    @property
    def ready(self):
        """Whether the target has the sheet's version; true for a plain service."""
        target = self._process.target
        if target is None:
            return False
        if self._process.kind() == Kind.PLAIN:
            return True
        return (
            self.engine_model is not None
            and self.engine_model.version == target.version
        )

    def wake(self):
        """Compare at once, as the sheet has changed."""
        self._wake.set()

    async def run(self):
        """Compare and send orders, until cancelled."""
        while True:
            if self._process.kind() == Kind.MODEL and not self._superseded:
                await self._reconcile_safely()
            try:
                async with asyncio.timeout(INTERVAL_MS / 1000):
                    await self._wake.wait()
            except TimeoutError:
                pass
            self._wake.clear()

    async def _reconcile_safely(self):
        try:
            await self._reconcile()
        except EngineUnreachableError as error:
            self.engine_model = None
            log.debug("cannot read the engine's model: {}", error)
        except OrderRefusedError as error:
            log.warn("{}", error)
        except SupersededError as error:
            # A newer agent controls the engine, so this one must not.
            self._superseded = True
            self._process.drain(reason=str(error), by=self._process.settings.name)

    async def _reconcile(self):
        target = self._process.target
        self.engine_model = await self._read()
        if not self._process.may_send_orders():
            return
        if self.engine_model.version != target.version:
            await self._change_version(target)
            return
        wanted = frozenset(target.adapters)
        for adapter in sorted(wanted - self.engine_model.adapters):
            await self._order("load_adapter", subject=adapter, adapter=adapter)
        for adapter in sorted(self.engine_model.adapters - wanted):
            await self._order("unload_adapter", subject=adapter, adapter=adapter)

    async def _change_version(self, target):
        """Load another version after the requests of the old one have ended."""
        self._process.runner.reject_queued(
            DrainingError("the target is changing its version")
        )
        while self._process.runner.running_count:
            await self._clock.sleep_ms(DRAIN_CHECK_INTERVAL_MS)
        if self._process.target is not target or not self._process.may_send_orders():
            return
        previous = self.engine_model.version
        await self._order(
            "load_model", subject=target.name, before=previous, version=target.version
        )
        await self._await_version(target)

    async def _await_version(self, target):
        while self._process.target is target and not self.ready:
            await self._clock.sleep_ms(DRAIN_CHECK_INTERVAL_MS)
            self.engine_model = await self._read()

    async def _read(self):
        document = await self._order_client.read("/model")
        return EngineModel(
            version=str(document.get("version", "")),
            adapters=frozenset(document.get("adapters", ())),
        )

    async def _order(self, name, *, subject, before="", **fields):
        await self._order_client.send_order(name, **fields)
        sheet = self._process.store.current
        self._process.audit.record(
            what=f"order.{name}",
            subject=subject,
            before=before,
            after=str(next(iter(fields.values()))),
            reason=f"sheet version {sheet.version}",
            by=sheet.issued_by,
        )
