"""Spreading the sheet between processes.

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
VOTE_LIMIT_MS = 1500
PULL_LIMIT_MS = 1000


@dataclass(frozen=True, kw_only=True)
class PeerPull:
    """A pull to be sent to ``peer``."""

    peer: str
    message: SheetPull


@dataclass(frozen=True, kw_only=True)
class PeerSheet:
    """The sheet that a peer says it holds."""

    version: int
    digest: str


class SheetReplicator:
    """Decides whom to ask for a sheet, and answers those who ask.

    A process is fresh until it holds a sheet, until each expected peer has
    said that it holds none, or until ``fresh_limit_ms`` has passed. While it
    is fresh it must not read from the platform, which may be stale.

    Args:
        store: The ``SheetStore`` of this process.
        clock: Tells monotonic time.
        fresh_limit_ms: How long a fresh process may wait for its peers.
        vote_limit_ms: How long a fresh process waits to hear every expected
            peer before it chooses among those heard.
        pull_limit_ms: How long an unanswered pull blocks the next one.
    """

    def __init__(
        self,
        *,
        store,
        clock,
        start_limit_ms=START_LIMIT_MS,
        vote_limit_ms=VOTE_LIMIT_MS,
        pull_limit_ms=PULL_LIMIT_MS,
    ):
        self._store = store
        self._clock = clock
        self._vote_limit_ms = vote_limit_ms
        self._start_limit_ms = start_limit_ms
        self._pull_limit_ms = pull_limit_ms
        self._started_ms = clock.now_ms()
        self._expected = frozenset()
        self._holdings = {}
        self._pulled_ms = None
        self._pulled_peers = set()
        self._refused = set()
        self._answers = {}
        store.listen(self._changed)

    def set_expected_peers(self, peers):
        """Name the peers that a fresh process should hear before it decides."""
        self._expected = frozenset(peers)

    @property
    def is_starting(self):
        """Whether this process must not trust the platform yet."""
        if self._store.current is not None:
            return False
        if self._age_ms() >= self._start_limit_ms:
            return False
        return not self._all_heard() or any(
            holding.version for holding in self._holdings.values()
        )

    @property
    def is_behind(self):
        """Whether a peer holds a higher version than this process."""
        versions = [holding.version for holding in self._holdings.values()]
        return max(versions, default=0) > self._store.version

    def update_peer(self, peer, version, digest):
        """Take in what a peer's heartbeat says that it holds.

        Returns:
            A ``PeerPull`` to send, not always to this peer, or ``None``.
        """
        self._holdings[peer] = PeerSheet(version=version, digest=digest)
        self._store.record_conflict(version=version, digest=digest, source=peer)
        return self.due_pull()

    def remove_peer(self, peer):
        """Forget a peer whose link is gone."""
        self._holdings.pop(peer, None)

    def due_pull(self):
        """Return the ``PeerPull`` that is due now, or ``None``.

        Called at each heartbeat by ``update_peer``; a fresh process also calls it
        from time to time, so that a silent peer does not hold it up.
        """
        if self._pull_is_waiting() or self._votes_are_missing():
            return None
        chosen = self._chosen()
        if chosen is None:
            return None
        return self._pull_from(self._pick_peer(chosen))

    def answer(self, pull):
        """Return the answer to a ``SheetPull``, or ``None`` without a newer sheet."""
        if self._store.version <= pull.have_version:
            return None
        base = self._store.find(version=pull.have_version, digest=pull.have_digest)
        if base is None:
            return self._full()
        key = (pull.have_version, pull.have_digest)
        if key not in self._answers:
            self._answers[key] = self._make_answer(pull, base)
        return self._answers[key]

    def apply(self, message, peer):
        """Put the sheet of a ``SheetFull`` or ``SheetDelta`` into force.

        Returns:
            A ``PeerPull`` for the whole sheet if a delta did not fit, or
            ``None``.
        """
        self._pulled_ms = None
        try:
            sheet = self._sheet_of(message)
        except DeltaError:
            return self._pull_from(peer, whole=True)
        except (BrokenDocumentError, SheetError) as error:
            subject = f"version {message.version}"
            self._store.reject(error, subject=subject, source=peer)
            self._refuse(message)
            return None
        if not self._store.offer(sheet, peer):
            self._refuse(message)
        return None

    def _refuse(self, message):
        # Without this a peer of another release, whose sheet is not valid here,
        # would be asked for it again at every heartbeat.
        self._refused.add(PeerSheet(version=message.version, digest=message.digest))

    def _sheet_of(self, message):
        if isinstance(message, SheetFull):
            return _full_sheet(message)
        base = self._store.current
        ours = (self._store.version, self._store.digest)
        if ours != (message.base_version, message.base_digest):
            base = self._store.find(
                version=message.base_version, digest=message.base_digest
            )
        if base is None:
            raise DeltaError("the delta's base is not known here")
        return apply_delta(base, message.patch, digest=message.digest)

    def _make_answer(self, pull, base):
        full = self._full()
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

    def _full(self):
        whole = (0, "")
        if whole not in self._answers:
            self._answers[whole] = SheetFull(
                version=self._store.version,
                digest=self._store.digest,
                document=compress(write_sheet(self._store.current)),
            )
        return self._answers[whole]

    def _changed(self, old, new):
        self._answers.clear()
        self._refused.clear()
        self._pulled_peers.clear()

    def _age_ms(self):
        return self._clock.now_ms() - self._started_ms

    def _all_heard(self):
        return self._expected <= self._holdings.keys()

    def _votes_are_missing(self):
        if self._store.current is not None or self._all_heard():
            return False
        return self._age_ms() < self._vote_limit_ms

    def _pull_is_waiting(self):
        if self._pulled_ms is None:
            return False
        return self._clock.now_ms() - self._pulled_ms < self._pull_limit_ms

    def _chosen(self):
        """Return the best ``PeerSheet`` above ours, or ``None``.

        The highest version wins; under one version the digest that most peers
        hold, then the lowest digest.
        """
        counts = collections.Counter(self._holdings.values())
        newer = [
            item
            for item in counts
            if item.version > self._store.version and item not in self._refused
        ]
        if not newer:
            return None
        return min(newer, key=lambda item: (-item.version, -counts[item], item.digest))

    def _pick_peer(self, chosen):
        """Return a peer that holds ``chosen``, untried ones first."""
        peers = sorted(
            peer for peer, holding in self._holdings.items() if holding == chosen
        )
        untried = [peer for peer in peers if peer not in self._pulled_peers]
        if untried:
            return untried[0]
        self._pulled_peers.difference_update(peers)
        return peers[0]

    def _pull_from(self, peer, *, whole=False):
        self._pulled_ms = self._clock.now_ms()
        self._pulled_peers.add(peer)
        if whole:
            message = SheetPull(have_version=0, have_digest="")
        else:
            message = SheetPull(
                have_version=self._store.version, have_digest=self._store.digest
            )
        return PeerPull(peer=peer, message=message)


def _full_sheet(message):
    sheet = read_sheet(decompress(message.document), with_comments=False)
    if sheet_digest(sheet) != message.digest:
        reason = f"its digest is not {message.digest}"
        raise SheetError(table="(sheet)", row=str(message.version), reason=reason)
    return sheet
