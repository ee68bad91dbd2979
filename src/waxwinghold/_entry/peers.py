"""Links from an entry to its peers: the other entries."""

import collections
import hashlib
from dataclasses import dataclass

import logbook

from .._messages import (
    LostRequestsNotice,
    SheetDelta,
    SheetFull,
    SheetPull,
    SuspectNotice,
)

log = logbook.Logger("entry")


@dataclass(frozen=True, kw_only=True)
class PeerEndpoint:
    """The name, data centre, address and key of another entry."""

    name: str
    data_centre: str
    address: str
    public_key: str


class Peers:
    """Links to other entries of the same and of other data centres.

    The settings name the initial peers; the platform's host list names those
    that were added later. The number of links is limited by
    ``peers_limit_count``; at least half of them go to other data centres, if
    those have enough entries. Rendezvous hashing chooses the peers, so that
    the links of all entries form a connected mesh without coordination.

    Args:
        process: The ``EntryProcess``.
    """

    def __init__(self, *, process):
        self._process = process
        self._settings = process.settings
        self._listed_endpoints = {}
        self._links = {}
        self._endpoints = {}
        self._tasks = {}

    def start(self):
        """Open links to the peers of the settings."""
        self._update_links()

    def apply(self, host_list):
        """Update the links for a new host list."""
        self._listed_endpoints = {
            host.name: PeerEndpoint(
                name=host.name,
                data_centre=host.data_centre,
                address=host.address,
                public_key=host.public_key,
            )
            for host in host_list.hosts
            if host.role == "entry" and host.state == "live"
        }
        self._update_links()

    @property
    def names(self):
        """The names of the peers that this entry has links to."""
        return frozenset(self._links)

    def names_up(self, *, data_centre=None):
        """Return the names of the peers whose links are up and that are not leaving.

        Args:
            data_centre: Only peers of this data centre; ``None`` for all.
        """
        return sorted(
            name
            for name, link in self._links.items()
            if link.up
            and not link.leaving
            and data_centre in (None, self._endpoints[name].data_centre)
        )

    def broadcast(self, message, *, except_for=""):
        """Send ``message`` to every peer whose link is up.

        Args:
            except_for: Name of a peer to leave out.
        """
        for name, link in self._links.items():
            if link.up and name != except_for:
                link.send(message)

    def send_heartbeats(self):
        """Send a heartbeat on every link now."""
        for link in self._links.values():
            link.send_heartbeat()

    def apply_suspect(self, notice, *, source):
        """Apply a suspect notice; forward it to the other peers if it was new."""
        if isinstance(notice, LostRequestsNotice):
            self._merge_lost_requests(notice, source=source)
        elif self._process.suspects.apply(notice):
            self.broadcast(notice, except_for=source)

    def _merge_lost_requests(self, notice, *, source):
        suspects = self._process.crash_suspects
        version = suspects.version
        suspects.merge_records(
            notice.lost, notice.cleared, now_ms=self._process.clock.now_ms()
        )
        if suspects.version != version:
            self.broadcast(self._process.lost_requests_notice(), except_for=source)

    def on_up(self, link):
        """Record the peer's sheet version and send it all suspect notices."""
        self._process.update_peer_sheet(
            link, link.hello.sheet_version, link.hello.sheet_digest
        )
        for notice in self._process.suspects.notices():
            link.send(notice)
        if self._process.crash_suspects.version:
            link.send(self._process.lost_requests_notice())

    def on_down(self, link):
        """Remove the peer's sheet version."""
        self._process.remove_peer(link)

    def on_heartbeat(self, link, heartbeat):
        """Record the peer's sheet version."""
        self._process.update_peer_sheet(
            link, heartbeat.sheet_version, heartbeat.sheet_digest
        )

    def on_leaving(self, link, message):
        """Log that a peer is leaving."""
        log.info('entry "{}" is leaving: {}', link.name, message.reason)

    def on_message(self, link, message):
        """Handle suspect notices and sheet messages."""
        if isinstance(message, SuspectNotice | LostRequestsNotice):
            self.apply_suspect(message, source=link.name)
        elif isinstance(message, SheetPull | SheetFull | SheetDelta):
            self._process.on_sheet_message(link, message)

    def _update_links(self):
        wanted = {endpoint.name: endpoint for endpoint in self._choose_endpoints()}
        for name in list(self._links):
            if self._endpoints[name] != wanted.get(name):
                self._close(name)
        for name, endpoint in wanted.items():
            if name not in self._links:
                self._open(endpoint)

    def _choose_endpoints(self):
        endpoints = {
            peer.name: _endpoint_from_settings(peer) for peer in self._settings.peers
        }
        endpoints.update(self._listed_endpoints)
        endpoints.pop(self._settings.name, None)
        limit_count = self._settings.peers_limit_count
        own_data_centre = self._settings.data_centre
        ranked = sorted(endpoints.values(), key=self._weight, reverse=True)
        local = [
            endpoint for endpoint in ranked if endpoint.data_centre == own_data_centre
        ]
        remote = _interleave_data_centres(
            [endpoint for endpoint in ranked if endpoint.data_centre != own_data_centre]
        )
        remote_count = max(limit_count // 2, limit_count - len(local))
        remote = remote[:remote_count]
        return local[: limit_count - len(remote)] + remote

    def _weight(self, endpoint):
        # Symmetric: two entries compute the same weight for each other, so that they
        # tend to choose each other.
        text = " ".join(sorted((self._settings.name, endpoint.name))).encode()
        return hashlib.blake2b(text, digest_size=8).digest()

    def _open(self, endpoint):
        link = self._process.open_link(
            handler=self,
            name=endpoint.name,
            address=endpoint.address,
            public_key=endpoint.public_key,
        )
        self._links[endpoint.name] = link
        self._endpoints[endpoint.name] = endpoint
        self._tasks[endpoint.name] = self._process.spawn(link.run())

    def _close(self, name):
        del self._links[name], self._endpoints[name]
        self._tasks.pop(name).cancel()


def _interleave_data_centres(endpoints):
    """Return ``endpoints`` with one of each data centre before the second of any."""
    counts = collections.Counter()
    numbered = []
    for endpoint in endpoints:
        numbered.append((counts[endpoint.data_centre], endpoint))
        counts[endpoint.data_centre] += 1
    numbered.sort(key=lambda item: item[0])
    return [endpoint for _, endpoint in numbered]


def _endpoint_from_settings(peer):
    return PeerEndpoint(
        name=peer.name,
        data_centre=peer.data_centre,
        address=peer.address,
        public_key=peer.public_key,
    )
