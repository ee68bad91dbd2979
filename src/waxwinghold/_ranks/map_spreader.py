"""Sends the agents of a group the next map, as the changes of the map in use.

The leader sends a notice for several ranks to the agent of one of them, which sends it
on to the others. Each agent composes the whole map for the order to its own rank. An
agent that does not know the map in use, for instance after a restart, asks the leader
for the whole next map.
"""

import logbook
import msgspec

from .._gateway.notices import FORMAT, AskMapNotice, MapNotice, encoder
from .map_codec import (
    EncodedMap,
    KnownMaps,
    MalformedMapError,
    MapSizes,
    UnknownMapError,
    encode_change,
    encode_whole,
)
from .model import Order, OrderKind

log = logbook.Logger("maps")

# A fifth of a link of 3 Mbit/s. Notices to gateways and reports need the rest.
SEND_BYTES_PER_MS = 75.0
HEADER_BYTES = 28  # IP and UDP.
# What one agent sends on at once; a link of 3 Mbit/s carries it in 27 ms.
RELAY_LIMIT_BYTES = 10_000
RELAY_LIMIT_COUNT = 8  # Ranks that miss the map for a while if one notice is lost.
RELAY_SILENCE_MS = 150.0  # Several reports during a change.


class MapSpreader:
    """Sends orders to prepare a map through agents, and carries out received ones.

    Args:
        view: The ``GroupView``.
        send: ``send(ip, data)`` sends a datagram, which may be lost.
        enqueue: ``enqueue(rank, order, group=name)`` queues an ``Order`` to be passed
            on to the agent's own rank.
        spawn: ``spawn(coroutine)`` starts a task that ends with the agent.
        count: ``count(name)`` counts an event.
    """

    def __init__(self, *, clock, view, send, enqueue, spawn, count):
        self._clock = clock
        self._view = view
        self._send = send
        self._enqueue = enqueue
        self._spawn = spawn
        self._count = count
        self._known_maps = KnownMaps()
        self._key = None
        self._change = None
        self._whole = None
        self._whole_ranks = set()
        self._latest_orders = {}
        self._attempts = {}
        self._pending_ranks = {}
        self._is_sending = False

    def send_order(self, rank, order):
        """Send the agent of ``rank`` an ``Order`` to prepare a map, in its turn.

        Orders of an earlier map that were not sent yet are dropped.
        """
        key = (self._view.name, order.epoch, order.version)
        if key != self._key:
            self._start(key, order)
        self._latest_orders[rank] = order
        self._add_pending(rank)

    def handle_notice(self, notice):
        """Carry out and send on a ``MapNotice``."""
        if (notice.group, notice.epoch) != (self._view.name, self._view.epoch):
            return
        if not notice.is_final:
            self._send_on(notice)
        orders_count = dict(notice.orders).get(self._view.own_rank)
        if orders_count is None:
            return
        try:
            ranks_by_set = self._known_maps.compose(_decoded(notice))
        except UnknownMapError as error:
            self._ask(notice, str(error))
            return
        except MalformedMapError as error:
            self._count("malformed_maps")
            details = {"version": notice.version, "reason": str(error)}
            log.warning("malformed map", extra=details)
            return
        order = Order(
            kind=OrderKind.PREPARE,
            epoch=notice.epoch,
            orders_count=orders_count,
            token=notice.token,
            version=notice.version,
            ranks_by_set=ranks_by_set,
        )
        self._enqueue(self._view.own_rank, order, group=notice.group)

    def handle_ask(self, notice):
        """Send the sender of an ``AskMapNotice`` the whole map, if it is still due."""
        group, epoch, _ = self._key or (None, None, None)
        if (notice.group, notice.epoch) != (group, epoch):
            return
        if notice.digest == self._whole.digest and notice.rank in self._latest_orders:
            self._whole_ranks.add(notice.rank)
            self._add_pending(notice.rank)

    def _start(self, key, order):
        self._key = key
        self._latest_orders = {}
        self._attempts = {}
        self._pending_ranks = {}
        self._whole_ranks = set()
        self._change = self._whole = encode_whole(order.ranks_by_set)
        if order.base_by_set is not None:
            change = encode_change(order.base_by_set, order.ranks_by_set)
            # The whole map needs no other one, so it is preferred if it is as short.
            if len(change.gaps) < len(self._whole.gaps):
                self._change = change
        log.info(
            "map encoded",
            extra={
                "version": order.version,
                "change_bytes": len(self._change.gaps),
                "whole_bytes": len(self._whole.gaps),
            },
        )

    def _add_pending(self, rank):
        self._pending_ranks[rank] = None
        if not self._is_sending:
            self._is_sending = True
            self._spawn(self._send_pending())

    async def _send_pending(self):
        try:
            # Lets the orders of one poll of the leader be sent together.
            await self._clock.sleep_ms(0)
            while self._pending_ranks:
                sent_bytes = self._send_next()
                await self._clock.sleep_ms(sent_bytes / SEND_BYTES_PER_MS)
        finally:
            self._is_sending = False

    def _send_next(self):
        """Send one notice to one agent; return its size in bytes."""
        if (self._view.name, self._view.epoch) != self._key[:2]:
            self._pending_ranks.clear()
            return 0
        first = next(iter(self._pending_ranks))
        needs_whole = first in self._whole_ranks
        encoded = self._whole if needs_whole else self._change
        limit_count = min(
            RELAY_LIMIT_COUNT, 1 + RELAY_LIMIT_BYTES // (len(encoded.gaps) + 1)
        )
        ranks = [
            rank
            for rank in self._pending_ranks
            if (rank in self._whole_ranks) == needs_whole
        ][:limit_count]
        for rank in ranks:
            del self._pending_ranks[rank]
        ranks = [rank for rank in ranks if rank in self._view.notices()]
        if not ranks:
            return 0
        relay = self._relay(ranks)
        order = self._latest_orders[relay]
        notice = MapNotice(
            format=FORMAT,
            group=self._view.name,
            epoch=order.epoch,
            token=order.token,
            version=order.version,
            sizes=(
                encoded.sizes.sets_count,
                encoded.sizes.ranks_count,
                encoded.sizes.experts_count,
            ),
            base=encoded.base,
            in_turn_count=encoded.in_turn_count,
            gaps=encoded.gaps,
            digest=encoded.digest,
            orders=[(rank, self._latest_orders[rank].orders_count) for rank in ranks],
            is_final=False,
        )
        data = encoder.encode(notice)
        self._send(self._ip(relay), data)
        return len(data) + HEADER_BYTES

    def _relay(self, ranks):
        """Return the rank whose agent sends the map on, another one in each attempt."""
        attempt = max(self._attempts.get(rank, 0) for rank in ranks)
        for rank in ranks:
            self._attempts[rank] = attempt + 1
        live_ranks = [
            rank
            for rank in ranks
            if not self._view.is_agent_silent(rank, limit_ms=RELAY_SILENCE_MS)
        ]
        candidates = live_ranks or ranks
        return candidates[attempt % len(candidates)]

    def _send_on(self, notice):
        for rank, orders_count in notice.orders:
            if rank == self._view.own_rank:
                continue
            if rank not in self._view.notices():
                # The leader sends the order again, through another agent.
                log.info("rank of a map order unknown", extra={"rank": rank})
                continue
            final_notice = msgspec.structs.replace(
                notice, orders=[(rank, orders_count)], is_final=True
            )
            self._send(self._ip(rank), encoder.encode(final_notice))

    def _ask(self, notice, base):
        self._count("unknown_maps")
        details = {"version": notice.version, "base": base}
        log.info("map in use unknown; asking for the whole next map", extra=details)
        if 0 not in self._view.notices():
            return
        ask_notice = AskMapNotice(
            format=FORMAT,
            group=notice.group,
            epoch=notice.epoch,
            rank=self._view.own_rank,
            digest=notice.digest,
        )
        self._send(self._ip(0), encoder.encode(ask_notice))

    def _ip(self, rank):
        return self._view.address(rank).rpartition(":")[0]


def _decoded(notice):
    sets_count, ranks_count, experts_count = notice.sizes
    return EncodedMap(
        sizes=MapSizes(
            sets_count=sets_count,
            ranks_count=ranks_count,
            experts_count=experts_count,
        ),
        base=notice.base,
        in_turn_count=notice.in_turn_count,
        gaps=notice.gaps,
        digest=notice.digest,
    )
