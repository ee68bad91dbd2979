"""Replication of the sheet between processes.

The methods take and return messages; the caller sends them over its links.
"""

import collections
from dataclasses import dataclass

from .._errors import SheetError
from .._messages.sheets import SheetDelta, SheetFull, SheetPull
from .compression import BrokenDocumentError, compress, decompress
from .delta import DeltaError, apply_delta, make_delta
from .reading import read_sheet, sheet_digest, write_sheet

START_LIMIT_MS = 3000
PEER_REPORTS_LIMIT_MS = 1500
PULL_LIMIT_MS = 1000


@dataclass(frozen=True, kw_only=True)
class PeerPull:
    """A ``SheetPull`` message and the name of the peer to send it to."""

    peer: str
    message: SheetPull


@dataclass(frozen=True, kw_only=True)
class PeerSheet:
    """Version and digest of the sheet that a peer reports as in force."""

    version: int
    digest: str


class SheetReplicator:
    """Pulls newer sheets from peers and answers the pulls of peers.

    A new process is starting until it has a sheet, until every expected peer
    has reported that it has none, or until ``start_limit_ms`` has passed. While
    it is starting it must not read from the platform, which may be stale.

    Args:
        store: The ``SheetStore`` of this process.
        clock: The process's ``Clock``, used for monotonic time.
        start_limit_ms: Longest time that a starting process waits for its peers.
        peer_reports_limit_ms: Longest time that a starting process waits for the
            sheet versions of all expected peers before it pulls the best known one.
        pull_limit_ms: Time for which an unanswered pull blocks the next one.
    """

    def __init__(
        self,
        *,
        store,
        clock,
        start_limit_ms=START_LIMIT_MS,
        peer_reports_limit_ms=PEER_REPORTS_LIMIT_MS,
        pull_limit_ms=PULL_LIMIT_MS,
    ):
        self._store = store
        self._clock = clock
        self._peer_reports_limit_ms = peer_reports_limit_ms
        self._start_limit_ms = start_limit_ms
        self._pull_limit_ms = pull_limit_ms
        self._started_ms = clock.now_ms()
        self._expected_peers = frozenset()
        self._peer_sheets = {}
        self._pulled_ms = None
        self._pulled_peers = set()
        self._rejected = set()
        self._answers = {}
        store.listen(self._on_sheet_change)

    def set_expected_peers(self, peers):
        """Set the names of the peers that a starting process waits for."""
        self._expected_peers = frozenset(peers)

    @property
    def is_starting(self):
        """Whether this process must not read from the platform yet."""
        if self._store.current is not None:
            return False
        if self._age_ms() >= self._start_limit_ms:
            return False
        return not self._have_all_reported() or any(
            peer_sheet.version for peer_sheet in self._peer_sheets.values()
        )

    @property
    def is_behind(self):
        """Whether a peer has a higher version than this process."""
        versions = [peer_sheet.version for peer_sheet in self._peer_sheets.values()]
        return max(versions, default=0) > self._store.version

    def update_peer(self, peer, version, digest):
        """Record the sheet that a peer's hello or heartbeat reports.

        Args:
            peer: The peer's name.
            version: The version of its sheet; 0 for none.
            digest: The digest of its sheet.

        Returns:
            The ``PeerPull`` to send, which may be for another peer, or ``None``.
        """
        self._peer_sheets[peer] = PeerSheet(version=version, digest=digest)
        self._store.record_conflict(version=version, digest=digest, source=peer)
        return self.due_pull()

    def remove_peer(self, peer):
        """Remove a peer whose link is down."""
        self._peer_sheets.pop(peer, None)

    def due_pull(self):
        """Return the ``PeerPull`` that is due now, or ``None``.

        ``update_peer`` calls this at each heartbeat. The process also calls it
        periodically, so that a silent peer does not delay a starting process.
        """
        if self._is_pull_pending() or self._are_peer_reports_missing():
            return None
        best = self._best_peer_sheet()
        if best is None:
            return None
        return self._pull_from(self._choose_peer(best))

    def answer(self, pull):
        """Return the answer to a ``SheetPull``.

        Returns:
            A ``SheetDelta`` or a ``SheetFull``; ``None`` if this process has no
            newer sheet than the peer that sent ``pull``.
        """
        if self._store.version <= pull.have_version:
            return None
        base = self._store.find(version=pull.have_version, digest=pull.have_digest)
        if base is None:
            return self._full_answer()
        key = (pull.have_version, pull.have_digest)
        if key not in self._answers:
            self._answers[key] = self._make_answer(pull, base)
        return self._answers[key]

    def apply(self, message, peer):
        """Put the sheet of a ``SheetFull`` or ``SheetDelta`` into force.

        Args:
            message: The answer to a pull.
            peer: The name of the peer that sent it.

        Returns:
            A ``PeerPull`` for the full sheet if a delta could not be applied, or
            ``None``.
        """
        self._pulled_ms = None
        try:
            sheet = self._decode_sheet(message)
        except DeltaError:
            return self._pull_from(peer, full=True)
        except (BrokenDocumentError, SheetError) as error:
            subject = f"version {message.version}"
            self._store.reject(error, subject=subject, source=peer)
            self._mark_rejected(message)
            return None
        if not self._store.offer(sheet, peer):
            self._mark_rejected(message)
        return None

    def _mark_rejected(self, message):
        # Without this, a sheet that is invalid here would be pulled again at every
        # heartbeat. This happens if the peer runs another release.
        self._rejected.add(PeerSheet(version=message.version, digest=message.digest))

    def _decode_sheet(self, message):
        if isinstance(message, SheetFull):
            return _decode_full_sheet(message)
        base = self._store.current
        current = (self._store.version, self._store.digest)
        if current != (message.base_version, message.base_digest):
            base = self._store.find(
                version=message.base_version, digest=message.base_digest
            )
        if base is None:
            raise DeltaError("this process does not have the delta's base")
        return apply_delta(base, message.patch, digest=message.digest)

    def _make_answer(self, pull, base):
        full = self._full_answer()
        patch = make_delta(base, self._store.current)
        if len(patch) >= len(full.document):
            return full
        return SheetDelta(
            base_version=pull.have_version,
            base_digest=pull.have_digest,
            version=self._store.version,
            digest=self._store.digest,
            patch=patch,
        )

    def _full_answer(self):
        no_base = (0, "")
        if no_base not in self._answers:
            self._answers[no_base] = SheetFull(
                version=self._store.version,
                digest=self._store.digest,
                document=compress(write_sheet(self._store.current)),
            )
        return self._answers[no_base]

    def _on_sheet_change(self, old, new):
        self._answers.clear()
        self._rejected.clear()
        self._pulled_peers.clear()

    def _age_ms(self):
        return self._clock.now_ms() - self._started_ms

    def _have_all_reported(self):
        return self._expected_peers <= self._peer_sheets.keys()

    def _are_peer_reports_missing(self):
        if self._store.current is not None or self._have_all_reported():
            return False
        return self._age_ms() < self._peer_reports_limit_ms

    def _is_pull_pending(self):
        if self._pulled_ms is None:
            return False
        return self._clock.now_ms() - self._pulled_ms < self._pull_limit_ms

    def _best_peer_sheet(self):
        """Return the best ``PeerSheet`` newer than the local sheet, or ``None``.

        The highest version wins. Among different sheets of that version, the one
        that most peers have wins, then the one with the lowest digest.
        """
        counts = collections.Counter(self._peer_sheets.values())
        newer = [
            sheet
            for sheet in counts
            if sheet.version > self._store.version and sheet not in self._rejected
        ]
        if not newer:
            return None
        return min(
            newer, key=lambda sheet: (-sheet.version, -counts[sheet], sheet.digest)
        )

    def _choose_peer(self, wanted):
        """Return a peer that has the ``PeerSheet`` wanted, untried peers first."""
        peers = sorted(
            peer for peer, sheet in self._peer_sheets.items() if sheet == wanted
        )
        untried = [peer for peer in peers if peer not in self._pulled_peers]
        if untried:
            return untried[0]
        self._pulled_peers.difference_update(peers)
        return peers[0]

    def _pull_from(self, peer, *, full=False):
        self._pulled_ms = self._clock.now_ms()
        self._pulled_peers.add(peer)
        if full:
            message = SheetPull(have_version=0, have_digest="")
        else:
            message = SheetPull(
                have_version=self._store.version, have_digest=self._store.digest
            )
        return PeerPull(peer=peer, message=message)


def _decode_full_sheet(message):
    sheet = read_sheet(decompress(message.document), with_comments=False)
    if sheet_digest(sheet) != message.digest:
        reason = f"its digest is not {message.digest}"
        raise SheetError(table="(sheet)", row=str(message.version), reason=reason)
    return sheet
