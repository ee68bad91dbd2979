"""The other entries that this one keeps links to."""

import collections
import hashlib
from dataclasses import dataclass

import logbook

from .._messages import SheetDelta, SheetFull, SheetPull, SuspectNotice

log = logbook.Logger("entry")


@dataclass(frozen=True, kw_only=True)
class PeerEndpoint:
    """Where another entry is reached."""

    name: str
    data_centre: str
    address: str
    public_key: str


class Peers:
    """Links to other entries, half of them in other data centres.

    The settings name the first peers; the platform's host list brings those
    that replaced them. The number of links is bounded: within the bound,
    rendezvous hashing chooses, so that the links of all entries form a
    connected mesh without agreement.

    Args:
        process: The ``EntryProcess``.
    """

    def __init__(self, *, process):
        self._process = process
        self._settings = process.settings
        self._listed = {}
        self._links = {}
        self._places = {}
        self._tasks = {}

    def start(self):
        """Open the links to the peers of the settings."""
        self._follow()

    def apply(self, host_list):
        """Follow a new host list."""
        self._listed = {
            host.name: PeerEndpoint(
                name=host.name,
                data_centre=host.data_centre,
                address=host.address,
                public_key=host.public_key,
            )
            for host in host_list.hosts
            if host.role == "entry" and host.state == "live"
        }
        self._follow()

    @property
    def names(self):
        """The names of the peers that links are kept to."""
        return frozenset(self._links)

    def names_up(self, *, data_centre=None):
        """Return the names of the peers whose links are up."""
        return sorted(
            name
            for name, link in self._links.items()
            if link.up
            and not link.leaving
            and data_centre in (None, self._places[name].data_centre)
        )

    def broadcast(self, message, *, except_for=""):
        """Send ``message`` to every peer that is up, but for one."""
        for name, link in self._links.items():
            if link.up and name != except_for:
                link.send(message)

    def send_heartbeats(self):
        """Send a heartbeat on every link at once."""
        for link in self._links.values():
            link.send_heartbeat()

    def apply_suspect(self, notice, *, source):
        """Take in what a peer knows, and pass on what was new."""
        if self._process.suspects.apply(notice):
            self.broadcast(notice, except_for=source)

    def on_up(self, link):
        """Tell a peer what it may have missed, and hear which sheet it holds."""
        self._process.update_peer_sheet(
            link, link.hello.sheet_version, link.hello.sheet_digest
        )
        for notice in self._process.suspects.notices():
            link.send(notice)

    def on_down(self, link):
        """Forget what the peer held."""
        self._process.remove_peer(link)

    def on_heartbeat(self, link, heartbeat):
        """Take in which sheet the peer holds."""
        self._process.update_peer_sheet(
            link, heartbeat.sheet_version, heartbeat.sheet_digest
        )

    def on_leaving(self, link, message):
        """Note that another entry leaves."""
        log.info('entry "{}" is leaving: {}', link.name, message.reason)

    def on_message(self, link, message):
        """Take in sheets and suspects."""
        if isinstance(message, SuspectNotice):
            self.apply_suspect(message, source=link.name)
        elif isinstance(message, SheetPull | SheetFull | SheetDelta):
            self._process.on_sheet_message(link, message)

    def _follow(self):
        wanted = {place.name: place for place in self._wanted()}
        for name in list(self._links):
            if self._places[name] != wanted.get(name):
                self._close(name)
        for name, place in wanted.items():
            if name not in self._links:
                self._open(place)

    def _wanted(self):
        places = {peer.name: _place_of(peer) for peer in self._settings.peers}
        places.update(self._listed)
        places.pop(self._settings.name, None)
        limit_count = self._settings.peers_limit_count
        own = self._settings.data_centre
        ranked = sorted(places.values(), key=self._weight, reverse=True)
        near = [place for place in ranked if place.data_centre == own]
        far = _in_turns([place for place in ranked if place.data_centre != own])
        far_count = max(limit_count // 2, limit_count - len(near))
        far = far[:far_count]
        return near[: limit_count - len(far)] + far

    def _weight(self, place):
        # The same for both ends, so that each chooses the other.
        text = " ".join(sorted((self._settings.name, place.name))).encode()
        return hashlib.blake2b(text, digest_size=8).digest()

    def _open(self, place):
        link = self._process.open_link(
            handler=self,
            name=place.name,
            address=place.address,
            public_key=place.public_key,
        )
        self._links[place.name] = link
        self._places[place.name] = place
        self._tasks[place.name] = self._process.spawn(link.run())

    def _close(self, name):
        del self._links[name], self._places[name]
        self._tasks.pop(name).cancel()


def _in_turns(places):
    """Return ``places`` with one of each data centre before any second one."""
    counts = collections.Counter()
    numbered = []
    for place in places:
        numbered.append((counts[place.data_centre], place))
        counts[place.data_centre] += 1
    numbered.sort(key=lambda item: item[0])
    return [place for _, place in numbered]


def _place_of(peer):
    return PeerEndpoint(
        name=peer.name,
        data_centre=peer.data_centre,
        address=peer.address,
        public_key=peer.public_key,
    )
