"""Whom the agent beside a rank tells what, and how often.

A few gateways hear from each rank itself. For many of them the agent that leads
a group tells of all of its ranks in one notice: notices would otherwise grow
with ranks times gateways.
"""

import msgspec

from .._gateway.notices import FORMAT, GroupNotice, RankNotice, encoder

# Requests last a second and more; at eight tenths of the places taken, counts
# that are twice as old send half as many again to targets that are full.
REPORT_INTERVAL_MS = 75.0
GROUP_INTERVAL_MS = 50.0  # Adds little to the age of what it tells.
# Keeps what a leader sends to a quarter of a link of 4 Mbit/s.
GROUP_INTERVAL_PER_GATEWAY_MS = 2.5
GROUP_AGE_LIMIT_MS = 400.0  # Two notices of a rank may be lost.
# Up to this many gateways are told by each rank itself, without the detour.
DIRECT_GATEWAYS_COUNT = 4
ANNOUNCEMENT_INTERVAL_MS = 1000.0
ANNOUNCEMENT_INTERVAL_PER_RECEIVER_MS = 40.0  # Bounds the greetings of a large fleet.
GATEWAY_SILENCE_MS = 8000.0  # Several greetings of a gateway in a large fleet.
LEADER_SILENCE_MS = 350.0  # Two notices of the leader.


class NoticeSender:
    """Sends the notices of one agent.

    Args:
        settings: The ``RankSettings``.
        view: The ``GroupView``.
        send: ``send(ip, data)``; datagrams may be lost.

    Attributes:
        rank_ips: Where the other agents of the service may be.
    """

    def __init__(self, *, clock, settings, view, send, started_ms):
        self._clock = clock
        self._settings = settings
        self._view = view
        self._send = send
        self._started_ms = started_ms
        self._sequence = 0
        self._group_sequence = 0
        self._gateways_heard_ms = {}
        self._seeds = {seed.rpartition(":")[0] for seed in settings.seeds}
        self._greeted_ms = float("-inf")
        self._last_sent_ms = float("-inf")
        self._last_state = None
        self.rank_ips = set()

    def record_gateway(self, ip):
        """Take in a sign of life of a gateway."""
        self._gateways_heard_ms[ip] = self._clock.now_ms()

    def leader_ips(self):
        """Return the address of the group's leader, if it is known and another."""
        first = self._view.notices().get(0)
        if first is None or self._leads():
            return set()
        return {_ip(first.address)}

    def send_rank_notice(self, report):
        """Send a fresh report to those whom it concerns."""
        self._sequence += 1
        notice = msgspec.structs.replace(
            rank_notice(report, self._settings.target_address, self._started_ms),
            sequence=self._sequence,
        )
        self._view.update_own(notice)
        receivers = self._receivers(report)
        data = encoder.encode(notice) if receivers else b""
        for ip in receivers:
            self._send(ip, data)

    def group_interval_ms(self):
        """Return how long after one notice of the group the next one follows."""
        scaled_ms = GROUP_INTERVAL_PER_GATEWAY_MS * len(self._gateways())
        return max(GROUP_INTERVAL_MS, scaled_ms)

    def send_group_notice(self):
        """Tell all gateways of the whole group, if this agent leads it."""
        gateways = self._gateways()
        if not self._leads() or len(gateways) <= DIRECT_GATEWAYS_COUNT:
            return
        ranks = []
        for rank, one in self._view.notices().items():
            age_ms = self._view.notice_age_ms(rank)
            if age_ms <= GROUP_AGE_LIMIT_MS:
                ranks.append((rank, int(age_ms), one.running_count, one.waiting_count))
        own = self._view.notices()[0]
        self._group_sequence += 1
        notice = GroupNotice(
            format=FORMAT,
            started_ms=self._started_ms,
            sequence=self._group_sequence,
            group=own.group,
            epoch=own.epoch,
            is_open=own.is_open,
            step=own.step,
            ranks=ranks,
        )
        data = encoder.encode(notice)
        for ip in gateways:
            self._send(ip, data)

    def _leads(self):
        first = self._view.notices().get(0)
        return first is not None and first.address == self._settings.target_address

    def _receivers(self, report):
        now_ms = self._clock.now_ms()
        standing = (report.group, report.epoch, report.is_open)
        change = (report.map_version, report.prepared, report.armed, report.held)
        known_standing, known_change = self._last_state or (None, None)
        self._last_state = (standing, change)
        if now_ms - self._greeted_ms >= self._greeting_interval_ms():
            self._greeted_ms = self._last_sent_ms = now_ms
            return self.rank_ips | self._gateways()
        if standing != known_standing:
            return self.leader_ips() | self._gateways()
        if now_ms - self._last_sent_ms >= REPORT_INTERVAL_MS / 2:
            self._last_sent_ms = now_ms
            return self._usual_receivers()
        if change != known_change or report.step:
            return self.leader_ips()
        return set()

    def _usual_receivers(self):
        if self._leads():
            # The other agents watch that their leader is alive.
            receivers = self._group_ips()
        else:
            receivers = self.leader_ips()
        if self._tells_gateways():
            receivers |= self._gateways()
        return receivers

    def _tells_gateways(self):
        """Return whether the gateways hear of this rank from itself only."""
        if len(self._gateways()) <= DIRECT_GATEWAYS_COUNT:
            return True
        if self._leads():
            return False
        return self._view.is_agent_silent(0, limit_ms=LEADER_SILENCE_MS)

    def _greeting_interval_ms(self):
        if len(self._view.notices()) < self._view.size:
            return ANNOUNCEMENT_INTERVAL_MS
        receivers_count = len(self.rank_ips) + len(self._gateways_heard_ms)
        scaled_ms = ANNOUNCEMENT_INTERVAL_PER_RECEIVER_MS * receivers_count
        return max(ANNOUNCEMENT_INTERVAL_MS, scaled_ms)

    def _gateways(self):
        limit_ms = self._clock.now_ms() - GATEWAY_SILENCE_MS
        heard = {
            ip for ip, at_ms in self._gateways_heard_ms.items() if at_ms > limit_ms
        }
        return heard or self._seeds

    def _group_ips(self):
        ips = {_ip(one.address) for one in self._view.notices().values()}
        ips.discard(self._settings.peers_ip)
        return ips


def rank_notice(report, address, started_ms):
    """Return a report as a notice, still without a number of its own."""
    return RankNotice(
        format=FORMAT,
        address=address,
        started_ms=started_ms,
        sequence=0,
        born_ms=report.born_ms,
        group=report.group,
        epoch=report.epoch,
        rank=report.rank,
        size=report.size,
        is_open=report.is_open,
        step=report.step,
        map_version=report.map_version,
        prepared=report.prepared,
        armed=report.armed,
        held=report.held,
        orders_count=report.orders_count,
        running_count=report.running_count,
        waiting_count=report.waiting_count,
        pace=report.pace,
    )


def _ip(address):
    return address.rpartition(":")[0]
