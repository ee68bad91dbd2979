"""What gateways tell each other: how many requests each has at each target.

Notices are datagrams: each replaces the one before it, a lost one is made good
by the next, and no connection to a peer can go silent unnoticed.
"""

import random

import logbook

from .endpoint import NoticeEndpoint
from .notices import (
    FORMAT,
    LIMIT_BYTES,
    GatewayNotice,
    GroupNotice,
    RankNotice,
    encoder,
)

log = logbook.Logger("peers")

NOTICE_INTERVAL_MS = 100.0  # Several times within the length of one request.
NOTICE_INTERVAL_PER_PEER_MS = 8.0  # Bounds the notices of a large fleet.
QUIET_INTERVALS_COUNT = 4  # Unchanged counts are repeated this much less often.
SILENCE_INTERVALS_COUNT = 16  # Four repetitions may be lost.
GREETING_INTERVAL_MS = 1000.0  # Agents forget a gateway after some seconds.
GREETING_INTERVAL_PER_PEER_MS = 50.0  # As for notices.
MEMBERS_COUNT = 5  # Of those heard; others learn of all within some notices.


class Peer:
    """Another gateway, as last heard."""

    def __init__(self):
        self.notice = None
        self.heard_ms = 0.0


class Peers(NoticeEndpoint):
    """Sends this gateway's notices and takes in those of others.

    Args:
        target_pool: The ``TargetPool`` whose ``others_count`` is kept up to date.
        waiting: Returns waiting requests by service.

    Attributes:
        handlers: Called with the sender's address and the notice, by the class
            of those notices that are not taken in here.
    """

    def __init__(self, *, clock, settings, target_pool, waiting):
        super().__init__(ip=settings.peers_ip, port=settings.peers_port)
        self._clock = clock
        self.settings = settings
        self._target_pool = target_pool
        self._waiting = waiting
        self._peers = {}
        self._sequence = 0
        self._started_ms = clock.wall_ms()
        self._greeted_ms = float("-inf")
        self._last_counts = None
        self._quiet_rounds_count = 0
        self.malformed_count = 0
        self.handlers = {
            RankNotice: lambda ip, notice: target_pool.take_rank(notice),
            GroupNotice: lambda ip, notice: target_pool.take_group(notice),
        }

    @property
    def _seeds(self):
        ips = {seed.rpartition(":")[0] for seed in self.settings.seeds}
        return ips - {self.settings.peers_ip}

    @property
    def gateways_count(self):
        """Return how many gateways there are, this one included."""
        return 1 + sum(peer.notice is not None for peer in self._peers.values())

    def local_peers(self):
        """Return the addresses of the gateways heard in this data centre."""
        return [
            ip
            for ip, peer in self._peers.items()
            if peer.notice is not None
            and peer.notice.data_centre == self.settings.data_centre
        ]

    def send(self, ip, notice):
        """Send a notice to the gateway at ``ip``; it may be lost."""
        self.send_data(ip, encoder.encode(notice))

    def waiting_count(self, service):
        """Return how many requests wait at the other gateways."""
        return sum(
            peer.notice.waiting.get(service, 0)
            for peer in self._peers.values()
            if peer.notice is not None
        )

    async def run(self):
        """Exchange notices until cancelled."""
        await self.open_endpoint()
        while True:
            self._forget_silent()
            self._send_notices()
            await self._clock.sleep_ms(self._interval_ms())

    def close(self):
        """Send and take in nothing more."""
        self.close_endpoint()

    def count_malformed(self):
        self.malformed_count += 1

    def handle_notice(self, ip, notice):
        if isinstance(notice, GatewayNotice):
            self._take(ip, notice)
        elif type(notice) in self.handlers:
            self.handlers[type(notice)](ip, notice)

    def _take(self, ip, notice):
        peer = self._peers.setdefault(ip, Peer())
        known = peer.notice
        if known is not None:
            order = (known.started_ms, known.sequence)
            if (notice.started_ms, notice.sequence) <= order:
                return
        peer.notice = notice
        peer.heard_ms = self._clock.now_ms()
        for other in notice.members:
            if other != self.settings.peers_ip and other not in self._peers:
                self._peers[other] = Peer()
                self._peers[other].heard_ms = peer.heard_ms
        if known is None or known.counts != notice.counts:
            self._count_others()

    def _interval_ms(self):
        return max(
            NOTICE_INTERVAL_MS, NOTICE_INTERVAL_PER_PEER_MS * self.gateways_count
        )

    def _greeting_interval_ms(self):
        return max(
            GREETING_INTERVAL_MS, GREETING_INTERVAL_PER_PEER_MS * self.gateways_count
        )

    def _send_notices(self):
        now_ms = self._clock.now_ms()
        # What an agent tells of its rank is newer than what gateways could.
        counts = {
            target.listing.name: target.in_flight_count
            for target in self._target_pool
            if target.in_flight_count and not target.told(now_ms=now_ms)
        }
        state = (counts, self._waiting())
        self._quiet_rounds_count += 1
        if (
            state == self._last_counts
            and self._quiet_rounds_count < QUIET_INTERVALS_COUNT
        ):
            return
        self._last_counts = state
        self._quiet_rounds_count = 0
        self._sequence += 1
        heard = [ip for ip, peer in self._peers.items() if peer.notice is not None]
        notice = GatewayNotice(
            format=FORMAT,
            name=self.settings.name,
            data_centre=self.settings.data_centre,
            started_ms=self._started_ms,
            sequence=self._sequence,
            members=random.sample(heard, min(MEMBERS_COUNT, len(heard))),
            counts=counts,
            waiting=state[1],
        )
        data = encoder.encode(notice)
        if len(data) > LIMIT_BYTES:
            log.warn("notice too large", extra={"bytes": len(data)})
            return
        receivers = self._seeds | self._peers.keys()
        if now_ms - self._greeted_ms >= self._greeting_interval_ms():
            self._greeted_ms = now_ms
            receivers |= self._agents(unheard_only=False)
        else:
            receivers |= self._agents(unheard_only=True)
        for ip in receivers:
            self.send_data(ip, data)

    def _agents(self, *, unheard_only):
        """Return where agents may be; with ``unheard_only`` those not heard yet."""
        return {
            target.listing.address[0]
            for target in self._target_pool
            if self._target_pool.has_ranks(target.listing.service)
            and not (unheard_only and target.rank)
        }

    def _forget_silent(self):
        limit_ms = self._interval_ms() * SILENCE_INTERVALS_COUNT
        now_ms = self._clock.now_ms()
        silent = [
            ip for ip, peer in self._peers.items() if now_ms - peer.heard_ms > limit_ms
        ]
        for ip in silent:
            if self._peers.pop(ip).notice is not None:
                log.info("gateway silent", extra={"peer": ip})
        if silent:
            self._count_others()

    def _count_others(self):
        totals = {}
        for peer in self._peers.values():
            if peer.notice is not None:
                for name, count in peer.notice.counts.items():
                    totals[name] = totals.get(name, 0) + count
        for target in self._target_pool:
            target.others_count = totals.get(target.listing.name, 0)
        self._target_pool.changed()
