"""Orders to an engine: the fence, and a registry of what each order does."""

import asyncio
import functools
from dataclasses import dataclass

import aiohttp
import logbook

from ._faults import bad_request

log = logbook.Logger("engine")

ORDERS = {}


@dataclass(frozen=True, kw_only=True)
class OrderRejection:
    """Why an order was not applied.

    Args:
        status: 409 for an old fencing number, 422 if it cannot be applied.
        fence: The highest fencing number seen.
    """

    status: int
    reason: str
    fence: int


class OrderNotApplicableError(Exception):
    """An order that does not fit the engine's state."""


def register_order(name, **fields):
    """Register what the order ``name`` does.

    Args:
        fields: Types of the order's fields.
    """

    def register(apply):
        ORDERS[name] = (fields, apply)
        return apply

    return register


class OrderHandler:
    """Takes orders for one rank.

    Args:
        rank: The rank that orders change.
        loader: The ``WeightLoader``.
        checks_orders: Whether orders with an old fencing number are refused.
        wake: Called after each change.
    """

    def __init__(self, *, rank, loader, wake, checks_orders=True):
        self.rank = rank
        self.loader = loader
        self.checks_orders = checks_orders
        self.fence = 0
        self.applied = []
        self._wake = wake
        self._loads = set()

    def handle(self, document):
        """Apply an order; return ``None``, or an ``OrderRejection``.

        Raises:
            web.HTTPBadRequest: The order is unknown or broken.
        """
        name, fields, apply = _parsed(document)
        fence = document["fence"]
        if self.checks_orders and fence < self.fence:
            reason = f"fence {fence} is older than {self.fence}"
            return OrderRejection(status=409, reason=reason, fence=self.fence)
        self.fence = max(self.fence, fence)
        try:
            apply(self, **{field: document[field] for field in fields})
        except OrderNotApplicableError as error:
            return OrderRejection(status=422, reason=str(error), fence=self.fence)
        self.applied.append(document)
        self.rank.record_load()
        self._wake()
        return None

    def load_then_change(self, load, change):
        """Call ``change`` once ``load``, a coroutine function, is done."""
        if self.loader.is_instant:
            change()
            return
        task = asyncio.create_task(self._later(load, change))
        self._loads.add(task)
        task.add_done_callback(self._loads.discard)

    async def stop(self):
        """Give up loads that are not done."""
        loads = list(self._loads)
        for task in loads:
            task.cancel()
        await asyncio.gather(*loads, return_exceptions=True)

    async def _later(self, load, change):
        try:
            await load()
        except aiohttp.ClientError as error:
            log.warning("weights not loaded: {!r}", error)
            return
        change()
        self._wake()


def _parsed(document):
    name = document.get("order")
    if name not in ORDERS:
        names = ", ".join(sorted(ORDERS))
        raise bad_request(f'order "{name}": expected one of {names}')
    fields, apply = ORDERS[name]
    for field, kind in {"fence": int, **fields}.items():
        if field not in document or not isinstance(document[field], kind):
            raise bad_request(f'order "{name}": key "{field}" is missing or broken')
    return name, fields, apply


@register_order("load_model", version=str)
def _load_model(order_handler, *, version):
    def change():
        order_handler.rank.version = version

    order_handler.load_then_change(
        functools.partial(order_handler.loader.load_model, version), change
    )


@register_order("load_adapter", adapter=str)
def _load_adapter(order_handler, *, adapter):
    order_handler.rank.adapters.add(adapter)


@register_order("unload_adapter", adapter=str)
def _unload_adapter(order_handler, *, adapter):
    order_handler.rank.adapters.discard(adapter)


@register_order("set_role", role=str)
def _set_role(order_handler, *, role):
    order_handler.rank.role = role


@register_order("load_experts", experts=list, map_id=str)
def _load_experts(order_handler, *, experts, map_id):
    missing = order_handler.rank.maps.missing_experts(experts)
    order_handler.loader.experts_loaded_count += len(missing)
    load = functools.partial(
        order_handler.loader.load_experts, order_handler.rank.version, missing
    )

    def change():
        order_handler.rank.maps.add(map_id, experts)

    order_handler.load_then_change(load, change)


@register_order("hold_before", step=int | None)
def _hold_before(order_handler, *, step):
    order_handler.rank.maps.hold(step)


@register_order("switch_map", map_id=str, step=int)
def _switch_map(order_handler, *, map_id, step):
    if map_id not in order_handler.rank.maps.loaded:
        raise OrderNotApplicableError(f'map "{map_id}" is not loaded')
    order_handler.rank.maps.switch(map_id, step)


@register_order("drop_map", map_id=str)
def _drop_map(order_handler, *, map_id):
    if order_handler.rank.maps.is_used(map_id):
        raise OrderNotApplicableError(f'map "{map_id}" is in use')
    order_handler.rank.maps.drop(map_id)
