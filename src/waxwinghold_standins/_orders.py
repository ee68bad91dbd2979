"""Orders to an engine: the check of the fencing number and the registered orders."""

import asyncio
import functools
from dataclasses import dataclass

import aiohttp
import logbook

from ._faults import bad_request

log = logbook.Logger("engine")

# Field types and function of each order, by name.
ORDERS = {}


@dataclass(frozen=True, kw_only=True)
class OrderRejection:
    """Why an order was not applied.

    Args:
        status: HTTP status: 409 for an outdated fencing number, 422 for an order that
            is not applicable in the engine's state.
        reason: Message for the sender.
        fence: The highest fencing number received so far.
    """

    status: int
    reason: str
    fence: int


class OrderNotApplicableError(Exception):
    """Raised if an order is not applicable in the engine's state."""


def register_order(name, **fields):
    """Register the decorated function as the order ``name``.

    The function is called with the ``OrderHandler`` and the order's fields.

    Args:
        name: Name of the order in requests.
        fields: Types of the order's fields, by name.
    """

    def register(apply):
        ORDERS[name] = (fields, apply)
        return apply

    return register


class OrderHandler:
    """Applies orders to one rank.

    Args:
        rank: The ``Rank`` that the orders change.
        loader: The ``WeightLoader``.
        wake: Called after each change.
        checks_orders: Whether orders with an outdated fencing number are rejected.

    Attributes:
        fence: The highest fencing number received so far.
        applied: Documents of the applied orders.
    """

    def __init__(self, *, rank, loader, wake, checks_orders=True):
        self.rank = rank
        self.loader = loader
        self.checks_orders = checks_orders
        self.fence = 0
        self.applied = []
        self._wake = wake
        self._load_tasks = set()

    def handle(self, document):
        """Apply an order and return ``None``, or return an ``OrderRejection``.

        Args:
            document: The order as a dict: its name, fencing number and fields.

        Raises:
            web.HTTPBadRequest: The order is unknown or invalid.
        """
        name, fields, apply = _parse_order(document)
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
        """Call ``change`` after ``load`` has completed.

        If loading takes no time, ``change`` is called at once, without ``load``.
        Otherwise ``load`` runs in a task; if it fails, the error is logged and
        ``change`` is not called.

        Args:
            load: Coroutine function that loads weights.
            change: Function that changes the rank.
        """
        if self.loader.is_instant:
            change()
            return
        task = asyncio.create_task(self._run_load(load, change))
        self._load_tasks.add(task)
        task.add_done_callback(self._load_tasks.discard)

    async def stop(self):
        """Cancel the loads that have not completed."""
        tasks = list(self._load_tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _run_load(self, load, change):
        try:
            await load()
        except aiohttp.ClientError as error:
            log.warning("loading weights failed: {!r}", error)
            return
        change()
        self._wake()


def _parse_order(document):
    """Return the name of an order, the types of its fields and its function.

    Raises:
        web.HTTPBadRequest: The order is unknown, or a field is missing or has the
            wrong type.
    """
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
