"""Exchanges notices with the other gateways: how many requests each has at a target.

Notices are UDP datagrams. Each ``GatewayNotice`` holds the gateway's whole state and
replaces the one before it, so a lost notice is made up for by the next one, and there
are no connections between gateways that could fail unnoticed. Rank agents get these
notices too: every one until the agent sends a notice itself, then only one for each
announcement interval.
"""

import ipaddress
import random

import logbook
import msgspec

from .endpoint import NoticeEndpoint
from .limit_exchange import LimitExchange
from .notices import (
    ARRIVAL_SERVICES_LIMIT_COUNT,
    FORMAT,
    LIMIT_BYTES,
    AskLimitsNotice,
    AskPermitNotice,
    AskSuspectsNotice,
    GatewayNotice,
    GroupNotice,
    LimitsNotice,
    PermitNotice,
    RankNotice,
    SuspectsNotice,
    encoder,
)
from .suspect_exchange import SuspectExchange

log = logbook.Logger("peers")

NOTICE_INTERVAL_MS = 100.0  # Several notices during a typical request.
NOTICE_INTERVAL_PER_PEER_MS = 8.0  # Limits the traffic of many gateways.
# With more gateways than this, those of other data centres get the counts less often.
NEAR_GATEWAYS_COUNT = 48
FAR_INTERVALS_COUNT = 3
# A gateway that has just started needs to hear all others soon.
NEW_PEER_MS = 10_000.0
QUIET_INTERVALS_COUNT = 4  # Unchanged counts are sent this many times less often.
SILENCE_INTERVALS_COUNT = 16  # Allows for four lost notices with unchanged counts.
ANNOUNCEMENT_INTERVAL_MS = 1000.0  # Agents drop a silent gateway after some seconds.
ANNOUNCEMENT_INTERVAL_PER_PEER_MS = 50.0  # Limits the traffic, as for notices.
MEMBERS_COUNT = 5  # Peers named in one notice; a few notices name all of them.


class Peer:
    """Another gateway and its last notice.

    Attributes:
        notice: The last ``GatewayNotice``; ``None`` before the first one.
        last_seen_ms: When the last notice arrived or another gateway first named it.
        started_seen_ms: When the first notice since its start arrived.
    """

    def __init__(self):
        self.notice = None
        self.last_seen_ms = 0.0
        self.started_seen_ms = 0.0


class Peers(NoticeEndpoint):
    """Sends this gateway's notices and handles those of the other processes.

    Args:
        settings: The ``GatewaySettings``.
        target_pool: The ``TargetPool`` whose ``peers_in_flight_count`` values are
            kept up to date.
        waiting_counts: Returns the number of queued requests by service.
        suspects: The ``CrashSuspects`` that the gateways share.
        lost_version: Returns the version in force here if the store may have lost it.
        arrival_steps: Returns the steps of the arrival rates by service and priority.

    Attributes:
        handlers: Functions for all notices but ``GatewayNotice``, by class; called
            with the sender's address and the notice.
        malformed_count: Datagrams that could not be decoded.
    """

    def __init__(
        self,
        *,
        clock,
        settings,
        target_pool,
        waiting_counts,
        suspects,
        lost_version,
        arrival_steps=dict,
    ):
        super().__init__(ip=settings.peers_ip, port=settings.peers_port)
        self._clock = clock
        self.settings = settings
        self._target_pool = target_pool
        self._waiting_counts = waiting_counts
        self._suspects = suspects
        self._ip_version = _ip_version(settings.peers_ip)
        self._lost_version = lost_version
        self._arrival_steps = arrival_steps
        self._suspect_exchange = SuspectExchange(
            clock=clock, suspects=suspects, target_pool=target_pool, send=self.send
        )
        permits = target_pool.permits
        self._limit_exchange = LimitExchange(
            clock=clock, limits=permits.limits, send=self.send
        )
        permits.connect(
            own_ip=settings.peers_ip,
            active_ips=self.active_ips,
            send=self.send,
            seed_ips=self._seed_ips,
        )
        self._peers = {}
        self._sequence = 0
        self._started_ms = clock.wall_ms()
        self._announced_ms = float("-inf")
        self._last_loads = self._last_news = None
        self._quiet_rounds_count = 0
        self._far_rounds_count = 0
        self.malformed_count = 0
        self.handlers = {
            RankNotice: lambda ip, notice: target_pool.update_rank(
                notice, sender_ip=ip
            ),
            GroupNotice: self._handle_group,
            AskSuspectsNotice: self._suspect_exchange.on_ask,
            SuspectsNotice: self._suspect_exchange.on_told,
            AskLimitsNotice: self._limit_exchange.on_ask,
            LimitsNotice: self._limit_exchange.on_told,
            AskPermitNotice: permits.on_ask,
            PermitNotice: permits.on_permit,
        }

    @property
    def _seed_ips(self):
        ips = {seed.rpartition(":")[0] for seed in self.settings.seeds}
        return ips - {self.settings.peers_ip}

    @property
    def gateways_count(self):
        """Return the number of active gateways, including this one."""
        return 1 + sum(peer.notice is not None for peer in self._peers.values())

    @property
    def position(self):
        """Return the number of this gateway among the active ones, by address."""
        own_ip = self.settings.peers_ip
        return sum(
            ip < own_ip for ip, peer in self._peers.items() if peer.notice is not None
        )

    def is_unheard(self):
        """Return whether there should be other gateways, but none was heard yet."""
        return bool(self._seed_ips) and self.gateways_count == 1

    @property
    def newest_lost_version(self):
        """Return the highest version at another gateway that the store may have lost.

        Returns:
            0 if there is none.
        """
        return max(
            (
                peer.notice.lost_version
                for peer in self._peers.values()
                if peer.notice is not None
            ),
            default=0,
        )

    def active_ips(self):
        """Return the addresses of the other active gateways."""
        return [ip for ip, peer in self._peers.items() if peer.notice is not None]

    def local_peers(self):
        """Return the addresses of the other active gateways of this data centre."""
        return [
            ip
            for ip, peer in self._peers.items()
            if peer.notice is not None
            and peer.notice.data_centre == self.settings.data_centre
        ]

    def send(self, ip, notice):
        """Send a notice to the gateway at ``ip``, without a guarantee of delivery."""
        self.send_data(ip, encoder.encode(notice))

    def waiting_count(self, service):
        """Return how many requests for ``service`` the other gateways have queued."""
        return sum(
            peer.notice.waiting.get(service, 0)
            for peer in self._peers.values()
            if peer.notice is not None
        )

    def peer_steps(self, service):
        """Return the steps of arrival rates by priority, for each active gateway."""
        return [
            peer.notice.arrivals[service]
            for peer in self._peers.values()
            if peer.notice is not None and service in peer.notice.arrivals
        ]

    def _limited_arrival_steps(self):
        """Return the steps to send; receivers drop notices of too many services."""
        steps = self._arrival_steps()
        names = sorted(steps)[:ARRIVAL_SERVICES_LIMIT_COUNT]
        return {name: steps[name] for name in names}

    async def run(self):
        """Send and receive notices until cancelled."""
        await self.open_endpoint()
        while True:
            self._drop_silent_peers()
            self._count_peer_requests()
            self._send_notices()
            await self._clock.sleep_ms(self._interval_ms())

    def close(self):
        """Stop sending and receiving notices."""
        self.close_endpoint()

    def count_malformed(self):
        self.malformed_count += 1

    def handle_notice(self, ip, notice):
        if isinstance(notice, GatewayNotice):
            self._update_peer(ip, notice)
        elif type(notice) in self.handlers:
            self.handlers[type(notice)](ip, notice)

    def _handle_group(self, ip, notice):
        """Apply a ``GroupNotice`` of an agent, and send it on if it asks for that."""
        if notice.relay:
            data = encoder.encode(msgspec.structs.replace(notice, relay=False))
            for peer_ip in self.local_peers():
                self.send_data(peer_ip, data)
        self._target_pool.update_group(notice)

    def _update_peer(self, ip, notice):
        peer = self._peers.setdefault(ip, Peer())
        previous = peer.notice
        if previous is not None:
            position = (previous.started_ms, previous.sequence)
            if (notice.started_ms, notice.sequence) <= position:
                return
        peer.notice = notice
        peer.last_seen_ms = self._clock.now_ms()
        if previous is None or previous.started_ms != notice.started_ms:
            peer.started_seen_ms = peer.last_seen_ms
        for member_ip in notice.members:
            if member_ip == self.settings.peers_ip or member_ip in self._peers:
                continue
            # The socket would look up any other text as a name, which blocks.
            if _ip_version(member_ip) == self._ip_version:
                self._peers[member_ip] = Peer()
                self._peers[member_ip].last_seen_ms = peer.last_seen_ms
        previous_counts = {} if previous is None else previous.counts
        if previous_counts != notice.counts:
            self._apply_counts(previous_counts, notice.counts)
        self._suspect_exchange.on_version(ip, notice.suspects_version)
        self._limit_exchange.on_version(ip, notice.limits_version)
        if notice.leaving:
            self._target_pool.avoid_leaving(notice.leaving)

    def _interval_ms(self):
        return max(
            NOTICE_INTERVAL_MS, NOTICE_INTERVAL_PER_PEER_MS * self.gateways_count
        )

    def _announcement_interval_ms(self):
        return max(
            ANNOUNCEMENT_INTERVAL_MS,
            ANNOUNCEMENT_INTERVAL_PER_PEER_MS * self.gateways_count,
        )

    def _send_notices(self):
        now_ms = self._clock.now_ms()
        # Counts in notices of rank agents are newer than counts of gateways.
        counts = {
            target.listing.name: target.in_flight_count
            for target in self._target_pool
            if target.in_flight_count and not target.has_recent_notice(now_ms=now_ms)
        }
        loads = {
            "counts": counts,
            "waiting": self._waiting_counts(),
            "arrivals": self._limited_arrival_steps(),
        }
        news = {
            "suspects_version": self._suspects.version,
            "leaving": self._target_pool.signals.told_leaving(now_ms=now_ms),
            "lost_version": self._lost_version(),
            "limits_version": self._limit_exchange.version(),
        }
        is_news = news != self._last_news
        self._quiet_rounds_count += 1
        self._far_rounds_count += 1
        if (
            not is_news
            and loads == self._last_loads
            and self._quiet_rounds_count < QUIET_INTERVALS_COUNT
        ):
            return
        self._last_loads, self._last_news = loads, news
        self._quiet_rounds_count = 0
        self._sequence += 1
        active_ips = self.active_ips()
        notice = GatewayNotice(
            format=FORMAT,
            name=self.settings.name,
            data_centre=self.settings.data_centre,
            started_ms=self._started_ms,
            sequence=self._sequence,
            members=random.sample(active_ips, min(MEMBERS_COUNT, len(active_ips))),
            **loads,
            **news,
        )
        data = encoder.encode(notice)
        if len(data) > LIMIT_BYTES:
            log.warn("notice too large", extra={"bytes": len(data)})
            return
        receivers = self._seed_ips | self._peers.keys()
        if is_news or self._is_far_due():
            self._far_rounds_count = 0
        else:
            receivers -= self._far_ips(now_ms)
        if now_ms - self._announced_ms >= self._announcement_interval_ms():
            self._announced_ms = now_ms
            receivers |= self._agent_ips(unknown_only=False)
        else:
            receivers |= self._agent_ips(unknown_only=True)
        for ip in receivers:
            self.send_data(ip, data)

    def _is_far_due(self):
        """Return whether the gateways of other data centres get the next counts."""
        if self.gateways_count <= NEAR_GATEWAYS_COUNT:
            return True
        return self._far_rounds_count >= FAR_INTERVALS_COUNT

    def _far_ips(self, now_ms):
        """Return the addresses of gateways in other data centres, without new ones."""
        return {
            ip
            for ip, peer in self._peers.items()
            if peer.notice is not None
            and peer.notice.data_centre != self.settings.data_centre
            and now_ms - peer.started_seen_ms > NEW_PEER_MS
        }

    def _agent_ips(self, *, unknown_only):
        """Return the addresses of targets that are ranks, where agents may run.

        Args:
            unknown_only: Leave out targets whose agent has sent a notice.
        """
        return {
            target.listing.address[0]
            for target in self._target_pool
            if self._target_pool.has_ranks(target.listing.service)
            and not (unknown_only and target.rank_notice)
        }

    def _drop_silent_peers(self):
        limit_ms = self._interval_ms() * SILENCE_INTERVALS_COUNT
        now_ms = self._clock.now_ms()
        silent = [
            ip
            for ip, peer in self._peers.items()
            if now_ms - peer.last_seen_ms > limit_ms
        ]
        for ip in silent:
            self._suspect_exchange.on_silence(ip)
            self._limit_exchange.on_silence(ip)
            notice = self._peers.pop(ip).notice
            if notice is not None:
                log.info("silent gateway removed", extra={"peer": ip})
                self._apply_counts(notice.counts, {})

    def _apply_counts(self, previous_counts, counts):
        """Apply the change of one peer's counts, which names few of many targets."""
        for name in previous_counts.keys() | counts.keys():
            target = self._target_pool.get(name)
            if target is not None:
                growth = counts.get(name, 0) - previous_counts.get(name, 0)
                sum_count = target.peers_in_flight_count + growth
                target.peers_in_flight_count = max(0, sum_count)
        self._target_pool.notify_listeners()

    def _count_peer_requests(self):
        """Add up the counts of all peers, also at targets that were listed since."""
        totals = {}
        for peer in self._peers.values():
            if peer.notice is not None:
                for name, count in peer.notice.counts.items():
                    totals[name] = totals.get(name, 0) + count
        for target in self._target_pool:
            target.peers_in_flight_count = totals.get(target.listing.name, 0)
        self._target_pool.notify_listeners()


def _ip_version(text):
    """Return the version of an IP address, or ``None`` if it is none."""
    try:
        return ipaddress.ip_address(text).version
    except ValueError:
        return None
