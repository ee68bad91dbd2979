"""Sends the notices of one agent and decides on their receivers and intervals.

With up to ``DIRECT_GATEWAYS_COUNT`` gateways, the agent of each rank sends them
notices. With more, the leader of the group sends them notices about all ranks.
Otherwise the number of notices would grow with ranks times gateways. With more than
``UNRELAYED_GATEWAYS_COUNT``, it sends each notice to one gateway of each data centre,
which sends it on to the others there.
"""

import random

import msgspec

from .._gateway.notices import FORMAT, GroupNotice, RankNotice, encoder

# Requests take one second or more. With 80 % of the slots in use, gateways whose load
# counts are twice as old send 1.5 times as many requests to full targets.
REPORT_INTERVAL_MS = 75.0
GROUP_INTERVAL_MS = 50.0  # Adds little to the age of the reported load.
# Limits what a leader sends to a quarter of a link of 4 Mbit/s.
GROUP_INTERVAL_PER_GATEWAY_MS = 2.5
# A group notice leaves out ranks with older notices. Tolerates the loss of two notices.
GROUP_AGE_LIMIT_MS = 400.0
# Up to this many gateways get notices from the agent of each rank directly.
DIRECT_GATEWAYS_COUNT = 4
# A notice about 96 ranks to each of 98 gateways is a burst of 165 ms on a link of
# 3 Mbit/s, which always loses those to the same gateways.
UNRELAYED_GATEWAYS_COUNT = 48
# Limits the processor time of gateways, each of which handles all notices.
RELAYED_INTERVAL_MS = 100.0
ANNOUNCEMENT_INTERVAL_MS = 1000.0
ANNOUNCEMENT_INTERVAL_PER_RECEIVER_MS = 40.0  # Limits the rate in a large fleet.
# Receivers of an announcement that get it with the same report. A burst to all hosts of
# a large fleet exceeds what a link of 3 Mbit/s holds, which loses the last ones of it.
ANNOUNCEMENT_BURST_COUNT = 32
# Gateways hear this often from the agent of a leaving rank: sooner than from an
# announcement in a large fleet, in case a datagram is lost.
LEAVING_INTERVAL_MS = 1000.0
GATEWAY_SILENCE_MS = 8000.0  # Several announcements in a large fleet.
LEADER_SILENCE_MS = 350.0  # Two notices of the leader.


class NoticeSender:
    """Sends the notices of one agent.

    Args:
        settings: The ``RankSettings``.
        view: The ``GroupView``.
        send: ``send(ip, data)`` sends a datagram, which may be lost.
        started_ms: Wall time of this agent's start.

    Attributes:
        rank_ips: Addresses of the other agents of the service.
    """

    def __init__(self, *, clock, settings, view, send, started_ms):
        self._clock = clock
        self._settings = settings
        self._view = view
        self._send = send
        self._started_ms = started_ms
        self._sequence = 0
        self._group_sequence = 0
        self._gateways_seen_ms = {}
        self._data_centres = {}
        self._seed_ips = {seed.rpartition(":")[0] for seed in settings.seeds}
        self._announced_ms = float("-inf")
        self._unannounced_ips = []  # Receivers that the last announcement is due to.
        self._last_sent_ms = float("-inf")
        self._leaving_told_ms = float("-inf")
        self._last_state = None
        self.rank_ips = set()

    def record_gateway(self, ip, *, data_centre):
        """Record that a notice of the gateway at ``ip`` arrived."""
        self._gateways_seen_ms[ip] = self._clock.now_ms()
        self._data_centres[ip] = data_centre

    def leader_ips(self):
        """Return the leader's address as a set.

        The set is empty if the leader is unknown or this agent leads.
        """
        rank0_notice = self._view.notices().get(0)
        if rank0_notice is None or self._is_leader():
            return set()
        return {_ip(rank0_notice.address)}

    def send_rank_notice(self, report):
        """Send a ``RankReport`` as a notice and apply it to the view."""
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
        """Return the time in ms between two notices about the whole group."""
        gateways_count = len(self._gateway_ips())
        if gateways_count > UNRELAYED_GATEWAYS_COUNT:
            return RELAYED_INTERVAL_MS
        return max(GROUP_INTERVAL_MS, GROUP_INTERVAL_PER_GATEWAY_MS * gateways_count)

    def send_group_notice(self):
        """Send the gateways a notice about the whole group.

        Does nothing unless this agent leads the group and there are more than
        ``DIRECT_GATEWAYS_COUNT`` gateways.
        """
        gateway_ips = self._gateway_ips()
        if not self._is_leader() or len(gateway_ips) <= DIRECT_GATEWAYS_COUNT:
            return
        ranks = []
        for rank, notice in self._view.notices().items():
            age_ms = self._view.notice_age_ms(rank)
            if age_ms <= GROUP_AGE_LIMIT_MS:
                ranks.append(
                    (
                        rank,
                        int(age_ms),
                        notice.running_count,
                        notice.waiting_count,
                        round(notice.pace * 10),
                    )
                )
        own_notice = self._view.notices()[0]
        self._group_sequence += 1
        group_notice = GroupNotice(
            format=FORMAT,
            started_ms=self._started_ms,
            sequence=self._group_sequence,
            group=own_notice.group,
            epoch=own_notice.epoch,
            is_open=own_notice.is_open,
            step=own_notice.step,
            ranks=ranks,
            relay=len(gateway_ips) > UNRELAYED_GATEWAYS_COUNT,
        )
        data = encoder.encode(group_notice)
        for ip in self._relays() if group_notice.relay else gateway_ips:
            self._send(ip, data)

    def _relays(self):
        """Return one gateway of each data centre, another one for each notice.

        A gateway that is lost costs its data centre one notice of many, and none has
        to be elected or missed.
        """
        ips_by_data_centre = {}
        for ip in sorted(self._gateway_ips()):
            # A gateway that was not heard yet is only known by its address.
            data_centre = self._data_centres.get(ip, ip)
            ips_by_data_centre.setdefault(data_centre, []).append(ip)
        return [
            ips[self._group_sequence % len(ips)] for ips in ips_by_data_centre.values()
        ]

    def _is_leader(self):
        rank0_notice = self._view.notices().get(0)
        return (
            rank0_notice is not None
            and rank0_notice.address == self._settings.target_address
        )

    def _receivers(self, report):
        """Return the addresses that get this report, and record that it is sent.

        All agents and gateways get announcements, some of them with each report. A
        change of the group's state goes to the leader and the gateways at once. A
        regular report goes to the default receivers; the leader also gets reports in
        between that tell of progress of a map change. Rank 0 knows the latest step
        itself. While the rank leaves, the gateways hear so every
        ``LEAVING_INTERVAL_MS``.
        """
        now_ms = self._clock.now_ms()
        group_state = (report.group, report.epoch, report.is_open)
        map_state = (
            report.map_version,
            report.prepared,
            report.armed,
            report.held,
            report.orders_count,
        )
        previous_group_state, previous_map_state = self._last_state or (None, None)
        self._last_state = (group_state, map_state)
        is_due = now_ms - self._announced_ms >= self._announcement_interval_ms()
        if is_due and not self._unannounced_ips:
            self._announced_ms = now_ms
            self._unannounced_ips = list(self.rank_ips | self._gateway_ips())
            # What a full link loses is not lost by the same receivers each time.
            random.shuffle(self._unannounced_ips)
        announced_ips = set(self._unannounced_ips[:ANNOUNCEMENT_BURST_COUNT])
        del self._unannounced_ips[:ANNOUNCEMENT_BURST_COUNT]
        return announced_ips | self._regular_receivers(
            report,
            now_ms,
            group_changed=group_state != previous_group_state,
            map_changed=map_state != previous_map_state,
        )

    def _regular_receivers(self, report, now_ms, *, group_changed, map_changed):
        """Return the addresses that get a report beside those of an announcement."""
        if group_changed:
            return self.leader_ips() | self._gateway_ips()
        if report.is_leaving and self._is_leaving_due(now_ms):
            self._leaving_told_ms = self._last_sent_ms = now_ms
            return self._default_receivers() | self._gateway_ips()
        if now_ms - self._last_sent_ms >= REPORT_INTERVAL_MS / 2:
            self._last_sent_ms = now_ms
            return self._default_receivers()
        if map_changed:
            return self.leader_ips()
        return set()

    def _is_leaving_due(self, now_ms):
        return now_ms - self._leaving_told_ms >= LEAVING_INTERVAL_MS

    def _default_receivers(self):
        if self._is_leader():
            # The other agents take over from a leader that sends no notices.
            receivers = self._group_ips()
        else:
            receivers = self.leader_ips()
        if self._sends_to_gateways():
            receivers |= self._gateway_ips()
        return receivers

    def _sends_to_gateways(self):
        """Return whether this agent sends its rank's notices to the gateways.

        Otherwise the leader reports the rank to them.
        """
        if len(self._gateway_ips()) <= DIRECT_GATEWAYS_COUNT:
            return True
        if self._is_leader():
            return False
        return self._view.is_agent_silent(0, limit_ms=LEADER_SILENCE_MS)

    def _announcement_interval_ms(self):
        if len(self._view.notices()) < self._view.size:
            return ANNOUNCEMENT_INTERVAL_MS
        receivers_count = len(self.rank_ips) + len(self._gateways_seen_ms)
        scaled_ms = ANNOUNCEMENT_INTERVAL_PER_RECEIVER_MS * receivers_count
        return max(ANNOUNCEMENT_INTERVAL_MS, scaled_ms)

    def _gateway_ips(self):
        oldest_ms = self._clock.now_ms() - GATEWAY_SILENCE_MS
        silent_ips = [
            ip for ip, seen_ms in self._gateways_seen_ms.items() if seen_ms <= oldest_ms
        ]
        for ip in silent_ips:
            del self._gateways_seen_ms[ip], self._data_centres[ip]
        return set(self._gateways_seen_ms) or self._seed_ips

    def _group_ips(self):
        ips = {_ip(notice.address) for notice in self._view.notices().values()}
        ips.discard(self._settings.peers_ip)
        return ips


def rank_notice(report, address, started_ms):
    """Return a ``RankReport`` as a ``RankNotice`` with sequence number 0."""
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
        is_leaving=report.is_leaving,
    )


def _ip(address):
    return address.rpartition(":")[0]
