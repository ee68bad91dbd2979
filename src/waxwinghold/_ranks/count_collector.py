"""Collects the expert counts of a group for its leader.

The leader asks the ranks block by block. One agent of a block, another one each time,
asks the others, adds their counts up and sends the leader the sum. The leader hears one
sum per block, evenly spread over time, on a link that would not carry the counts of all
ranks. An agent that is lost costs one sum.

A group of up to ``BLOCK_SIZE`` ranks has one block, whose counts the leader adds up.
"""

import asyncio

import logbook

from .._gateway.errors import SendError
from .._gateway.notices import (
    COUNTED_RANKS_LIMIT_COUNT,
    FORMAT,
    LIMIT_BYTES,
    AskCountsNotice,
    CountedRank,
    CountsNotice,
    encoder,
)
from .count_codec import CountDeltas, pack, unpack
from .demand import counts_interval_ms
from .view import FOLLOWER_INTERVAL_MS

log = logbook.Logger("counts")

# The answers of a block arrive at one host at the same time.
BLOCK_SIZE = COUNTED_RANKS_LIMIT_COUNT
COLLECT_LIMIT_MS = 150.0  # An answer takes some 10 ms between data centres.
COLLECTIONS_LIMIT_COUNT = 4  # At the same time, for asks that repeat or are forged.
COLLECTOR_SILENCE_MS = 400.0  # Several reports to the leader.


class CountCollector:
    """Asks for expert counts, and answers for the agent's own rank.

    Args:
        port: The ``RankPort`` of the rank on this host.
        view: The ``GroupView``.
        report: Returns the last ``RankReport`` of that rank, or ``None``.
        is_leader: Returns whether this agent leads the group.
        map_balancer: The ``MapBalancer`` that gets the sums of the blocks.
        send: ``send(ip, data)`` sends a datagram, which may be lost.
        spawn: ``spawn(coroutine)`` starts a task that ends with the agent.
    """

    def __init__(
        self, *, clock, port, view, report, is_leader, map_balancer, send, spawn
    ):
        self._clock = clock
        self._port = port
        self._view = view
        self._report = report
        self._is_leader = is_leader
        self._map_balancer = map_balancer
        self._send = send
        self._spawn = spawn
        self._count_deltas = CountDeltas()
        self._sets_count = None
        self._number = 0
        self._collections = {}

    async def run(self):
        """Ask one block after the other for its counts until cancelled."""
        while True:
            if not self._view.may_lead:
                await self._clock.sleep_ms(FOLLOWER_INTERVAL_MS)
                continue
            blocks = blocks_of(self._view.size)
            interval_ms = counts_interval_ms(self._view.size)
            await self._clock.sleep_ms(interval_ms / max(1, len(blocks)))
            if blocks and self._is_leader() and self._needs_counts():
                self._number += 1
                self._ask_block(self._number % len(blocks), blocks)

    def handle_ask(self, ip, notice):
        """Answer an ``AskCountsNotice`` of the agent at ``ip``."""
        if (notice.group, notice.epoch) != (self._view.name, self._view.epoch):
            return
        self._start(notice, lambda counts: self._send_notice(ip, counts))

    def handle_counts(self, notice):
        """Use a ``CountsNotice`` that this agent has asked for."""
        if (notice.group, notice.epoch) != (self._view.name, self._view.epoch):
            return
        collection = self._collections.get(notice.number)
        if collection is not None:
            collection.add(notice)
        elif self._is_leader():
            self._map_balancer.add_counts(notice)

    def _needs_counts(self):
        """Return whether requests use experts, or the map of a rank is unknown."""
        notices = self._view.notices()
        if len(self._map_balancer.counted_ranks) < self._view.size:
            return True
        return any(
            notice.running_count or notice.waiting_count for notice in notices.values()
        )

    def _ask_block(self, block, blocks):
        notice = AskCountsNotice(
            format=FORMAT,
            group=self._view.name,
            epoch=self._view.epoch,
            number=self._number,
            block=block,
            known_version=self._map_balancer.known_version(),
            ranks=blocks[block],
        )
        collector = self._collector(blocks[block])
        if collector is None:
            self._start(notice, self._map_balancer.add_counts)
        else:
            self._send_notice(self._ip(collector), notice)

    def _collector(self, ranks):
        """Return the rank whose agent collects the counts; ``None`` for the own one."""
        if len(ranks) == self._view.size:
            return None
        live_ranks = [
            rank
            for rank in ranks
            if rank != self._view.own_rank
            and rank in self._view.notices()
            and not self._view.is_agent_silent(rank, limit_ms=COLLECTOR_SILENCE_MS)
        ]
        if not live_ranks:
            return None
        return live_ranks[self._number // len(ranks) % len(live_ranks)]

    def _start(self, ask, answer):
        if len(self._collections) >= COLLECTIONS_LIMIT_COUNT:
            log.info("too many asks for counts", extra={"number": ask.number})
            return
        self._spawn(self._collect(ask, answer))

    async def _collect(self, ask, answer):
        """Add up the counts of the asked ranks, and pass the sum to ``answer``."""
        others = [
            rank
            for rank in ask.ranks
            if rank != self._view.own_rank and rank in self._view.notices()
        ]
        collection = Collection(ranks=others)
        if others:
            if ask.number in self._collections:
                return
            self._collections[ask.number] = collection
        try:
            for rank in others:
                self._send_notice(self._ip(rank), _ask_alone(ask))
            own_counts = await self._own_counts(ask)
            await collection.wait_ms(COLLECT_LIMIT_MS)
        except SendError as error:
            log.debug("reading the expert counts failed", extra={"reason": str(error)})
            return
        finally:
            if others:
                del self._collections[ask.number]
        if own_counts is not None:
            answer(summed([own_counts, *collection.notices]))

    async def _own_counts(self, ask):
        """Return the counts of the agent's own rank as a ``CountsNotice``.

        Returns:
            ``None`` while the rank is not open.
        """
        report = self._report()
        if report is None or not report.group or not report.is_open:
            return None
        version, held = report.map_version, []
        if version != ask.known_version or self._sets_count is None:
            version, held = await self._port.resident_experts()
            self._sets_count = len(held)
        counts = await self._port.expert_counts(sets_count=self._sets_count)
        key = (report.born_ms, report.group, report.epoch)
        deltas = self._count_deltas.since_last(counts, key=key)
        scales, grown = pack(deltas or [[0] * len(row) for row in counts])
        rank = CountedRank(
            rank=report.rank,
            born_ms=report.born_ms,
            map_version=version,
            held=held,
        )
        return CountsNotice(
            format=FORMAT,
            group=report.group,
            epoch=report.epoch,
            number=ask.number,
            block=ask.block,
            ranks=[rank],
            scales=scales,
            grown=grown,
        )

    def _send_notice(self, ip, notice):
        data = encoder.encode(notice)
        if len(data) > LIMIT_BYTES:
            log.warn("expert counts exceed a datagram", extra={"bytes": len(data)})
            return
        self._send(ip, data)

    def _ip(self, rank):
        return self._view.address(rank).rpartition(":")[0]


class Collection:
    """The counts of some ranks, while they come in.

    Args:
        ranks: The ranks that were asked.

    Attributes:
        notices: The ``CountsNotice`` of each rank that has answered.
    """

    def __init__(self, *, ranks):
        self._pending_ranks = set(ranks)
        self._is_complete = asyncio.Event()
        self.notices = []
        self._check()

    def add(self, notice):
        """Add the ``CountsNotice`` of one rank that was asked."""
        ranks = {counted.rank for counted in notice.ranks}
        if len(ranks) != 1 or not ranks <= self._pending_ranks:
            return
        self._pending_ranks -= ranks
        self.notices.append(notice)
        self._check()

    async def wait_ms(self, limit_ms):
        """Wait until all ranks have answered, or the time is up."""
        try:
            async with asyncio.timeout(limit_ms / 1000):
                await self._is_complete.wait()
        except TimeoutError:
            details = {"missing": sorted(self._pending_ranks)}
            log.debug("expert counts did not arrive", extra=details)

    def _check(self):
        if not self._pending_ranks:
            self._is_complete.set()


def blocks_of(ranks_count):
    """Return the ranks of a group in blocks of at most ``BLOCK_SIZE``."""
    return [
        list(range(first, min(ranks_count, first + BLOCK_SIZE)))
        for first in range(0, ranks_count, BLOCK_SIZE)
    ]


def summed(notices):
    """Return one ``CountsNotice`` for several, with the sums of their counts.

    Notices with other sizes than the first one are left out.
    """
    first, *others = notices
    same = [notice for notice in others if _sizes(notice) == _sizes(first)]
    if not same:
        return first
    totals = unpack(first.scales, first.grown)
    for notice in same:
        totals = [
            [total + grown for total, grown in zip(*rows)]
            for rows in zip(totals, unpack(notice.scales, notice.grown))
        ]
    scales, grown = pack(totals)
    ranks = [counted for notice in (first, *same) for counted in notice.ranks]
    return CountsNotice(
        format=FORMAT,
        group=first.group,
        epoch=first.epoch,
        number=first.number,
        block=first.block,
        ranks=ranks,
        scales=scales,
        grown=grown,
    )


def _sizes(notice):
    return len(notice.scales), [len(grown) for grown in notice.grown]


def _ask_alone(ask):
    """Return an ``AskCountsNotice`` for the receiver's own rank."""
    return AskCountsNotice(
        format=FORMAT,
        group=ask.group,
        epoch=ask.epoch,
        number=ask.number,
        block=ask.block,
        known_version=ask.known_version,
        ranks=[],
    )
