"""Dispatches orders to the agent's own rank, to other agents and to remote ranks."""

import asyncio

import logbook

from .._gateway.errors import SendError
from .._gateway.notices import FORMAT, OrderNotice, encoder
from .map_spreader import MapSpreader
from .model import Order, OrderKind

log = logbook.Logger("orders")

# Orders to prepare a map come as a ``MapNotice``.
NOTICE_KINDS = {kind.value for kind in OrderKind} - {OrderKind.PREPARE.value}


class OrderDispatcher:
    """Sends the leader's orders and passes received ones on to the agent's own rank.

    Args:
        port: The ``RankPort`` of the rank on this host.
        view: The ``GroupView``.
        remote_ranks: The ``RemoteRanks``.
        send: ``send(ip, data)`` sends a datagram, which may be lost.
        spawn: ``spawn(coroutine)`` starts a task that ends with the agent.
        on_accepted: Awaited after the rank accepted an order.
        count: ``count(name)`` counts an event.

    Attributes:
        map_spreader: The ``MapSpreader`` for orders to prepare a map.
    """

    def __init__(
        self, *, clock, port, view, remote_ranks, send, spawn, on_accepted, count
    ):
        self._port = port
        self._view = view
        self._remote_ranks = remote_ranks
        self._send = send
        self._spawn = spawn
        self._on_accepted = on_accepted
        self._count = count
        self.map_spreader = MapSpreader(
            clock=clock,
            view=view,
            send=send,
            enqueue=self.enqueue_order,
            spawn=spawn,
            count=count,
        )
        self._orders = asyncio.Queue()
        self._queued = set()

    def enqueue(self, notice):
        """Queue the order of an ``OrderNotice`` to be passed on."""
        if notice.kind not in NOTICE_KINDS:
            log.warn("order of unknown kind", extra={"kind": notice.kind[:40]})
            return
        order = Order(
            kind=OrderKind(notice.kind),
            epoch=notice.epoch,
            orders_count=notice.orders_count,
            token=notice.token,
            step=notice.step,
            version=notice.version,
        )
        self.enqueue_order(notice.rank, order, group=notice.group)

    def enqueue_order(self, rank, order, *, group):
        """Queue an ``Order`` to be passed on to a rank, unless it is queued already."""
        key = (rank, order.kind, order.epoch, order.orders_count, order.step)
        if key not in self._queued:
            self._queued.add(key)
            self._orders.put_nowait((key, group, rank, order))

    def send(self, rank, order, *, via=None):
        """Send an ``Order`` to a rank.

        Args:
            rank: Number of the rank.
            via: Number of the rank whose agent passes the order on; ``None`` for the
                agent of the rank itself. Ranks whose agents are silent get the order
                directly.
        """
        via = rank if via is None else via
        if self._remote_ranks.is_remote(via):
            self._spawn(self._remote_ranks.send_order(self._view.address(rank), order))
            return
        if via == self._view.own_rank:
            self.enqueue_order(rank, order, group=self._view.name)
            return
        if order.kind is OrderKind.PREPARE:
            self.map_spreader.send_order(rank, order)
            return
        notice = OrderNotice(
            format=FORMAT,
            group=self._view.name,
            epoch=order.epoch,
            rank=rank,
            kind=order.kind.value,
            orders_count=order.orders_count,
            token=order.token,
            step=order.step,
            version=order.version,
        )
        ip = self._view.address(via).rpartition(":")[0]
        self._send(ip, encoder.encode(notice))

    async def run(self):
        """Pass queued orders on, one by one, until cancelled."""
        while True:
            key, group, rank, order = await self._orders.get()
            self._queued.discard(key)
            if (group, order.epoch) == (self._view.name, self._view.epoch):
                await self._pass_on(rank, order)

    async def _pass_on(self, rank, order):
        if rank != self._view.own_rank:
            if rank in self._view.notices():
                address = self._view.address(rank)
                await self._remote_ranks.send_order(address, order)
            return
        try:
            accepted = await self._port.send_order(order)
        except SendError as error:
            self._count("unanswered_orders")
            details = {"kind": order.kind.value, "reason": str(error)}
            log.info("order unanswered", extra=details)
            return
        self._count("accepted_orders" if accepted else "refused_orders")
        if accepted:
            await self._on_accepted()
